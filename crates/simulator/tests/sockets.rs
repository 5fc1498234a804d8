//! The load generator against a stand-in coordinator on loopback. Asserts only counts, never durations.

use dahliaspoke_simulator::arrivals::{schedule, Intervals, Shape};
use dahliaspoke_simulator::load::{ClassSummary, Mode, RetryBehaviour};
use dahliaspoke_simulator::sockets::{run, Target, TrafficClass};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Ids and keys of the requests received, in order.
type Received = Arc<Mutex<Vec<(String, Option<String>)>>>;

/// Starts a coordinator that rejects every third request, closes the connection on every hundredth, and
/// serves the others.
fn coordinator() -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (address, received) = (listener.local_addr().expect("a bound address"), Received::default());
    let shared = received.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let received = shared.clone();
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().ok()?;
                let mut reader = BufReader::new(stream);
                loop {
                    let (mut id, mut key, mut length) = (String::new(), None, 0);
                    loop {
                        let mut line = String::new();
                        if reader.read_line(&mut line).ok()? == 0 {
                            return None;
                        }
                        match line.trim_end().split_once(": ") {
                            Some(("X-Job-Id", value)) => id = value.into(),
                            Some(("X-Unique", value)) => key = Some(value.into()),
                            Some(("Content-Length", value)) => length = value.parse().ok()?,
                            None if line.trim_end().is_empty() => break,
                            _ => {}
                        }
                    }
                    reader.read_exact(&mut vec![0; length]).ok()?;
                    let number = {
                        let mut received = received.lock().ok()?;
                        received.push((id, key));
                        received.len()
                    };
                    let answer: &[u8] = match number {
                        n if n % 100 == 0 => return Some(()),
                        n if n % 3 == 0 => b"HTTP/1.1 503 No\r\nX-Wait-Ms: 5\r\nContent-Length: 2\r\n\r\n{}",
                        _ => b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
                    };
                    writer.write_all(answer).ok()?;
                }
            });
        }
    });
    (address, received)
}

fn class(name: &str, share: f64, keyed: bool) -> TrafficClass {
    TrafficClass { name: name.into(), share, timeout_ms: 3000, work_ms: 100.0, has_key: keyed }
}

#[test]
fn every_request_that_is_due_is_sent_and_counted_once() {
    let (address, received) = coordinator();
    let classes = vec![class("lookup", 3.0, false), class("load", 1.0, true)];
    let target = Target::new(vec![address], classes, 7).expect("a loopback address");
    let points = schedule(1000.0, 1.0, Shape::Steady, Intervals::Poisson, 1);
    let driver = target.driver(&points, Mode::Open, RetryBehaviour::HonourRetryAfter, 400);
    let summary = run(driver, &target, Duration::from_secs(20)).summary();
    let received = received.lock().expect("the lock is not poisoned");
    assert_eq!(summary.due, points.len());
    assert_eq!(summary.served + summary.rejected + summary.failed, summary.due);
    assert_eq!(summary.tries, received.len(), "each try arrived once");
    assert_eq!(summary.failed, received.len() / 100);
    let sum = |of: fn(&ClassSummary) -> usize| summary.classes.iter().map(of).sum::<usize>();
    let all = [summary.due, summary.served, summary.rejected, summary.failed];
    assert_eq!([sum(|g| g.due), sum(|g| g.served), sum(|g| g.rejected), sum(|g| g.failed)], all, "by class");
    assert!(summary.classes.iter().all(|g| g.due > 100), "both classes were sent");
    // Every try has a unique id; tries of one request share their key.
    let mut ids: Vec<&String> = received.iter().map(|(id, _)| id).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), received.len());
    let mut keys: HashMap<&String, usize> = HashMap::new();
    received.iter().filter_map(|(_, key)| key.as_ref()).for_each(|key| *keys.entry(key).or_default() += 1);
    assert!(!keys.is_empty() && keys.values().any(|tries| *tries > 1));
}

#[test]
fn an_address_that_is_not_on_loopback_is_rejected() {
    let classes = || vec![class("lookup", 1.0, false)];
    let other = "192.0.2.1:80".parse().expect("a valid address");
    let error = Target::new(vec!["127.0.0.1:1".parse().expect("a valid address"), other], classes(), 1)
        .expect_err("not on loopback");
    assert!(error.to_string().contains("192.0.2.1:80 is not on loopback"), "{error}");
    assert!(Target::new(Vec::new(), classes(), 1).is_err());
}
