//! Large bodies through the daemon: clients that upload them, engines that are killed meanwhile,
//! disks that fill up.
//!
//! The mixed test is small by default. At full scale (10,000 requests of 1 KB to 64 MB, some
//! minutes):
//!
//!     cargo test --release --test bodies -- --ignored --nocapture

mod daemon;
mod standin;
use daemon::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use standin::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const MB: usize = 1 << 20;

/// A statement of `length` bytes, reproducible by its seed.
fn statement(seed: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    Pcg64Mcg::seed_from_u64(seed).fill_bytes(&mut bytes);
    bytes.iter_mut().for_each(|b| *b = b' ' + *b % 95);
    bytes
}

fn start(engines: &[Engine], file: &str, file_size: Option<u64>) -> Daemon {
    let addresses: Vec<(&str, SocketAddr)> = engines.iter().map(|e| (e.id.as_str(), e.address)).collect();
    // Idle connections to engines are closed after one second, so that none is left at the end.
    let config = config_with_directory(&addresses).replace("\"connIdle\":15", "\"connIdle\":1");
    let files = [("bodies.toml", file.to_string())];
    match file_size {
        None => Daemon::start(&config, &files, None),
        Some(blocks) => Daemon::start_with(&config, &files, &format!("trap '' XFSZ; ulimit -f {blocks};")),
    }
}

/// Sends a request to the admin listener and returns the response.
fn call_admin(daemon: &Daemon, request_line: &str) -> String {
    let mut stream = TcpStream::connect(daemon.console.expect("open")).expect("connected");
    stream.write_all(format!("{request_line} HTTP/1.1\r\n\r\n").as_bytes()).expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("read");
    text
}

/// The `app.` figures of the admin listener's `/stats`, without that prefix.
fn stats(daemon: &Daemon) -> HashMap<String, u64> {
    let text = call_admin(daemon, "GET /stats");
    let figures = text.lines().filter_map(|line| line.strip_prefix("app.")?.split_once('='));
    figures.map(|(name, count)| (name.into(), count.parse().expect("a count"))).collect()
}

/// Waits until nothing is left: no bytes of bodies, no more descriptors than at the start, no
/// files.
fn assert_nothing_left(daemon: &Daemon, descriptors: usize) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let figures = stats(daemon);
        let remaining: u64 =
            figures.iter().filter(|(k, _)| k.contains(".held.") || k.contains(".bytes.")).map(|f| f.1).sum();
        let open = daemon.descriptors();
        if remaining == 0 && open <= descriptors && figures["pending"] == 0 {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "{remaining} bodies and bytes left, {open} descriptors, {descriptors} at the start: {figures:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(daemon.files("bodies").iter().all(|name| name == "bodies.lock"), "{:?}", daemon.files("bodies"));
}

struct Mix {
    requests: u64,
    clients: u64,
    largest: usize,
    memory_mb: usize,
    files_mb: usize,
    /// An engine is killed after every `kill_every` attempts that the engines received.
    kill_every: u64,
}

