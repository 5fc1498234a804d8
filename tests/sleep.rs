//! The process is stopped while it works and continued later: its state and the input it then reads are out
//! of date.

mod daemon;

use daemon::{config, Daemon};
use dahliaspoke_simulator::standin::{Directory, DirectoryEntry};
use dahliaspoke_test_harness::queries::StubEngines;
use dahliaspoke_test_harness::until;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

fn directory_entry(id: &str, address: SocketAddr) -> DirectoryEntry {
    DirectoryEntry { id: id.into(), zone: "hall-a".into(), address, drains: false, started_ms: 0 }
}

fn connect(http_address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(http_address).expect("connected");
    stream.set_read_timeout(Some(daemon::PATIENCE)).expect("set");
    stream
}

/// Sends a look-up on a new connection; its client waits `allow` ms.
fn send_query(http_address: SocketAddr, id: u64, allow: u64) -> TcpStream {
    send_query_on(connect(http_address), id, allow)
}

fn send_query_on(mut stream: TcpStream, id: u64, allow: u64) -> TcpStream {
    let call = format!(
        "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: {allow}\r\nX-Size-Ms: 2\r\nContent-Length: 8\r\n\r\nSELECT 1"
    );
    stream.write_all(call.as_bytes()).expect("sent");
    stream
}

/// Reads the status of the response.
fn status(mut stream: TcpStream) -> String {
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("an answer");
    String::from_utf8_lossy(&head[9..]).into_owned()
}

/// The process is stopped while an engine drains and queries arrive, on open connections and on connections
/// that are not accepted yet. Once continued, it must learn of the drain before it admits them: the draining
/// engine gets no new query, and a query whose client has stopped waiting is not sent to any engine.
#[test]
fn continued_process_learns_of_a_drain_before_it_admits_queries() {
    let (stays, drains) = (StubEngines::start(1), StubEngines::start(1));
    let list = [("stays", stays.list[0].1), ("drains", drains.list[0].1)];
    let directory =
        Directory::start(list.iter().map(|(id, at)| directory_entry(id, *at)).collect()).expect("a port");
    let daemon = Daemon::start(&config(&list, directory.address), &[], None);
    let http_address = daemon.http.expect("an HTTP listener");
    // Both engines serve at first.
    let mut id = 0;
    until("both engines have served", || {
        id += 1;
        assert_eq!(status(send_query(http_address, id, 3000)), "200");
        (!stays.ids().is_empty() && !drains.ids().is_empty()).then_some(())
    });
    for round in 0..3u64 {
        let before = drains.ids();
        // Half of the queries are sent on accepted connections, the other half on connections still to be
        // accepted.
        let mut open: Vec<TcpStream> = (0..20).map(|_| connect(http_address)).collect();
        assert_eq!(
            status(send_query(http_address, 900_000 + round, 3000)),
            "200",
            "the earlier connections are accepted"
        );
        let before = if drains.ids().len() > before.len() { drains.ids() } else { before };
        daemon.signal("STOP");
        directory.change(|list| list[1].drains = true);
        let (mut short, mut long) = (Vec::new(), Vec::new());
        for n in 0..40 {
            let (id, stream) = (1000 * (round + 1) + n, open.pop().unwrap_or_else(|| connect(http_address)));
            if n % 2 == 0 {
                short.push((id, send_query_on(stream, id, 300)));
            } else {
                long.push((id, send_query_on(stream, id, 20_000)));
            }
        }
        // Longer than the short time limit, and than the grace period of a drain.
        std::thread::sleep(Duration::from_millis(1500));
        daemon.signal("CONT");
        for (id, stream) in long {
            assert_eq!(status(stream), "200", "{id} had time left");
        }
        for (id, stream) in short {
            assert!(["429", "503"].contains(&status(stream).as_str()), "{id} had no time left");
            let name = format!("{id:016x}");
            assert!(!stays.ids().contains(&name), "{id} was sent though its client had stopped waiting");
        }
        assert_eq!(drains.ids(), before, "a new query was sent to the draining engine");
        directory.change(|list| list[1].drains = false);
        until("it serves again", || {
            id += 1;
            status(send_query(http_address, id, 3000));
            (drains.ids().len() > before.len()).then_some(())
        });
    }
}

/// The directory does not respond either: after a short wait the process continues with the endpoints that it
/// knew.
#[test]
fn continued_process_without_a_directory_uses_the_engines_it_knew() {
    let engines = StubEngines::start(2);
    let list: Vec<(&str, SocketAddr)> = engines.list.iter().map(|(id, at)| (id.as_str(), *at)).collect();
    let daemon = Daemon::start(&config(&list, daemon::names().local_addr().expect("bound")), &[], None);
    let http_address = daemon.http.expect("an HTTP listener");
    assert_eq!(status(send_query(http_address, 1, 3000)), "200");
    daemon.signal("STOP");
    let pending = send_query(http_address, 2, 20_000);
    std::thread::sleep(Duration::from_millis(1500));
    daemon.signal("CONT");
    assert_eq!(status(pending), "200");
    assert_eq!(engines.ids().len(), 2);
}
