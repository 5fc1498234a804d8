//! The directory: DNS over UDP, complete lists of SRV records (RFC 1035, RFC 2782).

use super::lock;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

/// The name under which the engines are listed.
const SERVICE: &str = "_back._tcp.pool.lan";
/// Record type of host addresses.
const TYPE_A: u16 = 1;
/// Record type of zone serials.
const TYPE_SOA: u16 = 6;
/// Record type of texts.
const TYPE_TXT: u16 = 16;
/// Record type of services.
const TYPE_SRV: u16 = 33;
/// Length of a header (bytes).
const HEADER_BYTES: usize = 12;
/// Length of the type and class after the name of a question (bytes).
const QUESTION_TAIL_BYTES: usize = 4;
/// Flags of an answer: response, authoritative.
const ANSWER_FLAGS: [u8; 2] = [0x84, 0];
/// Maximum length of a query (bytes).
const MAX_QUERY_BYTES: usize = 512;

/// An engine as the directory lists it.
#[derive(Clone, Debug)]
pub struct DirectoryEntry {
    /// Its id.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Whether it drains.
    pub drains: bool,
    /// Time of its last restart (Unix ms); 0 if it has not restarted.
    pub started_ms: u64,
}

/// What the directory lists.
#[derive(Clone)]
struct Listing {
    /// Serial number, which increases with each change.
    serial: u32,
    entries: Vec<DirectoryEntry>,
}

/// A directory on loopback.
pub struct Directory {
    /// The address on which it answers.
    pub address: SocketAddr,
    listing: Arc<Mutex<Listing>>,
}

impl Directory {
    /// Starts a directory that lists these engines.
    ///
    /// # Errors
    /// Returns an error if no port can be bound.
    pub fn start(entries: Vec<DirectoryEntry>) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        let listing = Arc::new(Mutex::new(Listing { serial: 1, entries }));
        let shared = listing.clone();
        std::thread::spawn(move || answer_queries(&socket, &shared));
        Ok(Self { address, listing })
    }

    /// Changes the list, with a new serial.
    pub fn change(&self, change: impl FnOnce(&mut Vec<DirectoryEntry>)) {
        let mut listing = lock(&self.listing);
        listing.serial += 1;
        change(&mut listing.entries);
    }
}

fn answer_queries(socket: &UdpSocket, listing: &Mutex<Listing>) {
    let mut buffer = [0; MAX_QUERY_BYTES];
    while let Ok((length, from)) = socket.recv_from(&mut buffer) {
        let Listing { serial, entries } = lock(listing).clone();
        if let Some(answer) = directory_answer(&buffer[..length], serial, &entries) {
            let _ = socket.send_to(&answer, from); // the coordinator will ask again
        }
    }
}

/// The answer to a query for the list, with all engines and the serial; `None` for any other query.
#[must_use]
pub fn directory_answer(query: &[u8], serial: u32, entries: &[DirectoryEntry]) -> Option<Vec<u8>> {
    let name = labels(SERVICE);
    let length = name.len() + QUESTION_TAIL_BYTES;
    let question = query.get(HEADER_BYTES..)?;
    let question = question.get(..length).filter(|question| question.starts_with(&name))?;
    let (mut services, mut hosts) = (Vec::new(), Vec::new());
    for entry in entries {
        let host = labels(&format!("{}.{}.hosts", entry.id, entry.zone));
        services.extend(service_record(&name, &host, entry));
        hosts.extend(host_records(&host, entry));
    }
    let soa = record(&name, TYPE_SOA, &[&[0, 0], &serial.to_be_bytes()[..], &[0; 16]].concat());
    let count = entries.len() as u16;
    let counts = [1, count, 1, 2 * count].map(u16::to_be_bytes).concat();
    Some([&query[..2], &ANSWER_FLAGS, counts.as_slice(), question, &services, &soa, &hosts].concat())
}

fn service_record(service: &[u8], host: &[u8], entry: &DirectoryEntry) -> Vec<u8> {
    let priority = u16::from(entry.drains).to_be_bytes();
    let weight = 10u16.to_be_bytes();
    let port = entry.address.port().to_be_bytes();
    record(service, TYPE_SRV, &[&priority[..], &weight, &port, host].concat())
}

fn host_records(host: &[u8], entry: &DirectoryEntry) -> Vec<u8> {
    let mut records = Vec::new();
    if let SocketAddr::V4(address) = entry.address {
        records.extend(record(host, TYPE_A, &address.ip().octets()));
    }
    let started = format!("started={}", entry.started_ms);
    let texts = ["kind=std", "cell=0", &started].map(character_string).concat();
    records.extend(record(host, TYPE_TXT, &texts));
    records
}

fn record(owner: &[u8], record_type: u16, data: &[u8]) -> Vec<u8> {
    let class_and_ttl = [0, 1, 0, 0, 0, 0];
    let length = data.len() as u16;
    [owner, &record_type.to_be_bytes(), &class_and_ttl, &length.to_be_bytes(), data].concat()
}

/// A domain name as labels, each preceded by its length.
fn labels(name: &str) -> Vec<u8> {
    let mut labels: Vec<u8> = name.split('.').flat_map(character_string).collect();
    labels.push(0);
    labels
}

/// A text preceded by its length.
fn character_string(text: &str) -> Vec<u8> {
    [&[text.len() as u8], text.as_bytes()].concat()
}
