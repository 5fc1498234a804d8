//! A move of the directory to another address, to which no socket could be opened yet.

use crate::net::{Backoff, Time};
use std::net::SocketAddr;

/// Delay (s) after the first failed attempt to open a socket; it doubles with each further failure.
const FIRST_RETRY_DELAY: Time = 0.05;
/// Maximum delay (s) between attempts.
const MAX_RETRY_DELAY: Time = 1.0;

/// A pending move to another directory.
pub struct Relocation {
    /// The new address of the directory.
    pub directory: SocketAddr,
    /// When the next attempt is due.
    pub next_attempt: Time,
    delays: Backoff,
}

impl Relocation {
    /// Creates a move whose first attempt is due at `now`.
    pub fn new(now: Time, directory: SocketAddr) -> Self {
        Self { directory, next_attempt: now, delays: Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY) }
    }

    /// Whether no attempt has failed so far.
    pub fn is_first_attempt(&self) -> bool {
        self.delays.is_first()
    }

    /// Schedules a retry after an attempt has failed at `now`.
    pub fn retry_later(&mut self, now: Time) {
        self.next_attempt = now + self.delays.next_delay();
    }
}
