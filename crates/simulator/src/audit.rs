//! The rules of the platform, checked from outside: the auditor sees what happens and takes no policy's word for it.
//!
//! | rule | what breaks it |
//! | --- | --- |
//! | answers | a request without a final answer in its time, or with two; an attempt after the answer |
//! | repeats | an attempt that its class does not allow after one that may have run; a rejection of what may have run |
//! | drains | an attempt on an engine that the coordinator was notified to drain, later than the grace time |
//! | cold | a warming engine that stops, where two thirds of the work came from coordinators that knew of its start |
//! | attempts | more than a request may have; two at once where that is not allowed |

use crate::{micros, seconds, Micros};
use dahliaspoke::policy::{ClassSettings, DedupScope, Idempotency, Lifecycle, Outcome, Settings};
use serde::Serialize;
use std::collections::HashMap;

/// How late an answer may be.
const ANSWER_SLACK_S: f64 = 0.02;
/// Violations that are kept.
const MAX_KEPT_VIOLATIONS: usize = 100;
/// How long work sent to a warming engine is remembered (us).
const SENT_WORK_MEMORY: Micros = 10_000_000;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// When (us).
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
    /// How it ended, once it has.
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
    over: bool,
    /// Nothing is owed any more: the client has gone or the coordinator has crashed.
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
    /// Work in all (ms of one thread).
    total: f64,
    queries: f64,
}

/// What all coordinators that knew of an engine's start sent to it in one window while it warmed up, in queries of mean
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
    /// Queries over the budget that are not chance: beyond two standard deviations of it, and two.
    #[must_use]
    pub fn excess(self) -> f64 {
        self.queries - self.budget - 2.0 * self.budget.sqrt() - 2.0
    }
}

/// Checks one run.
pub struct Auditor {
    settings: Settings,
    answer_slack: Micros,
    /// How long attempts may follow a notification to drain.
    grace: Micros,
    requests: HashMap<u64, Request>,
    /// When a coordinator was first notified that an engine is not ready any more.
    not_ready_since: HashMap<Pair, Micros>,
    /// The start of an engine of which a coordinator was notified.
    known_starts: HashMap<Pair, Micros>,
    /// Work sent lately to warming engines.
    sent: HashMap<usize, Vec<SentWork>>,
    arrived: ArrivedWork,
    /// The warming engine that was sent most, beside what settings allow.
    pub warmup_load: Option<WarmupLoad>,
    /// The first hundred violations.
    pub violations: Vec<Violation>,
    /// How often rules were broken.
    pub violation_count: u64,
}

impl Auditor {
    /// An auditor of a run. Attempts may follow a notification to drain for `grace` (s).
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
        let state = Request { class, deadline, attempts: Vec::new(), over: false, released: false };
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

    /// A coordinator restarts and remembers nothing.
    pub fn coordinator_restarted(&mut self, coordinator: usize) {
        self.not_ready_since.retain(|pair, _| pair.coordinator != coordinator);
        self.known_starts.retain(|pair, _| pair.coordinator != coordinator);
    }

    /// An attempt was sent.
    pub fn attempt_sent(&mut self, now: Micros, pair: Pair, request: u64) {
        self.check_drain(now, pair);
        let Some(state) = self.requests.get_mut(&request) else {
            let description = format!("a send for {request}, which was never taken");
            return self.violation("answers", now, description);
        };
        let class = &self.settings.classes[state.class];
        let may_repeat = may_repeat(class, &state.attempts, now);
        let over = state.over;
        let out = state.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count();
        state.attempts.push(Attempt { sent: now, outcome: None });
        let count = state.attempts.len();
        if over {
            self.violation("answers", now, format!("a send for {request}, which is over"));
        }
        if !may_repeat {
            self.violation("repeats", now, format!("{request} is sent again and may have run"));
        }
        if count > self.settings.max_attempts as usize || out > 0 && !self.settings.may_hedge {
            self.violation("attempts", now, format!("{request} has attempt {count} with {out} out"));
        }
    }

    fn check_drain(&mut self, now: Micros, pair: Pair) {
        let Some(since) = self.not_ready_since.get(&pair).copied() else { return };
        if now > since + self.grace {
            let Pair { coordinator, engine } = pair;
            let late = now - since;
            let description = format!("c{coordinator} sends to e{engine} {late} us after it was told");
            self.violation("drains", now, description);
        }
    }

