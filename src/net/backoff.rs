//! Pauses between tries, each twice as long as the one before, up to a bound.

use super::Time;

/// The pauses of one thing that is tried again and again (s).
pub struct Backoff {
    first: Time,
    next: Time,
    most: Time,
}

impl Backoff {
    pub fn new(first: Time, most: Time) -> Self {
        Self { first, next: first, most }
    }

    /// Whether no pause was taken yet.
    pub fn is_first(&self) -> bool {
        self.next <= self.first
    }

    /// The pause before the next try.
    pub fn next_pause(&mut self) -> Time {
        let pause = self.next;
        self.next = (2.0 * pause).min(self.most);
        pause
    }
}
