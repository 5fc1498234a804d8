//! State of engines: discovery data, work in flight, reported load, and per-engine state of the other
//! modules.

use super::bounds::starting_bound;
use super::outlier::EngineHealth;
use super::pi_controller::PiController;
use super::request_state::{EngineLocation, RequestNumber};
use super::slow_start::{warm_up_factor, WarmUpState};
use super::subsetting::{subset_positions, RingEngine};
use super::{EngineEntry, EngineId, Lifecycle, ListScope, LoadReport, Settings};
use std::collections::BTreeMap;

/// How long attempts are kept beyond the window in which they count (seconds).
pub const EXPIRY_MARGIN_S: f64 = 1.0;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The request.
    pub request: RequestNumber,
    /// Number of the attempt, from 0.
    pub attempt: u32,
}

/// An attempt in flight, as part of its engine's load.
pub struct InFlightAttempt {
    /// When it was sent (seconds).
    pub sent_at: f64,
    /// Expected delay (seconds).
    pub expected_delay: f64,
    /// Estimated cost (ms of work).
    pub cost: f64,
    /// Estimated memory (MB).
    pub memory: f64,
    /// Group of tables that it reads or writes.
    pub tables: i64,
    /// Whether it is a load, which locks its tables.
    pub is_load: bool,
}

/// Work of an abandoned attempt that is still running.
pub struct AbandonedWork {
    /// When it stops counting in the backlog (seconds).
    pub until: f64,
    /// Estimated cost (ms of work).
    pub cost: f64,
}

/// One engine.
pub struct Engine {
    /// What discovery reported.
    pub entry: EngineEntry,
    /// Whether the current endpoint set contains it, in any lifecycle state.
    pub listed: bool,
    /// Cores, at least 1.
    pub cores: f64,
    /// Memory (MB); infinite if unknown.
    pub memory: f64,
    /// Position in this coordinator's order of preference; above 1 in other zones.
    pub subset_position: f64,
    /// When an attempt was last sent to it (seconds).
    pub last_used_at: f64,
    /// State of its warm-up after a start.
    pub warm_up: WarmUpState,
    /// Controller of the bound on its backlog.
    pub controller: PiController,
    /// Attempts in flight.
    pub in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    /// Work of abandoned attempts that is still running.
    pub abandoned: Vec<AbandonedWork>,
    /// Its load as last reported.
    pub load: LoadReport,
    /// Number of attempts sent since the last outcome.
    pub sent_since_report: f64,
    /// Table groups that an attempt reported to be locked by a load, and until when this is assumed
    /// (seconds).
    pub locked_tables: BTreeMap<i64, f64>,
    /// Its health.
    pub health: EngineHealth,
}

impl Engine {
    /// State of a newly discovered engine. `work_per_thread` (ms) determines its bound.
    fn new(settings: &Settings, entry: &EngineEntry, now: f64, work_per_thread: f64) -> Self {
        let kind = settings.kinds.iter().find(|kind| *kind.name == *entry.kind);
        let cores = kind.map_or(1.0, |kind| kind.cores.max(1.0));
        Self {
            entry: entry.clone(),
            listed: true,
            cores,
            memory: kind.map(|kind| kind.memory).filter(|mb| *mb > 0.0).unwrap_or(f64::INFINITY),
            subset_position: 0.0,
            last_used_at: f64::NEG_INFINITY,
            warm_up: WarmUpState::default(),
            controller: PiController::new(starting_bound(settings, cores, work_per_thread), 1.0),
            in_flight: BTreeMap::new(),
            abandoned: Vec::new(),
            load: LoadReport::default(),
            sent_since_report: 0.0,
            locked_tables: BTreeMap::new(),
            health: EngineHealth::new(now),
        }
    }

