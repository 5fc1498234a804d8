//! One client sends small or unsound requests on one connection at full speed, also under ever new names: other clients
//! are answered meanwhile, and memory does not grow with what was answered.

mod daemon;
mod raw_mysql;
mod recording_engine;
mod standin;

use daemon::{config_with_directory, Daemon};
use raw_mysql::{command, mysql_toml, packet, read_packet, RawSession, RowsEngine, PREPARE, QUERY};
use recording_engine::RecordingEngine;
use rstest::rstest;
use standin::Client;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Requests that are written at once.
const BATCH: u64 = 200;
/// Answers that the other client waits for.
const ANSWERS: u64 = 300;
/// Answers that the flooding client may get for each of the other client's. Both have one connection.
const MAX_SHARE: u64 = 100;
/// Answers after which memory is measured first, and those that follow before the second time.
const FIRST_ANSWERS: u64 = 10_000;
const MORE_ANSWERS: u64 = 60_000;
/// How much memory may grow between the two (KB).
const MAX_GROWTH_KB: u64 = 2_500;

/// The bytes of the nth request.
type Request = fn(u64) -> Vec<u8>;

/// A look-up or load, whose client waits for long.
fn post(n: u64, class: &str, field: &str, statement: &str) -> Vec<u8> {
    let length = statement.len();
    let head =
        format!("POST /invoke/{class} HTTP/1.1\r\nX-Job-Id: {n:016x}\r\nX-Allow-Ms: 119000\r\n{field}");
    format!("{head}Content-Length: {length}\r\n\r\n{statement}").into_bytes()
}

fn health(_: u64) -> Vec<u8> {
    b"GET /_health HTTP/1.1\r\n\r\n".to_vec()
}

fn unknown_path(n: u64) -> Vec<u8> {
    format!("GET /{n} HTTP/1.1\r\n\r\n").into_bytes()
}

fn new_table_group(n: u64) -> Vec<u8> {
    post(n, "lookup", "", &format!("SELECT 1 FROM sales_{n}.orders"))
}

fn new_order_key(n: u64) -> Vec<u8> {
    post(n, "load", &format!("X-Item: k{n}\r\n"), "INSERT 1")
}

fn new_idempotency_key(n: u64) -> Vec<u8> {
    post(n, "load", &format!("X-Unique: k{n}\r\n"), "INSERT 1")
}

fn no_time_left(n: u64) -> Vec<u8> {
    let head = format!("POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {n:016x}\r\nX-Allow-Ms: 0\r\n");
    format!("{head}Content-Length: 8\r\n\r\nSELECT 1").into_bytes()
}

fn ping(_: u64) -> Vec<u8> {
    packet(0, &[0x0e])
}

fn unknown_command(_: u64) -> Vec<u8> {
    packet(0, &[0x1c, 0])
}

fn set_up(n: u64) -> Vec<u8> {
    command(QUERY, format!("SET NAMES x{n}").as_bytes())
}

fn refused_statement(n: u64) -> Vec<u8> {
    command(QUERY, format!("USE s{n}").as_bytes())
}

fn unknown_statement(n: u64) -> Vec<u8> {
    packet(0, &[&[0x17], &(n as u32).to_le_bytes()[..], &[0, 1, 0, 0, 0]].concat())
}

/// Succeeds until the session has as many statements as it may have.
fn prepare(n: u64) -> Vec<u8> {
    command(PREPARE, format!("SELECT {n} FROM a_{n}.t").as_bytes())
}

fn query(n: u64) -> Vec<u8> {
    command(QUERY, format!("SELECT {n} FROM sales_{n}.orders").as_bytes())
}

/// A coordinator with one engine at the lowest limit of memory.
struct Fixture {
    daemon: Daemon,
    _engines: (RecordingEngine, RowsEngine),
}

impl Fixture {
    fn new() -> Self {
        let (engine, rows) = (RecordingEngine::start("e1"), RowsEngine::start(0));
        let limits = r#""limits":{"sockets":256,"memory_mb":32}"#;
        let config = config_with_directory(&[("e1", engine.address)]).replacen(
            r#""limits":{"sockets":256}"#,
            limits,
            1,
        );
        let daemon = Daemon::start(&config, &[("mysql.toml", mysql_toml("e1", rows.address))], None);
        Self { daemon, _engines: (engine, rows) }
    }

