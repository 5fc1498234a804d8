//! Descriptors run out: idle clients make room, and nothing else is lost.

mod daemon;

use daemon::{config, names, Daemon, Named, PATIENCE};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::io::{Read, Write};
use std::net::TcpStream;

fn connected(daemon: &Daemon) -> TcpStream {
    let stream = TcpStream::connect(daemon.http.expect("it listens")).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream
}

/// Whether it is asked for its health and answers on that connection.
fn answers(stream: &mut TcpStream) -> bool {
    let sent = stream.write_all(b"GET /_health HTTP/1.1\r\n\r\n");
    sent.is_ok() && stream.read(&mut [0; 256]).is_ok_and(|count| count > 0)
}

#[test]
fn engines_and_the_shutdown_get_theirs_while_idle_clients_fill_their_part() {
    // The directory never answers.
    let (engine, names) = (Named::new("e1"), names());
    let config = config(&[("e1", engine.address())], names.local_addr().expect("bound"));
    let mut daemon = Daemon::start(&config, &[], None);
    // More than it has places for; none of them says anything.
    let crowd: Vec<TcpStream> = (0..300).map(|_| connected(&daemon)).collect();
    let mut client = connected(&daemon);
    let call = "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: 0000000000000001\r\nX-Allow-Ms: 3000\r\nContent-Length: 8\r\n\r\nSELECT 1";
    client.write_all(call.as_bytes()).expect("sent");
    let mut line = engine.next();
    line.set_read_timeout(Some(PATIENCE)).expect("set");
    assert!(matches!(line.read(&mut [0; 256]), Ok(1..)), "the engine is sent the call");
    assert!(daemon.descriptors() <= 256, "{} descriptors", daemon.descriptors());
    let answer = "*4\r\n$16\r\n0000000000000001\r\n$4\r\ndata\r\n$7\r\ntotal=1\r\n$0\r\n\r\n";
    line.write_all(answer.as_bytes()).expect("sent");
    let mut got = [0; 256];
    let count = client.read(&mut got).expect("answered");
    assert!(got[..count].starts_with(b"HTTP/1.1 200"), "{}", got[..count].escape_ascii());
    daemon.signal("TERM");
    assert_eq!(daemon.ended().code(), Some(0));
    drop(crowd);
}

#[test]
fn a_client_that_rests_makes_room_where_the_system_has_no_descriptor() {
    let (engine, names) = (Named::new("e1"), names());
    let config = config(&[("e1", engine.address())], names.local_addr().expect("bound"));
    let daemon = Daemon::start(&config, &[], None);
    let mut crowd: Vec<TcpStream> = (0..20).map(|_| connected(&daemon)).collect();
    assert!(crowd.iter_mut().all(answers));
    // What the program plans with is more than what there is from here on: not one number below the limit is free.
    let held = Some(daemon.first_free());
    let pid = Pid::from_raw(daemon.child.id() as i32);
    prlimit(pid, Resource::Nofile, Rlimit { current: held, maximum: held }).expect("lowered");
    let mut new: Vec<TcpStream> = (0..6).map(|_| connected(&daemon)).collect();
    assert!(new.iter_mut().all(answers), "a new client finds no place");
    // The kernel tells of a lack before it tells that nobody waits: no client makes room for that.
    let left = crowd.iter_mut().filter_map(|stream| answers(stream).then_some(())).count();
    assert_eq!(left, 14, "of twenty that rested one makes room for each that finds none");
}
