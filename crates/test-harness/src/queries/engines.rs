//! Stub engines that record the queries they receive.

use super::lock;
use dahliaspoke_simulator::standin::read_command;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// How an engine responds to queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineBehaviour {
    /// Serves them.
    Serve,
    /// Answers that they failed; they count as possibly executed.
    Fail,
    /// Answers that it is full; they were not executed.
    Full,
    /// Resets the connection; they count as possibly executed.
    Reset,
}

/// For each query id, one entry per attempt: whether the attempt may have run.
type Attempts = Arc<Mutex<BTreeMap<String, Vec<bool>>>>;

/// A stub engine.
#[derive(Clone)]
struct StubEngine {
    behaviour: Arc<Mutex<EngineBehaviour>>,
    attempts: Attempts,
    /// Number of accepted connections.
    connections: Arc<AtomicUsize>,
}

/// A set of stub engines that record the queries they receive.
pub struct StubEngines {
    /// The id and the address of each engine.
    pub list: Vec<(String, SocketAddr)>,
    engines: Vec<StubEngine>,
    attempts: Attempts,
}

impl StubEngines {
    /// Starts `count` engines that serve queries.
    ///
    /// # Panics
    /// If no port can be bound.
    #[must_use]
    pub fn start(count: usize) -> Self {
        let attempts = Attempts::default();
        let (mut list, mut engines) = (Vec::new(), Vec::new());
        for number in 0..count {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
            list.push((format!("e{number}"), listener.local_addr().expect("bound")));
            let engine = StubEngine {
                behaviour: Arc::new(Mutex::new(EngineBehaviour::Serve)),
                attempts: attempts.clone(),
                connections: Arc::default(),
            };
            engines.push(engine.clone());
            std::thread::spawn(move || engine.accept(&listener));
        }
        Self { list, engines, attempts }
    }

    /// Number of connections accepted by one engine.
    #[must_use]
    pub fn connections(&self, position: usize) -> usize {
        self.engines[position].connections.load(Ordering::SeqCst)
    }

    /// The distinct ids of the queries that any engine received.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        lock(&self.attempts).keys().cloned().collect()
    }

    /// Sets the behaviour of one engine.
    pub fn set_behaviour(&self, position: usize, behaviour: EngineBehaviour) {
        *lock(&self.engines[position].behaviour) = behaviour;
    }

    /// For each query id, the number of attempts that may have run.
    pub(super) fn possible_runs(&self) -> BTreeMap<String, usize> {
        let count = |attempts: &Vec<bool>| attempts.iter().filter(|may_have_run| **may_have_run).count();
        lock(&self.attempts).iter().map(|(id, attempts)| (id.clone(), count(attempts))).collect()
    }
}

impl StubEngine {
    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().map_while(Result::ok) {
            self.connections.fetch_add(1, Ordering::SeqCst);
            let engine = self.clone();
            std::thread::spawn(move || engine.serve(stream));
        }
    }

    /// Serves a connection until it ends, fails or is reset.
    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        loop {
            let command = read_command(&mut reader)?;
            let status = match (command[0].as_str(), *lock(&self.behaviour)) {
                ("GET", EngineBehaviour::Serve) => "data",
                ("GET", EngineBehaviour::Fail) => "failed",
                ("GET", EngineBehaviour::Full) => "full",
                ("GET", EngineBehaviour::Reset) => {
                    self.record_attempt(&command[1], true);
                    let _ = rustix::net::connect_unspec(&writer); // aborts the connection
                    return None;
                }
                ("PING" | "LOAD", _) => "well",
                _ => continue, // DROP, RANK and CLOSE get no answer
            };
            if command[0] == "GET" {
                self.record_attempt(&command[1], status != "full");
            }
            writer.write_all(answer(&command[1], status).as_bytes()).ok()?;
        }
    }

    fn record_attempt(&self, id: &str, may_have_run: bool) {
        lock(&self.attempts).entry(id.to_string()).or_default().push(may_have_run);
    }
}

fn answer(id: &str, status: &str) -> String {
    let (fields, body) = if status == "data" { ("total=1", "1\t2\t3\n") } else { ("-", "") };
    let values = [id, status, fields, body].map(|value| format!("${}\r\n{value}\r\n", value.len()));
    format!("*4\r\n{}", values.concat())
}
