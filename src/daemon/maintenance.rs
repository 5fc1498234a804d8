//! Engines in maintenance: set through the admin interface of this process or of the other process of an
//! upgrade, or in the store.

use super::Daemon;
use crate::admin::Response;
use crate::discovery::maintenance::MaintenanceSet;
use crate::net::Time;
use crate::store::{self, Store};
use dahliaspoke::policy::{EngineId, ListScope};
use std::collections::BTreeSet;

/// The engines in maintenance, from all sources.
pub struct Maintenance {
    /// Set through admin interfaces, and shared through a file with the other process of an upgrade.
    local: MaintenanceSet,
    /// Set in the store.
    stored: BTreeSet<EngineId>,
    /// When to check next whether another process has changed the file.
    poll_at: Time,
}

/// An operator's change to an engine's maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// Takes the engine out of service.
    Start,
    /// Returns the engine to service.
    End,
}

impl Maintenance {
    /// Starts from the state that an earlier process has stored in the file, and from the store as it was opened:
    /// a member's store has the state of its snapshot, which is not reported as a change.
    pub fn open(now: Time, store: Option<&Store>) -> Self {
        let stored = store.map(stored_engines).unwrap_or_default();
        for engine in &stored {
            tracing::info!(at = now, "engine {engine} is left out");
        }
        Self { local: MaintenanceSet::open(), stored, poll_at: now }
    }

    /// When the file is to be polled next.
    pub fn next_deadline(&self) -> Time {
        self.poll_at
    }

    /// Whether an engine is in maintenance.
    pub fn contains(&self, engine: &EngineId) -> bool {
        self.local.since(engine).is_some() || self.stored.contains(engine)
    }

    /// When an engine's maintenance started; `now` if it is set only in the store, which has no start time, and
    /// `None` if the engine is not in maintenance.
    pub fn since(&self, now: Time, engine: &EngineId) -> Option<Time> {
        // The clock of the process that wrote the file may be ahead of this one's: a start is never later
        // than now.
        let local = self.local.since(engine).map(|since| since.min(now));
        local.or_else(|| self.stored.contains(engine).then_some(now))
    }

    /// Replaces the engines set in the store; returns those whose state this changes.
    fn replace_stored(&mut self, stored: BTreeSet<EngineId>) -> Vec<EngineId> {
        let changed = self.stored.symmetric_difference(&stored).cloned().collect();
        self.stored = stored;
        changed
    }
}

/// The engines that are in maintenance according to the store.
fn stored_engines(store: &Store) -> BTreeSet<EngineId> {
    store
        .entries_with_prefix(store::MAINTENANCE_PREFIX)
        .into_iter()
        .map(|(engine, _)| engine.into())
        .collect()
}

impl Daemon {
    /// Polls the file if that is due.
    pub(super) fn poll_maintenance(&mut self, now: Time) {
        if self.maintenance.poll_at <= now {
            self.maintenance.poll_at = now + self.limits.discovery.maintenance_poll_interval;
            self.read_maintenance(now);
        }
    }

    /// Applies the changes that the other process has written to the file.
    fn read_maintenance(&mut self, now: Time) {
        match self.maintenance.local.poll() {
            Ok(changed) => self.apply_maintenance(now, changed),
            Err(error) => tracing::info!(at = now, "cannot write the maintenance file: {error}"),
        }
    }

    /// Applies the maintenance set in the store.
    pub(super) fn apply_stored_maintenance(&mut self, now: Time) {
        let Some(store) = &self.handlers.store else { return };
        let changed = self.maintenance.replace_stored(stored_engines(store));
        self.apply_maintenance(now, changed);
    }

    /// Updates upstreams and core after the maintenance of these engines may have changed. An engine that
    /// returns to service was restarted in the meantime, perhaps just now, and discovery may report it late:
    /// its start time is set to now.
    fn apply_maintenance(&mut self, now: Time, engines: Vec<EngineId>) {
        for engine in engines {
            let in_maintenance = self.maintenance.contains(&engine);
            let state = if in_maintenance { "is left out" } else { "may serve again" };
            tracing::info!(at = now, "engine {engine} {state}");
            let Some(mut endpoint) = self.endpoints.get(&engine).cloned() else { continue };
            if !in_maintenance {
                endpoint.entry.started = Some(now);
            }
            self.distribute_endpoints(now, now, ListScope::Changes, vec![endpoint]);
        }
    }

    /// Executes an operator's change.
    pub(super) fn change_maintenance(
        &mut self,
        now: Time,
        engine: EngineId,
        change: MaintenanceChange,
    ) -> Response {
        self.read_maintenance(now);
        let was_started = self.maintenance.local.since(&engine).is_some();
        if !was_started && !self.endpoints.is_known(&engine) {
            return Response::UnknownEngine(engine);
        }
        match change {
            MaintenanceChange::Start => self.maintenance.local.add(now, &engine),
            MaintenanceChange::End => self.maintenance.local.remove(&engine),
        }
        if was_started != (change == MaintenanceChange::Start) {
            self.apply_maintenance(now, vec![engine]);
        }
        Response::Done
    }
}
