//! A small dispatcher around the library, as an embedding program would implement it: it executes every
//! kind of action, manages the timers, and feeds settings, engines, queries, progress, outcomes and timers
//! to the policy.
//!
//! Engines are simulated by a list of attempts that `main` ends; a real dispatcher would use a network
//! client.

use dahliaspoke::policy::*;
use std::collections::{BTreeMap, VecDeque};

/// Rank of attempts before the policy has set one.
const DEFAULT_RANK: u8 = 1;

/// An attempt that is running on an engine.
pub struct RunningAttempt {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The engine that runs it.
    pub engine: EngineId,
    /// Memory granted (MB); `None`: the engine decides.
    pub memory: Option<f64>,
    /// Priority, 0 to 3.
    pub rank: u8,
    /// When it times out (seconds), if ever.
    pub times_out_at: Option<f64>,
}

/// The final answer of a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// An engine served it.
    Served,
    /// It was rejected; a retry is safe, after this time if there is one (seconds).
    Rejected(Option<f64>),
    /// It failed and may have run.
    Failed,
}

/// Memory and priority of a request's attempts.
#[derive(Clone, Copy)]
struct Terms {
    memory: Option<f64>,
    rank: u8,
}

/// A timer that the policy has set.
struct Timer {
    expires_at: f64,
    token: u64,
}

/// Drives one [`Policy`] and executes its actions.
pub struct Dispatcher {
    policy: Policy,
    now: f64,
    timers: Vec<Timer>,
    terms: BTreeMap<RequestId, Terms>,
    attempt_counts: BTreeMap<RequestId, u32>,
    /// Attempts in flight.
    pub attempts: Vec<RunningAttempt>,
    /// Final answers so far.
    pub answers: BTreeMap<RequestId, Answer>,
    /// Log lines of the policy.
    pub log: Vec<String>,
    /// Whether the policy has subscribed to the set of engines.
    pub subscribed: bool,
}

impl Dispatcher {
    /// A dispatcher without engines or requests.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            policy: Policy::new(settings, seed),
            now: 0.0,
            timers: vec![],
            terms: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            attempts: vec![],
            answers: BTreeMap::new(),
            log: vec![],
            subscribed: false,
        }
    }

    /// Feeds one event to the policy and executes all resulting actions.
    pub fn feed(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.execute(action));
            }
        }
    }

    /// Executes one action; returns the event that it causes at once, if any.
    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { id, engine, timeout, .. } => self.send(id, engine, timeout),
            // Every attempt has exactly one outcome, even if it was cancelled.
            Action::Cancel { id, attempt } => {
                let at = self.attempts.iter().position(|a| a.id == id && a.attempt == attempt)?;
                self.attempts.remove(at);
                return Some(self.attempt_ended(id, attempt, Outcome::Cancelled));
            }
            Action::Reject { id, retry_after } => self.answer(id, Answer::Rejected(retry_after)),
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::SetTerms { id, memory, rank } => self.set_terms(id, Terms { memory, rank }),
            Action::ReleaseOrderLock { .. } => {} // only with `OrderLock`s, which this example does not use
            Action::SetTimer { after, token } => {
                self.timers.push(Timer { expires_at: self.now + after, token });
            }
            Action::Subscribe => self.subscribed = true,
            Action::Log(line) => self.log.push(line),
        }
        None
    }

    /// Sends the next attempt of a request. Policy and dispatcher both number the attempts of a request
    /// from 0.
    fn send(&mut self, id: RequestId, engine: EngineId, timeout: Option<f64>) {
        let count = self.attempt_counts.entry(id.clone()).or_default();
        let attempt = *count;
        *count += 1;
        let default = Terms { memory: None, rank: DEFAULT_RANK };
        let Terms { memory, rank } = self.terms.get(&id).copied().unwrap_or(default);
        let times_out_at = timeout.map(|timeout| self.now + timeout);
        self.attempts.push(RunningAttempt { id, attempt, engine, memory, rank, times_out_at });
    }

    /// Sets the priority of attempts in flight and future ones, and the memory of future attempts.
    fn set_terms(&mut self, id: RequestId, terms: Terms) {
        for attempt in self.attempts.iter_mut().filter(|attempt| attempt.id == id) {
            attempt.rank = terms.rank;
        }
        self.terms.insert(id, terms);
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        self.terms.remove(&id);
        self.attempt_counts.remove(&id);
        self.answers.insert(id, answer);
    }

    fn attempt_ended(&self, id: RequestId, attempt: u32, outcome: Outcome) -> Event {
        let finished = outcome == Outcome::Ok || self.answers.contains_key(&id);
        Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            finished,
            work: None,
            memory: None,
            report: None,
        })
    }

    /// Ends the attempt at a position in the list. The first served attempt gives the client its answer.
    pub fn end(&mut self, at: usize, outcome: Outcome) {
        let ended = self.attempts.remove(at);
        if outcome == Outcome::Ok {
            self.answer(ended.id.clone(), Answer::Served);
        }
        let event = self.attempt_ended(ended.id, ended.attempt, outcome);
        self.feed(event);
    }

    /// Advances the time by `seconds`: timers expire and attempts time out.
    pub fn wait(&mut self, seconds: f64) {
        let until = self.now + seconds;
        loop {
            let timer = self.next_timer().filter(|at| self.timers[*at].expires_at <= until);
            let timeout = self.next_timeout().filter(|(_, at)| *at <= until);
            match (timer, timeout) {
                (Some(timer), Some((_, at))) if self.timers[timer].expires_at <= at => self.expire(timer),
                (_, Some((attempt, at))) => {
                    self.now = at.max(self.now);
                    self.end(attempt, Outcome::Timeout);
                }
                (Some(timer), None) => self.expire(timer),
                (None, None) => break,
            }
        }
        self.now = until;
    }

    /// Position of the timer that expires first.
    fn next_timer(&self) -> Option<usize> {
        let expires_at = |at: &usize| self.timers[*at].expires_at;
        (0..self.timers.len()).min_by(|a, b| expires_at(a).total_cmp(&expires_at(b)))
    }

    /// Position of the attempt that times out first, and when it does (seconds).
    fn next_timeout(&self) -> Option<(usize, f64)> {
        let timeouts = self.attempts.iter().enumerate();
        let timeouts = timeouts.filter_map(|(at, attempt)| attempt.times_out_at.map(|time| (at, time)));
        timeouts.min_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn expire(&mut self, at: usize) {
        let timer = self.timers.remove(at);
        self.now = timer.expires_at.max(self.now);
        self.feed(Event::Timer(timer.token));
    }
}