    /// Floods the coordinator on `stream` while `meanwhile` runs, which is passed the number of answers so far. `skip_answer`
    /// reads one answer.
    fn flood(
        &self,
        stream: TcpStream,
        request: Request,
        skip_answer: fn(&mut BufReader<TcpStream>) -> std::io::Result<()>,
        meanwhile: impl FnOnce(&AtomicU64),
    ) {
        let (answered, stop) = (AtomicU64::new(0), AtomicBool::new(false));
        std::thread::scope(|scope| {
            let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
            let answered_here = &answered;
            scope.spawn(move || {
                while skip_answer(&mut reader).is_ok() {
                    answered_here.fetch_add(1, Ordering::SeqCst);
                }
            });
            let (mut writer, stop) = (stream.try_clone().expect("a copy"), &stop);
            let write = scope.spawn(move || {
                for first in (1..).step_by(BATCH as usize) {
                    let batch: Vec<u8> = (first..first + BATCH).flat_map(request).collect();
                    let sent = writer.write_all(&batch);
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    sent.expect("the connection stays open");
                }
            });
            let measured = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| meanwhile(&answered)));
            stop.store(true, Ordering::SeqCst);
            let _ = stream.shutdown(Shutdown::Both); // it may have ended
            assert!(write.join().is_ok() && measured.is_ok());
        });
    }

    /// Checks that another client is answered while one floods the coordinator.
    fn assert_others_are_answered(&self, stream: TcpStream, request: Request, skip_answer: SkipAnswer) {
        self.flood(stream, request, skip_answer, |answered| {
            let mut client = Client::new(&self.daemon);
            for n in 0..ANSWERS {
                client.send(&post(u64::MAX - n, "lookup", "", "SELECT 2")).expect("sent");
                let (status, keep_alive) = client.answer();
                assert!([200, 503].contains(&status) && keep_alive, "{status}");
            }
            let answered = answered.load(Ordering::SeqCst);
            println!("{answered} answers beside {ANSWERS}");
            assert!(answered <= MAX_SHARE * ANSWERS, "{answered} answers beside {ANSWERS}");
        });
    }

    /// Checks that memory does not grow with the number of answered requests.
    fn assert_memory_is_flat(&self, stream: TcpStream, request: Request, skip_answer: SkipAnswer) {
        self.flood(stream, request, skip_answer, |answered| {
            let wait_for = |count: u64| {
                daemon::wait_for("answers", || (answered.load(Ordering::SeqCst) >= count).then_some(()));
                self.daemon.memory_peak()
            };
            let first = wait_for(FIRST_ANSWERS);
            let second = wait_for(FIRST_ANSWERS + MORE_ANSWERS);
            println!("{first} KB, then {second} KB");
            assert!(second - first < MAX_GROWTH_KB, "{first} KB, then {second} KB");
        });
    }

    fn http(&self) -> TcpStream {
        TcpStream::connect(self.daemon.http.expect("it listens")).expect("connected")
    }

    fn mysql(&self) -> TcpStream {
        RawSession::connect(&self.daemon).0.into_inner()
    }
}

type SkipAnswer = fn(&mut BufReader<TcpStream>) -> std::io::Result<()>;

/// Reads an HTTP answer; all of them are short.
fn skip_http_answer(reader: &mut BufReader<TcpStream>) -> std::io::Result<()> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        reader.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head);
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    reader.read_exact(&mut vec![0; length])
}

/// Reads the answer to a command: one packet.
fn skip_packet(reader: &mut BufReader<TcpStream>) -> std::io::Result<()> {
    read_packet(reader).map(drop)
}

/// Reads a result: the number of columns, three columns, two EOF packets and no row. Errors consist of one packet.
fn skip_result(reader: &mut BufReader<TcpStream>) -> std::io::Result<()> {
    let is_error = read_packet(reader)?[0] == 0xff;
    (0..if is_error { 0 } else { 5 }).try_for_each(|_| skip_packet(reader))
}

/// Guards against a client that gets hundreds of requests handled at a time, and a connection that is closed for what its
/// client sends ahead.
#[rstest]
fn others_are_answered_while_one_http_client_floods(
    #[values(health, unknown_path, new_table_group, new_order_key, new_idempotency_key, no_time_left)]
    request: Request,
) {
    let fixture = Fixture::new();
    fixture.assert_others_are_answered(fixture.http(), request, skip_http_answer);
}

/// The same on the other listener.
#[rstest]
fn others_are_answered_while_one_mysql_client_floods(
    #[values(ping, unknown_command, set_up, refused_statement, unknown_statement, prepare)] request: Request,
) {
    let fixture = Fixture::new();
    fixture.assert_others_are_answered(fixture.mysql(), request, skip_packet);
}

#[rstest]
fn others_are_answered_while_one_mysql_client_floods_with_queries() {
    let fixture = Fixture::new();
    fixture.assert_others_are_answered(fixture.mysql(), query, skip_result);
}

/// Guards against memory that grows with each answered request until its deadline, two minutes later: its timers were kept
/// until then.
#[rstest]
fn memory_does_not_grow_with_answered_requests(
    #[values(new_table_group, new_order_key, new_idempotency_key)] request: Request,
) {
    let fixture = Fixture::new();
    fixture.assert_memory_is_flat(fixture.http(), request, skip_http_answer);
}
