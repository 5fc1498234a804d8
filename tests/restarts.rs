//! Restarts under load: each time the daemon must come up and answer health checks, although its engine does
//! not respond. The long run, which prints how long that takes:
//!
//!     cargo test --release --locked --test restarts -- --ignored --nocapture

mod daemon;

use daemon::{config_with_directory, Daemon, EngineSocket, PATIENCE};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Sends a request; whether a response with this prefix was received.
fn request_succeeds(http_address: SocketAddr, call: &str, expected_prefix: &[u8]) -> bool {
    let Ok(mut stream) = TcpStream::connect(http_address) else { return false };
    stream.set_read_timeout(Some(Duration::from_secs(3))).expect("set");
    let mut got = [0; 256];
    stream.write_all(call.as_bytes()).is_ok()
        && stream.read(&mut got).is_ok_and(|count| got[..count].starts_with(expected_prefix))
}

/// Kills and restarts the daemon `times` times while clients send requests without pause. Returns the time
/// from each start to the first successful health check.
fn measure_restarts(times: usize, clients: u64) -> Vec<Duration> {
    let engine = EngineSocket::new("e1");
    let listen_address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let config = config_with_directory(&[("e1", engine.address())]);
    let config = config.replace("\"listen\":\"127.0.0.1:0\"", &format!("\"listen\":\"{listen_address}\""));
    let mut daemon = Daemon::start(&config, &[], None);
    let (stop, next_id) = (AtomicBool::new(false), AtomicU64::new(0));
    std::thread::scope(|scope| {
        for _ in 0..clients {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let id = next_id.fetch_add(1, Ordering::Relaxed);
                    // The engine hangs: requests end only when they are rejected or their client times out.
                    let call = format!(
                        "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 60\r\nContent-Length: 8\r\n\r\nSELECT 1"
                    );
                    request_succeeds(listen_address, &call, b"HTTP/1.1 503");
                }
            });
        }
        let mut durations = Vec::new();
        for _ in 0..times {
            let started = Instant::now();
            daemon = daemon.restart();
            while !request_succeeds(listen_address, "GET /_health HTTP/1.1\r\n\r\n", b"HTTP/1.1 200") {
                assert!(started.elapsed() < PATIENCE, "the daemon does not come up");
            }
            durations.push(started.elapsed());
        }
        stop.store(true, Ordering::Relaxed);
        durations
    })
}

#[test]
fn daemon_comes_up_after_restarts_under_load() {
    assert_eq!(measure_restarts(5, 20).len(), 5);
}

#[test]
#[ignore = "a long run that measures times"]
fn restart_times_under_load_are_printed() {
    let mut durations = measure_restarts(100, 100);
    durations.sort();
    println!("100 restarts: p50 {:?}, p90 {:?}, max {:?}", durations[49], durations[89], durations[99]);
}
