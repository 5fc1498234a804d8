//! Clients that close their connection with much still unread, and request ids that come again: nothing that was not begun
//! is sent afterwards, and no id runs twice.

mod daemon;
mod raw_mysql;
mod recording_engine;
mod standin;

use daemon::{config_with_directory, Daemon};
use raw_mysql::{command, mysql_toml, RawSession, RowsEngine, QUERY};
use recording_engine::{Behaviour, RecordingEngine};
use rstest::rstest;
use standin::Client;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::Duration;

const OK: u16 = 200;
const BAD_REQUEST: u16 = 400;
const FAILED: u16 = 502;
/// Work of a request: long enough for its client to leave before it ends.
const WORK: Duration = Duration::from_millis(300);

/// How a client closes its connection.
#[derive(Clone, Copy)]
enum Close {
    /// After its last byte (FIN).
    InOrder,
    /// At once (RST).
    Reset,
}

impl Close {
    fn close(self, stream: TcpStream) {
        if let Close::Reset = self {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
        }
        drop(stream);
    }
}

fn request(class: &str, id: u64) -> String {
    let head = format!("POST /invoke/{class} HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 3000\r\n");
    head + "Content-Length: 8\r\n\r\nSELECT 1"
}

fn id_text(id: u64) -> String {
    format!("{id:016x}")
}

/// Sends a request and returns the status of its answer.
fn send(address: SocketAddr, class: &str, id: u64) -> u16 {
    let mut client = Client::at(address);
    client.send(request(class, id).as_bytes()).expect("sent");
    client.answer().0
}

/// Sends a request, and leaves as soon as an engine has begun it.
fn send_and_leave(address: SocketAddr, engine: &RecordingEngine, class: &str, id: u64) {
    let mut client = Client::at(address);
    client.send(request(class, id).as_bytes()).expect("sent");
    daemon::wait_for("the request to run", || (engine.runs_of(&id_text(id)) == 1).then_some(()));
    drop(client);
}

fn working_engine() -> RecordingEngine {
    let engine = RecordingEngine::start("e1");
    engine.set(Behaviour { delay: WORK, ..Behaviour::default() });
    engine
}

fn start(engine: &RecordingEngine) -> Daemon {
    Daemon::start(&config_with_directory(&[("e1", engine.address)]), &[], None)
}

/// Guards against requests that are sent to engines after their client has closed the connection, while what it sent is
/// still unread, some of it in the coordinator's buffer and some in the socket's.
#[rstest]
fn nothing_is_sent_for_an_http_client_that_left_with_much_unread(
    #[values(Close::InOrder, Close::Reset)] close: Close,
    #[values(2, 100, 3000)] count: u64,
) {
    let engine = working_engine();
    let daemon = start(&engine);
    let mut client = Client::new(&daemon);
    let all: String = (1..=count).map(|id| request("lookup", id)).collect();
    client.send(all.as_bytes()).expect("sent");
    daemon::wait_for("the first request to run", || (engine.runs().len() == 1).then_some(()));
    close.close(client.0.into_inner());
    daemon.counts("withdrawn=1");
    assert_eq!(send(daemon.http.expect("it listens"), "lookup", u64::MAX), OK);
    let others = engine.runs().iter().filter(|run| run.id != id_text(u64::MAX)).count();
    assert_eq!(others, 1, "only the first request was begun");
}

/// The same on the other listener.
#[rstest]
fn nothing_is_sent_for_a_mysql_client_that_left_with_much_unread(
    #[values(Close::InOrder, Close::Reset)] close: Close,
    #[values(2, 100, 3000)] count: usize,
) {
    let (engine, rows) = (working_engine(), RowsEngine::start(1));
    rows.delay_ms.store(WORK.as_millis() as usize, Ordering::SeqCst);
    let files = [("mysql.toml", mysql_toml("e1", rows.address))];
    let daemon = Daemon::start(&config_with_directory(&[("e1", engine.address)]), &files, None);
    let statements = || rows.statements.lock().expect("not poisoned").len();
    let mut session = RawSession::connect(&daemon);
    let statement = command(QUERY, b"SELECT day FROM sales_17.orders");
    session.send(&statement.repeat(count)).expect("sent");
    daemon::wait_for("the first statement to run", || (statements() == 1).then_some(()));
    close.close(session.0.into_inner());
    daemon.counts("withdrawn=1");
    let mut session = RawSession::connect(&daemon);
    session.send(&statement).expect("sent");
    assert_eq!(session.rows().expect("an answer"), Some(1));
    assert_eq!(statements(), 2, "the first statement, and that of the other session");
}

/// Guards against an id that runs twice when it comes again after its client has left, or after its answer.
#[rstest]
fn an_id_that_comes_again_does_not_run_again(#[values("lookup", "load")] class: &str) {
    let engine = working_engine();
    let daemon = start(&engine);
    let address = daemon.http.expect("it listens");
    send_and_leave(address, &engine, class, 1);
    assert!([BAD_REQUEST, FAILED].contains(&send(address, class, 1)), "it may still be open");
    daemon.counts("withdrawn=1");
    assert_eq!(send(address, class, 1), FAILED);
    assert_eq!(send(address, class, 2), OK);
    assert_eq!(send(address, class, 2), FAILED, "it was answered");
    assert_eq!((engine.runs_of(&id_text(1)), engine.runs_of(&id_text(2))), (1, 1));
}

/// An id whose request never ran may come again: its client was told that a retry is safe.
#[test]
fn an_id_that_was_rejected_may_come_again() {
    let engine = RecordingEngine::start("e1");
    let refusing = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port");
    let daemon = Daemon::start(&config_with_directory(&[("e1", refusing)]), &[], None);
    let address = daemon.http.expect("it listens");
    assert_eq!(send(address, "load", 1), 503);
    assert_eq!(send(address, "load", 1), 503);
    assert!(engine.runs().is_empty());
}

/// Guards against an id that runs in both processes of an upgrade, in either order.
#[rstest]
fn an_id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_again(
    #[values("lookup", "load")] class: &str,
) {
    let engine = working_engine();
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let config = config_with_directory(&[("e1", engine.address)]);
    let mut old = Daemon::start(&config, &[], Some(&socket));
    let address = old.http.expect("it listens");
    // Connections that the old process has accepted before the new one starts.
    let mut at_old = Client::at(address);
    let mut later_at_old = Client::at(address);
    for client in [&mut at_old, &mut later_at_old] {
        client.send(b"GET /_health HTTP/1.1\r\n\r\n").expect("sent");
        assert_eq!(client.answer().0, OK);
    }
    let new = old.beside(&socket);
    old.signal("TERM");
    old.line("new connections go to the other process");
    at_old.send(request(class, 1).as_bytes()).expect("sent");
    daemon::wait_for("the request to run", || (engine.runs_of(&id_text(1)) == 1).then_some(()));
    drop(at_old);
    assert_eq!(send(address, class, 1), FAILED, "at the new process");
    send_and_leave(address, &engine, class, 2);
    later_at_old.send(request(class, 2).as_bytes()).expect("sent");
    assert_eq!(later_at_old.answer().0, FAILED, "at the old process");
    assert_eq!(send(address, class, 3), OK);
    for id in 1..=3 {
        assert_eq!(engine.runs_of(&id_text(id)), 1, "request {id}");
    }
    drop(new);
}
