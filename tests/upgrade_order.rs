//! Upgrade after upgrade under loads of several keys, with old processes that end, are killed or hang: loads of one key run
//! one at a time and in the order in which they were sent, whichever process receives them. `UPGRADES=200 SEED=2` runs the
//! long campaign.

mod daemon;
use daemon::*;

use dahliaspoke_simulator::standin::read_command;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const KEYS: u64 = 6;
/// Loads that are sent while two processes run.
const LOADS_PER_UPGRADE: usize = 60;
/// From one load of a key to the next: what the protocol page has clients keep.
const BETWEEN_LOADS: Duration = Duration::from_millis(250);
/// How long the client of a load waits (ms).
const ALLOWED_MS: u64 = 3000;
/// Work of a load: from this time to ten times as much.
const SHORTEST_LOAD: Duration = Duration::from_millis(30);

/// One load on an engine.
struct Run {
    id: String,
    started: Instant,
    /// When it was served, dropped or out of time, or its connection ended.
    ended: Option<Instant>,
}

/// All loads that engines have started, in order.
type Runs = Arc<Mutex<Vec<Run>>>;

fn end_run(runs: &Runs, id: &str) -> bool {
    let mut runs = runs.lock().expect("not poisoned");
    let Some(run) = runs.iter_mut().find(|run| run.id == id && run.ended.is_none()) else { return false };
    run.ended = Some(Instant::now());
    true
}

/// The time that the coordinator gives a load.
fn patience(fields: &str) -> Duration {
    let value = fields.split(',').find_map(|field| field.strip_prefix("patience="));
    Duration::from_millis(value.and_then(|value| value.parse().ok()).expect("each load has its patience"))
}

/// Serves one connection of a coordinator. A load ends at its patience, as an engine's does.
fn serve(stream: TcpStream, runs: &Runs) {
    let writer = stream.try_clone().expect("a copy");
    let mut reader = BufReader::new(stream);
    let mut own = Vec::new();
    while let Some(command) = read_command(&mut reader) {
        let id = command.get(1).cloned().unwrap_or_default();
        match command[0].as_str() {
            "GET" => {
                runs.lock().expect("not poisoned").push(Run {
                    id: id.clone(),
                    started: Instant::now(),
                    ended: None,
                });
                own.push(id.clone());
                let work = SHORTEST_LOAD * (1 + u32::from(id.as_bytes()[15] % 10));
                let (patience, runs) = (patience(&command[2]), runs.clone());
                let mut writer = writer.try_clone().expect("a copy");
                std::thread::spawn(move || {
                    std::thread::sleep(work.min(patience));
                    if end_run(&runs, &id) && work < patience {
                        let answer =
                            format!("*4\r\n$16\r\n{id}\r\n$4\r\ndata\r\n$7\r\ntotal=1\r\n$0\r\n\r\n");
                        let _ = writer.write_all(answer.as_bytes()); // the coordinator may have gone
                    }
                });
            }
            "DROP" => drop(end_run(runs, &id)),
            _ => {}
        }
    }
    for id in own {
        end_run(runs, &id);
    }
}

fn start_engine(runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let runs = runs.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let runs = runs.clone();
            std::thread::spawn(move || serve(stream, &runs));
        }
    });
    address
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("connected");
    stream.set_nodelay(true).expect("set");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream
}

/// Opens a connection that this process has accepted, while no other one runs.
fn accepted_connection(to: SocketAddr) -> TcpStream {
    let mut stream = connect(to);
    stream.write_all(b"GET /_health HTTP/1.1\r\n\r\n").expect("sent");
    assert!(matches!(stream.read(&mut [0; 256]), Ok(1..)), "not answered");
    stream
}

/// Sends a load and reads its answer, if there is one: its process may end before.
fn send_load(mut stream: TcpStream, id: &str, key: u64) {
    let head = format!(
        "POST /invoke/load HTTP/1.1\r\nX-Job-Id: {id}\r\nX-Item: k{key}\r\nX-Allow-Ms: {ALLOWED_MS}\r\nContent-Length: 8\r\n\r\nINSERT 1"
    );
    let _ = stream.write_all(head.as_bytes());
    std::thread::spawn(move || stream.read(&mut [0; 256]).map(drop));
}

