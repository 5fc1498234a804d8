//! The daemon's clock: Unix time that never runs backwards.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time in seconds. Deadlines are points in time, never durations.
pub type Time = f64;

/// The system's Unix time as read at startup, advanced by the monotonic clock: time must not run backwards
/// for the daemon's decisions when the system clock is set.
pub struct Clock {
    unix_at_start: Time,
    start: Instant,
}

impl Clock {
    /// Reads the system's clock.
    pub fn new() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self { unix_at_start: since_epoch.map_or(0.0, |since| since.as_secs_f64()), start: Instant::now() }
    }

    /// The current time (Unix seconds).
    pub fn now(&self) -> Time {
        self.unix_at_start + self.start.elapsed().as_secs_f64()
    }
}
