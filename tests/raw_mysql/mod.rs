//! Both ends of a `MySQL` session, byte by byte: a client that can send commands at once, and an engine that answers
//! every statement with the same rows.
#![allow(dead_code)]

use super::daemon::{Daemon, PATIENCE};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const OK: &[u8] = &[0, 0, 0, 2, 0, 0, 0];
const EOF: &[u8] = &[0xfe, 0, 0, 2, 0];
pub const QUERY: u8 = 0x03;
pub const PREPARE: u8 = 0x16;
pub const LONG_DATA: u8 = 0x18;

/// The login of the account `billing`, which has no password.
const LOGIN: &[u8] = b"\x05\xa2\x08\0\0\0\0\x01-\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0billing\0\0caching_sha2_password\0";

/// The file `deploy/mysql.toml` with this engine.
pub fn mysql_toml(engine: &str, address: SocketAddr) -> String {
    format!(
        r#"listen = "127.0.0.1:0"
        accounts = {{ billing = "" }}
        statement = [{{ starts = "select", class = "lookup" }}, {{ starts = "insert", class = "load" }}]
        engine = {{ port = 3306, user = "gateway", addresses = {{ {engine} = "{address}" }} }}"#
    )
}

pub fn packet(sequence: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = (payload.len() as u32).to_le_bytes()[..3].to_vec();
    out.push(sequence);
    out.extend_from_slice(payload);
    out
}

pub fn command(kind: u8, text: &[u8]) -> Vec<u8> {
    packet(0, &[&[kind], text].concat())
}

/// Reads the payload of a packet of less than 16 MB.
pub fn read_packet(stream: &mut impl Read) -> std::io::Result<Vec<u8>> {
    let mut header = [0; 4];
    stream.read_exact(&mut header)?;
    let mut payload = vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
    stream.read_exact(&mut payload)?;
    Ok(payload)
}

/// A client's session.
pub struct RawSession(pub BufReader<TcpStream>);

impl RawSession {
    pub fn connect(daemon: &Daemon) -> Self {
        let address = daemon.mysql.expect("the MySQL listener is open");
        let stream = TcpStream::connect(address).expect("connected");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream.set_nodelay(true).expect("set");
        let mut session = Self(BufReader::new(stream));
        read_packet(&mut session.0).expect("the greeting");
        session.send(&packet(1, LOGIN)).expect("sent");
        assert_eq!(read_packet(&mut session.0).expect("an answer")[0], 0, "logged in");
        session
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Reads the result of a statement and returns the number of its rows; `None` if it is an error.
    pub fn rows(&mut self) -> std::io::Result<Option<usize>> {
        let first = read_packet(&mut self.0)?;
        if first[0] == 0xff {
            return Ok(None);
        }
        for _ in 0..first[0] {
            read_packet(&mut self.0)?;
        }
        read_packet(&mut self.0)?;
        let mut rows = 0;
        while read_packet(&mut self.0)? != EOF {
            rows += 1;
        }
        Ok(Some(rows))
    }
}

/// The statements that an engine has run, in order.
pub type Statements = Arc<Mutex<Vec<String>>>;

/// An engine that answers every statement with `rows` rows of three columns.
pub struct RowsEngine {
    pub address: SocketAddr,
    pub rows: Arc<AtomicUsize>,
    /// Work before each answer (ms).
    pub delay_ms: Arc<AtomicUsize>,
    pub statements: Statements,
}

impl RowsEngine {
    pub fn start(rows: usize) -> Self {
        Self::start_on(TcpListener::bind("127.0.0.1:0").expect("a port"), rows)
    }

    pub fn start_on(listener: TcpListener, rows: usize) -> Self {
        let address = listener.local_addr().expect("bound");
        let (rows, delay_ms) = (Arc::new(AtomicUsize::new(rows)), Arc::default());
        let engine = Self { address, rows, delay_ms, statements: Arc::default() };
        let (rows, delay_ms) = (engine.rows.clone(), engine.delay_ms.clone());
        let statements = engine.statements.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (rows, delay_ms) = (rows.clone(), delay_ms.clone());
                let statements = statements.clone();
                std::thread::spawn(move || serve(stream, &rows, &delay_ms, &statements));
            }
        });
        engine
    }
}

fn column(name: &str) -> Vec<u8> {
    let texts = ["def", "", "", "", name, ""];
    let mut out: Vec<u8> = texts.iter().flat_map(|t| [&[t.len() as u8], t.as_bytes()].concat()).collect();
    out.extend_from_slice(&[0x0c, 0x2d, 0, 20, 0, 0, 0, 0xfd, 0, 0, 0, 0, 0]);
    out
}

fn result(rows: usize) -> Vec<u8> {
    let mut payloads = vec![vec![3], column("day"), column("count"), column("note"), EOF.to_vec()];
    payloads.extend((0..rows).map(|_| b"\x0202\x011\x04note".to_vec()));
    payloads.push(EOF.to_vec());
    payloads.iter().enumerate().flat_map(|(at, payload)| packet((at + 1) as u8, payload)).collect()
}

fn serve(
    mut stream: TcpStream,
    rows: &AtomicUsize,
    delay_ms: &AtomicUsize,
    statements: &Statements,
) -> Option<()> {
    let mut greeting = b"\x0a8.0-stand-in\0\x01\0\0\0aaaaaaaa\0\xff\xff\x2d\x02\0\xff\xff\x15".to_vec();
    greeting.extend_from_slice(&[0; 10]);
    greeting.extend_from_slice(b"bbbbbbbbbbbb\0caching_sha2_password\0");
    stream.write_all(&packet(0, &greeting)).ok()?;
    read_packet(&mut stream).ok()?;
    stream.write_all(&packet(2, OK)).ok()?;
    loop {
        let command = read_packet(&mut stream).ok()?;
        if command[0] != QUERY {
            return None;
        }
        let text = String::from_utf8_lossy(&command[1..]).into_owned();
        statements.lock().expect("not poisoned").push(text);
        std::thread::sleep(Duration::from_millis(delay_ms.load(Ordering::SeqCst) as u64));
        stream.write_all(&result(rows.load(Ordering::SeqCst))).ok()?;
    }
}
