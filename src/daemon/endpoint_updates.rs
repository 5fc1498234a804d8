//! Updates of the endpoint set: from discovery, from the store, and by the expiry of the lease.

use super::Daemon;
use crate::discovery::{endpoint_json, Endpoint, EndpointChanges, EndpointSet};
use crate::net::Time;
use crate::store;
use dahliaspoke::policy::{EngineEntry, EngineId, Lifecycle, ListScope};
use std::collections::HashMap;

/// The endpoint set as last reported to this process.
#[derive(Default)]
pub struct KnownEndpoints {
    current: EndpointSet,
    /// Engines that have left the set, and when. An engine that restarts stays known in the meantime.
    departed: HashMap<EngineId, Time>,
    lease_expired: bool,
}

impl KnownEndpoints {
    /// Applies changed endpoints. Departed engines are forgotten after `retention` (s).
    fn apply(&mut self, now: Time, changes: &[Endpoint], retention: Time) {
        self.current.apply_changes(changes.to_vec());
        let gone = changes.iter().filter(|endpoint| endpoint.entry.lifecycle == Lifecycle::Gone);
        self.departed.extend(gone.map(|endpoint| (endpoint.entry.id.clone(), now)));
        self.departed.retain(|_, departed_at| now - *departed_at < retention);
    }

    /// The endpoint of an engine in the set.
    pub fn get(&self, engine: &EngineId) -> Option<&Endpoint> {
        self.current.get(engine)
    }

    /// All endpoints in the set, ordered by id.
    pub fn all(&self) -> Vec<Endpoint> {
        self.current.to_vec()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.current.to_vec().is_empty()
    }

    /// Whether an engine is in the set or has left it recently.
    pub fn is_known(&self, engine: &EngineId) -> bool {
        self.current.get(engine).is_some() || self.departed.contains_key(engine)
    }

    /// Whether the set is too old to be relied on.
    pub fn is_lease_expired(&self) -> bool {
        self.lease_expired
    }
}

impl Daemon {
    /// Applies the changes that discovery has found.
    pub(super) fn apply_discovered_changes(&mut self, now: Time) {
        if let Some(changes) = self.handlers.discovery.take_changes() {
            self.apply_endpoint_changes(now, ListScope::Changes, changes);
        }
    }

    /// Applies changes to the endpoint set.
    pub(super) fn apply_endpoint_changes(&mut self, now: Time, scope: ListScope, changes: EndpointChanges) {
        let EndpointChanges { notified_at, endpoints } = changes;
        self.endpoints.apply(now, &endpoints, self.limits.discovery.departed_retention);
        self.publish_endpoints(now);
        self.distribute_endpoints(now, notified_at, scope, endpoints);
    }

    /// Writes the endpoint set to the store. A coordinator that knows no endpoints writes nothing, so as not
    /// to overwrite the set of one that does.
    fn publish_endpoints(&mut self, now: Time) {
        if self.endpoints.is_empty() {
            return;
        }
        if let Some(store) = &mut self.handlers.store {
            store.maintain_value(now, store::ENDPOINTS_KEY, &endpoint_json::to_json(&self.endpoints.current));
        }
    }

    /// Checks the lease on the endpoint set. Once it has expired, upstreams start no attempts, and the core
    /// treats all engines as draining until discovery has confirmed a set. After a start there is no lease
    /// before the store is up to date.
    pub(super) fn check_lease(&mut self, now: Time) {
        let awaits_store = self.awaits_store(now);
        let until = if awaits_store { now } else { self.handlers.discovery.lease_expires_at() };
        self.handlers.routes.set_lease_end(until);
        let expired = until <= now;
        if expired == std::mem::replace(&mut self.endpoints.lease_expired, expired) {
            return;
        }
        let state = match expired {
            true if awaits_store => "waits for the store: no attempt starts",
            true => "is too old: no attempt starts",
            false => "is valid again",
        };
        tracing::info!(at = now, "the list of engines {state}");
        self.distribute_endpoints(now, now, ListScope::Changes, self.endpoints.all());
    }

    /// Updates upstreams and core with these endpoints. `notified_at` is the time from which the change is
    /// treated as known.
    pub(super) fn distribute_endpoints(
        &mut self,
        now: Time,
        notified_at: Time,
        scope: ListScope,
        endpoints: Vec<Endpoint>,
    ) {
        let mut entries = Vec::with_capacity(endpoints.len());
        for endpoint in endpoints {
            entries.push(self.update_upstreams(now, notified_at, endpoint));
        }
        self.core.update_engines(now, scope, entries, &mut self.handlers.routes.for_core());
    }

    /// Updates the upstreams with an endpoint. An engine in maintenance drains from the start of the
    /// maintenance, whatever discovery reports. Returns the entry for the core.
    fn update_upstreams(&mut self, now: Time, notified_at: Time, mut endpoint: Endpoint) -> EngineEntry {
        let maintenance = self.maintenance.since(now, &endpoint.entry.id);
        let maintenance = maintenance.filter(|_| endpoint.entry.lifecycle == Lifecycle::Ready);
        if maintenance.is_some() {
            endpoint.entry.lifecycle = Lifecycle::Draining;
        }
        // Upstreams are updated for departed engines as well: their attempts may still be in flight.
        self.handlers.routes.update_endpoint(now, maintenance.unwrap_or(notified_at), &endpoint);
        let mut entry = endpoint.entry;
        if entry.lifecycle != Lifecycle::Ready {
            tracing::info!(at = now, "engine {} is {:?}", entry.id, entry.lifecycle);
        } else if self.endpoints.lease_expired {
            entry.lifecycle = Lifecycle::Draining;
        }
        entry
    }
}
