//! Faults of the scenario, and notifications of changed engines from discovery.

use super::event::ModelEvent;
use super::World;
use crate::scenario::{Fault, FaultKind};
use crate::{micros, seconds};
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use rand::Rng;

/// Time between the steps of a replacement: draining, gone, ready again (s).
const REPLACEMENT_STEP_S: f64 = 4.0;

impl World<'_> {
    /// Starts or ends a fault.
    pub(super) fn change_fault(&mut self, number: usize, begins: bool) {
        let fault = self.scenario.faults[number].clone();
        if begins && fault.kind.has_end() {
            let at = self.now + micros(fault.for_s);
            self.queue.push(at, ModelEvent::FaultChanges { fault: number, begins: false });
        }
        let size = if begins { fault.size } else { 0.0 };
        match fault.kind {
            FaultKind::LateReports => self.reports_frozen = begins,
            FaultKind::LostAnswers => self.lost_answers = size,
            FaultKind::CoordinatorCrash => {
                for coordinator in 0..self.affected_coordinators(&fault) {
                    self.crash_coordinator(coordinator);
                }
            }
            // The next request is already scheduled, so the new rate applies from the one after it.
            FaultKind::Burst => {
                let affected = self.affected_coordinators(&fault);
                for coordinator in self.coordinators.iter_mut().take(affected) {
                    coordinator.burst = 1.0 + size;
                }
            }
            FaultKind::ZoneOutage => self.change_zone_outage(number % self.scenario.zones, begins),
            FaultKind::Replace => self.replace_engines(number, &fault),
            FaultKind::Crash | FaultKind::Hang | FaultKind::Errors | FaultKind::NoisyNeighbour => {
                for engine in self.affected_engines(number, &fault) {
                    self.change_engine_fault(engine, &fault, begins);
                }
            }
        }
    }

    fn affected_coordinators(&self, fault: &Fault) -> usize {
        (fault.share * self.coordinators.len() as f64).round() as usize
    }

    /// Evenly spaced engines, offset by the number of the fault.
    fn affected_engines(&self, number: usize, fault: &Fault) -> Vec<usize> {
        let total = self.engines.len();
        let count = ((fault.share * total as f64).round() as usize).max(1).min(total);
        let stride = total / count;
        (0..count).map(|position| (position * stride + number) % total).collect()
    }

    fn change_engine_fault(&mut self, engine: usize, fault: &Fault, begins: bool) {
        let size = if begins { fault.size } else { 0.0 };
        match fault.kind {
            FaultKind::Crash if begins => self.stop_engine(engine),
            FaultKind::Crash => self.restart_engine(engine),
            FaultKind::Hang => self.engines[engine].is_hung = begins,
            FaultKind::Errors => self.engines[engine].error_share = size,
            _ => self.engines[engine].stolen_cores = size,
        }
        if self.engines[engine].up {
            self.engines[engine].refresh(self.now);
            self.schedule_engine(engine);
        }
    }

    fn change_zone_outage(&mut self, zone: usize, begins: bool) {
        self.unreachable_zone = begins.then_some(zone);
        if !begins {
            for engine in (zone..self.engines.len()).step_by(self.scenario.zones) {
                self.restart_engine(engine);
            }
        }
    }

    fn replace_engines(&mut self, number: usize, fault: &Fault) {
        let count = (fault.share * self.engines.len() as f64).max(1.0);
        for (position, engine) in self.affected_engines(number, fault).into_iter().enumerate() {
            let at = self.now + micros(fault.for_s * position as f64 / count);
            let event = ModelEvent::ReplacementStep { engine, lifecycle: Lifecycle::Draining };
            self.queue.push(at, event);
        }
    }

    pub(super) fn replacement_step(&mut self, engine: usize, lifecycle: Lifecycle) {
        if lifecycle == Lifecycle::Ready {
            return self.restart_engine(engine);
        }
        self.entries[engine].lifecycle = lifecycle;
        self.notify_coordinators(engine);
        let next = if lifecycle == Lifecycle::Gone { Lifecycle::Ready } else { Lifecycle::Gone };
        if lifecycle == Lifecycle::Gone {
            self.stop_engine(engine);
        }
        let at = self.now + micros(REPLACEMENT_STEP_S);
        self.queue.push(at, ModelEvent::ReplacementStep { engine, lifecycle: next });
    }

    fn restart_engine(&mut self, engine: usize) {
        self.stop_engine(engine); // resets the attempts that it may still run
        self.engines[engine].restart(self.now);
        self.engines[engine].stolen_cores = 0.0;
        let started = Some(seconds(self.now));
        let lifecycle = Lifecycle::Ready;
        self.entries[engine] = EngineEntry { lifecycle, started, ..self.entries[engine].clone() };
        self.notify_coordinators(engine);
    }

    /// Notifies every coordinator of a changed engine, each after its own discovery delay.
    fn notify_coordinators(&mut self, engine: usize) {
        let entry = self.entries[engine].clone();
        for coordinator in 0..self.coordinators.len() {
            let delay = self.scenario.discovery_ms / 1000.0 * (0.5 + self.rng.random::<f64>());
            let incarnation = self.coordinators[coordinator].incarnation;
            let event =
                ModelEvent::EngineNotified { coordinator, incarnation, entry: Box::new(entry.clone()) };
            self.queue.push(self.now + micros(delay), event);
        }
    }
}
