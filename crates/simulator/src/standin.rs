//! Stand-ins on sockets: engines that are the model's, in real time, and the directory that names them. Written from
//! the platform's public protocol; loopback only.

use crate::engine::{Admission, Engine, EngineSpec, Job};
use crate::scenario::Class;
use crate::Micros;
use rand_core::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The longest that an engine's clock sleeps: a change wakes it sooner.
const SLEEP: Duration = Duration::from_millis(100);
/// Values of a command at the most, and bytes of one.
const MOST: (usize, usize) = (4, 64 << 20);

type Writer = Arc<Mutex<TcpStream>>;

struct Open {
    id: String,
    connection: u64,
    writer: Writer,
}

struct State {
    engine: Engine,
    open: HashMap<u64, Open>,
    last: u64,
}

struct Inner {
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
    /// Connections of an earlier life end.
    life: AtomicU64,
    up: AtomicBool,
    classes: Vec<Class>,
    served: AtomicU64,
}

/// An engine on the platform's wire.
pub struct Served {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Inner {
    fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Answers all that has ended, and sleeps until the next that will.
    fn tick(&self) {
        loop {
            let mut state = lock(&self.state);
            let over = state.engine.take_finished(self.now());
            let report = state.engine.report();
            for tag in over {
                let Some(open) = state.open.remove(&tag) else { continue };
                self.served.fetch_add(1, Ordering::Relaxed);
                let fields = format!(
                    "total=1,l=busy:{:.3};q:{:.0};x0:{:.3};x1:{:.3}",
                    report.util.unwrap_or_default(),
                    report.queue.unwrap_or_default(),
                    report.memory.unwrap_or_default(),
                    report.disk.unwrap_or_default()
                );
                answer(&open.writer, &open.id, "data", &fields, "1\t2\t3\n");
            }
            let now = self.now();
            let next = state
                .engine
                .next_completion()
                .map_or(SLEEP, |at| Duration::from_micros(at.saturating_sub(now)));
            drop(self.changed.wait_timeout(state, next.min(SLEEP)));
        }
    }

    /// One connection, until it ends or the engine does.
    fn serve(&self, stream: TcpStream, connection: u64) -> Option<()> {
        let own = self.life.load(Ordering::SeqCst);
        stream.set_read_timeout(Some(SLEEP)).ok()?;
        let writer = Arc::new(Mutex::new(stream.try_clone().ok()?));
        let mut reader = BufReader::new(Mortal { stream, life: &self.life, own });
        while let Some(words) = command(&mut reader) {
            match words[0].as_str() {
                "GET" if words.len() == 4 => self.begin(&words, connection, &writer),
                "DROP" | "CLOSE" if words.len() >= 2 => {
                    self.give_up(|open| open.connection == connection && open.id == words[1]);
                }
                "RANK" if words.len() >= 3 => {
                    let mut state = lock(&self.state);
                    let tag = state.open.iter().find(|(_, o)| o.connection == connection && o.id == words[1]);
                    if let Some(tag) = tag.map(|(tag, _)| *tag) {
                        let now = self.now();
                        state.engine.set_priority(now, tag, words[2].parse().unwrap_or(1));
                    }
                }
                "PING" | "LOAD" if words.len() >= 2 => answer(&writer, &words[1], "well", "-", ""),
                _ => break,
            }
            self.changed.notify_all();
        }
        // What was open on it is given up.
        self.give_up(|open| open.connection == connection);
        self.changed.notify_all();
        Some(())
    }

    fn give_up(&self, which: impl Fn(&Open) -> bool) {
        let mut state = lock(&self.state);
        let tags: Vec<u64> = state.open.iter().filter(|(_, open)| which(open)).map(|(tag, _)| *tag).collect();
        for tag in tags {
            state.open.remove(&tag);
            let now = self.now();
            state.engine.cancel(now, tag);
        }
    }

