//! Baseline policies that the decision module is compared with.

use super::{position, Policy, PolicyKind};
use dahliaspoke::policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, HashMap};

/// A retry needs at least this many ticks until the deadline.
const MIN_TICKS_LEFT: f64 = 4.0;

/// A policy that only chooses an engine: it sends each request immediately and retries on another engine if
/// the class allows it.
pub(super) struct BaselinePolicy {
    kind: PolicyKind,
    settings: Settings,
    rng: Pcg64Mcg,
    /// Outstanding queries of this coordinator, by ready engine.
    outstanding: BTreeMap<EngineId, u32>,
    requests: HashMap<RequestId, OpenRequest>,
    /// Number of round-robin choices so far.
    rotation: usize,
}

struct OpenRequest {
    class: usize,
    /// Time by which it must be answered (s).
    deadline: f64,
    /// When the first attempt that may have run ended (s).
    may_have_run_since: Option<f64>,
    /// The engine of each attempt, in order.
    engines: Vec<EngineId>,
}

impl BaselinePolicy {
    pub(super) fn new(kind: PolicyKind, settings: Settings, seed: u64) -> Self {
        Self {
            kind,
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            outstanding: BTreeMap::new(),
            requests: HashMap::new(),
            rotation: 0,
        }
    }

    /// Chooses an engine, a different one than `last` if possible.
    fn choose(&mut self, engine_delays: &[f64], last: Option<&EngineId>) -> Option<EngineId> {
        let others: Vec<&EngineId> = self.outstanding.keys().filter(|id| Some(*id) != last).collect();
        let candidates = if others.is_empty() { self.outstanding.keys().collect() } else { others };
        if candidates.is_empty() {
            return None;
        }
        let mut draw = |count: usize| self.rng.next_u64() as usize % count;
        let load = |id: &EngineId| self.outstanding[id];
        let chosen = match self.kind {
            PolicyKind::Module | PolicyKind::Random => candidates[draw(candidates.len())],
            PolicyKind::RoundRobin => {
                self.rotation += 1;
                candidates[self.rotation % candidates.len()]
            }
            PolicyKind::TwoChoices => {
                let first = candidates[draw(candidates.len())];
                let second = candidates[draw(candidates.len())];
                if load(second) < load(first) {
                    second
                } else {
                    first
                }
            }
            PolicyKind::LeastOutstanding => {
                let least = candidates.iter().map(|id| load(id)).min()?;
                let best: Vec<&&EngineId> = candidates.iter().filter(|id| load(id) == least).collect();
                best[draw(best.len())]
            }
            PolicyKind::Oracle => {
                let delay = |id: &EngineId| engine_delays.get(position(id)).copied().unwrap_or(f64::INFINITY);
                candidates.iter().min_by(|a, b| delay(a).total_cmp(&delay(b)).then(a.cmp(b)))?
            }
        };
        Some(chosen.clone())
    }

    fn send(&mut self, id: &RequestId, engine_delays: &[f64], actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let last = request.engines.last().cloned();
        let Some(engine) = self.choose(engine_delays, last.as_ref()) else {
            return self.end_unserved(id, actions);
        };
        let Some(request) = self.requests.get_mut(id) else { return };
        request.engines.push(engine.clone());
        *self.outstanding.entry(engine.clone()).or_default() += 1;
        actions.push(Action::Send { id: id.clone(), engine, timeout: None, within: None });
    }

    /// Rejects a request if its client may safely retry it; otherwise fails it.
    fn end_unserved(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(id) else { return };
        let class = &self.settings.classes[request.class];
        let never_ran = request.may_have_run_since.is_none();
        let may_reject = match class.idempotency {
            Idempotency::Always => true,
            Idempotency::WithKey => never_ran || class.dedup_scope == DedupScope::All,
            Idempotency::Never => never_ran,
        };
        actions.push(if may_reject {
            Action::Reject { id: id.clone(), retry_after: self.settings.retry_after }
        } else {
            Action::Fail { id: id.clone() }
        });
    }

    fn update_engines(&mut self, scope: ListScope, entries: Vec<EngineEntry>) {
        if scope != ListScope::Changes {
            self.outstanding.clear();
        }
        for entry in entries {
            if entry.lifecycle == Lifecycle::Ready {
                self.outstanding.entry(entry.id).or_default();
            } else {
                self.outstanding.remove(&entry.id);
            }
        }
    }

    fn add_request(&mut self, now: f64, query: &Query) {
        let request = OpenRequest {
            class: query.class,
            deadline: now + query.time_left,
            may_have_run_since: None,
            engines: Vec::new(),
        };
        self.requests.insert(query.id.clone(), request);
    }

    fn attempt_ended(
        &mut self,
        now: f64,
        ended: &AttemptEnd,
        engine_delays: &[f64],
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&ended.id) else { return };
        let engine = request.engines.get(ended.attempt as usize);
        if let Some(outstanding) = engine.and_then(|id| self.outstanding.get_mut(id)) {
            *outstanding = outstanding.saturating_sub(1);
        }
        if ended.finished {
            self.requests.remove(&ended.id);
            return;
        }
        if !ended.outcome.never_ran() {
            request.may_have_run_since.get_or_insert(now);
        }
        if self.may_retry(now, ended) {
            self.send(&ended.id, engine_delays, actions);
        } else {
            self.end_unserved(&ended.id, actions);
        }
    }

    fn may_retry(&self, now: f64, ended: &AttemptEnd) -> bool {
        let Some(request) = self.requests.get(&ended.id) else { return false };
        let class = &self.settings.classes[request.class];
        let may_repeat = match class.idempotency {
            Idempotency::Always => true,
            _ if request.may_have_run_since.is_none() => true,
            Idempotency::WithKey => {
                class.dedup_scope == DedupScope::All && class.dedup_window > class.client_timeout - 1e-9
            }
            Idempotency::Never => false,
        };
        let has_time = request.deadline - now > MIN_TICKS_LEFT * self.settings.tick;
        let attempts = request.engines.len();
        may_repeat
            && has_time
            && attempts < self.settings.max_attempts as usize
            && ended.outcome != Outcome::Expired
    }
}

impl Policy for BaselinePolicy {
    fn handle(&mut self, now: f64, event: Event, engine_delays: &[f64], actions: &mut Vec<Action>) {
        match event {
            Event::EngineList(scope, entries) => self.update_engines(scope, entries),
            Event::Query(query) => {
                self.add_request(now, &query);
                self.send(&query.id, engine_delays, actions);
            }
            Event::AttemptEnded(ended) => self.attempt_ended(now, &ended, engine_delays, actions),
            Event::ClientGone { id } => drop(self.requests.remove(&id)),
            Event::Shutdown => {
                let open: Vec<RequestId> = self.requests.keys().cloned().collect();
                for id in open {
                    self.end_unserved(&id, actions);
                }
            }
            _ => {}
        }
    }
}
