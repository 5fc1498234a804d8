//! Fixtures for tests of the policy: default settings, and a harness that drives one [`Policy`] and records
//! its actions.
#![allow(dead_code)]

use dahliaspoke::policy::Policy;
use dahliaspoke::policy::*;

pub fn class(name: &str, idempotency: Idempotency) -> ClassSettings {
    ClassSettings {
        name: name.into(),
        latency_objective: 1.0,
        objective_stretch: 1.5,
        client_timeout: 10.0,
        priority_weight: 1.0,
        late_weight: 0.1,
        idempotency,
        dedup_scope: DedupScope::All,
        dedup_window: 5.0,
        ordered: false,
        stream: false,
        zones: None,
        kinds: None,
        threads: 1.0,
        is_load: false,
        yields_to_loads: false,
    }
}

pub fn settings(classes: Vec<ClassSettings>) -> Settings {
    let kind = |name: &str| KindSettings { name: name.into(), cores: 8.0, memory: 16384.0 };
    Settings {
        classes,
        kinds: vec![kind("std"), kind("big")],
        tenants: vec![],
        coordinators: 1.0,
        index: 0.0,
        zone: "a".into(),
        cross_zone_cost: 0.0,
        handshake_cost: 0.0,
        must_subscribe: false,
        may_cancel: false,
        may_hedge: false,
        retry_after: Some(0.5),
        priorities: false,
        memory_grants: false,
        reports_cost: false,
        max_attempts: 4,
        tick: 0.005,
        initial_capacity_share: 0.3,
        warmup_time: 14.0,
        overload_multiple: 2.0,
        overload_window: 1.0,
        order_settle: 0.3,
        retry_budget: None,
    }
}

pub fn engine(id: &str) -> EngineEntry {
    EngineEntry {
        id: id.into(),
        zone: "a".into(),
        kind: "std".into(),
        cell: 0,
        lifecycle: Lifecycle::Ready,
        started: None,
    }
}

/// Drives one [`Policy`] on a simulated clock.
pub struct Harness {
    pub policy: Policy,
    pub now: f64,
    pub actions: Vec<Action>,
    last_tick: f64,
}

impl Harness {
    pub fn new(settings: Settings, engines: &[&str]) -> Self {
        Self::seeded(settings, engines, 7)
    }
    pub fn seeded(settings: Settings, engines: &[&str], seed: u64) -> Self {
        let policy = Policy::new(settings, seed);
        let mut harness = Harness { policy, now: 100.0, actions: vec![], last_tick: 100.0 };
        harness.list(ListScope::Complete, engines.iter().map(|id| engine(id)).collect());
        harness
    }
    /// Feeds one event to the policy; records and returns its actions, except for timers.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.policy.handle(self.now, event, &mut out);
        out.retain(|a| !matches!(a, Action::SetTimer { .. }));
        self.actions.extend(out.iter().cloned());
        out
    }
    pub fn list(&mut self, scope: ListScope, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.event(Event::EngineList(scope, entries))
    }
    pub fn query(&mut self, id: &str, class: usize, work: f64) -> Vec<Action> {
        self.query_with(Query {
            id: id.into(),
            class,
            time_left: 10.0,
            work: Some(work),
            tables: 1,
            ..Query::default()
        })
    }
    pub fn query_with(&mut self, query: Query) -> Vec<Action> {
        self.event(Event::Query(query))
    }
    pub fn end(&mut self, id: &str, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let id = id.into();
        self.event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            finished,
            work: None,
            memory: None,
            report: None,
        }))
    }
    /// Advances the clock and fires the housekeeping timer every 0.1 s; returns the resulting actions.
    pub fn wait(&mut self, seconds: f64) -> Vec<Action> {
        let until = self.now + seconds;
        let mut out = vec![];
        while self.last_tick + 0.1 <= until {
            self.last_tick += 0.1;
            self.now = self.last_tick;
            out.extend(self.event(Event::Timer(0)));
        }
        self.now = until;
        out
    }
    pub fn bound(&self, engine: &str) -> f64 {
        self.policy.engine(engine).unwrap().bound
    }
    pub fn is_ejected(&self, engine: &str) -> bool {
        self.policy.engine(engine).is_some_and(|e| e.ejected)
    }
    pub fn backlog(&self, engine: &str) -> f64 {
        self.policy.engine(engine).unwrap().backlog
    }
}

pub fn sent_to(actions: &[Action]) -> Vec<String> {
    let to = |a: &Action| match a {
        Action::Send { engine, .. } => Some(engine.to_string()),
        _ => None,
    };
    actions.iter().filter_map(to).collect()
}

pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { .. }))
}
