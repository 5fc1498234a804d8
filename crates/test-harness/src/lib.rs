//! A test harness: several real processes of the program on loopback, with faults between them. For tests alone; nothing
//! of it is in the daemon's build.
//!
//! - [`relay`]: links between processes, each direction with faults of its own: cut, held, slow, reset, duplicated;
//! - [`process`]: a process that is suspended, killed, killed at a named point, started again with or without its disk;
//! - [`fleet`]: processes and the links between them;
//! - [`script`]: fault schedules from a seed, which print as text and can be played again from it;
//! - [`queries`]: queries to stub engines, and an auditor of their answers and attempts;
//! - [`history`]: calls and answers of clients, and whether one order explains them (linearizability).
//!
//! Tests wait for conditions. [`PATIENCE`] is far beyond what any of them takes: only a failure waits so long.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fleet;
pub mod history;
pub mod process;
pub mod queries;
pub mod relay;
pub mod script;

use std::time::{Duration, Instant};

/// The longest that a condition is waited for.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `find` returns something.
///
/// # Panics
/// Where it has not within [`PATIENCE`]; names the condition.
pub fn until<T>(condition: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(began.elapsed() < PATIENCE, "waited in vain: {condition}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
