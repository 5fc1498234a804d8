//! A directory on loopback whose responses a test can make faulty: missing, late, truncated, repeated or
//! renumbered.
#![allow(dead_code)]

use dahliaspoke_simulator::standin::{directory_answer, DirectoryEntry};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The header's TC flag (RFC 1035, 4.1.1), in its third byte.
const TRUNCATED: u8 = 0x02;
/// Maximum wait for a query, after which the responses that are due are sent.
const TICK: Duration = Duration::from_millis(2);

/// How the directory responds to queries.
#[derive(Clone, Default)]
pub struct Behaviour {
    /// Number of the last event.
    pub serial: u32,
    /// The engines that it lists.
    pub list: Vec<DirectoryEntry>,
    /// Queries are received and not answered.
    pub silent: bool,
    /// Queries from the socket that queried first are not answered; others are.
    pub ignores_first_socket: bool,
    /// Responses are marked as truncated.
    pub truncated: bool,
    /// Delay before a response is sent.
    pub delay: Duration,
    /// Datagrams that are sent ahead of every response.
    pub ahead: Vec<Vec<u8>>,
    /// Old responses that are sent ahead of every response, with the id of the query that is answered.
    pub ahead_as_response: Vec<Vec<u8>>,
}

/// The responses sent and the clients seen so far.
#[derive(Default)]
struct Record {
    responses: Vec<Vec<u8>>,
    clients: Vec<SocketAddr>,
}

/// A directory that responds according to its current behaviour.
pub struct FaultyDirectory {
    pub address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    record: Arc<Mutex<Record>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FaultyDirectory {
    /// Starts the directory on a free port.
    pub fn start(behaviour: Behaviour) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("bound");
        let behaviour = Arc::new(Mutex::new(behaviour));
        let record = Arc::new(Mutex::new(Record::default()));
        let (shared, recorded) = (behaviour.clone(), record.clone());
        std::thread::spawn(move || answer_queries(&socket, &shared, &recorded));
        Self { address, behaviour, record }
    }

    /// Changes the behaviour from the next query on.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.behaviour));
    }

    /// Every response created so far.
    pub fn responses(&self) -> Vec<Vec<u8>> {
        lock(&self.record).responses.clone()
    }

    /// Sockets that have sent queries, each once, in the order of their first query.
    pub fn clients(&self) -> Vec<SocketAddr> {
        lock(&self.record).clients.clone()
    }
}

fn answer_queries(socket: &UdpSocket, behaviour: &Mutex<Behaviour>, record: &Mutex<Record>) {
    socket.set_read_timeout(Some(TICK)).expect("set");
    let mut in_flight: Vec<(Instant, SocketAddr, Vec<u8>)> = Vec::new();
    let mut buffer = [0; 512];
    loop {
        if let Ok((length, client)) = socket.recv_from(&mut buffer) {
            let current = lock(behaviour).clone();
            let mut record = lock(record);
            if !record.clients.contains(&client) {
                record.clients.push(client);
            }
            let is_ignored = current.silent || current.ignores_first_socket && record.clients[0] == client;
            let answer =
                directory_answer(&buffer[..length], current.serial, &current.list).filter(|_| !is_ignored);
            if let Some(mut answer) = answer {
                if current.truncated {
                    answer[2] |= TRUNCATED;
                }
                let as_response =
                    current.ahead_as_response.iter().map(|old| [&buffer[..2], &old[2..]].concat());
                let due = Instant::now() + current.delay;
                let ahead = current.ahead.iter().cloned().chain(as_response);
                in_flight.extend(ahead.map(|datagram| (due, client, datagram)));
                record.responses.push(answer.clone());
                in_flight.push((due, client, answer));
            }
        }
        let (due, later) = in_flight.into_iter().partition(|(due, ..)| *due <= Instant::now());
        in_flight = later;
        for (_, client, datagram) in Vec::from_iter::<Vec<_>>(due) {
            let _ = socket.send_to(&datagram, client); // the client may have gone
        }
    }
}
