//! Checks the platform's rules independently of the policy: the auditor observes events and relies on nothing
//! that a policy reports.
//!
//! | rule | violated by |
//! | --- | --- |
//! | answers | a request without a final answer by its deadline, or with two; an attempt after the answer |
//! | repeats | an attempt that its class does not allow after one that may have run; a rejection of a request that may have run |
//! | drains | an attempt on an engine later than the grace time after the coordinator was notified that it drains |
//! | cold | a warming engine that stops, if two thirds of the work came from coordinators that knew of its start |
//! | attempts | more attempts than a request may have; two in flight where hedging is not allowed |

use crate::{micros, seconds, Micros};
use dahliaspoke::policy::{ClassSettings, DedupScope, Idempotency, Lifecycle, Outcome, Settings};
use serde::Serialize;
use std::collections::HashMap;

/// How long after the deadline an answer is still accepted (s).
const ANSWER_SLACK_S: f64 = 0.02;
/// Maximum number of violations that are kept.
const MAX_KEPT_VIOLATIONS: usize = 100;
/// How long records of work sent to a warming engine are kept (us).
const SENT_WORK_RETENTION: Micros = 10_000_000;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// When it happened (us).
    pub at: Micros,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// A coordinator and an engine, by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Pair {
    /// The coordinator.
    pub coordinator: usize,
    /// The engine.
    pub engine: usize,
}

struct Attempt {
    sent: Micros,
    /// Its outcome, once it has ended.
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

struct Request {
    class: usize,
    deadline: Micros,
    attempts: Vec<Attempt>,
    ended: bool,
    /// Whether no answer is required any more: the client has disconnected or the coordinator has crashed.
    released: bool,
}

/// Work sent to a warming engine.
struct SentWork {
    at: Micros,
    /// Work (ms of one thread).
    work: f64,
    /// Whether its sender had been notified of the engine's start.
    knew_of_start: bool,
}

/// Work of queries that reached engines.
#[derive(Default)]
struct ArrivedWork {
    /// Total work (ms of one thread).
    total: f64,
    queries: f64,
}

/// Load in one window on a warming engine from all coordinators that knew of its start, in queries of mean
/// work.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct WarmupLoad {
    /// Queries that were sent.
    #[serde(rename = "calls")]
    pub queries: f64,
    /// Queries that the settings allow.
    pub budget: f64,
}

impl WarmupLoad {
    /// Queries over the budget beyond random variation, for which it allows two standard deviations of the
    /// budget plus 2.
    #[must_use]
    pub fn excess(self) -> f64 {
        self.queries - self.budget - 2.0 * self.budget.sqrt() - 2.0
    }
}

/// Checks one run.
pub struct Auditor {
    settings: Settings,
    answer_slack: Micros,
    /// How long attempts are still allowed after a drain notification.
    grace: Micros,
    requests: HashMap<u64, Request>,
    /// When a coordinator was first notified that an engine is no longer ready.
    not_ready_since: HashMap<Pair, Micros>,
    /// The engine start that a coordinator was last notified of.
    known_starts: HashMap<Pair, Micros>,
    /// Recent work sent to warming engines, by engine.
    sent: HashMap<usize, Vec<SentWork>>,
    arrived: ArrivedWork,
    /// The load on a warming engine with the largest excess over its budget.
    pub warmup_load: Option<WarmupLoad>,
    /// The first hundred violations.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub violation_count: u64,
}

impl Auditor {
    /// Creates the auditor of a run. Attempts are allowed for `grace` (s) after a drain notification.
    #[must_use]
    pub fn new(settings: Settings, grace: f64) -> Self {
        Self {
            settings,
            answer_slack: micros(ANSWER_SLACK_S),
            grace: micros(grace),
            requests: HashMap::new(),
            not_ready_since: HashMap::new(),
            known_starts: HashMap::new(),
            sent: HashMap::new(),
            arrived: ArrivedWork::default(),
            warmup_load: None,
            violations: Vec::new(),
            violation_count: 0,
        }
    }