/// The loads of each key, in the order in which they were sent.
#[derive(Default)]
struct Sent {
    by_key: BTreeMap<u64, Vec<(Instant, String)>>,
    count: u64,
}

impl Sent {
    /// The id of the next load of a key, once the last one was sent long enough ago.
    fn next(&mut self, key: u64) -> String {
        let loads = self.by_key.entry(key).or_default();
        if let Some((last, _)) = loads.last() {
            std::thread::sleep(BETWEEN_LOADS.saturating_sub(last.elapsed()));
        }
        self.count += 1;
        let id = format!("{key:04x}{:012x}", self.count * 7);
        loads.push((Instant::now(), id.clone()));
        id
    }

    /// Descriptions of all violations, and the number of loads that ran.
    fn verdict(&self, runs: &Runs) -> (Vec<String>, usize) {
        let runs = runs.lock().expect("not poisoned");
        let mut violations = Vec::new();
        for loads in self.by_key.values() {
            let place = |id: &str| loads.iter().position(|(_, sent)| sent == id);
            let of_key: Vec<(usize, &Run)> =
                runs.iter().filter_map(|run| Some((place(&run.id)?, run))).collect();
            for pair in of_key.windows(2) {
                let ((earlier, one), (later, two)) = (pair[0], pair[1]);
                if earlier >= later {
                    violations.push(format!("{} started after {}", one.id, two.id));
                }
                if one.ended.is_none_or(|ended| ended > two.started) {
                    violations.push(format!("{} ran when {} started", one.id, two.id));
                }
            }
        }
        (violations, runs.len())
    }
}

/// How an old process ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Graceful,
    Killed,
    /// It hangs, with or without having been told to end.
    Stuck,
    StuckAfterTerm,
}

/// Suspends a process, which may have ended already.
fn suspend(daemon: &Daemon) {
    let process = Pid::from_child(&daemon.child);
    kill_process(process, Signal::STOP).expect("its status was not read yet");
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against loads of one key that overlap or overtake each other in the processes of an upgrade.
#[test]
fn loads_of_a_key_run_one_at_a_time_and_in_order_through_upgrades() {
    let (upgrades, seed) = (number("UPGRADES", 6) as usize, number("SEED", 1));
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut below = |bound: u64| u64::from(rng.next_u32()) % bound;
    let runs = Runs::default();
    let engines = [("e1", start_engine(&runs)), ("e2", start_engine(&runs))];
    let config = config_with_directory(&engines)
        .replace(r#""effect":"by_key""#, r#""effect":"once","inTurn":true"#)
        .replace(r#""drainGrace":1"#, r#""drainGrace":1,"orderSettle":0.5"#);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let mut old = Daemon::start(&config, &[], Some(&socket));
    let mut sent = Sent::default();
    for upgrade in 0..upgrades {
        let mut accepted: Vec<TcpStream> =
            (0..LOADS_PER_UPGRADE / 2).map(|_| accepted_connection(address)).collect();
        let new = old.beside(&socket);
        let end = [End::Graceful, End::Killed, End::Stuck, End::StuckAfterTerm][upgrade % 4];
        let (term_at, end_at) = (below(20) as usize, 20 + below(20) as usize);
        for load in 0..LOADS_PER_UPGRADE {
            if load == term_at && !matches!(end, End::Stuck) {
                old.signal("TERM");
            }
            match end {
                End::Killed if load == end_at => old.signal("KILL"),
                End::Stuck | End::StuckAfterTerm if load == end_at => suspend(&old),
                _ => {}
            }
            let key = below(KEYS);
            // A process that has ended or hangs gets nothing more: what its clients send is not received.
            let is_down = load >= end_at && !matches!(end, End::Graceful);
            let kept = accepted.pop().filter(|_| below(2) == 0 && !is_down);
            let id = sent.next(key);
            send_load(kept.unwrap_or_else(|| connect(address)), &id, key);
        }
        if matches!(end, End::Graceful) {
            assert!(old.ended().success());
        }
        old = new; // drops, and so kills, the old process
    }
    std::thread::sleep(Duration::from_millis(ALLOWED_MS));
    let (violations, started) = sent.verdict(&runs);
    println!("seed {seed}: {upgrades} upgrades, {} loads sent, {started} started", sent.count);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    assert!(started as u64 > sent.count / 2, "only {started} of {} loads started", sent.count);
}
