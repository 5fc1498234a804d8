//! Queries through a coordinator's HTTP listener to stub engines, and an auditor: exactly one final answer each, and no
//! attempt after one that may have run but as the class allows.

mod audit;
mod engines;

pub use audit::{QueryAudit, Repeats, Verdict};
pub use engines::{EngineBehaviour, StubEngines};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of another thread: each update leaves the state valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
