//! Exponential backoff: delays between tries, each twice as long as the one before, up to a bound.

use super::Time;

const GROWTH: f64 = 2.0;

/// The delays of one thing that is tried again and again (s).
pub struct Backoff {
    first: Time,
    next: Time,
    max: Time,
}

impl Backoff {
    /// Starts with the delay `first` and never exceeds `max` (s).
    pub fn new(first: Time, max: Time) -> Self {
        Self { first, next: first, max }
    }

    /// Whether there was no delay yet.
    pub fn is_first(&self) -> bool {
        self.next <= self.first
    }

    /// The delay before the next try (s).
    pub fn next_delay(&mut self) -> Time {
        let delay = self.next;
        self.next = (GROWTH * delay).min(self.max);
        delay
    }
}
