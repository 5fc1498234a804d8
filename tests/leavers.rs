//! Bursts of clients that leave while engines fail what they are sent: no attempt begins for one that has gone. The
//! campaign, which prints the longest time from a client's end to a later attempt and holds it under 0.1 s:
//!
//!     cargo test --release --locked --test leavers -- --ignored --nocapture

mod daemon;

use daemon::{config_with_directory, Daemon, EngineSocket, PATIENCE};
use dahliaspoke_simulator::standin::read_command;
use std::collections::HashMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// When attempts reached the engines, by request.
type Reached = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

/// Serves a connection: each query fails after a while, which differs.
fn fail(stream: TcpStream, reached: &Reached) {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone().expect("a copy")), stream);
    while let Some(words) = read_command(&mut reader) {
        let now = Instant::now();
        if words[0] != "GET" {
            continue;
        }
        let mut all = reached.lock().expect("no thread panicked");
        let seen = all.entry(words[1].clone()).or_default();
        seen.push(now);
        let turn = (words[1].bytes().map(u64::from).sum::<u64>() + seen.len() as u64) % 7;
        drop(all);
        std::thread::sleep(Duration::from_millis(turn));
        let answer = format!("*4\r\n$16\r\n{}\r\n$6\r\nfailed\r\n$1\r\n-\r\n$0\r\n\r\n", words[1]);
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a request and leaves after that time, or once it is answered. When that was.
fn leave(door: SocketAddr, id: &str, after: Duration) -> Instant {
    let mut stream = TcpStream::connect(door).expect("connected");
    let call = format!(
        "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id}\r\nX-Allow-Ms: 3000\r\nContent-Length: 8\r\n\r\nSELECT 1"
    );
    stream.write_all(call.as_bytes()).expect("sent");
    stream.set_read_timeout(Some(after.max(Duration::from_millis(1)))).expect("set");
    let _ = stream.read(&mut [0; 256]); // an answer, or its patience is over
    drop(stream);
    Instant::now()
}

/// The times from a client's end to each later attempt, and how many clients there were.
fn play(bursts: u64, clients: u64) -> (Vec<Duration>, u64) {
    let engines = [EngineSocket::new("e1"), EngineSocket::new("e2"), EngineSocket::new("e3")];
    let known: Vec<(&str, SocketAddr)> = engines.iter().map(|e| (e.id.as_str(), e.address())).collect();
    let daemon = Daemon::start(&config_with_directory(&known), &[], None);
    let (reached, door) = (Reached::default(), daemon.http.expect("it listens"));
    for engine in engines {
        let reached = reached.clone();
        std::thread::spawn(move || {
            for stream in engine.listener.incoming().map_while(Result::ok) {
                let reached = reached.clone();
                std::thread::spawn(move || fail(stream, &reached));
            }
        });
    }
    let mut ends = Vec::new();
    for burst in 0..bursts {
        let left = std::thread::scope(|scope| {
            let go = |client: u64| {
                let id = format!("{:016x}", burst << 32 | client);
                scope.spawn(move || {
                    let end = leave(door, &id, Duration::from_millis((client + burst) % 12));
                    (id, end)
                })
            };
            let threads: Vec<_> = (0..clients).map(go).collect();
            threads.into_iter().map(|thread| thread.join().expect("no panic")).collect::<Vec<_>>()
        });
        ends.extend(left);
    }
    // All that is open has been withdrawn or answered.
    let until = Instant::now() + PATIENCE;
    loop {
        daemon.signal("USR1");
        let line = daemon.line("counters");
        let count = |name: &str| -> u64 {
            let text = line.split(' ').find_map(|word| word.strip_prefix(name)).expect("it is told");
            text.parse().expect("a number")
        };
        let answered = ["served=", "refused=", "failed="].map(count).iter().sum::<u64>();
        if answered + count("withdrawn=") >= ends.len() as u64 {
            break;
        }
        assert!(Instant::now() < until, "{line}");
        std::thread::sleep(Duration::from_millis(10));
    }
    let reached = reached.lock().expect("no thread panicked");
    let late = ends.iter().flat_map(|(id, end)| {
        let attempts = reached.get(id).into_iter().flatten();
        attempts.filter_map(move |at| at.checked_duration_since(*end)).filter(|late| !late.is_zero())
    });
    (late.collect(), ends.len() as u64)
}

#[test]
fn every_client_that_leaves_is_noticed() {
    let (_, clients) = play(3, 40);
    assert_eq!(clients, 120);
}

#[test]
#[ignore = "a campaign: it measures times"]
fn no_attempt_begins_long_after_its_client_has_gone() {
    let (mut late, clients) = play(60, 100);
    late.sort();
    let longest = late.last().copied().unwrap_or_default();
    println!(
        "{clients} clients, {} attempts reached an engine after their client's end, {longest:?} at the most",
        late.len()
    );
    assert!(longest < Duration::from_millis(100), "{longest:?}");
}
