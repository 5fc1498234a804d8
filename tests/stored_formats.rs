//! Files that a released version has written can still be read.

mod daemon;

use daemon::{config_with_directory, Daemon, PATIENCE};
use dahliaspoke_test_harness::queries::StubEngines;
use dahliaspoke_test_harness::until;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// A maintenance file with engine e1, in maintenance since a time in the past (Unix seconds).
const MAINTENANCE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/stored/maintenance.json");

/// Number of requests sent while e1 must receive none.
const REQUESTS: u64 = 40;

/// Sends one HTTP request and returns everything received until the connection closes.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    stream.write_all(request.as_bytes()).expect("sent");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("a response");
    response
}

fn admin_request(daemon: &Daemon, method_and_path: &str) -> String {
    exchange(
        daemon.console.expect("an admin interface"),
        &format!("{method_and_path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
    )
}

/// Runs a query and returns the status line of its response.
fn query_status(daemon: &Daemon, id: u64) -> String {
    let request = format!(
        "POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 3000\r\nX-Size-Ms: 2\r\nConnection: close\r\nContent-Length: 8\r\n\r\nSELECT 1"
    );
    let response = exchange(daemon.http.expect("an HTTP listener"), &request);
    response.lines().next().unwrap_or_default().to_string()
}

/// The contents of the maintenance file in the daemon's working directory.
fn maintenance_file(daemon: &Daemon) -> String {
    let path = format!("/proc/{}/cwd/maintenance.json", daemon.child.id());
    std::fs::read_to_string(path).expect("the file")
}

#[test]
fn released_maintenance_file_is_read_and_emptied_when_the_engine_is_ready() {
    let (in_maintenance, in_service) = (StubEngines::start(1), StubEngines::start(1));
    let engines = [("e1", in_maintenance.list[0].1), ("e2", in_service.list[0].1)];
    let copy_file = format!("cp '{MAINTENANCE}' \"$TMPDIR/maintenance.json\" &&");
    let daemon = Daemon::start_with(&config_with_directory(&engines), &[], &copy_file);

    let stats = admin_request(&daemon, "GET /stats");
    assert!(stats.contains("app.members=2\n"), "{stats}");
    assert!(stats.contains("app.members_unavailable=1\n"), "{stats}");
    for id in 0..REQUESTS {
        assert!(query_status(&daemon, id).contains(" 200 "));
    }
    assert_eq!(in_maintenance.ids().len(), 0, "e1 received requests during maintenance");
    assert_eq!(in_service.ids().len() as u64, REQUESTS);
    assert_eq!(maintenance_file(&daemon), std::fs::read_to_string(MAINTENANCE).expect("the data file"));

    let ready = admin_request(&daemon, "POST /worker-groups/e1/ready");
    assert!(ready.starts_with("HTTP/1.1 200 "), "{ready}");
    until("the file is emptied", || (maintenance_file(&daemon) == "{}").then_some(()));
    let stats = admin_request(&daemon, "GET /stats");
    assert!(stats.contains("app.members_unavailable=0\n"), "{stats}");
}
