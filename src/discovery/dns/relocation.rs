//! A directory that is to be queried at another address, and that no socket could be opened to yet.

use crate::net::{Backoff, Time};
use std::net::SocketAddr;

/// Delay (s) after the first failed attempt to open a socket; it doubles with each further one.
const FIRST_RETRY_DELAY: Time = 0.05;
/// The longest delay (s) between two attempts.
const MAX_RETRY_DELAY: Time = 1.0;

/// A move to another directory, until it is done.
pub struct Relocation {
    /// Where the directory is.
    pub directory: SocketAddr,
    /// When it is attempted next.
    pub next_attempt: Time,
    delays: Backoff,
}

impl Relocation {
    /// A move that is attempted at `now`.
    pub fn new(now: Time, directory: SocketAddr) -> Self {
        Self { directory, next_attempt: now, delays: Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY) }
    }

    /// Whether no attempt has failed so far.
    pub fn is_first_attempt(&self) -> bool {
        self.delays.is_first()
    }

    /// An attempt has failed at `now`: it is retried later.
    pub fn retry_later(&mut self, now: Time) {
        self.next_attempt = now + self.delays.next_delay();
    }
}
