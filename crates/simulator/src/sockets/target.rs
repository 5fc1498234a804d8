//! Where the load generator sends its requests, and their contents.

use crate::load::{Driver, Mode, OutgoingTry, RetryBehaviour};
use crate::Micros;
use std::fmt::Write as _;
use std::net::SocketAddr;
use thiserror::Error;

/// Number of table groups that requests use.
const TABLE_GROUPS: u64 = 16;

/// Why a target is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TargetError {
    /// An address is not on loopback.
    #[error("{0} is not on loopback, and nothing is sent there")]
    NotOnLoopback(SocketAddr),
    /// There is no address, or no class.
    #[error("no address to send to, or no class to send")]
    Empty,
}

/// One class of requests to send.
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficClass {
    /// Its name, the last part of the path.
    pub name: String,
    /// Its share of the requests, relative to the other classes.
    pub share: f64,
    /// How long a client waits (ms).
    pub timeout_ms: u64,
    /// Work that its requests declare (ms).
    pub work_ms: f64,
    /// Whether its requests have an idempotency key.
    pub has_key: bool,
}

/// Where requests are sent, and their contents.
#[derive(Clone, Debug)]
pub struct Target {
    addresses: Vec<SocketAddr>,
    classes: Vec<TrafficClass>,
    seed: u64,
}

impl Target {
    /// Creates a target from the addresses of coordinators' HTTP listeners; connections are spread over them
    /// in turn.
    ///
    /// # Errors
    /// Returns an error if an address is not on loopback, or if there is no address or no class.
    pub fn new(
        addresses: Vec<SocketAddr>,
        classes: Vec<TrafficClass>,
        seed: u64,
    ) -> Result<Self, TargetError> {
        if let Some(other) = addresses.iter().find(|address| !address.ip().is_loopback()) {
            return Err(TargetError::NotOnLoopback(*other));
        }
        if addresses.is_empty() || classes.is_empty() {
            return Err(TargetError::Empty);
        }
        Ok(Self { addresses, classes, seed })
    }

    /// Names of the classes.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.classes.iter().map(|class| class.name.clone()).collect()
    }

    /// The class of a request, by position.
    #[must_use]
    pub fn class_of(&self, request: usize) -> usize {
        let total: f64 = self.classes.iter().map(|class| class.share).sum();
        let uniform = (split_mix(self.seed ^ request as u64) >> 11) as f64 / (1u64 << 53) as f64;
        let mut draw = uniform * total;
        let class = self.classes.iter().position(|class| {
            draw -= class.share;
            draw < 0.0
        });
        class.unwrap_or_default()
    }

    /// Creates a driver for a schedule, with figures by class.
    #[must_use]
    pub fn driver(
        &self,
        schedule: &[Micros],
        mode: Mode,
        behaviour: RetryBehaviour,
        connections: usize,
    ) -> Driver {
        let class_of = (0..schedule.len()).map(|request| self.class_of(request)).collect();
        Driver::new(schedule, mode, behaviour, connections).by_class(self.names(), class_of)
    }

    /// The coordinator that a connection is opened to.
    pub(super) fn address_of(&self, connection: usize) -> SocketAddr {
        self.addresses[connection % self.addresses.len()]
    }

    /// The bytes of a try: its id is unique, its key is the same for all tries of the request.
    pub(super) fn request_bytes(&self, outgoing: OutgoingTry) -> Vec<u8> {
        let draw = split_mix(self.seed ^ outgoing.request as u64);
        let class = &self.classes[self.class_of(outgoing.request)];
        let table_group = split_mix(draw) % TABLE_GROUPS;
        let verb = if class.has_key { "INSERT INTO" } else { "SELECT n FROM" };
        let body = format!("{verb} sales_{table_group}.orders /* {} */", outgoing.request);
        let id = split_mix(self.seed.wrapping_add(outgoing.request as u64) ^ u64::from(outgoing.retry) << 48);
        let mut head = format!(
            "POST /invoke/{} HTTP/1.1\r\nX-Job-Id: {id:016x}\r\nX-Allow-Ms: {}\r\nX-Size-Ms: {}\r\n",
            class.name, class.timeout_ms, class.work_ms
        );
        if class.has_key {
            let _ = write!(head, "X-Unique: {draw:016x}{:016x}\r\n", outgoing.request);
            // writing to a String cannot fail
        }
        if outgoing.retry > 0 {
            head += "X-Again: 1\r\n";
        }
        format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }
}

/// One step of `SplitMix64`: a pseudorandom number from a counter.
fn split_mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
