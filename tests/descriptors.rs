//! Descriptors run out: idle clients make room, and nothing else is lost.

mod daemon;

use daemon::{config, config_with_directory, names, Daemon, EngineSocket, PATIENCE};
use rustix::process::{getrlimit, prlimit, Pid, Resource, Rlimit};
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
    let (engine, names) = (EngineSocket::new("e1"), names());
    let config = config(&[("e1", engine.address())], names.local_addr().expect("bound"));
    let mut daemon = Daemon::start(&config, &[], None);
    // More than it has places for; none of them says anything.
    let crowd: Vec<TcpStream> = (0..300).map(|_| connected(&daemon)).collect();
    let mut client = connected(&daemon);
    ask(&mut client, 1);
    let mut line = engine.next();
    line.set_read_timeout(Some(PATIENCE)).expect("set");
    assert!(daemon.descriptors() <= 256, "{} descriptors", daemon.descriptors());
    serve(&mut line, 1);
    let said = told(&mut client);
    assert!(said.starts_with("HTTP/1.1 200"), "{said}");
    daemon.signal("TERM");
    assert_eq!(daemon.ended().code(), Some(0));
    drop(crowd);
}

/// Sends a load of that id.
fn ask(client: &mut TcpStream, id: u64) {
    let head = format!("POST /invoke/load HTTP/1.1\r\nX-Job-Id: {id:016}\r\nX-Allow-Ms: 9000");
    client.write_all(format!("{head}\r\nContent-Length: 8\r\n\r\nINSERT 1").as_bytes()).expect("sent");
}

/// The status line and headers that a client gets.
fn told(client: &mut TcpStream) -> String {
    let mut got = [0; 256];
    let count = client.read(&mut got).expect("answered");
    String::from_utf8_lossy(&got[..count]).into_owned()
}

/// Reads a load on an engine's connection and answers it.
fn serve(line: &mut TcpStream, id: u64) {
    let mut got = String::new();
    // A byte at a time: what follows belongs to the next one.
    while !got.ends_with("INSERT 1\r\n") {
        let mut byte = [0; 1];
        let count = line.read(&mut byte).expect("a call");
        assert!(count > 0, "ended after {got}");
        got.push_str(&String::from_utf8_lossy(&byte));
    }
    assert!(got.contains(&format!("{id:016}")), "{got}");
    let answer = format!("*4\r\n$16\r\n{id:016}\r\n$4\r\ndata\r\n$7\r\ntotal=1\r\n$0\r\n\r\n");
    line.write_all(answer.as_bytes()).expect("sent");
}

#[test]
fn without_a_descriptor_for_a_dial_a_call_shares_a_connection_or_is_refused_at_once() {
    let engine = EngineSocket::new("e1");
    let config = config_with_directory(&[("e1", engine.address())]);
    let daemon = Daemon::start(&config, &[], None);
    let (mut a, mut b) = (connected(&daemon), connected(&daemon));
    assert!(answers(&mut a) && answers(&mut b));
    let pid = Pid::from_raw(daemon.child.id() as i32);
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = |current| prlimit(pid, Resource::Nofile, Rlimit { current, maximum });
    let usual = limit(Some(daemon.first_free())).expect("lowered").current;
    ask(&mut a, 1);
    let said = told(&mut a);
    assert!(said.starts_with("HTTP/1.1 503") && said.contains("X-Wait-Ms: "), "{said}");
    limit(usual).expect("raised");
    // It says nothing of the engine.
    ask(&mut a, 2);
    let mut line = engine.next();
    line.set_read_timeout(Some(PATIENCE)).expect("set");
    limit(Some(daemon.first_free())).expect("lowered");
    ask(&mut b, 3);
    serve(&mut line, 2);
    assert!(told(&mut a).starts_with("HTTP/1.1 200"));
    serve(&mut line, 3);
    assert!(told(&mut b).starts_with("HTTP/1.1 200"));
}

#[test]
fn a_client_that_rests_makes_room_where_the_system_has_no_descriptor() {
    let engine = EngineSocket::new("e1");
    let config = config_with_directory(&[("e1", engine.address())]);
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
