//! Which engines there are. A source of membership tells the core of changes and the links of addresses.

pub mod consul;
pub mod dns;
pub mod endpoint_json;
pub mod maintenance;

use crate::net::{EventHandler, Time};
pub use dahliaspoke::endpoints::{Endpoint, EndpointSet};
use std::net::SocketAddr;

/// What has changed in the list.
pub struct EndpointChanges {
    /// Since when it may count as told.
    pub told: Time,
    pub endpoints: Vec<Endpoint>,
}

/// Where news of the engines comes from.
pub trait Discovery: EventHandler {
    /// What has changed since this was last asked.
    fn take(&mut self) -> Option<EndpointChanges>;

    /// Holds this list from here on.
    fn hold(&mut self, now: Time, endpoints: EndpointSet);

    /// Until when the list may be believed: after that nothing may begin on its word.
    fn valid_until(&self) -> Time;

    /// The directory is wanted at another address from here on, where the directory is the source. It is tried until
    /// it can be asked there.
    fn move_to(&mut self, _now: Time, _names: SocketAddr) {}

    /// Asks at once, where an answer comes at once: the program slept, and what it holds is old.
    fn ask(&mut self, _now: Time) {}

    /// Whether an answer to the latest question is still to come.
    fn waits(&self) -> bool {
        false
    }

    /// The program is about to end.
    fn leave(&mut self, _now: Time) {}

    /// Answers that could not be used.
    fn bad(&self) -> u64;
}

/// A start time as lists tell it, in Unix milliseconds; 0 is long ago.
fn started(ms: f64) -> Option<f64> {
    Some(ms / 1000.0).filter(|s| *s > 0.0)
}