    fn violation(&mut self, rule: &'static str, at: Micros, description: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(Violation { rule, at, description });
        }
    }

    /// A coordinator has accepted a request.
    pub fn request_accepted(&mut self, request: u64, class: usize, deadline: Micros) {
        let state = Request { class, deadline, attempts: Vec::new(), ended: false, released: false };
        self.requests.insert(request, state);
    }

    /// A coordinator was notified of an engine.
    pub fn engine_notified(
        &mut self,
        now: Micros,
        pair: Pair,
        lifecycle: Lifecycle,
        started: Option<Micros>,
    ) {
        if lifecycle == Lifecycle::Ready {
            self.not_ready_since.remove(&pair);
            if let Some(started) = started {
                self.known_starts.insert(pair, started);
            }
        } else {
            self.not_ready_since.entry(pair).or_insert(now);
        }
    }

    /// A coordinator has restarted and lost its state.
    pub fn coordinator_restarted(&mut self, coordinator: usize) {
        self.not_ready_since.retain(|pair, _| pair.coordinator != coordinator);
        self.known_starts.retain(|pair, _| pair.coordinator != coordinator);
    }

    /// An attempt was sent.
    pub fn attempt_sent(&mut self, now: Micros, pair: Pair, request: u64) {
        self.check_drain(now, pair);
        let Some(state) = self.requests.get_mut(&request) else {
            let description = format!("an attempt for {request}, which was never accepted");
            return self.violation("answers", now, description);
        };
        let class = &self.settings.classes[state.class];
        let may_repeat = may_repeat(class, &state.attempts, now);
        let ended = state.ended;
        let in_flight = state.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        state.attempts.push(Attempt { sent: now, outcome: None });
        let count = state.attempts.len();
        if ended {
            self.violation("answers", now, format!("an attempt for {request}, which has ended"));
        }
        if !may_repeat {
            self.violation("repeats", now, format!("{request} is sent again although it may have run"));
        }
        if count > self.settings.max_attempts as usize || in_flight > 0 && !self.settings.may_hedge {
            self.violation(
                "attempts",
                now,
                format!("{request} has attempt {count} with {in_flight} in flight"),
            );
        }
    }

    fn check_drain(&mut self, now: Micros, pair: Pair) {
        let Some(since) = self.not_ready_since.get(&pair).copied() else { return };
        if now > since + self.grace {
            let Pair { coordinator, engine } = pair;
            let late = now - since;
            let description = format!("c{coordinator} sends to e{engine} {late} us after it was notified");
            self.violation("drains", now, description);
        }
    }

    /// Work (ms) reached an engine; `warming_since` is the engine's start while it warms up.
    pub fn work_arrived(&mut self, now: Micros, pair: Pair, work: f64, warming_since: Option<Micros>) {
        self.arrived.total += work;
        self.arrived.queries += 1.0;
        let Some(started) = warming_since else { return };
        let knew_of_start = self.known_starts.get(&pair) == Some(&started);
        let sent = self.sent.entry(pair.engine).or_default();
        sent.retain(|sent| sent.at + SENT_WORK_RETENTION > now);
        sent.push(SentWork { at: now, work, knew_of_start });
        let load = self.warmup_load_now(now, pair.engine, started);
        if self.warmup_load.is_none_or(|highest| load.excess() > highest.excess()) {
            self.warmup_load = Some(load);
        }
    }

    fn warmup_load_now(&self, now: Micros, engine: usize, started: Micros) -> WarmupLoad {
        let settings = &self.settings;
        let known_work = self.work_since(engine, now, settings.overload_window, true);
        let mean = self.arrived.total / self.arrived.queries;
        let warmed = (seconds(now.saturating_sub(started)) / settings.warmup_time.max(1e-9)).min(1.0);
        let full_capacity = settings.kinds.first().map_or(1.0, |kind| kind.cores) * 1000.0;
        let initial = settings.initial_capacity_share;
        let capacity = full_capacity * (initial + (1.0 - initial) * warmed);
        WarmupLoad {
            queries: known_work / mean,
            budget: settings.overload_multiple * capacity * settings.overload_window / mean,
        }
    }

    /// Work sent to a warming engine in a window that ends now (ms): from all coordinators, or with
    /// `only_known` from those that knew of its start.
    fn work_since(&self, engine: usize, now: Micros, window: f64, only_known: bool) -> f64 {
        let from = now.saturating_sub(micros(window));
        let sent = self.sent.get(&engine).map_or(&[][..], Vec::as_slice);
        let is_included = |sent: &&SentWork| sent.at >= from && (sent.knew_of_start || !only_known);
        sent.iter().filter(is_included).map(|sent| sent.work).sum()
    }

    /// A warming engine has stopped under the load of the preceding `window` (s).
    pub fn engine_overloaded(&mut self, now: Micros, engine: usize, window: f64) {
        let all = self.work_since(engine, now, window, false);
        let known = self.work_since(engine, now, window, true);
        if known * 3.0 >= all * 2.0 && all > 0.0 {
            let description = format!(
                "e{engine} stopped under {all:.0} ms of work, {known:.0} ms of it sent knowing of its start"
            );
            self.violation("cold", now, description);
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Micros, request: u64, number: u32, outcome: Outcome) {
        let state = self.requests.get_mut(&request);
        let Some(attempt) = state.and_then(|state| state.attempts.get_mut(number as usize)) else {
            let description = format!("an outcome of {request}/{number}, which was never sent");
            return self.violation("answers", now, description);
        };
        if attempt.outcome.replace(outcome).is_some() {
            self.violation("answers", now, format!("a second outcome of {request}/{number}"));
        }
    }

    /// A request got its final answer.
    pub fn request_answered(&mut self, now: Micros, request: u64, rejected: bool) {
        let Some(state) = self.requests.get_mut(&request) else {
            let description = format!("an answer to {request}, which was never accepted");
            return self.violation("answers", now, description);
        };
        let may_have_run = state.attempts.iter().any(Attempt::may_have_run);
        let may_reject = may_reject(&self.settings.classes[state.class], may_have_run);
        let already_answered = std::mem::replace(&mut state.ended, true);
        let late = now > state.deadline + self.answer_slack && !state.released;
        if already_answered {
            self.violation("answers", now, format!("a second answer to {request}"));
        }
        if late {
            self.violation("answers", now, format!("{request} is answered after its deadline"));
        }
        if rejected && !may_reject {
            self.violation("repeats", now, format!("{request} is rejected although it may have run"));
        }
    }

    /// The client has disconnected or its coordinator has crashed: no answer is required.
    pub fn request_released(&mut self, request: u64) {
        if let Some(state) = self.requests.get_mut(&request) {
            (state.ended, state.released) = (true, true);
        }
    }

    /// Ends the run: requests past their deadline must have been answered.
    pub fn close(&mut self, now: Micros) {
        let slack = self.answer_slack;
        let is_unanswered = |state: &Request| !state.ended && now > state.deadline + slack;
        let unanswered = self.requests.iter().filter(|(_, state)| is_unanswered(state));
        let mut unanswered: Vec<u64> = unanswered.map(|(id, _)| *id).collect();
        unanswered.sort_unstable();
        for id in unanswered {
            self.violation("answers", now, format!("{id} was never answered"));
        }
    }
}

/// Whether a request may be sent now after these attempts.
fn may_repeat(class: &ClassSettings, attempts: &[Attempt], now: Micros) -> bool {
    let mut may_have_run = attempts.iter().filter(|attempt| attempt.may_have_run());
    match class.idempotency {
        Idempotency::Always => true,
        Idempotency::Never => may_have_run.next().is_none(),
        // If the scope is all engines, any engine drops a repeat within the window.
        Idempotency::WithKey => {
            let window = micros(class.dedup_window);
            class.dedup_scope != DedupScope::All || may_have_run.all(|attempt| now <= attempt.sent + window)
        }
    }
}

/// Whether a rejection is correct: nothing ran, or a repeat is harmless.
fn may_reject(class: &ClassSettings, may_have_run: bool) -> bool {
    match class.idempotency {
        Idempotency::Always => true,
        Idempotency::WithKey => !may_have_run || class.dedup_scope == DedupScope::All,
        Idempotency::Never => !may_have_run,
    }
}
