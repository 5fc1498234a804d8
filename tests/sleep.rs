//! A process that is stopped in the middle of its work, and woken: what it then holds and reads is old.

mod daemon;

use daemon::{config, Daemon};
use dahliaspoke_simulator::standin::{Directory, DirectoryEntry};
use dahliaspoke_test_harness::queries::StubEngines;
use dahliaspoke_test_harness::until;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

fn told(id: &str, address: SocketAddr) -> DirectoryEntry {
    DirectoryEntry { id: id.into(), zone: "hall-a".into(), address, drains: false, started_ms: 0 }
}

fn connect(door: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(door).expect("connected");
    stream.set_read_timeout(Some(daemon::PATIENCE)).expect("set");
    stream
}

/// Asks one look-up; its client waits so long (ms).
fn ask(door: SocketAddr, id: u64, allow: u64) -> TcpStream {
    ask_on(connect(door), id, allow)
}

fn ask_on(mut stream: TcpStream, id: u64, allow: u64) -> TcpStream {
    let call = format!(
        "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: {allow}\r\nX-Size-Ms: 2\r\nContent-Length: 8\r\n\r\nSELECT 1"
    );
    stream.write_all(call.as_bytes()).expect("sent");
    stream
}

/// The status of its answer.
fn status(mut stream: TcpStream) -> String {
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("an answer");
    String::from_utf8_lossy(&head[9..]).into_owned()
}

/// Stopped while an engine drains and queries wait in its sockets, on open connections and in its line of new ones. Woken, it
/// hears of the drain before it admits: nothing goes to that engine, and nothing goes out whose client has stopped waiting.
#[test]
fn one_that_slept_hears_what_it_missed_before_it_admits() {
    let (stays, drains) = (StubEngines::start(1), StubEngines::start(1));
    let list = [("stays", stays.list[0].1), ("drains", drains.list[0].1)];
    let directory = Directory::start(list.iter().map(|(id, at)| told(id, *at)).collect()).expect("a port");
    let daemon = Daemon::start(&config(&list, directory.address), &[], None);
    let door = daemon.http.expect("a door");
    // Both serve at first.
    let mut id = 0;
    until("both engines have served", || {
        id += 1;
        assert_eq!(status(ask(door, id, 3000)), "200");
        (!stays.ids().is_empty() && !drains.ids().is_empty()).then_some(())
    });
    for round in 0..3u64 {
        let before = drains.ids();
        // Half of them ask on connections that the process knows, half have still to be let in.
        let mut open: Vec<TcpStream> = (0..20).map(|_| connect(door)).collect();
        assert_eq!(status(ask(door, 900_000 + round, 3000)), "200", "it has let in those before");
        let before = if drains.ids().len() > before.len() { drains.ids() } else { before };
        daemon.signal("STOP");
        directory.change(|list| list[1].drains = true);
        let (mut short, mut long) = (Vec::new(), Vec::new());
        for n in 0..40 {
            let (id, stream) = (1000 * (round + 1) + n, open.pop().unwrap_or_else(|| connect(door)));
            if n % 2 == 0 {
                short.push((id, ask_on(stream, id, 300)));
            } else {
                long.push((id, ask_on(stream, id, 20_000)));
            }
        }
        // Past the short ones' time, and past the grace that a drain leaves.
        std::thread::sleep(Duration::from_millis(1500));
        daemon.signal("CONT");
        for (id, stream) in long {
            assert_eq!(status(stream), "200", "{id} had time");
        }
        for (id, stream) in short {
            assert!(["429", "503"].contains(&status(stream).as_str()), "{id} had none");
            let name = format!("{id:016x}");
            assert!(!stays.ids().contains(&name), "{id} went out though nobody waits for it");
        }
        assert_eq!(drains.ids(), before, "something new went to an engine that drains");
        directory.change(|list| list[1].drains = false);
        until("it serves again", || {
            id += 1;
            status(ask(door, id, 3000));
            (drains.ids().len() > before.len()).then_some(())
        });
    }
}

/// The directory is away as well: a moment later it goes on with what it knew.
#[test]
fn one_that_slept_and_hears_nothing_goes_on_with_what_it_knew() {
    let engines = StubEngines::start(2);
    let list: Vec<(&str, SocketAddr)> = engines.list.iter().map(|(id, at)| (id.as_str(), *at)).collect();
    let daemon = Daemon::start(&config(&list, daemon::names().local_addr().expect("bound")), &[], None);
    let door = daemon.http.expect("a door");
    assert_eq!(status(ask(door, 1, 3000)), "200");
    daemon.signal("STOP");
    let waits = ask(door, 2, 20_000);
    std::thread::sleep(Duration::from_millis(1500));
    daemon.signal("CONT");
    assert_eq!(status(waits), "200");
    assert_eq!(engines.ids().len(), 2);
}
