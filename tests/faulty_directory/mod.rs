//! A directory on loopback whose answers a test spoils: silent, late, truncated, repeated, numbered anew.
#![allow(dead_code)]

use dahliaspoke_simulator::standin::{directory_answer, DirectoryEntry};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The header's flag of an answer that was cut (RFC 1035, 4.1.1), in its third byte.
const TRUNCATED: u8 = 0x02;
/// How long the directory waits for a question before it looks for answers that are due.
const TICK: Duration = Duration::from_millis(2);

/// What the directory does with questions from now on.
#[derive(Clone, Default)]
pub struct Behaviour {
    /// Number of the last event.
    pub serial: u32,
    pub list: Vec<DirectoryEntry>,
    /// Questions are taken and not answered.
    pub silent: bool,
    /// Only questions of the socket that asked first are not answered.
    pub deaf_to_first: bool,
    /// Answers are marked as cut.
    pub truncated: bool,
    /// Answers leave so much later than they were made.
    pub delay: Duration,
    /// Datagrams that are sent ahead of every answer.
    pub ahead: Vec<Vec<u8>>,
    /// The same, under the id of the question that is answered.
    pub ahead_as_answer: Vec<Vec<u8>>,
}

/// What happened so far.
#[derive(Default)]
struct Record {
    answers: Vec<Vec<u8>>,
    askers: Vec<SocketAddr>,
}

/// A directory that answers as it was told last.
pub struct FaultyDirectory {
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    record: Arc<Mutex<Record>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultyDirectory {
    pub fn start(behaviour: Behaviour) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("bound");
        let behaviour = Arc::new(Mutex::new(behaviour));
        let record = Arc::new(Mutex::new(Record::default()));
        let (shared, recorded) = (behaviour.clone(), record.clone());
        std::thread::spawn(move || answer_questions(&socket, &shared, &recorded));
        Self { address, behaviour, record }
    }

    /// Changes what it does from the next question on.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.behaviour));
    }

    /// Every answer that it has sent, as it went out.
    pub fn answers(&self) -> Vec<Vec<u8>> {
        lock(&self.record).answers.clone()
    }

    /// Sockets that have asked, each once, in the order of their first question.
    pub fn askers(&self) -> Vec<SocketAddr> {
        lock(&self.record).askers.clone()
    }
}

fn answer_questions(socket: &UdpSocket, behaviour: &Mutex<Behaviour>, record: &Mutex<Record>) {
    socket.set_read_timeout(Some(TICK)).expect("set");
    let mut under_way: Vec<(Instant, SocketAddr, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 512];
    loop {
        if let Ok((length, asker)) = socket.recv_from(&mut buffer) {
            let now = lock(behaviour).clone();
            let mut record = lock(record);
            if !record.askers.contains(&asker) {
                record.askers.push(asker);
            }
            let deaf = now.silent || now.deaf_to_first && record.askers[0] == asker;
            let answer = directory_answer(&buffer[..length], now.serial, &now.list).filter(|_| !deaf);
            if let Some(mut answer) = answer {
                if now.truncated {
                    answer[2] |= TRUNCATED;
                }
                let as_answer = now.ahead_as_answer.iter().map(|old| [&buffer[..2], &old[2..]].concat());
                let due = Instant::now() + now.delay;
                let ahead = now.ahead.iter().cloned().chain(as_answer);
                under_way.extend(ahead.map(|datagram| (due, asker, datagram)));
                record.answers.push(answer.clone());
                under_way.push((due, asker, answer));
            }
        }
        let (due, later) = under_way.into_iter().partition(|(due, ..)| *due <= Instant::now());
        under_way = later;
        for (_, asker, datagram) in Vec::from_iter::<Vec<_>>(due) {
            let _ = socket.send_to(&datagram, asker); // whoever asked may have gone
        }
    }
}
