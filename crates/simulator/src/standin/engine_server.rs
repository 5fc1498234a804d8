//! Engines of the model, served over the platform's wire protocol in real time.

use super::lock;
use super::wire::{read_command, AnswerWriter};
use crate::engine::{Admission, Engine, EngineSpec, Job};
use crate::scenario::Class;
use crate::Micros;
use rand_core::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io::{BufReader, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Longest wait of an engine's clock thread, which a change wakes sooner, and of a read on a connection.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Coefficient of variation of the memory that queries need.
const MEMORY_CV: f64 = 0.5;
/// Priority of queries that specify none.
const DEFAULT_PRIORITY: u8 = 1;
/// Table group of queries that specify none.
const NO_TABLE_GROUP: i64 = -1;
/// The rows that every query returns.
const ROWS: &str = "1\t2\t3\n";

struct OpenQuery {
    id: String,
    connection: u64,
    writer: AnswerWriter,
}

struct State {
    engine: Engine,
    /// Queries by their tags in the engine.
    open: HashMap<u64, OpenQuery>,
    last_tag: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
    /// Incremented when the engine is killed; connections of earlier incarnations end.
    incarnation: AtomicU64,
    up: AtomicBool,
    classes: Vec<Class>,
    served: AtomicU64,
}

/// An engine served over the platform's wire protocol.
pub struct EngineServer {
    /// Its id.
    pub id: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl EngineServer {
    /// Starts an engine with its full capacity.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(id: &str, spec: EngineSpec, classes: Vec<Class>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { engine: Engine::new(spec), open: HashMap::new(), last_tag: 0 };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
            incarnation: AtomicU64::new(0),
            up: AtomicBool::new(true),
            classes,
            served: AtomicU64::new(0),
        });
        let clock = shared.clone();
        std::thread::spawn(move || clock.run_clock());
        let acceptor = shared.clone();
        std::thread::spawn(move || accept(&listener, &acceptor));
        Ok(Self { id: id.into(), address, shared })
    }

    /// Kills it: its queries are lost and its connections break.
    pub fn kill(&self) {
        self.shared.up.store(false, Ordering::SeqCst);
        self.shared.incarnation.fetch_add(1, Ordering::SeqCst);
        let mut state = lock(&self.shared.state);
        let now = self.shared.now();
        state.engine.stop(now);
        state.open.clear();
    }

    /// Restarts it with a warm-up.
    pub fn restart(&self) {
        let now = self.shared.now();
        lock(&self.shared.state).engine.restart(now);
        self.shared.up.store(true, Ordering::SeqCst);
    }

    /// Queries that it has served.
    #[must_use]
    pub fn served(&self) -> u64 {
        self.shared.served.load(Ordering::Relaxed)
    }
}

/// Serves each connection on a thread; connections to an engine that is down are closed immediately.
fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
        let shared = shared.clone();
        if shared.up.load(Ordering::SeqCst) {
            std::thread::spawn(move || shared.serve(stream, number as u64));
        }
    }
}

impl Shared {
    fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Answers queries as they finish, and sleeps until the next one does.
    fn run_clock(&self) {
        loop {
            let mut state = lock(&self.state);
            let finished = state.engine.take_finished(self.now());
            let fields = load_report_fields(&state.engine);
            for tag in finished {
                let Some(query) = state.open.remove(&tag) else { continue };
                self.served.fetch_add(1, Ordering::Relaxed);
                query.writer.answer(&query.id, "data", &fields, ROWS);
            }
            let now = self.now();
            let until = |at: Micros| Duration::from_micros(at.saturating_sub(now));
            let sleep = state.engine.next_completion().map_or(MAX_SLEEP, until);
            drop(self.changed.wait_timeout(state, sleep.min(MAX_SLEEP)));
        }
    }

    /// Serves a connection until it ends or the engine is killed.
    fn serve(&self, stream: TcpStream, connection: u64) -> Option<()> {
        let incarnation = self.incarnation.load(Ordering::SeqCst);
        stream.set_read_timeout(Some(MAX_SLEEP)).ok()?;
        let writer = AnswerWriter::new(stream.try_clone().ok()?);
        let stream = IncarnationStream { stream, current: &self.incarnation, incarnation };
        let mut reader = BufReader::new(stream);
        while let Some(command) = read_command(&mut reader) {
            if self.handle(&command, connection, &writer).is_none() {
                break;
            }
            self.changed.notify_all();
        }
        self.cancel(|query| query.connection == connection);
        self.changed.notify_all();
        Some(())
    }

