//! Endpoints by engine id.

use crate::policy::{EngineEntry, EngineId, Lifecycle};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// An engine with its address, as a list reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// What the policy knows about the engine.
    pub entry: EngineEntry,
    /// Where the engine listens; `None` for one that has been removed.
    pub address: Option<SocketAddr>,
}

impl Endpoint {
    /// Whether new attempts may start on the engine.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Ready
    }

    /// Whether its process started later than `started` (Unix seconds; `None`: long ago).
    pub(super) fn started_after(&self, started: Option<f64>) -> bool {
        self.entry.started > started
    }
}

/// All known endpoints, by engine id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointSet(BTreeMap<EngineId, Endpoint>);

impl EndpointSet {
    /// Applies changes: endpoints in the [`Lifecycle::Gone`] state are removed, the others added or replaced.
    pub fn apply_changes(&mut self, changes: Vec<Endpoint>) {
        for endpoint in changes {
            if endpoint.entry.lifecycle == Lifecycle::Gone {
                self.0.remove(&endpoint.entry.id);
            } else {
                self.0.insert(endpoint.entry.id.clone(), endpoint);
            }
        }
    }

    /// Replaces all endpoints by a complete list and returns the changes. Endpoints that the list lacks are
    /// returned after the others, as [`Lifecycle::Gone`] and without an address.
    pub fn replace(&mut self, list: Vec<Endpoint>) -> Vec<Endpoint> {
        let Self(new) = Self::from(list);
        let changed =
            new.values().filter(|endpoint| self.0.get(&endpoint.entry.id) != Some(endpoint)).cloned();
        let removed =
            self.0.values().filter(|endpoint| !new.contains_key(&endpoint.entry.id)).map(|endpoint| {
                let entry = EngineEntry { lifecycle: Lifecycle::Gone, ..endpoint.entry.clone() };
                Endpoint { entry, address: None }
            });
        let changes = changed.chain(removed).collect();
        self.0 = new;
        changes
    }

    /// The endpoint of an engine.
    #[must_use]
    pub fn get(&self, id: &EngineId) -> Option<&Endpoint> {
        self.0.get(id)
    }

    /// All endpoints, in the order of their ids.
    #[must_use]
    pub fn to_vec(&self) -> Vec<Endpoint> {
        self.0.values().cloned().collect()
    }

    /// Whether there are no endpoints.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a list consists of exactly these endpoints.
    pub(super) fn equals(&self, list: &[Endpoint]) -> bool {
        self.0.len() == list.len()
            && list.iter().all(|endpoint| self.get(&endpoint.entry.id) == Some(endpoint))
    }
}

impl From<Vec<Endpoint>> for EndpointSet {
    /// Builds the set; of several endpoints with the same id, the last one is used.
    fn from(list: Vec<Endpoint>) -> Self {
        Self(list.into_iter().map(|endpoint| (endpoint.entry.id.clone(), endpoint)).collect())
    }
}
