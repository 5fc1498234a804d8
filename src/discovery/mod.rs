//! Service discovery: the sources of the endpoint set.
//!
//! - [`dns`]: the directory, polled with DNS over UDP;
//! - [`consul`]: Consul's health API, watched with blocking queries;
//! - [`endpoint_json`]: the endpoints in the configuration and in the store;
//! - [`maintenance`]: engines that operators have taken out of service, whatever the source reports.

pub mod consul;
pub mod dns;
pub mod endpoint_json;
pub mod maintenance;

use crate::net::{EventHandler, Time};
pub use dahliaspoke::endpoints::{Endpoint, EndpointSet};
use std::net::SocketAddr;

/// Changes to the endpoint set.
pub struct EndpointChanges {
    /// When the changes are treated as notified: when the set before them was last confirmed.
    pub notified_at: Time,
    /// Endpoints that are new, changed or departed; the lifecycle of departed ones is `Gone`.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointChanges {
    /// Adds changes to those that have not been collected yet. All of them are treated as notified at the earliest
    /// time, which is that of the first.
    fn add(pending: &mut Option<Self>, notified_at: Time, endpoints: Vec<Endpoint>) {
        let changes = pending.get_or_insert(Self { notified_at, endpoints: Vec::new() });
        changes.endpoints.extend(endpoints);
    }
}

/// A source of the endpoint set. The daemon's event loop calls it, like any [`EventHandler`], when a timer is
/// due or one of its descriptors is ready, and collects the results with the methods below. None of them
/// blocks.
pub trait Discovery: EventHandler {
    /// Returns the changes since the last call, if any. Called after each timer and each event of the source.
    fn take_changes(&mut self) -> Option<EndpointChanges>;

    /// Replaces the endpoint set with that of the store. Called if the source knows no endpoints and the
    /// store does. The source detects later changes against it, and does not report the set itself as
    /// changed.
    fn reset_to(&mut self, now: Time, endpoints: EndpointSet);

    /// When the lease on the endpoint set expires: no attempt may start from then on. Called in each
    /// iteration of the event loop.
    fn lease_expires_at(&self) -> Time;

    /// Queries the directory at another address from now on; a move that fails is retried until it succeeds.
    /// Called when the configuration has been reloaded after SIGHUP. Sources other than the directory ignore
    /// it.
    fn relocate(&mut self, _now: Time, _directory: SocketAddr) {}

    /// Sends a query at once, if the source is one that responds at once. Called when the process was
    /// suspended and the endpoint set may be out of date.
    fn query_now(&mut self, _now: Time) {}

    /// Whether the latest query has no response yet. Called after [`Self::query_now`], until it returns false
    /// or the time limit has passed.
    fn awaits_response(&self) -> bool {
        false
    }

    /// Removes this coordinator's registration, if the source has made one. Called once, at the start of a
    /// shutdown.
    fn deregister(&mut self, _now: Time) {}

    /// Number of unusable responses since the start. Called for the counters.
    fn unusable_responses(&self) -> u64;
}

/// Converts the start time in a list (Unix milliseconds; 0: long ago) to Unix seconds.
fn start_time(unix_ms: f64) -> Option<f64> {
    Some(unix_ms / 1000.0).filter(|seconds| *seconds > 0.0)
}
