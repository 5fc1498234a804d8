//! Engines that record what they are sent.

use super::lock;
use dahliaspoke_simulator::standin::read_command;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// What an engine does with queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineBehaviour {
    /// Serves them.
    Serve,
    /// Answers that they failed: they may have run.
    Fail,
    /// Answers that it is full: they never ran.
    Full,
    /// Resets the connection: they may have run.
    Reset,
}

/// What the engines were sent: by id, whether each attempt may have run.
type Attempts = Arc<Mutex<BTreeMap<String, Vec<bool>>>>;

/// One engine.
#[derive(Clone)]
struct StubEngine {
    behaviour: Arc<Mutex<EngineBehaviour>>,
    attempts: Attempts,
    /// Connections that were opened to it.
    connections: Arc<AtomicUsize>,
}

/// Engines that record what they are sent.
pub struct StubEngines {
    /// Their ids, and where each listens.
    pub list: Vec<(String, SocketAddr)>,
    engines: Vec<StubEngine>,
    attempts: Attempts,
}

impl StubEngines {
    /// Starts this many, which serve.
    ///
    /// # Panics
    /// Where no port can be bound.
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

    /// Connections that were opened to one of them.
    #[must_use]
    pub fn connections(&self, at: usize) -> usize {
        self.engines[at].connections.load(Ordering::SeqCst)
    }

    /// Ids of the queries that they were sent, each once.
    #[must_use]
    pub fn ids(&self) -> Vec<String> {
        lock(&self.attempts).keys().cloned().collect()
    }

    /// Sets what one of them does.
    pub fn set_behaviour(&self, at: usize, behaviour: EngineBehaviour) {
        *lock(&self.engines[at].behaviour) = behaviour;
    }

    /// How often each query may have run.
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

    /// Serves a connection until it ends.
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
                _ => continue, // DROP, RANK and CLOSE are not answered
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