/// Clients send bodies of mixed sizes while engines are killed.
fn run_mixed_sizes(mix: &Mix, seed: u64) {
    let (engines, engine_state) = engines(4);
    engine_state.full.store(23, Ordering::SeqCst);
    let file = format!(
        "memory_mb = {}\nlargest_mb = {}\nfiles_mb = {}\nfolder = \"bodies\"\nabove_kb = 64\n\
         [class.load]\nmemory_share = 0.75\nfiles_share = 0.75\n",
        mix.memory_mb,
        mix.largest / MB,
        mix.files_mb
    );
    let daemon = start(&engines, &file, None);
    let descriptors = daemon.descriptors();
    let initial = daemon.memory_peak();
    let (http_address, next) = (daemon.http.expect("open"), AtomicU64::new(0));
    let sums: Mutex<HashMap<String, u32>> = Mutex::default();
    let statuses: Mutex<HashMap<u16, u64>> = Mutex::default();
    let done = AtomicBool::new(false);
    let started = Instant::now();
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..mix.clients)
            .map(|_| {
                scope.spawn(|| {
                    let mut client = Client::at(http_address);
                    loop {
                        let number = next.fetch_add(1, Ordering::SeqCst);
                        if number >= mix.requests {
                            return;
                        }
                        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ number);
                        let share = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                        // Log-uniform distribution of lengths, from 1 KB.
                        let length = (1024.0 * (mix.largest as f64 / 1024.0).powf(share)) as usize;
                        let (class, key) =
                            [("lookup", false), ("load", true), ("load", false)][number as usize % 3];
                        let body = statement(number, length);
                        sums.lock()
                            .expect("not poisoned")
                            .insert(format!("{number:016x}"), crc32fast::hash(&body));
                        // A request that is rejected early may not be able to send all of its body.
                        let sent = client.head(class, number, key, length).and_then(|()| client.send(&body));
                        let (status, keep_alive) = client.answer();
                        assert!(sent.is_ok() || status != 200, "200 for a body that was not sent completely");
                        *statuses.lock().expect("not poisoned").entry(status).or_default() += 1;
                        if !keep_alive {
                            client = Client::at(http_address);
                        }
                    }
                })
            })
            .collect();
        scope.spawn(|| {
            let mut rng = Pcg64Mcg::seed_from_u64(seed);
            let mut due = mix.kill_every;
            while !done.load(Ordering::SeqCst) {
                if engine_state.count.load(Ordering::SeqCst) >= due {
                    due += mix.kill_every;
                    engines[rng.next_u64() as usize % engines.len()].kill();
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
        let results: Vec<_> = clients.into_iter().map(std::thread::ScopedJoinHandle::join).collect();
        done.store(true, Ordering::SeqCst);
        assert!(results.iter().all(Result::is_ok), "a client received no valid answer");
    });
    let seconds = started.elapsed().as_secs_f64();
    let statuses = statuses.into_inner().expect("not poisoned");
    let figures = stats(&daemon);
    let peak = daemon.memory_peak();
    println!(
        "{} requests in {seconds:.1} s: {statuses:?}, peak {peak} KB, {initial} KB at the start",
        mix.requests
    );
    let mut reported: Vec<_> = figures.iter().filter(|(name, _)| name.starts_with("bodies.")).collect();
    reported.sort();
    println!("{reported:?}");
    // Every request is answered once, with one of these statuses.
    assert_eq!(statuses.values().sum::<u64>(), mix.requests);
    assert!(statuses.keys().all(|status| [200, 502, 503].contains(status)), "{statuses:?}");
    assert!(2 * statuses[&200] > mix.requests, "at most half of the requests succeeded: {statuses:?}");
    let sums = sums.into_inner().expect("not poisoned");
    let taken = engine_state.received.lock().expect("not poisoned");
    for (id, taken) in taken.iter() {
        assert!(taken.iter().all(|t| t.sum == sums[id]), "{id} was altered");
        let number = u64::from_str_radix(id, 16).expect("a number");
        let executed: Vec<_> = taken.iter().filter(|t| !t.full).collect();
        match number % 3 {
            0 => {}
            1 => {
                let window = Duration::from_secs(20);
                assert!(
                    executed.iter().all(|t| t.keyed && t.at - executed[0].at < window),
                    "{id} was executed without a key or after its dedup window"
                );
            }
            _ => assert!(executed.len() <= 1, "{id} has no key and was executed {} times", executed.len()),
        }
    }
    drop(taken);
    assert!(peak < (mix.memory_mb as u64 + 16) * 1024, "peak memory {peak} KB");
    assert_nothing_left(&daemon, descriptors);
}

#[test]
fn mixed_sizes_while_engines_are_killed() {
    let (clients, largest, memory_mb, files_mb) = (16, 4 * MB, 8, 24);
    run_mixed_sizes(&Mix { requests: 400, clients, largest, memory_mb, files_mb, kill_every: 15 }, 7);
}

#[test]
#[ignore = "takes some minutes: see the head of this file"]
fn mixed_sizes_in_full() {
    let (clients, largest, memory_mb, files_mb) = (24, 64 * MB, 32, 1024);
    run_mixed_sizes(&Mix { requests: 10_000, clients, largest, memory_mb, files_mb, kill_every: 40 }, 11);
}

const FILES_CONFIG: &str =
    "memory_mb = 8\nlargest_mb = 8\nfiles_mb = 64\nfolder = \"bodies\"\nabove_kb = 64\n";

#[test]
fn a_full_disk_passes_an_arriving_body_through_and_keeps_the_stored_one() {
    let (engines, engine_state) = engines(1);
    engine_state.silent.store(true, Ordering::SeqCst);
    // No file may grow beyond 4 MB (8192 blocks of 512 bytes): a write of the second body exceeds
    // the limit.
    let daemon = start(&engines, FILES_CONFIG, Some(8192));
    let bodies: Vec<Vec<u8>> = (0..2).map(|n| statement(n, 3 * MB)).collect();
    let mut clients: Vec<Client> = (0..2).map(|_| Client::new(&daemon)).collect();
    for (number, body) in bodies.iter().enumerate() {
        clients[number].head("load", number as u64, true, body.len()).expect("sent");
        clients[number].send(body).expect("sent");
        while engine_state.count.load(Ordering::SeqCst) <= number as u64 {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    let figures = stats(&daemon);
    assert_eq!((figures["bodies.file.taken.load"], figures["bodies.dropped.load"]), (2, 1), "{figures:?}");
    // The engine is killed. The stored body is sent again; the one that was passed through fails at
    // once.
    engine_state.silent.store(false, Ordering::SeqCst);
    engines[0].kill();
    assert_eq!(clients[1].answer().0, 502);
    assert_eq!(clients[0].answer().0, 200);
    let taken = engine_state.received.lock().expect("not poisoned");
    let count = |number: u64| taken[&format!("{number:016x}")].len();
    assert_eq!((count(0), count(1)), (2, 1));
    for (number, body) in bodies.iter().enumerate() {
        let sum = crc32fast::hash(body);
        assert!(taken[&format!("{number:016x}")].iter().all(|t| t.sum == sum), "altered");
    }
}

#[test]
fn sigterm_lets_an_upload_finish_and_rejects_new_ones() {
    let (engines, _) = engines(1);
    let mut daemon = start(&engines, FILES_CONFIG, None);
    let body = statement(1, 3 * MB);
    let mut client = Client::new(&daemon);
    client.head("load", 1, true, body.len()).expect("sent");
    client.send(&body[..MB]).expect("sent");
    while stats(&daemon)["bodies.file.held.load"] == 0 {
        std::thread::sleep(Duration::from_millis(2));
    }
    daemon.signal("TERM");
    std::thread::sleep(Duration::from_millis(1500));
    let mut new_client = Client::new(&daemon);
    new_client.head("load", 2, true, body.len()).expect("sent");
    assert_eq!(new_client.answer().0, 503);
    client.send(&body[MB..]).expect("sent");
    assert_eq!(client.answer().0, 200);
    assert_eq!(daemon.child.wait().expect("exited").code(), Some(0));
    assert!(daemon.files("bodies").iter().all(|name| name == "bodies.lock"));
}

#[test]
fn a_kill_with_stored_bodies_leaves_no_files_and_the_daemon_restarts() {
    let (engines, engine_state) = engines(1);
    engine_state.silent.store(true, Ordering::SeqCst);
    let mut daemon = start(&engines, FILES_CONFIG, None);
    let body = statement(1, 3 * MB);
    let mut client = Client::new(&daemon);
    client.head("load", 1, true, body.len()).expect("sent");
    client.send(&body).expect("sent");
    while engine_state.count.load(Ordering::SeqCst) == 0 {
        std::thread::sleep(Duration::from_millis(2));
    }
    daemon.child.kill().expect("killed");
    daemon.child.wait().expect("exited");
    assert!(daemon.files("bodies").iter().all(|name| name == "bodies.lock"), "{:?}", daemon.files("bodies"));
    let daemon = daemon.restart();
    engine_state.silent.store(false, Ordering::SeqCst);
    let mut client = Client::new(&daemon);
    client.head("load", 2, true, body.len()).expect("sent");
    client.send(&body).expect("sent");
    assert_eq!(client.answer().0, 200);
}

/// Nothing is stored: every body is passed through.
const PASS_THROUGH_CONFIG: &str =
    "memory_mb = 5\nlargest_mb = 64\nabove_kb = 64\n[class.load]\nmemory_share = 0\n";

#[test]
fn an_engine_draining_mid_body_receives_the_rest_and_no_new_requests() {
    let (engines, engine_state) = engines(2);
    let daemon = start(&engines, PASS_THROUGH_CONFIG, None);
    let body = statement(1, 2 * MB);
    let mut client = Client::new(&daemon);
    client.head("load", 1, true, body.len()).expect("sent");
    client.send(&body[..MB]).expect("sent");
    while engines.iter().all(|engine| engine.begun.load(Ordering::SeqCst) == 0) {
        std::thread::sleep(Duration::from_millis(2));
    }
    let draining = usize::from(engines[0].begun.load(Ordering::SeqCst) == 0);
    assert!(
        call_admin(&daemon, &format!("POST /worker-groups/{}/maint", engines[draining].id)).contains(" 200 ")
    );
    // Long enough for the drain to take effect: no new request may start on this engine.
    std::thread::sleep(Duration::from_millis(1300));
    for id in 2..8 {
        let mut other = Client::new(&daemon);
        other.head("load", id, true, MB).expect("sent");
        other.send(&body[..MB]).expect("sent");
        assert_eq!(other.answer().0, 200);
    }
    client.send(&body[MB..]).expect("sent");
    assert_eq!(client.answer().0, 200);
    assert_eq!(engines[draining].begun.load(Ordering::SeqCst), 1);
    assert_eq!(engine_state.received.lock().expect("not poisoned").len(), 7);
}

#[test]
fn a_passed_through_body_is_retried_elsewhere_after_connection_refused() {
    let (mut engines, engine_state) = engines(1);
    // Nothing listens at the address of the first engine: its port was released just before.
    let unused = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a port");
    engines.insert(0, Engine::nowhere("gone", unused));
    let daemon = start(&engines, PASS_THROUGH_CONFIG, None);
    for id in 0..20 {
        let body = statement(id, MB + id as usize);
        let mut client = Client::new(&daemon);
        client.head("load", id, true, body.len()).expect("sent");
        client.send(&body).expect("sent");
        assert_eq!(client.answer().0, 200);
        let taken = engine_state.received.lock().expect("not poisoned");
        let taken = &taken[&format!("{id:016x}")];
        assert!(taken.len() == 1 && taken[0].sum == crc32fast::hash(&body));
    }
    let figures = stats(&daemon);
    assert_eq!((figures["bodies.passed.taken.load"], figures["failed.load"]), (20, 0));
}

#[test]
fn an_oversized_body_gets_413_and_is_not_buffered() {
    let (engines, _) = engines(1);
    let daemon = start(&engines, "memory_mb = 8\nlargest_mb = 1\n", None);
    let mut client = Client::new(&daemon);
    client.head("load", 1, true, 60 * MB).expect("sent");
    let mut writer = client.0.get_ref().try_clone().expect("cloned");
    let sender = std::thread::spawn(move || {
        let chunk = vec![b'x'; MB];
        (0..60).map_while(|_| writer.write_all(&chunk).ok()).count()
    });
    assert_eq!(client.answer(), (413, false));
    sender.join().expect("the sender ends: all bytes skipped or the connection closed");
    assert!(daemon.memory_peak() < 16 * 1024, "{} KB", daemon.memory_peak());
}

#[test]
fn a_slow_engine_applies_backpressure_to_the_client() {
    // A listener that accepts the connection and reads nothing.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let config = config_with_directory(&[("e0", address)]);
    let daemon = Daemon::start(&config, &[("bodies.toml", PASS_THROUGH_CONFIG.into())], None);
    let mut client = Client::new(&daemon);
    client.head("load", 1, true, 64 * MB).expect("sent");
    client.0.get_ref().set_write_timeout(Some(Duration::from_millis(500))).expect("set");
    let (body, mut sent) = (statement(1, MB), 0);
    while let Ok(count) = client.0.get_mut().write(&body) {
        sent += count;
        assert!(sent < 64 * MB, "the whole body was accepted");
    }
    // The rest of the accepted bytes is in socket buffers; the daemon itself keeps only a window.
    let figures = stats(&daemon);
    assert_eq!(figures["bodies.passed.held.load"], 1);
    assert!(daemon.memory_peak() < 20 * 1024, "{} KB", daemon.memory_peak());
}

#[test]
fn configuration_errors_name_line_and_key() {
    for (file, reported) in [
        ("memory_mb = 8\nlargest_mb = -1\n", "deploy/bodies.toml: line 2: largest_mb is -1, not between"),
        ("memory_mb = 8\nlargest_mb = 1\nfiles_mb = 8\n", "line 3: files_mb needs a folder"),
        ("memory_mb = 8\nlargest_mb = 1\n[class.nobody]\n", "line 3: no class is called nobody"),
        (
            "memory_mb = 8\nlargest_mb = 1\n[class.load]\nmemory_share = 2\n",
            "line 4: class.load.memory_share is 2",
        ),
        ("memory_mb = \"x\"\nlargest_mb = 1\n", "line 1, \"memory_mb\": invalid type"),
        ("memory_mb = 8\nlargest_mb = 1\nbig = 1\n", "line 3, \"big\": unknown field"),
        ("memory_mb = 1\nlargest_mb = 1\n", "line 1: memory_mb is 1, not between 4.5 and"),
    ] {
        let mut daemon = start(&[], file, None);
        assert_eq!(daemon.child.wait().expect("exited").code(), Some(1), "{file}");
        let mut error = String::new();
        daemon.child.stderr.take().expect("piped").read_to_string(&mut error).expect("read");
        assert!(error.contains(reported) && error.lines().count() == 1, "{error}");
    }
}
