//! A stand-in engine that speaks the platform's protocol and records what it receives, and a client of the
//! HTTP listener.
#![allow(dead_code)]

use super::daemon::{Daemon, PATIENCE};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A statement that an engine received in full.
pub struct ReceivedStatement {
    /// CRC-32 of its bytes.
    pub sum: u32,
    pub at: Instant,
    /// Whether it has an idempotency key.
    pub keyed: bool,
    /// Whether the engine answered that it is full, without executing it.
    pub full: bool,
}

/// State shared by all engines of a run.
#[derive(Default)]
pub struct SharedState {
    /// The statements received, by request id.
    pub received: Mutex<HashMap<String, Vec<ReceivedStatement>>>,
    /// Every nth statement is answered with `full`; 0: none.
    pub full: AtomicU64,
    /// Number of statements received in full.
    pub count: AtomicU64,
    /// Whether the engines leave statements unanswered.
    pub silent: AtomicBool,
}

/// A stand-in engine that speaks the platform's protocol. Killing it closes its connections; it accepts new
/// ones on the same address.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    /// Incremented by each kill; connections accepted under an earlier value end.
    incarnation: Arc<AtomicU64>,
    /// Number of statements whose length has been received; their bytes may still be incomplete.
    pub begun: Arc<AtomicU64>,
}

fn line(reader: &mut impl BufRead) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.get(1..)?.trim().parse().ok()
}

fn value(reader: &mut impl BufRead) -> Option<String> {
    let mut value = vec![0; line(reader)? + 2];
    reader.read_exact(&mut value).ok()?;
    value.truncate(value.len() - 2);
    String::from_utf8(value).ok()
}

/// Serves one connection until it ends or the engine is killed.
fn serve(stream: TcpStream, state: &SharedState, incarnation: &AtomicU64, begun: &AtomicU64) -> Option<()> {
    let accepted_in = incarnation.load(Ordering::SeqCst);
    stream.set_read_timeout(Some(Duration::from_millis(20))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::with_capacity(64 << 10, KillableStream { stream, incarnation, accepted_in });
    loop {
        let count = line(&mut reader)?;
        let words: Vec<String> = (0..count.min(3)).map(|_| value(&mut reader)).collect::<Option<_>>()?;
        if words[0] != "GET" {
            (3..count).try_for_each(|_| value(&mut reader).map(drop))?;
            continue;
        }
        let length = line(&mut reader)?;
        begun.fetch_add(1, Ordering::SeqCst);
        let (mut sum, mut left) = (crc32fast::Hasher::new(), length);
        while left > 0 {
            let chunk = reader.fill_buf().ok().filter(|chunk| !chunk.is_empty())?;
            let count = chunk.len().min(left);
            sum.update(&chunk[..count]);
            reader.consume(count);
            left -= count;
        }
        reader.read_exact(&mut [0; 2]).ok()?;
        let number = state.count.fetch_add(1, Ordering::SeqCst) + 1;
        let every = state.full.load(Ordering::SeqCst);
        let full = every > 0 && number % every == 0;
        let (sum, keyed) = (sum.finalize(), words[2].contains("op="));
        let received = ReceivedStatement { sum, at: Instant::now(), keyed, full };
        state.received.lock().expect("not poisoned").entry(words[1].clone()).or_default().push(received);
        if state.silent.load(Ordering::SeqCst) {
            continue;
        }
        let (word, body) = if full { ("full", "") } else { ("data", "1\t2\t3\n") };
        let id = &words[1];
        let fields = "total=1";
        let parts = [id, word, fields, body].map(|part| format!("${}\r\n{part}\r\n", part.len()));
        writer.write_all(format!("*4\r\n{}", parts.concat()).as_bytes()).ok()?;
    }
}

/// A stream that reports end of file once its engine is killed.
struct KillableStream<'a> {
    stream: TcpStream,
    incarnation: &'a AtomicU64,
    accepted_in: u64,
}

impl Read for KillableStream<'_> {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        loop {
            if self.incarnation.load(Ordering::SeqCst) != self.accepted_in {
                return Ok(0);
            }
            match self.stream.read(into) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                end => return end,
            }
        }
    }
}

impl Engine {
    pub fn start(id: &str, state: &Arc<SharedState>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let incarnation = Arc::new(AtomicU64::new(0));
        let begun = Arc::new(AtomicU64::new(0));
        let (engine_state, engine_incarnation, engine_begun) =
            (state.clone(), incarnation.clone(), begun.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (state, incarnation, begun) =
                    (engine_state.clone(), engine_incarnation.clone(), engine_begun.clone());
                std::thread::spawn(move || serve(stream, &state, &incarnation, &begun));
            }
        });
        Self { id: id.into(), address, incarnation, begun }
    }

    /// An engine that appears only in the list: nothing is started for it.
    pub fn nowhere(id: &str, address: SocketAddr) -> Self {
        Self { id: id.into(), address, incarnation: Arc::default(), begun: Arc::default() }
    }

    /// Closes every connection, even in the middle of a statement.
    pub fn kill(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
    }
}

pub fn engines(count: usize) -> (Vec<Engine>, Arc<SharedState>) {
    let state = Arc::new(SharedState::default());
    ((0..count).map(|n| Engine::start(&format!("e{n}"), &state)).collect(), state)
}

/// A client connection to the HTTP listener.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn new(daemon: &Daemon) -> Self {
        Self::at(daemon.http.expect("the HTTP listener is open"))
    }

    pub fn at(server: SocketAddr) -> Self {
        let stream = TcpStream::connect(server).expect("connected");
        stream.set_read_timeout(Some(3 * PATIENCE)).expect("set");
        stream.set_nodelay(true).expect("set");
        Self(BufReader::new(stream))
    }

    pub fn head(&mut self, class: &str, id: u64, key: bool, length: usize) -> std::io::Result<()> {
        let key = if key { format!("X-Unique: k{id:x}\r\n") } else { String::new() };
        let head = format!(
            "POST /invoke/{class} HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: 60000\r\nX-Size-Ms: 20\r\n\
             {key}Content-Length: {length}\r\n\r\n"
        );
        self.send(head.as_bytes())
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Reads an answer; returns its status and whether the connection stays open. Panics on anything but a
    /// complete answer.
    pub fn answer(&mut self) -> (u16, bool) {
        let mut status_line = String::new();
        self.0.read_line(&mut status_line).expect("an answer");
        let status = status_line.split(' ').nth(1).and_then(|s| s.parse().ok());
        let (mut length, mut keep_alive) = (0, true);
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).expect("a field");
            match line.trim().split_once(": ") {
                Some(("Content-Length", value)) => length = value.parse().expect("a length"),
                Some(("Connection", "close")) => keep_alive = false,
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("the complete body");
        (status.unwrap_or_else(|| panic!("no status in {status_line:?}")), keep_alive)
    }
}
