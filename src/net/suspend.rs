//! Detects that the process did not run for a while because it was stopped or starved of CPU time.

use super::Time;

/// Input read after a suspension may have waited in its socket since the loop last ran.
struct Backlog {
    /// The earliest time at which the input may have arrived.
    since: Time,
    /// Input that is read from this time on arrived after the suspension.
    until: Time,
}

/// Detects suspensions. After one, the endpoint set is outdated, and unread input may have arrived at any
/// time since the loop last ran.
pub struct SuspendDetector {
    last_run: Time,
    backlog: Backlog,
}

impl SuspendDetector {
    /// Creates a detector when the event loop starts, at `now`.
    pub fn new(now: Time) -> Self {
        Self { last_run: now, backlog: Backlog { since: now, until: now } }
    }

    /// Called when the event loop runs again; it may have waited on purpose until `due`. Returns whether it
    /// is more than `threshold` (s) late.
    pub fn check(&mut self, now: Time, due: Option<Time>, threshold: f64) -> bool {
        let expected = due.unwrap_or(self.last_run).max(self.last_run);
        let was_suspended = now - expected > threshold;
        if was_suspended {
            // Accepting and reading a backlog of connections takes two or more iterations of the loop.
            self.backlog = Backlog { since: self.last_run, until: now + threshold };
        }
        self.last_run = now;
        was_suspended
    }

    /// The earliest time at which input that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Time) -> Time {
        if now < self.backlog.until {
            self.backlog.since
        } else {
            now
        }
    }
}
