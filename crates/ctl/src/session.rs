//! Session ids: a change that is sent again with the same session id and serial number is applied only once.

use std::time::{SystemTime, UNIX_EPOCH};

/// A random session id, never 0. If the system cannot supply random numbers, it is the time (ns since 1970).
pub fn random_id() -> u64 {
    let mut bytes = [0; 8];
    if getrandom::fill(&mut bytes).is_err() {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        return elapsed.map_or(1, |elapsed| elapsed.as_nanos() as u64).max(1);
    }
    u64::from_le_bytes(bytes).max(1)
}
