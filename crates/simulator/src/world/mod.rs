//! A run of the model: clients, coordinators, the network, discovery, engines and faults, in virtual time.
//!
//! - `event` defines the events; `state` the state of coordinators, requests and attempts;
//! - `setup` builds the initial state of a run from a scenario and a seed;
//! - `clients` submit requests and retry them;
//! - `coordinators` execute the actions of policies, crash and restart;
//! - `attempts` are sent to engines and end;
//! - `engines` run queries and report load and progress;
//! - `faults` applies the faults of the scenario and notifies coordinators of changed engines.

mod attempts;
mod clients;
mod coordinators;
mod engines;
mod event;
mod faults;
mod setup;
mod state;

use crate::audit::Auditor;
use crate::engine::Engine;
use crate::policy::{self, Policy, PolicyKind};
use crate::queue::Queue;
use crate::report::{AuditResult, Report, RunTrace, Tally};
use crate::scenario::Scenario;
use crate::{micros, Micros};
use dahliaspoke::policy::*;
use event::ModelEvent;
use rand_pcg::Pcg64Mcg;
use state::{Attempt, Coordinator, Request, Submission};
use std::collections::VecDeque;

/// Time after the last arrival in which requests may still finish (s).
const COOL_DOWN_S: f64 = 30.0;
/// Maximum age of the state that the oracle policy sees (us).
const ORACLE_INTERVAL: Micros = 100_000;

/// Creates the policy of a coordinator from its settings and a seed.
type PolicyFactory<'a> = &'a dyn Fn(&Settings, u64) -> Box<dyn Policy>;

/// One run.
struct World<'a> {
    scenario: &'a Scenario,
    /// Settings by coordinator.
    settings: Vec<Settings>,
    kind: PolicyKind,
    make_policy: PolicyFactory<'a>,
    /// Random numbers of the clients' traffic, separate so that every policy gets the same traffic.
    traffic_rng: Pcg64Mcg,
    /// All other random numbers.
    rng: Pcg64Mcg,
    queue: Queue<ModelEvent>,
    now: Micros,
    /// When requests stop arriving.
    end: Micros,
    coordinators: Vec<Coordinator>,
    engines: Vec<Engine>,
    /// The discovery entry of each engine.
    entries: Vec<EngineEntry>,
    /// The last load report of each engine.
    load_reports: Vec<LoadReport>,
    /// Whether load reports are not refreshed.
    reports_frozen: bool,
    /// Share of the answers that are lost.
    lost_answers: f64,
    /// The zone that is unreachable.
    unreachable_zone: Option<usize>,
    requests: Vec<Request>,
    submissions: Vec<Submission>,
    attempts: Vec<Attempt>,
    /// What the oracle policy sees: the time that each engine needs for its pending work (s).
    engine_delays: Vec<f64>,
    auditor: Auditor,
    tally: Tally,
    trace: RunTrace,
    /// Reused buffer for the actions of a policy.
    actions: Vec<Action>,
    /// Events that the notified policy has yet to handle.
    pending: VecDeque<Event>,
}

/// Runs a scenario with a policy and a seed.
#[must_use]
pub fn play(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Report {
    play_with(scenario, kind, seed, |settings, seed| policy::make(kind, settings, seed))
}

/// Runs a scenario with policies that `make` creates from settings and a seed. The `engine_delays` that they
/// are passed are kept up to date only if `kind` is [`PolicyKind::Oracle`].
pub fn play_with(
    scenario: &Scenario,
    kind: PolicyKind,
    seed: u64,
    make: impl Fn(&Settings, u64) -> Box<dyn Policy>,
) -> Report {
    let mut world = World::new(scenario, kind, seed, &make);
    world.run();
    world.into_report()
}

impl World<'_> {
    fn run(&mut self) {
        self.schedule_first_events();
        let last = self.end + micros(COOL_DOWN_S);
        while let Some((at, event)) = self.queue.pop() {
            if at > last {
                break;
            }
            self.now = self.now.max(at);
            self.trace.events += 1;
            self.dispatch(event);
        }
        self.now = last;
    }

    fn schedule_first_events(&mut self) {
        for coordinator in 0..self.coordinators.len() {
            self.notify(coordinator, Event::EngineList(ListScope::Complete, self.entries.clone()));
            self.schedule_next_request(coordinator);
        }
        self.queue.push(micros(self.scenario.report_ms / 1000.0), ModelEvent::LoadReports);
        self.queue.push(micros(self.scenario.progress_ms / 1000.0), ModelEvent::ProgressReports);
        if self.kind == PolicyKind::Oracle {
            self.queue.push(ORACLE_INTERVAL, ModelEvent::OracleRefresh);
        }
        for (number, fault) in self.scenario.faults.iter().enumerate() {
            let event = ModelEvent::FaultChanges { fault: number, begins: true };
            self.queue.push(micros(fault.at_s), event);
        }
    }

    fn into_report(mut self) -> Report {
        self.auditor.close(self.now);
        for request in self.requests.iter().filter(|request| !request.ended) {
            self.tally.classes[request.class].failed += 1;
        }
        self.tally.wasted_work += self.engines.iter().map(|engine| engine.wasted).sum::<f64>();
        let audit = AuditResult {
            violation_count: self.auditor.violation_count,
            violations: self.auditor.violations,
            warmup_load: self.auditor.warmup_load,
        };
        self.tally.into_report(audit, self.trace)
    }

    /// Mixes an event at the current time into the fingerprint of the run.
    fn record(&mut self, subject: u64, detail: u64) {
        self.trace.mix(self.now, subject, detail);
    }

    fn dispatch(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::RequestArrives { coordinator } => self.request_arrives(coordinator),
            ModelEvent::ClientSubmits { request } => self.submit(request),
            ModelEvent::SubmissionExpires { submission } => self.submission_expires(submission),
            ModelEvent::PolicyTimer { coordinator, incarnation, token } => {
                self.policy_timer(coordinator, incarnation, token);
            }
            ModelEvent::EngineNotified { coordinator, incarnation, entry } => {
                self.engine_notified(coordinator, incarnation, *entry);
            }
            ModelEvent::CoordinatorRestarts { coordinator } => self.restart_coordinator(coordinator),
            ModelEvent::AttemptArrives { attempt } => self.attempt_arrives(attempt),
            ModelEvent::AttemptEnds { attempt, outcome } => self.end_and_notify(attempt, outcome),
            ModelEvent::AttemptTimesOut { attempt } => self.attempt_times_out(attempt),
            ModelEvent::CancelArrives { attempt } => self.cancel_arrives(attempt),
            ModelEvent::PriorityArrives { attempt, priority } => self.priority_arrives(attempt, priority),
            ModelEvent::EngineAdvances { engine, version } => self.engine_advances(engine, version),
            ModelEvent::LoadReports => self.refresh_load_reports(),
            ModelEvent::ProgressReports => self.send_progress_reports(),
            ModelEvent::ProgressArrives { attempt, progress } => self.progress_arrives(attempt, progress),
            ModelEvent::OracleRefresh => self.refresh_oracle(),
            ModelEvent::FaultChanges { fault, begins } => self.change_fault(fault, begins),
            ModelEvent::ReplacementStep { engine, lifecycle } => self.replacement_step(engine, lifecycle),
        }
    }
}

/// The request id by which policies know a submission.
fn request_id(submission: usize) -> RequestId {
    submission.to_string().into()
}

/// The submission with a policy's request id.
fn submission_of(id: &str) -> usize {
    id.parse().unwrap_or_default()
}
