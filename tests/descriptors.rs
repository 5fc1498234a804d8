//! When descriptors run out, idle clients are evicted, and nothing else is affected.

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

/// Sends a health check on a connection; whether it is answered.
fn answers_health_check(stream: &mut TcpStream) -> bool {
    let sent = stream.write_all(b"GET /_health HTTP/1.1\r\n\r\n");
    sent.is_ok() && stream.read(&mut [0; 256]).is_ok_and(|count| count > 0)
}

#[test]
fn idle_clients_do_not_exhaust_the_descriptors_of_engines_and_shutdown() {
    // The directory never answers.
    let (engine, names) = (EngineSocket::new("e1"), names());
    let config = config(&[("e1", engine.address())], names.local_addr().expect("bound"));
    let mut daemon = Daemon::start(&config, &[], None);
    // More clients than the daemon has capacity for; none of them sends anything.
    let idle_clients: Vec<TcpStream> = (0..300).map(|_| connected(&daemon)).collect();
    let mut client = connected(&daemon);
    send_load(&mut client, 1);
    let mut engine_connection = engine.next();
    engine_connection.set_read_timeout(Some(PATIENCE)).expect("set");
    assert!(daemon.descriptors() <= 256, "{} descriptors", daemon.descriptors());
    serve(&mut engine_connection, 1);
    let response = read_response(&mut client);
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    daemon.signal("TERM");
    assert_eq!(daemon.ended().code(), Some(0));
    drop(idle_clients);
}

/// Sends a load with this id.
fn send_load(client: &mut TcpStream, id: u64) {
    let head = format!("POST /invoke/load HTTP/1.1\r\nX-Job-Id: {id:016}\r\nX-Allow-Ms: 9000");
    client.write_all(format!("{head}\r\nContent-Length: 8\r\n\r\nINSERT 1").as_bytes()).expect("sent");
}

/// Reads the status line and headers of a client's response.
fn read_response(client: &mut TcpStream) -> String {
    let mut got = [0; 256];
    let count = client.read(&mut got).expect("answered");
    String::from_utf8_lossy(&got[..count]).into_owned()
}

/// Reads a load on an engine's connection and answers it.
fn serve(engine_connection: &mut TcpStream, id: u64) {
    let mut got = String::new();
    // One byte at a time: what follows belongs to the next load.
    while !got.ends_with("INSERT 1\r\n") {
        let mut byte = [0; 1];
        let count = engine_connection.read(&mut byte).expect("a call");
        assert!(count > 0, "ended after {got}");
        got.push_str(&String::from_utf8_lossy(&byte));
    }
    assert!(got.contains(&format!("{id:016}")), "{got}");
    let answer = format!("*4\r\n$16\r\n{id:016}\r\n$4\r\ndata\r\n$7\r\ntotal=1\r\n$0\r\n\r\n");
    engine_connection.write_all(answer.as_bytes()).expect("sent");
}

#[test]
fn call_without_a_free_descriptor_shares_a_connection_or_is_rejected_at_once() {
    let engine = EngineSocket::new("e1");
    let config = config_with_directory(&[("e1", engine.address())]);
    let daemon = Daemon::start(&config, &[], None);
    let (mut a, mut b) = (connected(&daemon), connected(&daemon));
    assert!(answers_health_check(&mut a) && answers_health_check(&mut b));
    let pid = Pid::from_raw(daemon.child.id() as i32);
    let maximum = getrlimit(Resource::Nofile).maximum;
    let limit = |current| prlimit(pid, Resource::Nofile, Rlimit { current, maximum });
    let normal_limit = limit(Some(daemon.first_free())).expect("lowered").current;
    send_load(&mut a, 1);
    let response = read_response(&mut a);
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("X-Wait-Ms: "), "{response}");
    limit(normal_limit).expect("raised");
    // The failure must not count against the engine.
    send_load(&mut a, 2);
    let mut engine_connection = engine.next();
    engine_connection.set_read_timeout(Some(PATIENCE)).expect("set");
    limit(Some(daemon.first_free())).expect("lowered");
    send_load(&mut b, 3);
    serve(&mut engine_connection, 2);
    assert!(read_response(&mut a).starts_with("HTTP/1.1 200"));
    serve(&mut engine_connection, 3);
    assert!(read_response(&mut b).starts_with("HTTP/1.1 200"));
}

#[test]
fn idle_client_is_evicted_for_a_new_one_when_no_descriptor_is_free() {
    let engine = EngineSocket::new("e1");
    let config = config_with_directory(&[("e1", engine.address())]);
    let daemon = Daemon::start(&config, &[], None);
    let mut idle_clients: Vec<TcpStream> = (0..20).map(|_| connected(&daemon)).collect();
    assert!(idle_clients.iter_mut().all(answers_health_check));
    // From here on there are fewer descriptors than the daemon has planned for: no number below the limit is
    // free.
    let max_descriptors = Some(daemon.first_free());
    let pid = Pid::from_raw(daemon.child.id() as i32);
    prlimit(pid, Resource::Nofile, Rlimit { current: max_descriptors, maximum: max_descriptors })
        .expect("lowered");
    let mut new: Vec<TcpStream> = (0..6).map(|_| connected(&daemon)).collect();
    assert!(new.iter_mut().all(answers_health_check), "a new client is not accepted");
    // accept() reports a lack of descriptors even when no connection is pending: that must not evict a
    // client.
    let remaining =
        idle_clients.iter_mut().filter_map(|stream| answers_health_check(stream).then_some(())).count();
    assert_eq!(remaining, 14, "one of twenty idle clients is evicted for each of six new ones");
}
