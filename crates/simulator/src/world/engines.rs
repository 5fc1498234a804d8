//! Engines of a run: they finish queries, report their load and the progress of their queries, and stop.

use super::event::ModelEvent;
use super::{World, ORACLE_INTERVAL};
use crate::engine::Engine;
use crate::micros;
use dahliaspoke::policy::Outcome;
use rand::Rng;

impl World<'_> {
    /// Schedules the next query completion on an engine, which is valid until the engine changes.
    pub(super) fn schedule_engine(&mut self, engine: usize) {
        if let Some(at) = self.engines[engine].next_completion() {
            let version = self.engines[engine].version;
            self.queue.push(at, ModelEvent::EngineAdvances { engine, version });
        }
    }

    pub(super) fn engine_advances(&mut self, engine: usize, version: u64) {
        if self.engines[engine].version != version || !self.engines[engine].up {
            return;
        }
        for tag in self.engines[engine].take_finished(self.now) {
            self.query_finished(engine, tag as usize);
        }
        self.schedule_engine(engine);
    }

    fn query_finished(&mut self, engine: usize, attempt: usize) {
        let coordinator = self.coordinator_of(attempt);
        let lost = self.rng.random::<f64>() < self.lost_answers || self.is_unreachable(coordinator, engine);
        let submission = &self.submissions[self.attempts[attempt].submission];
        if submission.ended {
            self.tally.wasted_work += self.requests[submission.request].work;
        }
        if !lost {
            let at = self.now + self.network_delay(coordinator, engine);
            self.return_outcome(at, attempt, Outcome::Ok);
        }
    }

    /// Stops an engine and resets its attempts.
    pub(super) fn stop_engine(&mut self, engine: usize) {
        for tag in self.engines[engine].stop(self.now) {
            let attempt = tag as usize;
            let at = self.now + self.network_delay(self.coordinator_of(attempt), engine);
            self.return_outcome(at, attempt, Outcome::Reset);
        }
    }

    pub(super) fn refresh_load_reports(&mut self) {
        if !self.reports_frozen {
            self.load_reports = self.engines.iter().map(Engine::report).collect();
        }
        let at = self.now + micros(self.scenario.report_ms / 1000.0);
        self.queue.push(at, ModelEvent::LoadReports);
    }

    pub(super) fn refresh_oracle(&mut self) {
        self.engine_delays = self.engines.iter().map(|engine| engine.expected_delay(self.now)).collect();
        self.queue.push(self.now + ORACLE_INTERVAL, ModelEvent::OracleRefresh);
    }

    pub(super) fn send_progress_reports(&mut self) {
        let next = self.now + micros(self.scenario.progress_ms / 1000.0);
        self.queue.push(next, ModelEvent::ProgressReports);
        for engine in 0..self.engines.len() {
            if self.engines[engine].up && !self.engines[engine].is_hung {
                self.send_progress_of(engine);
            }
        }
    }

    fn send_progress_of(&mut self, engine: usize) {
        for (tag, progress) in self.engines[engine].progress_reports(self.now) {
            let attempt = tag as usize;
            let coordinator = self.coordinator_of(attempt);
            if !self.is_unreachable(coordinator, engine) {
                let at = self.now + self.network_delay(coordinator, engine);
                self.queue.push(at, ModelEvent::ProgressArrives { attempt, progress });
            }
        }
    }
}
