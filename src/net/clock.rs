//! The one clock: Unix time that never goes back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix seconds. Deadlines are such times, never durations.
pub type Time = f64;

/// The system's Unix clock as read at the start, carried on by the monotonic one: decisions must not see time go back when
/// somebody sets the clock.
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

    /// Now (Unix seconds).
    pub fn now(&self) -> Time {
        self.unix_at_start + self.start.elapsed().as_secs_f64()
    }
}
