//! The rig: several real processes of the program on loopback, with faults between them. For tests alone; nothing of
//! it is in the daemon's build.
//!
//! - [`relay`]: a link between two processes, each direction on its own: cut, held, slow, reset, doubled;
//! - [`process`]: a process that is stopped, killed, killed at a named point, started again with or without its disk;
//! - [`fleet`]: processes, the links between them, engines and the directory;
//! - [`script`]: faults from a seed, printed, and played again from the print;
//! - [`queries`]: queries with an auditor: one answer each, repeats within class;
//! - [`history`]: what clients called and were told, and whether one order explains it (linearizability).
//!
//! Waits are for conditions. [`PATIENCE`] is far beyond what anything takes: only a failure waits so long.
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

/// Pause between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);

/// Waits until `is` gives something.
///
/// # Panics
/// Where it has not within [`PATIENCE`]; says what was waited for.
pub fn until<T>(what: &str, mut is: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = is() {
            return found;
        }
        assert!(began.elapsed() < PATIENCE, "waited in vain: {what}");
        std::thread::sleep(LOOK);
    }
}
