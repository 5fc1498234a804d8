//! Restarts under load, with a directory that says nothing: each comes up and serves. The campaign, which prints how
//! long that takes:
//!
//!     cargo test --release --locked --test restarts -- --ignored --nocapture

mod daemon;

use daemon::{config_with_directory, Daemon, EngineSocket, PATIENCE};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Asks, and whether there was an answer of that kind.
fn ask(door: SocketAddr, call: &str, answer: &[u8]) -> bool {
    let Ok(mut stream) = TcpStream::connect(door) else { return false };
    stream.set_read_timeout(Some(Duration::from_secs(3))).expect("set");
    let mut got = [0; 256];
    stream.write_all(call.as_bytes()).is_ok()
        && stream.read(&mut got).is_ok_and(|count| got[..count].starts_with(answer))
}

/// Kills and starts the program so often while clients come without pause. From each start to its first yes.
fn measure_restarts(times: usize, clients: u64) -> Vec<Duration> {
    let engine = EngineSocket::new("e1");
    let free = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let config = config_with_directory(&[("e1", engine.address())]);
    let config = config.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{free}\""));
    let mut daemon = Daemon::start(&config, &[], None);
    let (stop, number) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..clients {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let id = number.fetch_add(1, Ordering::Relaxed);
                    // Its engine hangs: only refusals and the client's own patience end it.
                    let call = format!(
                        "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 60\r\nContent-Length: 8\r\n\r\nSELECT 1"
                    );
                    ask(free, &call, b"HTTP/1.1 503");
                }
            });
        }
        let mut took = Vec::new();
        for _ in 0..times {
            let begun = Instant::now();
            daemon = daemon.restart();
            while !ask(free, "GET /_health HTTP/1.1\r\n\r\n", b"HTTP/1.1 200") {
                assert!(begun.elapsed() < PATIENCE, "it does not come up");
            }
            took.push(begun.elapsed());
        }
        stop.store(true, Ordering::Relaxed);
        took
    })
}

#[test]
fn it_comes_up_under_load_with_the_directory_silent() {
    assert_eq!(measure_restarts(5, 20).len(), 5);
}

#[test]
#[ignore = "a campaign: it measures times"]
fn how_long_a_restart_takes() {
    let mut took = measure_restarts(100, 100);
    took.sort();
    println!("100 restarts: p50 {:?}, p90 {:?}, max {:?}", took[49], took[89], took[99]);
}
