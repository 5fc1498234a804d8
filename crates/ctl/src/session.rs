//! Session ids: a change that is sent again under its session id and serial number is applied once.

use std::time::{SystemTime, UNIX_EPOCH};

/// A random session id, never 0. Without random numbers it is the time (ns since 1970).
pub fn random_id() -> u64 {
    let mut bytes = [0; 8];
    if getrandom::fill(&mut bytes).is_err() {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        return since.map_or(1, |since| since.as_nanos() as u64).max(1);
    }
    u64::from_le_bytes(bytes).max(1)
}
