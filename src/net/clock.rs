//! The one clock: Unix time that never goes back.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix seconds. Deadlines are such times, never spans.
pub type Time = f64;

/// The system's Unix clock as read at the start, carried on by the monotonic one: the decisions must not
/// see time go back when somebody sets the clock.
pub struct Clock {
    unix: Time,
    start: Instant,
}

impl Clock {
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Self { unix, start: Instant::now() }
    }

    pub fn now(&self) -> Time {
        self.unix + self.start.elapsed().as_secs_f64()
    }
}
