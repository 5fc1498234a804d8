//! Notices that the process did not run for a while: it was stopped, or starved of its processor.

use super::Time;

/// What was read after a suspension may have waited in its socket ever since the loop last ran.
struct Backlog {
    /// Since when it may have waited.
    since: Time,
    /// What is read from then on has come since.
    until: Time,
}

/// Notices suspensions. After one the endpoint set is old, and what waits in the sockets may have come at any time since the
/// loop last ran.
pub struct SuspendDetector {
    last_run: Time,
    backlog: Backlog,
}

impl SuspendDetector {
    /// The loop begins to run now.
    pub fn new(now: Time) -> Self {
        Self { last_run: now, backlog: Backlog { since: now, until: now } }
    }

    /// The loop runs; it may have waited on purpose until `due`. Returns whether it is later by more than `threshold` (s).
    pub fn check(&mut self, now: Time, due: Option<Time>, threshold: f64) -> bool {
        let expected = due.unwrap_or(self.last_run).max(self.last_run);
        let was_suspended = now - expected > threshold;
        if was_suspended {
            // A queue of connections takes two iterations of the loop or more.
            self.backlog = Backlog { since: self.last_run, until: now + threshold };
        }
        self.last_run = now;
        was_suspended
    }

    /// When what is read now has come, at the earliest.
    pub fn earliest_arrival(&self, now: Time) -> Time {
        if now < self.backlog.until {
            self.backlog.since
        } else {
            now
        }
    }
}
