//! Engines in maintenance: set over the admin interface of this process or of one beside it, or in the store.

use super::Daemon;
use crate::admin::Response;
use crate::discovery::maintenance::MaintenanceSet;
use crate::net::Time;
use crate::store::{self, Store};
use dahliaspoke::policy::{EngineId, ListScope};
use std::collections::BTreeSet;

/// The engines in maintenance, whoever put them there.
pub struct Maintenance {
    /// By admin interfaces; a file holds it for the process beside this one.
    local: MaintenanceSet,
    /// By the store.
    stored: BTreeSet<EngineId>,
    /// When to look whether another process has changed the file.
    poll_at: Time,
}

/// What an operator wants of an engine's maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceChange {
    /// The engine is taken out of service.
    Start,
    /// It may serve again.
    End,
}

impl Maintenance {
    /// Starts from what an earlier process has left in the file.
    pub fn open(now: Time) -> Self {
        Self { local: MaintenanceSet::open(), stored: BTreeSet::new(), poll_at: now }
    }

    /// When the file is polled next.
    pub fn next_deadline(&self) -> Time {
        self.poll_at
    }

    /// Whether an engine is in maintenance.
    pub fn contains(&self, engine: &EngineId) -> bool {
        self.local.since(engine).is_some() || self.stored.contains(engine)
    }

    /// Since when an engine is in maintenance.
    pub fn since(&self, now: Time, engine: &EngineId) -> Option<Time> {
        // The file may be of a process whose clock is ahead of this one's: nothing was changed later than now.
        let local = self.local.since(engine).map(|since| since.min(now));
        local.or_else(|| self.stored.contains(engine).then_some(now))
    }

    /// Replaces what the store says; returns the engines that this changes.
    fn replace_stored(&mut self, stored: BTreeSet<EngineId>) -> Vec<EngineId> {
        let changed = self.stored.symmetric_difference(&stored).cloned().collect();
        self.stored = stored;
        changed
    }
}

/// The engines that the store has in maintenance.
fn stored_engines(store: &Store) -> BTreeSet<EngineId> {
    store
        .entries_with_prefix(store::MAINTENANCE_PREFIX)
        .into_iter()
        .map(|(engine, _)| engine.into())
        .collect()
}

impl Daemon {
    /// Polls the file, when that is due.
    pub(super) fn poll_maintenance(&mut self, now: Time) {
        if self.maintenance.poll_at <= now {
            self.maintenance.poll_at = now + self.limits.discovery.maintenance_poll_interval;
            self.read_maintenance(now);
        }
    }

    /// Applies what the process beside this one has changed.
    fn read_maintenance(&mut self, now: Time) {
        match self.maintenance.local.poll() {
            Ok(changed) => self.apply_maintenance(now, changed),
            Err(error) => tracing::info!(at = now, "maintenance is not kept: {error}"),
        }
    }

    /// Applies what the store says.
    pub(super) fn apply_stored_maintenance(&mut self, now: Time) {
        let Some(store) = &self.handlers.store else { return };
        let changed = self.maintenance.replace_stored(stored_engines(store));
        self.apply_maintenance(now, changed);
    }

    /// Updates upstreams and core where the maintenance of these engines may have changed. An engine that comes back was
    /// restarted meanwhile, perhaps just now, and discovery may tell that late: it counts as started now.
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

    /// Carries out what an operator wants.
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
