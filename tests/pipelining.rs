//! Clients that send several requests at once: each is answered, in order, however long the answers are.

mod daemon;
mod raw_mysql;
mod recording_engine;
mod standin;

use daemon::{config_with_directory, Daemon};
use raw_mysql::{command, mysql_toml, RawSession, RowsEngine, QUERY};
use recording_engine::{Behaviour, RecordingEngine};
use standin::Client;
use std::time::Duration;

const OK: u16 = 200;

/// Eight pages of short rows: 47,616 bytes, 91 KB as JSON. The listener lets clients leave 64 KB unread.
fn long_result() -> Behaviour {
    Behaviour { pages: 8, page: "01\t2\tx\n".repeat(850), ..Behaviour::default() }
}

fn request(id: u64) -> String {
    let head = format!("POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 20000\r\n");
    head + "Content-Length: 8\r\n\r\nSELECT 1"
}

fn requests(ids: std::ops::Range<u64>) -> Vec<u8> {
    ids.map(request).collect::<String>().into_bytes()
}

fn fixture(engine: &RecordingEngine) -> Daemon {
    Daemon::start(&config_with_directory(&[(&engine.id, engine.address)]), &[], None)
}

/// Guards against a connection that is closed, with all requests behind it, because an answer that its client has had no
/// chance to read counts as left unread.
#[test]
fn requests_behind_a_long_answer_are_answered() {
    let engine = RecordingEngine::start("e1");
    engine.set(long_result());
    let daemon = fixture(&engine);
    let mut client = Client::new(&daemon);
    client.send(&requests(0..6)).expect("sent");
    for n in 0..6 {
        assert_eq!(client.answer().0, OK, "request {n}");
    }
    assert_eq!(engine.runs().len(), 6);
}

/// Guards against a connection that is closed because more requests were sent at once than fit into its buffer.
#[test]
fn hundreds_of_requests_sent_at_once_are_answered() {
    let engine = RecordingEngine::start("e1");
    let daemon = fixture(&engine);
    let mut client = Client::new(&daemon);
    client.send(&requests(0..1500)).expect("sent");
    for n in 0..1500 {
        assert_eq!(client.answer().0, OK, "request {n}");
    }
}

/// Guards against requests that are lost because a shutdown drops what was read behind the request that it waits for. The
/// requests take longer than the 1 s after which connections are closed with their next answer.
#[test]
fn requests_sent_at_once_before_a_shutdown_are_answered() {
    let engine = RecordingEngine::start("e1");
    engine.set(Behaviour { delay: Duration::from_millis(600), ..Behaviour::default() });
    let mut daemon = fixture(&engine);
    let mut client = Client::new(&daemon);
    client.send(&requests(0..4)).expect("sent");
    daemon.signal("TERM");
    for n in 0..4 {
        assert_eq!(client.answer().0, OK, "request {n}");
    }
    assert_eq!(daemon.ended().code(), Some(0));
    assert_eq!(engine.runs().len(), 4);
}

/// The same on the other listener: a result of 64 KB in packets, which has 47,000 bytes as text, is an ordinary one.
#[test]
fn mysql_results_over_64_kb_are_answered() {
    let (engine, rows) = (RecordingEngine::start("e1"), RowsEngine::start(7000));
    let files = [("mysql.toml", mysql_toml("e1", rows.address))];
    let daemon = Daemon::start(&config_with_directory(&[("e1", engine.address)]), &files, None);
    let mut session = RawSession::connect(&daemon);
    let statement = command(QUERY, b"SELECT day FROM sales_17.orders");
    session.send(&statement).expect("sent");
    assert_eq!(session.rows().expect("an answer"), Some(7000));
    session.send(&statement.repeat(5)).expect("sent");
    for n in 0..5 {
        assert_eq!(session.rows().expect("an answer"), Some(7000), "statement {n}");
    }
    assert_eq!(rows.statements.lock().expect("not poisoned").len(), 6);
    session.send(&statement.repeat(4000)).expect("sent");
    rows.rows.store(1, std::sync::atomic::Ordering::SeqCst);
    for n in 0..4000 {
        assert!(session.rows().expect("an answer").is_some(), "statement {n}");
    }
}
