//! A run of the model: clients, coordinators, the network, discovery, engines and faults, in virtual time.
//!
//! - `event` lists what can happen; `state` what is known of coordinators, requests and attempts;
//! - `setup` builds the start of a run from a scenario and a seed;
//! - `clients` submit requests and retry them;
//! - `coordinators` carry out what policies decide, crash and restart;
//! - `attempts` travel to engines and back;
//! - `engines` run them and report;
//! - `faults` plays the faults of the scenario and tells coordinators of changed engines.

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

/// Requests that arrived near the end get this much longer to end (s).
const COOL_DOWN_S: f64 = 30.0;
/// How old the state is that the oracle policy sees, at the most (us).
const ORACLE_INTERVAL: Micros = 100_000;

/// Makes the policy of a coordinator from its settings and a seed.
type PolicyFactory<'a> = &'a dyn Fn(&Settings, u64) -> Box<dyn Policy>;

/// One run.
struct World<'a> {
    scenario: &'a Scenario,
    /// Settings by coordinator.
    settings: Vec<Settings>,
    kind: PolicyKind,
    make_policy: PolicyFactory<'a>,
    /// Draws of what clients request: the same whichever policy decides.
    traffic_rng: Pcg64Mcg,
    /// All other draws.
    rng: Pcg64Mcg,
    queue: Queue<ModelEvent>,
    now: Micros,
    /// When the last requests arrive.
    end: Micros,
    coordinators: Vec<Coordinator>,
    engines: Vec<Engine>,
    /// What discovery says of each engine.
    entries: Vec<EngineEntry>,
    /// The last load report of each engine.
    load_reports: Vec<LoadReport>,
    /// Whether load reports are not refreshed.
    reports_frozen: bool,
    /// Share of the answers that is lost.
    lost_answers: f64,
    /// The zone that cannot be reached.
    unreachable_zone: Option<usize>,
    requests: Vec<Request>,
    submissions: Vec<Submission>,
    attempts: Vec<Attempt>,
    /// What the oracle policy sees: how long the work in hand of each engine takes (s).
    engine_delays: Vec<f64>,
    auditor: Auditor,
    tally: Tally,
    trace: RunTrace,
    /// Buffer for what a policy decides.
    actions: Vec<Action>,
    /// Events that a policy is yet to be handed.
    pending: VecDeque<Event>,
}

/// Plays a scenario with a policy and a seed.
#[must_use]
pub fn play(scenario: &Scenario, kind: PolicyKind, seed: u64) -> Report {
    play_with(scenario, kind, seed, |settings, seed| policy::make(kind, settings, seed))
}

/// Plays a scenario and a seed with policies of the caller's own, made from settings and a seed. `kind` says whether
/// they are told what the oracle sees.
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
        for request in self.requests.iter().filter(|request| !request.over) {
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

    /// Mixes what happened now into the fingerprint of the run.
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

/// The id of a submission, as policies know it.
fn request_id(submission: usize) -> RequestId {
    submission.to_string().into()
}

/// The submission that a policy names.
fn submission_of(id: &str) -> usize {
    id.parse().unwrap_or_default()
}
