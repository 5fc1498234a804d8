//! Notices that the process did not run for a while: it was stopped, or starved of its processor.

use super::Time;

/// What a process slept over it has to make up for: the list is old, and what waits in its sockets may have come at any
/// time since it last looked.
pub struct SuspendDetector {
    /// When the loop last ran.
    looked: Time,
    /// Since when what is read may have waited, and until when that counts.
    waited: (Time, Time),
}

impl SuspendDetector {
    pub fn new(now: Time) -> Self {
        Self { looked: now, waited: (now, now) }
    }

    /// The loop runs; it may have waited on purpose until `due`. True where it is later by more than `most` (s).
    pub fn woke(&mut self, now: Time, due: Option<Time>, most: f64) -> bool {
        let slept = now - due.unwrap_or(self.looked).max(self.looked) > most;
        if slept {
            // A line of connections is taken in two turns of the loop or more.
            self.waited = (self.looked, now + most);
        }
        self.looked = now;
        slept
    }

    /// When what is read now has come, at the earliest.
    pub fn came(&self, now: Time) -> Time {
        if now < self.waited.1 {
            self.waited.0
        } else {
            now
        }
    }
}
