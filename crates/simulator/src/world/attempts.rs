//! Attempts: sent by coordinators, run by engines, ended, timed out or cancelled.

use super::event::ModelEvent;
use super::state::Attempt;
use super::{request_id, World};
use crate::audit::Pair;
use crate::engine::{Admission, Job};
use crate::{micros, Micros};
use dahliaspoke::policy::{AttemptEnd, Event, Outcome, Progress};
use rand::Rng;

/// Attempts of one submission after which no more reach an engine, in case a policy retries forever.
const MAX_ATTEMPTS: u32 = 100;
/// The shortest network delay, and the range from there to the longest, both relative to the mean.
const NETWORK_JITTER: (f64, f64) = (0.85, 0.3);

impl World<'_> {
    /// Sends an attempt; `timeout` in seconds.
    pub(super) fn send_attempt(
        &mut self,
        coordinator: usize,
        submission: usize,
        engine: usize,
        timeout: Option<f64>,
    ) {
        self.record(submission as u64, engine as u64);
        let number = self.submissions[submission].attempts.len() as u32;
        self.auditor.attempt_sent(self.now, Pair { coordinator, engine }, submission as u64);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { submission, number, engine, in_flight: true });
        self.submissions[submission].attempts.push(attempt);
        if number >= MAX_ATTEMPTS {
            self.attempts[attempt].in_flight = false; // the auditor has recorded it
            return;
        }
        if self.submissions[submission].ended || engine >= self.engines.len() {
            return self.end_and_queue(attempt, Outcome::Expired);
        }
        let same_zone = self.is_same_zone(coordinator, engine);
        self.tally.attempts += 1;
        self.tally.cross_zone_attempts += u64::from(!same_zone);
        let at =
            self.now + self.acquire_connection(coordinator, engine) + self.network_delay(coordinator, engine);
        self.queue.push(at, ModelEvent::AttemptArrives { attempt });
        let timeout_at = timeout.map_or(Micros::MAX, |timeout| self.now + micros(timeout));
        let until = self.submissions[submission].deadline.min(timeout_at);
        self.queue.push(until, ModelEvent::AttemptTimesOut { attempt });
    }

    /// Acquires a connection to an engine and returns the time to open one (us), 0 if one is free.
    fn acquire_connection(&mut self, coordinator: usize, engine: usize) -> Micros {
        let connections = &mut self.coordinators[coordinator].connections[engine];
        connections.in_use += 1;
        if connections.in_use <= connections.open {
            return 0;
        }
        connections.open = connections.in_use;
        self.tally.connections += 1;
        micros(self.scenario.handshake_ms / 1000.0)
    }

    fn is_same_zone(&self, coordinator: usize, engine: usize) -> bool {
        self.coordinators[coordinator].zone == engine % self.scenario.zones
    }

    /// Draws the one-way network delay between a coordinator and an engine (us).
    pub(super) fn network_delay(&mut self, coordinator: usize, engine: usize) -> Micros {
        let same_zone = self.is_same_zone(coordinator, engine);
        let mean = if same_zone { self.scenario.same_zone_ms } else { self.scenario.cross_zone_ms };
        let (shortest, range) = NETWORK_JITTER;
        micros(mean / 1000.0 * (shortest + range * self.rng.random::<f64>())).max(1)
    }

    /// Draws the one-way network delay between an attempt's coordinator and its engine (us).
    pub(super) fn network_delay_of(&mut self, attempt: usize) -> Micros {
        self.network_delay(self.coordinator_of(attempt), self.attempts[attempt].engine)
    }

    pub(super) fn coordinator_of(&self, attempt: usize) -> usize {
        self.submissions[self.attempts[attempt].submission].coordinator
    }

    /// Whether a zone outage separates a coordinator from an engine.
    pub(super) fn is_unreachable(&self, coordinator: usize, engine: usize) -> bool {
        let zones = self.scenario.zones;
        let coordinator = &self.coordinators[coordinator];
        self.unreachable_zone.is_some_and(|lost| (engine % zones == lost) != (coordinator.zone == lost))
    }

    pub(super) fn attempt_arrives(&mut self, attempt: usize) {
        let Attempt { submission, engine, in_flight, .. } = self.attempts[attempt];
        if !in_flight {
            return;
        }
        let coordinator = self.submissions[submission].coordinator;
        let response_at = self.now + self.network_delay(coordinator, engine);
        if self.is_unreachable(coordinator, engine) {
            let at = self.now + micros(self.scenario.connect_ms / 1000.0);
            return self.return_outcome(at, attempt, Outcome::Unreachable);
        }
        if !self.engines[engine].up {
            return self.return_outcome(response_at, attempt, Outcome::Unreachable);
        }
        if self.rng.random::<f64>() < self.engines[engine].error_share {
            return self.return_outcome(response_at, attempt, Outcome::Error);
        }
        let job = self.job(attempt);
        let engine_state = &self.engines[engine];
        let warming_since = engine_state.started().filter(|_| engine_state.capacity_share(self.now) < 1.0);
        self.auditor.work_arrived(self.now, Pair { coordinator, engine }, job.work, warming_since);
        match self.engines[engine].admit(self.now, job) {
            Admission::Accepted => self.schedule_engine(engine),
            Admission::Full => self.return_outcome(response_at, attempt, Outcome::Full),
            Admission::Overloaded => {
                let window = self.engines[engine].spec.overload_window_s;
                self.auditor.engine_overloaded(self.now, engine, window);
                self.return_outcome(response_at, attempt, Outcome::Reset);
                self.stop_engine(engine);
            }
        }
    }

    pub(super) fn return_outcome(&mut self, at: Micros, attempt: usize, outcome: Outcome) {
        self.queue.push(at, ModelEvent::AttemptEnds { attempt, outcome });
    }

    fn job(&self, attempt: usize) -> Job {
        let submission = &self.submissions[self.attempts[attempt].submission];
        let request = &self.requests[submission.request];
        let class = &self.scenario.classes[request.class];
        Job {
            tag: attempt as u64,
            work: request.work,
            io_share: class.io_share,
            threads: class.threads,
            memory: request.memory,
            memory_grant: submission.memory_grant,
            priority: submission.priority,
            table_group: request.table_group,
            is_load: class.is_load,
            yields_to_loads: class.yields_to_loads,
        }
    }

    pub(super) fn attempt_times_out(&mut self, attempt: usize) {
        if self.attempts[attempt].in_flight {
            self.send_cancel(attempt);
            self.end_and_notify(attempt, Outcome::Timeout);
        }
    }

    /// Cancels an attempt, by its number, for a policy.
    pub(super) fn cancel_attempt(&mut self, submission: usize, number: u32) {
        let attempt = self.submissions[submission].attempts.get(number as usize).copied();
        if let Some(attempt) = attempt.filter(|attempt| self.attempts[*attempt].in_flight) {
            self.send_cancel(attempt);
            self.end_and_queue(attempt, Outcome::Cancelled);
        }
    }

    pub(super) fn send_cancel(&mut self, attempt: usize) {
        let at = self.now + self.network_delay_of(attempt);
        self.queue.push(at, ModelEvent::CancelArrives { attempt });
    }

    pub(super) fn cancel_arrives(&mut self, attempt: usize) {
        let engine = self.attempts[attempt].engine;
        if self.engines[engine].cancel(self.now, attempt as u64) {
            self.schedule_engine(engine);
        }
    }

    pub(super) fn priority_arrives(&mut self, attempt: usize, priority: u8) {
        let engine = self.attempts[attempt].engine;
        self.engines[engine].set_priority(self.now, attempt as u64, priority);
        self.schedule_engine(engine);
    }

    pub(super) fn progress_arrives(&mut self, attempt: usize, progress: Progress) {
        let Attempt { submission, number, in_flight, .. } = self.attempts[attempt];
        if in_flight && self.is_current(submission) {
            let id = request_id(submission);
            let event = Event::Progress { id, attempt: number, progress };
            self.notify(self.submissions[submission].coordinator, event);
        }
    }

    /// Ends an attempt while its policy is handling an event; the policy receives the outcome afterwards.
    fn end_and_queue(&mut self, attempt: usize, outcome: Outcome) {
        let event = self.end_attempt(attempt, outcome);
        self.pending.extend(event);
    }

    /// Ends an attempt and immediately passes the outcome to its policy.
    pub(super) fn end_and_notify(&mut self, attempt: usize, outcome: Outcome) {
        let coordinator = self.coordinator_of(attempt);
        if let Some(event) = self.end_attempt(attempt, outcome) {
            self.notify(coordinator, event);
        }
    }

    /// Ends an attempt and returns the event for its policy; `None` if the attempt had already ended or its
    /// coordinator has crashed.
    fn end_attempt(&mut self, attempt: usize, outcome: Outcome) -> Option<Event> {
        if !std::mem::replace(&mut self.attempts[attempt].in_flight, false) {
            return None;
        }
        let Attempt { submission, number, engine, .. } = self.attempts[attempt];
        self.record(attempt as u64, outcome as u64);
        if !self.is_current(submission) {
            return None;
        }
        self.auditor.attempt_ended(self.now, submission as u64, number, outcome);
        self.release_connection(self.submissions[submission].coordinator, engine, outcome);
        if outcome == Outcome::Ok && !self.submissions[submission].ended {
            self.submissions[submission].ended = true;
            self.auditor.request_answered(self.now, submission as u64, false);
            self.request_served(self.submissions[submission].request);
        }
        let has_report = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        Some(Event::AttemptEnded(AttemptEnd {
            id: request_id(submission),
            attempt: number,
            outcome,
            finished: self.submissions[submission].ended,
            work: None,
            memory: None,
            report: self.load_reports.get(engine).copied().filter(|_| has_report),
        }))
    }

    fn release_connection(&mut self, coordinator: usize, engine: usize, outcome: Outcome) {
        let Some(connections) = self.coordinators[coordinator].connections.get_mut(engine) else { return };
        connections.in_use = connections.in_use.saturating_sub(1);
        if matches!(outcome, Outcome::Reset | Outcome::Unreachable) {
            connections.open = connections.in_use;
        }
    }
}
