//! A test harness that runs several real processes of the program on loopback and injects faults between
//! them. Used by tests only; the daemon does not link it.
//!
//! - [`relay`]: links between processes, with faults per direction: cut, stalled, slow, reset, duplicated;
//! - [`process`]: a process that can be suspended, killed, killed at a failpoint and restarted with or
//!   without its disk;
//! - [`fleet`]: processes and the links between them;
//! - [`script`]: fault schedules generated from a seed, which print as text and can be replayed from it;
//! - [`queries`]: queries to stub engines, and an auditor of their answers and attempts;
//! - [`history`]: histories of client calls, and a linearizability checker.
//!
//! Tests wait for conditions, up to [`PATIENCE`]. It is far longer than any condition needs, so only a
//! failing test waits that long.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fleet;
pub mod history;
pub mod process;
pub mod queries;
pub mod relay;
pub mod script;

use std::time::{Duration, Instant};

/// Time limit of every wait for a condition.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Polls `find` until it returns a value.
///
/// # Panics
/// If that takes longer than [`PATIENCE`]; the message names the condition.
pub fn until<T>(condition: &str, mut find: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(value) = find() {
            return value;
        }
        assert!(began.elapsed() < PATIENCE, "timed out waiting for: {condition}");
        std::thread::sleep(POLL_INTERVAL);
    }
}