/// Settings of a small deployment: one class, one kind of engine, and a required discovery subscription.
#[must_use]
pub fn settings() -> Settings {
    let class = ClassSettings {
        name: "dashboard".into(),
        latency_objective: 0.5,
        objective_stretch: 1.5,
        client_timeout: 3.0,
        priority_weight: 1.0,
        late_weight: 0.1,
        idempotency: Idempotency::Always,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        ordered: false,
        stream: false,
        zones: None,
        kinds: None,
        threads: 1.0,
        is_load: false,
        yields_to_loads: false,
    };
    Settings {
        classes: vec![class],
        kinds: vec![KindSettings { name: "std".into(), cores: 8.0, memory: 16384.0 }],
        tenants: vec![],
        coordinators: 1.0,
        index: 0.0,
        zone: "here".into(),
        cross_zone_cost: 0.0,
        handshake_cost: 0.0,
        must_subscribe: true,
        may_cancel: true,
        may_hedge: false,
        retry_after: Some(0.5),
        priorities: true,
        memory_grants: true,
        reports_cost: false,
        max_attempts: 4,
        tick: 0.005,
        initial_capacity_share: 0.3,
        warmup_time: 14.0,
        overload_multiple: 2.0,
        overload_window: 1.0,
        order_settle: 0.0,
        retry_budget: None,
    }
}

/// A query of the only class.
#[must_use]
pub fn query(id: &str) -> Event {
    let (work, memory) = (Some(100.0), Some(64.0));
    Event::Query(Query { id: id.into(), time_left: 3.0, work, memory, ..Query::default() })
}

/// A ready engine.
#[must_use]
pub fn engine(id: &str) -> EngineEntry {
    EngineEntry { id: id.into(), zone: "here".into(), kind: "std".into(), ..EngineEntry::default() }
}

#[allow(dead_code)] // unused where a test includes this file and drives the dispatcher itself
fn main() {
    let mut dispatcher = Dispatcher::new(settings(), 42);
    let engines = vec![engine("e1"), engine("e2")];
    dispatcher.feed(Event::EngineList(ListScope::Complete, engines));
    dispatcher.feed(query("served"));
    dispatcher.wait(0.1);
    dispatcher.end(0, Outcome::Ok);
    dispatcher.feed(query("spilled"));
    let progress = Progress::Spills(100.0);
    dispatcher.feed(Event::Progress { id: "spilled".into(), attempt: 0, progress });
    let retry = &dispatcher.attempts[0];
    println!("retried on {} with {:?} MB", retry.engine, retry.memory);
    dispatcher.wait(3.0);
    for (id, answer) in &dispatcher.answers {
        println!("{id}: {answer:?}");
    }
    for line in &dispatcher.log {
        println!("log: {line}");
    }
}
