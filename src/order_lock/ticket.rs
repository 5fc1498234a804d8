//! Tickets: the position of a request among the requests of its key, as an offset in the lock file.
//!
//! | bits of the offset, from the highest | content |
//! | --- | --- |
//! | 20 | hash of the key |
//! | 33 | when the ticket was issued, modulo 2^33 (10 ms of the monotonic clock) |
//! | 10 | how long it is valid, from 1 (0.25 s) |
//!
//! Each key so has a range of offsets, in which a later ticket has a higher offset. Keys with the same hash share
//! their range, which only makes their requests wait for each other.

use sha2::{Digest, Sha256};
use std::ops::Range;

const TIME_BITS: u32 = 33;
const VALIDITY_BITS: u32 = 10;
/// Bits below the hash of the key.
const RANGE_BITS: u32 = TIME_BITS + VALIDITY_BITS;
/// Bits of the hash of the key. The highest bit of an offset is its sign.
const KEY_BITS: u32 = 63 - RANGE_BITS;
const TIME_MASK: u64 = (1 << TIME_BITS) - 1;
/// Units of the time per second.
const TIME_UNITS_PER_S: f64 = 100.0;
/// Units of the validity per second.
const VALIDITY_UNITS_PER_S: f64 = 4.0;
/// Longest validity that a ticket can have (its units).
const MAX_VALIDITY: u64 = (1 << VALIDITY_BITS) - 1;
/// Time units per unit of the validity.
const TIME_UNITS_PER_VALIDITY_UNIT: u64 = (TIME_UNITS_PER_S / VALIDITY_UNITS_PER_S) as u64;

/// A point in time on the monotonic clock, which all processes of a machine share (units of 10 ms).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TicketTime(u64);

impl TicketTime {
    /// The time that is this long after the clock's zero (s).
    pub fn from_seconds(seconds: f64) -> Self {
        Self((seconds * TIME_UNITS_PER_S) as u64 & TIME_MASK)
    }

    /// Time units from `earlier` until this time; `None` if `earlier` is later.
    fn since(self, earlier: Self) -> Option<u64> {
        let difference = self.0.wrapping_sub(earlier.0) & TIME_MASK;
        Some(difference).filter(|difference| *difference <= TIME_MASK / 2)
    }
}

/// The offsets that belong to a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRange {
    start: u64,
}

impl KeyRange {
    /// The range of a key, the same in every process and version of the program.
    pub fn of(key: &str) -> Self {
        let digest = Sha256::digest(key.as_bytes());
        let hash = digest.iter().take(8).fold(0, |hash, byte| (hash << u8::BITS) | u64::from(*byte));
        Self { start: (hash >> (u64::BITS - KEY_BITS)) << RANGE_BITS }
    }

    /// All offsets of the key.
    pub fn offsets(self) -> Range<u64> {
        self.start..self.start + (1 << RANGE_BITS)
    }

    /// The ticket of a request that arrives at this time, behind all tickets up to `latest`. It is valid for
    /// `validity` seconds. `None` if no offset is left behind `latest`.
    pub fn next_ticket(self, now: TicketTime, validity: f64, latest: Option<Ticket>) -> Option<Ticket> {
        let behind = latest.map_or(0, |latest| ((latest.offset - self.start) >> VALIDITY_BITS) + 1);
        let validity = ((validity * VALIDITY_UNITS_PER_S).ceil() as u64).clamp(1, MAX_VALIDITY);
        let time = now.0.max(behind);
        let ticket = Ticket { offset: self.start + ((time << VALIDITY_BITS) | validity) };
        Some(ticket).filter(|_| time <= TIME_MASK)
    }
}

/// The position of a request among the requests of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    offset: u64,
}

impl Ticket {
    /// The ticket at an offset of the lock file.
    pub fn at(offset: u64) -> Self {
        Self { offset }
    }

    /// Its offset in the lock file.
    pub fn offset(self) -> u64 {
        self.offset
    }

    /// The range of its key.
    pub fn key_range(self) -> KeyRange {
        KeyRange { start: (self.offset >> RANGE_BITS) << RANGE_BITS }
    }

    /// Whether it is no longer valid: its process is stuck, as it would have returned it otherwise.
    pub fn is_expired(self, now: TicketTime) -> bool {
        let issued_at = TicketTime((self.offset >> VALIDITY_BITS) & TIME_MASK);
        let validity = (self.offset & MAX_VALIDITY) * TIME_UNITS_PER_VALIDITY_UNIT;
        now.since(issued_at).is_some_and(|age| age > validity)
    }
}