    /// Handles a command; `None` if it is unknown or malformed.
    fn handle(&self, command: &[String], connection: u64, writer: &AnswerWriter) -> Option<()> {
        match command[0].as_str() {
            "GET" if command.len() == 4 => self.start_query(command, connection, writer),
            "DROP" | "CLOSE" if command.len() >= 2 => {
                self.cancel(|query| query.connection == connection && query.id == command[1]);
            }
            "RANK" if command.len() >= 3 => {
                let priority = command[2].parse().unwrap_or(DEFAULT_PRIORITY);
                self.set_priority(connection, &command[1], priority);
            }
            "PING" | "LOAD" if command.len() >= 2 => writer.answer(&command[1], "well", "-", ""),
            _ => return None,
        }
        Some(())
    }

    fn cancel(&self, selects: impl Fn(&OpenQuery) -> bool) {
        let mut state = lock(&self.state);
        let selected = state.open.iter().filter(|(_, query)| selects(query));
        let tags: Vec<u64> = selected.map(|(tag, _)| *tag).collect();
        for tag in tags {
            state.open.remove(&tag);
            let now = self.now();
            state.engine.cancel(now, tag);
        }
    }

    fn set_priority(&self, connection: u64, id: &str, priority: u8) {
        let mut state = lock(&self.state);
        let is_target = |query: &OpenQuery| query.connection == connection && query.id == id;
        let tag = state.open.iter().find(|(_, query)| is_target(query)).map(|(tag, _)| *tag);
        if let Some(tag) = tag {
            let now = self.now();
            state.engine.set_priority(now, tag, priority);
        }
    }

    /// Starts the query of a `GET` command: its id, its fields and its text.
    fn start_query(&self, command: &[String], connection: u64, writer: &AnswerWriter) {
        let (id, fields) = (&command[1], &command[2]);
        let name = field(fields, "sort");
        let Some(class) = self.classes.iter().find(|class| Some(class.name.as_str()) == name) else {
            return writer.answer(id, "failed", "-", "");
        };
        let mut state = lock(&self.state);
        state.last_tag += 1;
        let tag = state.last_tag;
        let job = job(tag, class, command);
        let query = OpenQuery { id: id.clone(), connection, writer: writer.clone() };
        state.open.insert(tag, query);
        let now = self.now();
        if state.engine.admit(now, job) != Admission::Accepted {
            state.open.remove(&tag);
            writer.answer(id, "full", "-", "");
        }
    }
}

/// The job of a `GET` command. A request has the same work on every engine.
fn job(tag: u64, class: &Class, command: &[String]) -> Job {
    let (id, fields, text) = (&command[1], &command[2], &command[3]);
    let mix = |sum: u64, byte: u8| sum.wrapping_mul(31).wrapping_add(u64::from(byte));
    let mut rng = Pcg64Mcg::seed_from_u64(id.bytes().fold(7, mix));
    let mut draw = |mean, cv| LogNormal::from_mean_cv(mean, cv).map_or(mean, |d| d.sample(&mut rng));
    let table_group = text.split("sales_").nth(1).and_then(|rest| rest.split('.').next()?.parse().ok());
    Job {
        tag,
        work: draw(class.work_ms, class.work_cv),
        io_share: class.io_share,
        threads: class.threads,
        memory: draw(class.memory_mb, MEMORY_CV),
        memory_grant: field(fields, "pool").and_then(|mb| mb.parse().ok()),
        priority: field(fields, "band").and_then(|band| band.parse().ok()).unwrap_or(DEFAULT_PRIORITY),
        table_group: table_group.unwrap_or(NO_TABLE_GROUP),
        is_load: class.is_load,
        yields_to_loads: class.yields_to_loads,
    }
}

/// The value of a field in `name=value,name=value`.
fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
    pairs.find(|(own, _)| *own == name).map(|(_, value)| value)
}

/// The fields of an answer with rows: the number of rows and the engine's load.
fn load_report_fields(engine: &Engine) -> String {
    let report = engine.report();
    format!(
        "total=1,l=busy:{:.3};q:{:.0};x0:{:.3};x1:{:.3}",
        report.util.unwrap_or_default(),
        report.queue.unwrap_or_default(),
        report.memory.unwrap_or_default(),
        report.disk.unwrap_or_default()
    )
}

/// A stream that ends when the engine is killed.
struct IncarnationStream<'a> {
    stream: TcpStream,
    current: &'a AtomicU64,
    /// The incarnation that accepted the connection.
    incarnation: u64,
}

impl Read for IncarnationStream<'_> {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        while self.current.load(Ordering::SeqCst) == self.incarnation {
            match self.stream.read(into) {
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                result => return result,
            }
        }
        Ok(0)
    }
}
