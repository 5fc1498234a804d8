//! Queries through a coordinator's HTTP door to engines of the rig, and an auditor: exactly one final answer each, and
//! nothing that may have run is sent again but as its class allows.

use dahliaspoke_simulator::standin::read_command;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// What an engine does with what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// Serves it.
    Serve,
    /// Says that it failed: it may have run.
    Fail,
    /// Says that it is full: it never ran.
    Full,
    /// Resets the connection: it may have run.
    Reset,
}

/// What the engines were sent: by id, whether each attempt may have run.
type Sent = Arc<Mutex<BTreeMap<String, Vec<bool>>>>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Engines that keep what they were sent.
pub struct Engines {
    /// By id, where each listens.
    pub list: Vec<(String, SocketAddr)>,
    manners: Vec<Arc<Mutex<Manner>>>,
    sent: Sent,
    connections: Vec<Arc<AtomicUsize>>,
}

impl Engines {
    /// Starts so many.
    ///
    /// # Panics
    /// Where there is no port.
    #[must_use]
    pub fn start(count: usize) -> Self {
        let sent = Sent::default();
        let (mut list, mut manners, mut connections) = (Vec::new(), Vec::new(), Vec::new());
        for n in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
            list.push((format!("e{n}"), listener.local_addr().expect("bound")));
            let manner = Arc::new(Mutex::new(Manner::Serve));
            manners.push(manner.clone());
            let (sent, come) = (sent.clone(), Arc::new(AtomicUsize::new(0)));
            connections.push(come.clone());
            std::thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    come.fetch_add(1, Ordering::SeqCst);
                    let (manner, sent) = (manner.clone(), sent.clone());
                    std::thread::spawn(move || serve(stream, &manner, &sent));
                }
            });
        }
        Self { list, manners, sent, connections }
    }

    /// Connections that have come to one of them.
    #[must_use]
    pub fn connections(&self, at: usize) -> usize {
        self.connections[at].load(Ordering::SeqCst)
    }

    /// The requests that they were sent, each once.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        lock(&self.sent).keys().cloned().collect()
    }

    /// Changes what one of them does.
    pub fn manner(&self, at: usize, manner: Manner) {
        *lock(&self.manners[at]) = manner;
    }
}

/// One connection, until it ends.
fn serve(stream: TcpStream, manner: &Mutex<Manner>, sent: &Sent) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let words = read_command(&mut reader)?;
        let word = match (words[0].as_str(), *lock(manner)) {
            ("GET", Manner::Serve) => "data",
            ("GET", Manner::Fail) => "failed",
            ("GET", Manner::Full) => "full",
            ("GET", Manner::Reset) => "",
            ("PING" | "LOAD", _) => "well",
            _ => continue, // DROP, RANK and CLOSE are not answered
        };
        if words[0] == "GET" {
            lock(sent).entry(words[1].clone()).or_default().push(word != "full");
        }
        if word.is_empty() {
            let _ = rustix::net::connect_unspec(&writer); // aborts it
            return None;
        }
        let (fields, body) = if word == "data" { ("total=1", "1\t2\t3\n") } else { ("-", "") };
        let parts = [words[1].as_str(), word, fields, body].map(|p| format!("${}\r\n{p}\r\n", p.len()));
        writer.write_all(format!("*4\r\n{}", parts.concat()).as_bytes()).ok()?;
    }
}

/// How often a class may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// As often as one likes.
    Freely,
    /// Not at all.
    Never,
}

/// What clients asked and were told.
#[derive(Default)]
pub struct Audit {
    asked: Mutex<BTreeMap<String, (Repeats, Vec<u16>)>>,
}

impl Audit {
    /// Asks one query on a connection of its own, and looks whether more than one answer came: what answers a health
    /// call after it must be the health. `None` where the connection failed before an answer.
    pub fn ask(&self, door: SocketAddr, class: &str, repeats: Repeats, id: u64) -> Option<u16> {
        let id = format!("{id:016x}");
        lock(&self.asked).insert(id.clone(), (repeats, Vec::new()));
        let stream = TcpStream::connect(door).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(30))).ok()?;
        let mut reader = BufReader::new(stream);
        let body = "SELECT n FROM sales_1.orders";
        let call = format!(
            "POST /invoke/{class} HTTP/1.1\r\nX-Job-Id: {id}\r\nX-Allow-Ms: 3000\r\nX-Size-Ms: 2\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        reader.get_mut().write_all(call.as_bytes()).ok()?;
        let (status, text) = answer(&mut reader)?;
        // Not served, in the platform's words: a refusal, or a failure.
        let status = if status == 200 && text.contains("\"err\"") { 500 } else { status };
        let mut told = vec![status];
        // A door that closes after its answer has no second one.
        if reader.get_mut().write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").is_ok() {
            if let Some((next, text)) = answer(&mut reader) {
                if next != 200 || text.contains("page") || text.contains("err") {
                    told.push(next);
                }
            }
        }
        if let Some(held) = lock(&self.asked).get_mut(&id) {
            held.1 = told;
        }
        Some(status)
    }

    /// What is wrong, a line each; and how many were served, refused and failed.
    pub fn verdict(&self, engines: &Engines) -> (Vec<String>, [usize; 3]) {
        let (asked, sent) = (lock(&self.asked), lock(&engines.sent));
        let (mut wrong, mut counts) = (Vec::new(), [0; 3]);
        for (id, (repeats, told)) in asked.iter() {
            let none = Vec::new();
            let ran = sent.get(id).unwrap_or(&none).iter().filter(|may| **may).count();
            match told.as_slice() {
                [200] => counts[0] += 1,
                [429 | 503] => counts[1] += 1,
                [_] => counts[2] += 1,
                told => wrong.push(format!("{id} had {} answers: {told:?}", told.len())),
            }
            if *repeats == Repeats::Never && ran > 1 {
                wrong.push(format!("{id} must not be repeated, and may have run {ran} times"));
            }
            if *repeats == Repeats::Never && ran > 0 && matches!(told.as_slice(), [429 | 503]) {
                wrong.push(format!("{id} was refused, and may have run"));
            }
        }
        (wrong, counts)
    }
}

/// An answer whole: its status and body.
fn answer(reader: &mut BufReader<TcpStream>) -> Option<(u16, String)> {
    let (mut status, mut length) = (None, 0);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if status.is_none() {
            status = line.split(' ').nth(1)?.parse().ok();
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status?, String::from_utf8_lossy(&body).into_owned()))
}
