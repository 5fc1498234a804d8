//! A stand-in engine on the platform's wire that checks what it is sent, and a client of the HTTP door.
#![allow(dead_code)]

use super::daemon::{Daemon, PATIENCE};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What an engine took whole.
pub struct Taken {
    pub sum: u32,
    pub at: Instant,
    pub keyed: bool,
    /// It was turned away unseen.
    pub full: bool,
}

/// What all engines of a run know.
#[derive(Default)]
pub struct Ledger {
    pub received: Mutex<HashMap<String, Vec<Taken>>>,
    /// One in so many attempts is turned away; 0: none.
    pub full: AtomicU64,
    pub count: AtomicU64,
    /// Nothing is answered.
    pub silent: AtomicBool,
}

/// A stand-in engine on the platform's wire, which can be killed and comes back on its address.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    /// Its life: connections end once it has changed.
    life: Arc<AtomicU64>,
    /// Statements of which the beginning came.
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
fn serve(stream: TcpStream, ledger: &Ledger, life: &AtomicU64, begun: &AtomicU64) -> Option<()> {
    let own = life.load(Ordering::SeqCst);
    stream.set_read_timeout(Some(Duration::from_millis(20))).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::with_capacity(64 << 10, Mortal { stream, life, own });
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
            let piece = reader.fill_buf().ok().filter(|piece| !piece.is_empty())?;
            let count = piece.len().min(left);
            sum.update(&piece[..count]);
            reader.consume(count);
            left -= count;
        }
        reader.read_exact(&mut [0; 2]).ok()?;
        let number = ledger.count.fetch_add(1, Ordering::SeqCst) + 1;
        let every = ledger.full.load(Ordering::SeqCst);
        let full = every > 0 && number % every == 0;
        let (sum, keyed) = (sum.finalize(), words[2].contains("op="));
        let received = Taken { sum, at: Instant::now(), keyed, full };
        ledger.received.lock().expect("held").entry(words[1].clone()).or_default().push(received);
        if ledger.silent.load(Ordering::SeqCst) {
            continue;
        }
        let (word, body) = if full { ("full", "") } else { ("data", "1\t2\t3\n") };
        let id = &words[1];
        let fields = "total=1";
        let parts = [id, word, fields, body].map(|part| format!("${}\r\n{part}\r\n", part.len()));
        writer.write_all(format!("*4\r\n{}", parts.concat()).as_bytes()).ok()?;
    }
}

/// A stream that ends with its engine's life.
struct Mortal<'a> {
    stream: TcpStream,
    life: &'a AtomicU64,
    own: u64,
}

impl Read for Mortal<'_> {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        loop {
            if self.life.load(Ordering::SeqCst) != self.own {
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
    pub fn start(id: &str, ledger: &Arc<Ledger>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let life = Arc::new(AtomicU64::new(0));
        let begun = Arc::new(AtomicU64::new(0));
        let (shared, lives, starts) = (ledger.clone(), life.clone(), begun.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (ledger, life, begun) = (shared.clone(), lives.clone(), starts.clone());
                std::thread::spawn(move || serve(stream, &ledger, &life, &begun));
            }
        });
        Self { id: id.into(), address, life, begun }
    }

    /// One that is in the list only.
    pub fn nowhere(id: &str, address: SocketAddr) -> Self {
        Self { id: id.into(), address, life: Arc::default(), begun: Arc::default() }
    }

    /// Every connection ends, whatever is on it.
    pub fn kill(&self) {
        self.life.fetch_add(1, Ordering::SeqCst);
    }
}

pub fn engines(count: usize) -> (Vec<Engine>, Arc<Ledger>) {
    let ledger = Arc::new(Ledger::default());
    ((0..count).map(|n| Engine::start(&format!("e{n}"), &ledger)).collect(), ledger)
}

/// A client's connection.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn new(daemon: &Daemon) -> Self {
        Self::at(daemon.http.expect("open"))
    }

    pub fn at(door: SocketAddr) -> Self {
        let stream = TcpStream::connect(door).expect("connected");
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

    /// The status of the answer, and whether the connection goes on. Anything else in place of one is a loss.
    pub fn answer(&mut self) -> (u16, bool) {
        let mut first = String::new();
        self.0.read_line(&mut first).expect("an answer");
        let status = first.split(' ').nth(1).and_then(|s| s.parse().ok());
        let (mut length, mut stays) = (0, true);
        loop {
            let mut line = String::new();
            self.0.read_line(&mut line).expect("a field");
            match line.trim().split_once(": ") {
                Some(("Content-Length", value)) => length = value.parse().expect("a length"),
                Some(("Connection", "close")) => stays = false,
                Some(_) => {}
                None => break,
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("all of it");
        (status.unwrap_or_else(|| panic!("no status in {first:?}")), stays)
    }
}