    /// Resets the state for a new process of the engine, of this age (seconds): it warms up, and only
    /// attempts in flight are kept from the old process.
    fn restart(&mut self, fresh: Self, settings: &Settings, age: f64) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let factor = warm_up_factor(settings, age);
        let controller = PiController::new(fresh.controller.bound * factor, factor);
        *self = Self { in_flight, controller, ..fresh };
    }

    /// Whether it accepts requests, according to discovery.
    pub fn is_ready(&self) -> bool {
        self.listed && self.entry.lifecycle == Lifecycle::Ready
    }

    /// Whether the current endpoint set contains it as ready or draining.
    pub fn is_present(&self) -> bool {
        self.listed && self.entry.lifecycle != Lifecycle::Gone
    }

    /// Whether it accepts requests and is not ejected.
    pub fn is_available(&self) -> bool {
        self.is_ready() && !self.health.ejected
    }

    /// Its zone and cell.
    pub fn location(&self) -> EngineLocation {
        EngineLocation { zone: self.entry.zone.clone(), cell: self.entry.cell }
    }

    /// How many times slower than its peers it seems to be (ratio, at least 1).
    pub fn outlier_score(&self, now: f64) -> f64 {
        self.health.outlier_score(now, self.in_flight.values())
    }

    /// Whether a load that may still be running was reported to lock these tables.
    pub fn has_locked(&self, now: f64, tables: i64) -> bool {
        self.locked_tables.get(&tables).is_some_and(|until| now < *until)
    }

    /// Memory that attempts in flight are estimated to need (MB).
    pub fn memory_in_flight(&self) -> f64 {
        self.in_flight.values().map(|attempt| attempt.memory).sum()
    }

    /// Unfinished work of this coordinator on the engine (ms): attempts in flight and abandoned work.
    pub fn backlog(&self) -> f64 {
        let in_flight = self.in_flight.values().map(|attempt| attempt.cost).sum::<f64>();
        in_flight + self.abandoned.iter().map(|work| work.cost).sum::<f64>()
    }

    /// Drops expired state; `window` is the window of slow start (seconds).
    pub fn expire(&mut self, now: f64, window: f64) {
        self.abandoned.retain(|work| work.until > now);
        self.locked_tables.retain(|_, until| *until > now);
        self.warm_up.drop_sends_before(now - window - EXPIRY_MARGIN_S);
    }
}

/// An endpoint set, or changes to it.
pub struct EndpointUpdate {
    /// When it arrived (seconds).
    pub now: f64,
    /// Which part of the engine list the entries are.
    pub scope: ListScope,
    /// The entries.
    pub entries: Vec<EngineEntry>,
}

/// All listed engines, and departed ones with attempts in flight.
#[derive(Default)]
pub struct EngineTable {
    engines: BTreeMap<EngineId, Engine>,
}

impl EngineTable {
    /// Number of engines.
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// The engine with this identity.
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Mutable access to the engine with this identity.
    pub fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.engines.get_mut(id)
    }

    /// All engines, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.engines.values()
    }

    /// Mutable access to all engines, ordered by id.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Engine> {
        self.engines.values_mut()
    }

    /// Engines that accept requests, according to discovery.
    pub fn ready(&self) -> impl Iterator<Item = &Engine> {
        self.iter().filter(|engine| engine.is_ready())
    }

    /// Engines that accept requests and are not ejected.
    pub fn available(&self) -> impl Iterator<Item = &Engine> {
        self.iter().filter(|engine| engine.is_available())
    }

    /// Unfinished work of this coordinator on all engines (ms).
    pub fn backlog(&self) -> f64 {
        self.iter().map(Engine::backlog).sum()
    }

    /// Applies an endpoint set, or changes to it. `work_per_thread` (ms) determines the bounds of new
    /// engines.
    pub fn apply(&mut self, update: EndpointUpdate, settings: &Settings, work_per_thread: f64) {
        let EndpointUpdate { now, scope, entries } = update;
        for engine in self.iter_mut() {
            engine.listed &= scope == ListScope::Changes;
        }
        for entry in entries {
            let fresh = || Engine::new(settings, &entry, now, work_per_thread);
            let engine = self.engines.entry(entry.id.clone()).or_insert_with(fresh);
            let started_at = entry.started.unwrap_or(f64::NEG_INFINITY);
            let age = now - started_at;
            if started_at > engine.warm_up.started_at && age < settings.warmup_time {
                engine.restart(fresh(), settings, age);
                if scope == ListScope::Restored {
                    engine.warm_up.budget_spent_until = now + settings.overload_window;
                }
            }
            engine.warm_up.started_at = engine.warm_up.started_at.max(started_at);
            engine.listed = true;
            engine.entry = entry;
        }
        self.remove_departed();
        self.set_subset_positions(settings);
    }

    /// Removes departed engines that have no attempts in flight.
    pub fn remove_departed(&mut self) {
        self.engines.retain(|_, engine| engine.is_present() || !engine.in_flight.is_empty());
    }

    fn set_subset_positions(&mut self, settings: &Settings) {
        let ring: Vec<RingEngine> = self
            .iter()
            .map(|engine| RingEngine {
                id: &engine.entry.id,
                zone: &engine.entry.zone,
                cores: if engine.listed { engine.cores } else { 0.0 },
            })
            .collect();
        let positions = subset_positions(&ring, &settings.zone, settings.index, settings.coordinators);
        for (engine, position) in self.iter_mut().zip(positions) {
            engine.subset_position = position;
        }
    }
}