    fn begin(&self, words: &[String], connection: u64, writer: &Writer) {
        let field = |name: &str| {
            words[2]
                .split(',')
                .filter_map(|f| f.split_once('='))
                .find(|(n, _)| *n == name)
                .map(|(_, value)| value)
        };
        let Some(class) = self.classes.iter().find(|class| Some(class.name.as_str()) == field("sort")) else {
            return answer(writer, &words[1], "failed", "-", "");
        };
        // The same request weighs the same on every engine.
        let seed = words[1].bytes().fold(7u64, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)));
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = |mean, cv| LogNormal::from_mean_cv(mean, cv).map_or(mean, |d| d.sample(&mut rng));
        let group = words[3].split("sales_").nth(1).and_then(|rest| rest.split('.').next()?.parse().ok());
        let mut state = lock(&self.state);
        state.last += 1;
        let tag = state.last;
        let job = Job {
            tag,
            work: draw(class.work_ms, class.work_cv),
            io_share: class.io_share,
            threads: class.threads,
            memory: draw(class.memory_mb, 0.5),
            memory_grant: field("pool").and_then(|mb| mb.parse().ok()),
            priority: field("band").and_then(|n| n.parse().ok()).unwrap_or(1),
            table_group: group.unwrap_or(-1),
            is_load: class.is_load,
            yields_to_loads: class.yields_to_loads,
        };
        let open = Open { id: words[1].clone(), connection, writer: writer.clone() };
        state.open.insert(tag, open);
        let now = self.now();
        if state.engine.admit(now, job) != Admission::Accepted {
            state.open.remove(&tag);
            answer(writer, &words[1], "full", "-", "");
        }
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
        while self.life.load(Ordering::SeqCst) == self.own {
            match self.stream.read(into) {
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                end => return end,
            }
        }
        Ok(0)
    }
}

/// A command: an array of up to four bulk strings. `None` where the connection ends or it is none.
pub fn command(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let count = line(reader, b'*')?;
    if count == 0 || count > MOST.0 {
        return None;
    }
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let length = line(reader, b'$').filter(|length| *length <= MOST.1)?;
        let mut value = vec![0; length + 2];
        reader.read_exact(&mut value).ok()?;
        value.truncate(length);
        words.push(String::from_utf8(value).ok()?);
    }
    Some(words)
}

fn line(reader: &mut impl BufRead, mark: u8) -> Option<usize> {
    let mut line = Vec::new();
    reader.take(20).read_until(b'\n', &mut line).ok()?;
    let rest = line.strip_prefix(&[mark])?.strip_suffix(b"\r\n")?;
    std::str::from_utf8(rest).ok()?.parse().ok()
}

fn answer(writer: &Writer, id: &str, word: &str, fields: &str, body: &str) {
    let parts = [id, word, fields, body].map(|part| format!("${}\r\n{part}\r\n", part.len()));
    // Whoever asked may have gone.
    let _ = lock(writer).write_all(format!("*4\r\n{}", parts.concat()).as_bytes());
}

impl Served {
    /// Starts one, warm.
    ///
    /// # Errors
    /// Where there is no port.
    pub fn start(id: &str, spec: EngineSpec, classes: Vec<Class>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { engine: Engine::new(spec), open: HashMap::new(), last: 0 };
        let inner = Arc::new(Inner {
            state: Mutex::new(state),
            changed: Condvar::new(),
            began: Instant::now(),
            life: AtomicU64::new(0),
            up: AtomicBool::new(true),
            classes,
            served: AtomicU64::new(0),
        });
        let ticking = inner.clone();
        std::thread::spawn(move || ticking.tick());
        let shared = inner.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
                let inner = shared.clone();
                // One that is down takes nobody: the connection ends at once.
                if inner.up.load(Ordering::SeqCst) {
                    std::thread::spawn(move || inner.serve(stream, number as u64));
                }
            }
        });
        Ok(Self { id: id.into(), address, inner })
    }

    /// Ends it: what runs is gone, connections break.
    pub fn kill(&self) {
        self.inner.up.store(false, Ordering::SeqCst);
        self.inner.life.fetch_add(1, Ordering::SeqCst);
        let mut state = lock(&self.inner.state);
        let now = self.inner.now();
        state.engine.stop(now);
        state.open.clear();
    }

    /// Starts it anew, cold.
    pub fn restart(&self) {
        let now = self.inner.now();
        lock(&self.inner.state).engine.restart(now);
        self.inner.up.store(true, Ordering::SeqCst);
    }

    /// Queries that it has answered.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.inner.served.load(Ordering::Relaxed)
    }
}

