//! Which engines there are: sources of the endpoint set.
//!
//! - [`dns`]: the directory, polled by DNS over UDP;
//! - [`consul`]: Consul's health API, by blocking queries;
//! - [`endpoint_json`]: the endpoints that the configuration and the store hold;
//! - [`maintenance`]: engines that operators have taken out of service, whatever the source reports.

pub mod consul;
pub mod dns;
pub mod endpoint_json;
pub mod maintenance;

use crate::net::{EventHandler, Time};
pub use dahliaspoke::endpoints::{Endpoint, EndpointSet};
use std::net::SocketAddr;

/// What has changed in the endpoint set.
pub struct EndpointChanges {
    /// From when the changes count as notified: when the set before them was last confirmed.
    pub notified_at: Time,
    /// Endpoints that are new or have changed; those that left are gone.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointChanges {
    /// Adds changes to those that are not collected yet. Together they count as notified from the earlier time, which is
    /// that of the first.
    fn add(pending: &mut Option<Self>, notified_at: Time, endpoints: Vec<Endpoint>) {
        let changes = pending.get_or_insert(Self { notified_at, endpoints: Vec::new() });
        changes.endpoints.extend(endpoints);
    }
}

/// A source of the endpoint set. The daemon's event loop calls it, as any [`EventHandler`], when a timer is due or one of
/// its descriptors is ready, and collects what came of that with the methods here. None of them waits.
pub trait Discovery: EventHandler {
    /// The changes since the last call, if there are any. Called after each timer and each event of the source.
    fn take_changes(&mut self) -> Option<EndpointChanges>;

    /// Replaces the endpoint set by that of the store. Called where the source knows no endpoint and the store does;
    /// the source compares with it from then on, and reports nothing of it as changed.
    fn reset_to(&mut self, now: Time, endpoints: EndpointSet);

    /// When the lease on the endpoint set ends: no attempt may begin from then on. Called after each turn of the event
    /// loop.
    fn lease_expires_at(&self) -> Time;

    /// The directory is at another address from now on; a move that fails is retried until it is done. Called when SIGHUP
    /// has read a configuration. Sources other than the directory ignore it.
    fn relocate(&mut self, _now: Time, _names: SocketAddr) {}

    /// Sends a query at once, where a response arrives at once. Called when the process was suspended and the endpoint
    /// set may be out of date.
    fn query_now(&mut self, _now: Time) {}

    /// Whether the latest query has no response yet. Called after [`Self::ask`], until it has or the time for that is
    /// over.
    fn awaits_response(&self) -> bool {
        false
    }

    /// Removes what the source has registered of this coordinator. Called once, when the program begins to shut down.
    fn deregister(&mut self, _now: Time) {}

    /// Responses that could not be used, since the start. Called for the counters.
    fn unusable_responses(&self) -> u64;
}

/// The start time (Unix seconds) that lists give in Unix milliseconds, where 0 is long ago.
fn start_time(unix_ms: f64) -> Option<f64> {
    Some(unix_ms / 1000.0).filter(|seconds| *seconds > 0.0)
}
