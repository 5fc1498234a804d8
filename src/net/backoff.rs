//! Exponential backoff: each delay between retries is twice the previous one, up to a maximum.

use super::Time;

const GROWTH: f64 = 2.0;

/// The retry delays of one operation (s).
pub struct Backoff {
    first: Time,
    next: Time,
    max: Time,
}

impl Backoff {
    /// The first delay is `first`; no delay exceeds `max` (s).
    pub fn new(first: Time, max: Time) -> Self {
        Self { first, next: first, max }
    }

    /// Whether no delay has been returned yet.
    pub fn is_first(&self) -> bool {
        self.next <= self.first
    }

    /// Returns the delay before the next retry (s).
    pub fn next_delay(&mut self) -> Time {
        let delay = self.next;
        self.next = (GROWTH * delay).min(self.max);
        delay
    }
}