/// An engine as the directory tells it.
#[derive(Clone, Debug)]
pub struct Told {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Where it is.
    pub address: SocketAddr,
    /// It finishes what it has.
    pub drains: bool,
    /// Unix milliseconds of a late start, or 0.
    pub started_ms: u64,
}

/// What the directory holds: the number of the last event, and the list.
type Held = Arc<Mutex<(u32, Vec<Told>)>>;

/// The directory: DNS over UDP, whole lists of SRV records.
pub struct Directory {
    /// Where it answers.
    pub address: SocketAddr,
    held: Held,
}

impl Directory {
    /// Starts one with that list.
    ///
    /// # Errors
    /// Where there is no port.
    pub fn start(list: Vec<Told>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let held: Held = Arc::new(Mutex::new((1, list)));
        let shared = held.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 512];
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let (serial, list) = lock(&shared).clone();
                if let Some(answer) = list_answer(&buffer[..length], serial, &list) {
                    let _ = socket.send_to(&answer, from); // it asks again
                }
            }
        });
        Ok(Self { address, held })
    }

    /// Changes the list; the number of the last event goes up.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Told>)) {
        let mut held = lock(&self.held);
        held.0 += 1;
        change(&mut held.1);
    }
}

fn labels(name: &str) -> Vec<u8> {
    let mut out: Vec<u8> = name.split('.').flat_map(|l| [&[l.len() as u8], l.as_bytes()].concat()).collect();
    out.push(0);
    out
}

fn record(owner: &[u8], kind: u16, data: &[u8]) -> Vec<u8> {
    let length = data.len() as u16;
    [owner, &kind.to_be_bytes(), &[0, 1, 0, 0, 0, 0], &length.to_be_bytes(), data].concat()
}

/// The answer to a query of the list (RFC 1035, 2782); `None` to anything that is none.
#[must_use]
pub fn list_answer(query: &[u8], serial: u32, list: &[Told]) -> Option<Vec<u8>> {
    const SERVICE: &str = "_back._tcp.pool.lan";
    const SRV: u16 = 33;
    const A: u16 = 1;
    const TXT: u16 = 16;
    const SOA: u16 = 6;
    let name = labels(SERVICE);
    let question = query.get(12..).filter(|q| q.starts_with(&name) && q.len() >= name.len() + 4)?;
    let (mut first, mut last) = (Vec::new(), Vec::new());
    for told in list {
        let target = labels(&format!("{}.{}.hosts", told.id, told.zone));
        let port = told.address.port().to_be_bytes();
        let priority = u16::from(told.drains).to_be_bytes();
        first.extend(record(&name, SRV, &[&priority[..], &[0, 10], &port, &target].concat()));
        if let SocketAddr::V4(address) = told.address {
            last.extend(record(&target, A, &address.ip().octets()));
        }
        let started = format!("started={}", told.started_ms);
        let text =
            [&[8], &b"kind=std"[..], &[6], b"cell=0", &[started.len() as u8], started.as_bytes()].concat();
        last.extend(record(&target, TXT, &text));
    }
    let soa = record(&name, SOA, &[&[0, 0], &serial.to_be_bytes()[..], &[0; 16]].concat());
    let counts = [1, list.len() as u16, 1, 2 * list.len() as u16].map(u16::to_be_bytes).concat();
    let question = &question[..name.len() + 4];
    Some([&query[..2], &[0x84, 0], counts.as_slice(), question, &first, &soa, &last].concat())
}
