//! Sends queries through a coordinator's HTTP listener to stub engines, and audits them: each query gets
//! exactly one final answer, and after an attempt that may have run there is another one only if the class
//! allows it.

mod audit;
mod engines;

pub use audit::{QueryAudit, Repeats, Verdict};
pub use engines::{EngineBehaviour, StubEngines};

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: each update leaves the state valid, even if a thread panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
