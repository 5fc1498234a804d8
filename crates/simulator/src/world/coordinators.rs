//! Coordinators: they pass events to their policies, execute the resulting actions, crash and restart.

use super::event::ModelEvent;
use super::state::{Connections, Submission};
use super::{submission_of, World};
use crate::audit::Pair;
use crate::policy::position;
use crate::{micros, seconds};
use dahliaspoke::policy::*;
use rand::Rng;

impl World<'_> {
    /// Whether the coordinator that accepted a submission is up and has not restarted since.
    pub(super) fn is_current(&self, submission: usize) -> bool {
        let Submission { coordinator, incarnation, .. } = &self.submissions[submission];
        self.is_incarnation(*coordinator, *incarnation)
    }

    fn is_incarnation(&self, coordinator: usize, incarnation: u32) -> bool {
        let coordinator = &self.coordinators[coordinator];
        coordinator.up && coordinator.incarnation == incarnation
    }

    /// Passes an event to a coordinator's policy and executes the resulting actions.
    pub(super) fn notify(&mut self, coordinator: usize, event: Event) {
        self.pending.push_back(event);
        while let Some(event) = self.pending.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = seconds(self.now);
            let policy = &mut self.coordinators[coordinator].policy;
            policy.handle(now, event, &self.engine_delays, &mut actions);
            for action in actions.drain(..) {
                self.perform(coordinator, action);
            }
            self.actions = actions;
        }
    }

    fn perform(&mut self, coordinator: usize, action: Action) {
        match action {
            Action::Send { id, engine, timeout, .. } => {
                self.send_attempt(coordinator, submission_of(&id), position(&engine), timeout);
            }
            Action::Cancel { id, attempt } => self.cancel_attempt(submission_of(&id), attempt),
            Action::Reject { id, retry_after } => self.answer(submission_of(&id), true, retry_after),
            Action::Fail { id } => self.answer(submission_of(&id), false, None),
            Action::SetTerms { id, memory, rank } => self.set_terms(submission_of(&id), memory, rank),
            Action::SetTimer { after, token } => {
                let incarnation = self.coordinators[coordinator].incarnation;
                let at = self.now + micros(after).max(1);
                self.queue.push(at, ModelEvent::PolicyTimer { coordinator, incarnation, token });
            }
            Action::Subscribe | Action::ReleaseOrderLock { .. } | Action::Log(_) => {}
        }
    }

    /// Gives the final answer to a submission that was not served. `retry_after` in seconds.
    fn answer(&mut self, submission: usize, rejected: bool, retry_after: Option<f64>) {
        self.record(submission as u64, 1 + u64::from(rejected));
        self.auditor.request_answered(self.now, submission as u64, rejected);
        if !std::mem::replace(&mut self.submissions[submission].ended, true) {
            self.retry_or_give_up(submission, rejected, retry_after);
        }
    }

    /// Sets memory (MB) and priority of a submission; the priority is also sent to the engines that are
    /// running it.
    fn set_terms(&mut self, submission: usize, memory_grant: Option<f64>, priority: u8) {
        let state = &mut self.submissions[submission];
        (state.memory_grant, state.priority) = (memory_grant, priority);
        let mut running = state.attempts.clone();
        running.retain(|attempt| self.attempts[*attempt].in_flight);
        for attempt in running {
            let at = self.now + self.network_delay_of(attempt);
            self.queue.push(at, ModelEvent::PriorityArrives { attempt, priority });
        }
    }

    pub(super) fn policy_timer(&mut self, coordinator: usize, incarnation: u32, token: u64) {
        if self.is_incarnation(coordinator, incarnation) {
            self.notify(coordinator, Event::Timer(token));
        }
    }

    pub(super) fn engine_notified(&mut self, coordinator: usize, incarnation: u32, entry: EngineEntry) {
        if self.is_incarnation(coordinator, incarnation) {
            self.audit_notification(coordinator, &entry);
            self.notify(coordinator, Event::EngineList(ListScope::Changes, vec![entry]));
        }
    }

    fn audit_notification(&mut self, coordinator: usize, entry: &EngineEntry) {
        let pair = Pair { coordinator, engine: position(&entry.id) };
        let started = entry.started.map(micros);
        self.auditor.engine_notified(self.now, pair, entry.lifecycle, started);
    }

    /// Crashes a coordinator: its clients notice and submit again, its attempts are cancelled.
    pub(super) fn crash_coordinator(&mut self, number: usize) {
        let coordinator = &mut self.coordinators[number];
        coordinator.up = false;
        coordinator.incarnation += 1;
        coordinator.connections.fill(Connections::default());
        self.auditor.coordinator_restarted(number);
        for submission in std::mem::take(&mut self.coordinators[number].submissions) {
            if !self.submissions[submission].ended {
                self.abandon_submission(submission);
            }
        }
        let restart = self.scenario.restart_s * (0.5 + self.rng.random::<f64>());
        let at = self.now + micros(restart);
        self.queue.push(at, ModelEvent::CoordinatorRestarts { coordinator: number });
    }

    fn abandon_submission(&mut self, submission: usize) {
        self.submissions[submission].ended = true;
        self.auditor.request_released(submission as u64);
        // The attempts end with the connections of the coordinator.
        for attempt in self.submissions[submission].attempts.clone() {
            if std::mem::replace(&mut self.attempts[attempt].in_flight, false) {
                self.send_cancel(attempt);
            }
        }
        let request = self.submissions[submission].request;
        let at = self.now + micros(self.scenario.notice_s * self.rng.random::<f64>());
        self.queue.push(at, ModelEvent::ClientSubmits { request });
    }

    pub(super) fn restart_coordinator(&mut self, number: usize) {
        let seed = self.rng.random();
        let coordinator = &mut self.coordinators[number];
        coordinator.up = true;
        coordinator.policy = (self.make_policy)(&self.settings[number], seed);
        for entry in self.entries.clone() {
            self.audit_notification(number, &entry);
        }
        self.notify(number, Event::EngineList(ListScope::Restored, self.entries.clone()));
    }
}