    /// Work (ms) reached an engine; `warming_since` is its start if it still warms up.
    pub fn work_arrived(&mut self, now: Micros, pair: Pair, work: f64, warming_since: Option<Micros>) {
        self.arrived.total += work;
        self.arrived.queries += 1.0;
        let Some(started) = warming_since else { return };
        let knew_of_start = self.known_starts.get(&pair) == Some(&started);
        let sent = self.sent.entry(pair.engine).or_default();
        sent.retain(|sent| sent.at + SENT_WORK_MEMORY > now);
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

    /// Work sent to a warming engine in a window that ends now (ms); of those that knew of its start alone, or of all.
    fn work_since(&self, engine: usize, now: Micros, window: f64, only_known: bool) -> f64 {
        let from = now.saturating_sub(micros(window));
        let sent = self.sent.get(&engine).map_or(&[][..], Vec::as_slice);
        let counts = |sent: &&SentWork| sent.at >= from && (sent.knew_of_start || !only_known);
        sent.iter().filter(counts).map(|sent| sent.work).sum()
    }

    /// A warming engine has stopped under what it was sent in the window before (s).
    pub fn engine_overloaded(&mut self, now: Micros, engine: usize, window: f64) {
        let all = self.work_since(engine, now, window, false);
        let known = self.work_since(engine, now, window, true);
        if known * 3.0 >= all * 2.0 && all > 0.0 {
            let description = format!("e{engine} fell over under {all:.0} ms, {known:.0} of it knowingly");
            self.violation("cold", now, description);
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: Micros, request: u64, number: u32, outcome: Outcome) {
        let state = self.requests.get_mut(&request);
        let Some(attempt) = state.and_then(|state| state.attempts.get_mut(number as usize)) else {
            let description = format!("an end of {request}/{number}, which was never sent");
            return self.violation("answers", now, description);
        };
        if attempt.outcome.replace(outcome).is_some() {
            self.violation("answers", now, format!("a second end of {request}/{number}"));
        }
    }

    /// A request had its final answer.
    pub fn request_answered(&mut self, now: Micros, request: u64, rejected: bool) {
        let Some(state) = self.requests.get_mut(&request) else {
            let description = format!("an answer to {request}, which was never taken");
            return self.violation("answers", now, description);
        };
        let may_have_run = state.attempts.iter().any(Attempt::may_have_run);
        let may_reject = may_reject(&self.settings.classes[state.class], may_have_run);
        let twice = std::mem::replace(&mut state.over, true);
        let late = now > state.deadline + self.answer_slack && !state.released;
        if twice {
            self.violation("answers", now, format!("a second answer to {request}"));
        }
        if late {
            self.violation("answers", now, format!("{request} is answered after its time"));
        }
        if rejected && !may_reject {
            self.violation("repeats", now, format!("{request} is refused and may have run"));
        }
    }

    /// The client has gone or its coordinator has crashed: nothing is owed.
    pub fn request_released(&mut self, request: u64) {
        if let Some(state) = self.requests.get_mut(&request) {
            (state.over, state.released) = (true, true);
        }
    }

    /// The run is over: requests whose time has passed must have had their answer.
    pub fn close(&mut self, now: Micros) {
        let slack = self.answer_slack;
        let is_unanswered = |state: &Request| !state.over && now > state.deadline + slack;
        let unanswered = self.requests.iter().filter(|(_, state)| is_unanswered(state));
        let mut unanswered: Vec<u64> = unanswered.map(|(id, _)| *id).collect();
        unanswered.sort_unstable();
        for id in unanswered {
            self.violation("answers", now, format!("{id} never had an answer"));
        }
    }
}

/// Whether a request may be sent now after these attempts.
fn may_repeat(class: &ClassSettings, attempts: &[Attempt], now: Micros) -> bool {
    let mut may_have_run = attempts.iter().filter(|attempt| attempt.may_have_run());
    match class.idempotency {
        Idempotency::Always => true,
        Idempotency::Never => may_have_run.next().is_none(),
        // Where the scope is all engines, any engine drops a repeat within the window.
        Idempotency::WithKey => {
            let window = micros(class.dedup_window);
            class.dedup_scope != DedupScope::All || may_have_run.all(|attempt| now <= attempt.sent + window)
        }
    }
}

/// Whether a rejection keeps its promise that nothing ran, or that a repeat is harmless.
fn may_reject(class: &ClassSettings, may_have_run: bool) -> bool {
    match class.idempotency {
        Idempotency::Always => true,
        Idempotency::WithKey => !may_have_run || class.dedup_scope == DedupScope::All,
        Idempotency::Never => !may_have_run,
    }
}
