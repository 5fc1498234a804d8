//! A new process comes up at the address of an engine that has gone or moved: nothing that was meant for the former engine
//! reaches it. Here the new one is in a zone that look-ups may not be sent to.

mod daemon;
mod raw_mysql;
mod recording_engine;
mod standin;

use daemon::{config, Daemon, SETTINGS};
use dahliaspoke_simulator::standin::{Directory, DirectoryEntry};
use raw_mysql::{command, RawSession, RowsEngine, QUERY};
use recording_engine::RecordingEngine;
use rstest::rstest;
use standin::Client;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};

const LOOKUP: &[u8] = b"POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: 0000000000000001\r\nX-Allow-Ms: 20000\r\nContent-Length: 8\r\n\r\nSELECT 1";
const FIRST_HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 1));
const THIRD_HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 3));
const SECOND_HOST: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 2));

/// A listening socket to which no connection is established until [`UnreachableSocket::listen`].
struct UnreachableSocket {
    listener: TcpListener,
    /// Fills the accept queue, so that the kernel drops further connection attempts.
    _filler: TcpStream,
}

impl UnreachableSocket {
    fn new(host: IpAddr) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a port");
        rustix::net::listen(&listener, 0).expect("the backlog is reduced");
        let filler = TcpStream::connect(listener.local_addr().expect("bound")).expect("connected");
        Self { listener, _filler: filler }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Accepts connections from now on: the new process.
    fn listen(self) -> TcpListener {
        rustix::net::listen(&self.listener, 128).expect("the backlog is restored");
        drop(self.listener.accept().expect("the filler"));
        self.listener
    }
}

fn entry(id: &str, zone: &str, address: SocketAddr) -> DirectoryEntry {
    DirectoryEntry { id: id.into(), zone: zone.into(), address, drains: false, started_ms: 0 }
}

/// Where the engine e1 is, once another one has its address.
#[derive(Clone, Copy, PartialEq)]
enum Former {
    Gone,
    Moved,
}

impl Former {
    /// Waits until the coordinator has applied the list.
    fn wait_until_known(self, daemon: &Daemon) {
        let engines = if self == Former::Moved { 3 } else { 2 };
        let line = format!("app.members={engines}\n");
        daemon::wait_for(&line, || statistics(daemon).contains(&line).then_some(()));
    }

    /// Lists e2, in another zone, at the address `former` of e1, and e3, which shows that the list was applied.
    fn replace(self, directory: &Directory, former: SocketAddr, moved_to: SocketAddr) {
        directory.change(|entries| {
            let other_host = SocketAddr::new(THIRD_HOST, former.port());
            *entries = vec![entry("e2", "hall-b", former), entry("e3", "hall-b", other_host)];
            if self == Former::Moved {
                entries.push(entry("e1", "hall-a", moved_to));
            }
        });
    }
}

/// The coordinator's statistics.
fn statistics(daemon: &Daemon) -> String {
    let mut stream = TcpStream::connect(daemon.console.expect("it listens")).expect("connected");
    stream.write_all(b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    text
}

/// A coordinator that knows e1 at this address, and waits long for connections. Look-ups may be sent to one zone only.
fn start(directory: &Directory, address: SocketAddr, files: &[(&str, String)]) -> Daemon {
    let settings = SETTINGS
        .replace("\"zones\":[\"hall-a\"]", "\"zones\":[\"hall-a\",\"hall-b\"]")
        .replace("\"connectTimeout\":0.25", "\"connectTimeout\":60")
        .replace("{\"name\":\"lookup\",", "{\"name\":\"lookup\",\"zonesAllowed\":[\"hall-a\"],");
    let config = config(&[("e1", address)], directory.address).replace(SETTINGS, &settings);
    Daemon::start(&config, files, None)
}

/// Guards against an attempt that waits for a connection and is sent to the process that has the address by then.
#[rstest]
fn http_requests_do_not_reach_a_new_process_at_the_address(
    #[values(Former::Gone, Former::Moved)] former: Former,
) {
    let (socket, elsewhere) = (UnreachableSocket::new(FIRST_HOST), RecordingEngine::start("e1"));
    let address = socket.address();
    let directory = Directory::start(vec![entry("e1", "hall-a", address)]).expect("a port");
    let daemon = start(&directory, address, &[]);
    let mut client = Client::new(&daemon);
    client.send(LOOKUP).expect("sent");
    daemon.counts("sends=1");
    former.replace(&directory, address, elsewhere.address);
    former.wait_until_known(&daemon);
    let newcomer = RecordingEngine::start_on("e2", socket.listen());
    let status = client.answer().0;
    assert!(newcomer.runs().is_empty(), "the new process got the request ({status})");
    let (expected, runs) = if former == Former::Moved { (200, 1) } else { (503, 0) };
    assert_eq!((status, elsewhere.runs().len()), (expected, runs));
}

/// The same on the other listener.
#[rstest]
fn mysql_statements_do_not_reach_a_new_process_at_the_address(
    #[values(Former::Gone, Former::Moved)] former: Former,
) {
    let socket = UnreachableSocket::new(FIRST_HOST);
    let address = socket.address();
    let elsewhere = TcpListener::bind((SECOND_HOST, address.port())).expect("the same port");
    let moved_to = elsewhere.local_addr().expect("bound");
    let elsewhere = RowsEngine::start_on(elsewhere, 1);
    let directory = Directory::start(vec![entry("e1", "hall-a", address)]).expect("a port");
    let mysql = format!(
        r#"listen = "127.0.0.1:0"
        accounts = {{ billing = "" }}
        statement = [{{ starts = "select", class = "lookup" }}]
        class = {{ lookup = {{ deadline_ms = 20000 }} }}
        engine = {{ port = {}, user = "gateway" }}"#,
        address.port()
    );
    let daemon = start(&directory, address, &[("mysql.toml", mysql)]);
    let mut session = RawSession::connect(&daemon);
    session.send(&command(QUERY, b"SELECT day FROM sales_17.orders")).expect("sent");
    daemon.counts("sends=1");
    former.replace(&directory, address, moved_to);
    former.wait_until_known(&daemon);
    let newcomer = RowsEngine::start_on(socket.listen(), 1);
    let rows = session.rows().expect("an answer");
    let runs = |engine: &RowsEngine| engine.statements.lock().expect("not poisoned").len();
    assert_eq!(runs(&newcomer), 0, "the new process got the statement ({rows:?})");
    let expected = if former == Former::Moved { (Some(1), 1) } else { (None, 0) };
    assert_eq!((rows, runs(&elsewhere)), expected);
}
