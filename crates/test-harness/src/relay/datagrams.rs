//! UDP links that drop, duplicate, reorder and delay datagrams.

use super::{lock, Direction};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Faults of one direction. Shares range from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Share of datagrams dropped.
    pub lost: f64,
    /// Share of datagrams forwarded twice.
    pub duplicated: f64,
    /// Share of datagrams forwarded after the next one.
    pub reordered: f64,
    /// Delay added to each datagram (ms). It also delays those behind it.
    pub delay_ms: u64,
}

/// The faults of both directions.
type SharedFaults = Arc<Mutex<[DatagramFaults; 2]>>;

/// A UDP link.
pub struct DatagramRelay {
    /// The address that it listens on.
    pub address: SocketAddr,
    faults: SharedFaults,
}

impl DatagramRelay {
    /// Starts a link to `target`; `seed` determines which datagrams the faults affect.
    ///
    /// # Errors
    /// If no port can be bound.
    pub fn start(target: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = socket.local_addr()?;
        let faults = SharedFaults::default();
        let forwarder = Forwarder { socket, target, seed, faults: faults.clone(), upstreams: HashMap::new() };
        std::thread::spawn(move || forwarder.run());
        Ok(Self { address, faults })
    }

    /// Sets the faults of a direction.
    pub fn set_faults(&self, direction: Direction, faults: DatagramFaults) {
        lock(&self.faults)[direction as usize] = faults;
    }
}

/// Forwards datagrams from clients to the target, and answers back to the clients.
struct Forwarder {
    socket: UdpSocket,
    target: SocketAddr,
    seed: u64,
    faults: SharedFaults,
    /// A separate socket towards the target for each client, so that each answer is forwarded to the right
    /// client.
    upstreams: HashMap<SocketAddr, Arc<UdpSocket>>,
}

impl Forwarder {
    fn run(mut self) {
        let mut model = FaultModel::new(self.seed);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((length, client)) = self.socket.recv_from(&mut buffer) {
            let upstream = self.upstream(client);
            let faults = lock(&self.faults)[Direction::Out as usize];
            model.forward(faults, &buffer[..length], |bytes| {
                if let Some(upstream) = &upstream {
                    let _ = upstream.send_to(bytes, self.target); // the target may have closed its socket
                }
            });
        }
    }

    fn upstream(&mut self, client: SocketAddr) -> Option<Arc<UdpSocket>> {
        if let Some(upstream) = self.upstreams.get(&client) {
            return Some(upstream.clone());
        }
        let upstream = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).ok()?);
        let socket = self.socket.try_clone().ok()?;
        let (answers, faults) = (upstream.clone(), self.faults.clone());
        let model = FaultModel::new(self.seed ^ u64::from(client.port()));
        std::thread::spawn(move || forward_answers(&answers, &socket, client, &faults, model));
        self.upstreams.insert(client, upstream.clone());
        Some(upstream)
    }
}

fn forward_answers(
    answers: &UdpSocket,
    socket: &UdpSocket,
    client: SocketAddr,
    faults: &SharedFaults,
    mut model: FaultModel,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((length, _)) = answers.recv_from(&mut buffer) {
        let faults = lock(faults)[Direction::Back as usize];
        model.forward(faults, &buffer[..length], |bytes| {
            let _ = socket.send_to(bytes, client); // the client may have closed its socket
        });
    }
}

/// Applies random faults to datagrams.
struct FaultModel {
    rng: Pcg64Mcg,
    /// A datagram held back until the next one has been sent.
    delayed: Option<Vec<u8>>,
}

impl FaultModel {
    fn new(seed: u64) -> Self {
        Self { rng: Pcg64Mcg::seed_from_u64(seed), delayed: None }
    }

    /// A random number in [0, 1).
    fn draw(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn forward(&mut self, faults: DatagramFaults, bytes: &[u8], mut send: impl FnMut(&[u8])) {
        if self.draw() < faults.lost {
            return;
        }
        if faults.delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(faults.delay_ms));
        }
        if self.draw() < faults.reordered && self.delayed.is_none() {
            self.delayed = Some(bytes.to_vec());
            return;
        }
        send(bytes);
        if self.draw() < faults.duplicated {
            send(bytes);
        }
        if let Some(delayed) = self.delayed.take() {
            send(&delayed);
        }
    }
}
