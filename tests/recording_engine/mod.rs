//! An engine of the platform's protocol that records every request that it starts, and answers each with the same
//! result.
#![allow(dead_code)]

use dahliaspoke_simulator::standin::read_command;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request that the engine has started.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub started: Instant,
}

/// How the engine answers.
#[derive(Clone)]
pub struct Behaviour {
    /// Pages of the result, and their rows as text; the protocol allows 6,000 bytes in each.
    pub pages: usize,
    pub page: String,
    /// Work before each answer.
    pub delay: Duration,
    /// Leaves requests unanswered.
    pub is_silent: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { pages: 1, page: "1\t2\t3\n".into(), delay: Duration::ZERO, is_silent: false }
    }
}

#[derive(Default)]
struct Shared {
    runs: Mutex<Vec<Run>>,
    behaviour: Mutex<Behaviour>,
}

pub struct RecordingEngine {
    pub id: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl RecordingEngine {
    pub fn start(id: &str) -> Self {
        Self::start_on(id, TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn start_on(id: &str, listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("bound");
        let shared = Arc::new(Shared::default());
        let accepting = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = accepting.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Self { id: id.into(), address, shared }
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().expect("not poisoned") = behaviour;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().expect("not poisoned").clone()
    }

    /// How often the request with this id was started.
    pub fn runs_of(&self, id: &str) -> usize {
        self.runs().iter().filter(|run| run.id == id).count()
    }
}

/// Serves one connection until it ends.
fn serve(stream: TcpStream, shared: &Arc<Shared>) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(command) = read_command(&mut reader) {
        let behaviour = shared.behaviour.lock().expect("not poisoned").clone();
        let Some(id) = command.get(1) else { continue };
        match command[0].as_str() {
            "GET" => {
                let run = Run { id: id.clone(), started: Instant::now() };
                shared.runs.lock().expect("not poisoned").push(run);
                if !behaviour.is_silent {
                    std::thread::sleep(behaviour.delay);
                    let fields = format!("total={}", behaviour.pages);
                    writer.write_all(&answer(id, "data", &fields, &behaviour.page)).ok()?;
                }
            }
            "PAGE" => {
                let fields = format!("index={}", command[2]);
                writer.write_all(&answer(id, "page", &fields, &behaviour.page)).ok()?;
            }
            _ => {}
        }
    }
    Some(())
}

fn answer(id: &str, word: &str, fields: &str, body: &str) -> Vec<u8> {
    let values = [id, word, fields, body].map(|value| format!("${}\r\n{value}\r\n", value.len()));
    format!("*4\r\n{}", values.concat()).into_bytes()
}
