//! Who decides. All are driven alike: told events, they append actions.

use dahliaspoke::policy::Policy as DecisionModule;
use dahliaspoke::policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// The policies that can be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The decision module.
    Module,
    /// Any engine that is ready.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The one with the fewest queries of this coordinator.
    LeastOutstanding,
    /// The better of two drawn at random, by queries of this coordinator.
    TwoChoices,
    /// The one with the least to do in truth, a little late.
    Oracle,
}

/// One coordinator's decisions.
pub trait Policy {
    /// Takes an event and appends what is to be done about it. `truth` tells how long each engine's work in hand
    /// takes (s), by position, as it was a little ago; only an all-knowing policy looks at it.
    fn handle(&mut self, now: f64, event: Event, truth: &[f64], out: &mut Vec<Action>);
}

/// Makes a policy.
#[must_use]
pub fn make(kind: Kind, settings: &Settings, seed: u64) -> Box<dyn Policy> {
    match kind {
        Kind::Module => Box::new(Module(Box::new(DecisionModule::new(settings.clone(), seed)))),
        _ => Box::new(Plain {
            kind,
            settings: settings.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            engines: BTreeMap::new(),
            requests: HashMap::new(),
            turn: 0,
        }),
    }
}

struct Module(Box<DecisionModule>);

impl Policy for Module {
    fn handle(&mut self, now: f64, event: Event, _: &[f64], out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

/// A policy that only chooses: it sends each request at once, and again elsewhere as its class allows.
struct Plain {
    kind: Kind,
    settings: Settings,
    rng: Pcg64Mcg,
    /// Queries of this coordinator on each engine that is ready.
    engines: BTreeMap<EngineId, u32>,
    requests: HashMap<RequestId, Open>,
    turn: usize,
}

struct Open {
    class: usize,
    deadline: f64,
    tries: u32,
    /// The first send that may have run.
    ran: Option<f64>,
    on: Vec<EngineId>,
}

/// The number in an engine's id.
#[must_use]
pub fn position(id: &str) -> usize {
    id.trim_start_matches('e').parse().unwrap_or(usize::MAX)
}

impl Plain {
    fn choose(&mut self, truth: &[f64], not: Option<&EngineId>) -> Option<EngineId> {
        let fresh: Vec<&EngineId> = self.engines.keys().filter(|id| Some(*id) != not).collect();
        let all = if fresh.is_empty() { self.engines.keys().collect() } else { fresh };
        if all.is_empty() {
            return None;
        }
        let mut any = || all[self.rng.next_u64() as usize % all.len()];
        let load = |id: &EngineId| self.engines[id];
        let chosen = match self.kind {
            Kind::Module | Kind::Random => any(),
            Kind::RoundRobin => {
                self.turn += 1;
                all[self.turn % all.len()]
            }
            Kind::TwoChoices => {
                let (a, b) = (any(), any());
                if load(b) < load(a) {
                    b
                } else {
                    a
                }
            }
            Kind::LeastOutstanding => {
                let least = all.iter().map(|id| load(id)).min()?;
                let best: Vec<&&EngineId> = all.iter().filter(|id| load(id) == least).collect();
                best[self.rng.next_u64() as usize % best.len()]
            }
            Kind::Oracle => {
                let left = |id: &EngineId| truth.get(position(id)).copied().unwrap_or(f64::INFINITY);
                all.iter().min_by(|a, b| left(a).total_cmp(&left(b)).then(a.cmp(b)))?
            }
        };
        Some(chosen.clone())
    }

    fn send(&mut self, now: f64, id: &RequestId, truth: &[f64], out: &mut Vec<Action>) {
        let Some(open) = self.requests.get(id) else { return };
        let last = open.on.last().cloned();
        let Some(engine) = self.choose(truth, last.as_ref()) else { return self.give_up(id, out) };
        let Some(open) = self.requests.get_mut(id) else { return };
        open.tries += 1;
        open.on.push(engine.clone());
        let _ = now;
        *self.engines.entry(engine.clone()).or_default() += 1;
        out.push(Action::Send { id: id.clone(), engine, timeout: None, within: None });
    }

    fn give_up(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.requests.remove(id) else { return };
        let class = &self.settings.classes[open.class];
        let harmless = match class.idempotency {
            Idempotency::Always => true,
            Idempotency::WithKey => open.ran.is_none() || class.dedup_scope == DedupScope::All,
            Idempotency::Never => open.ran.is_none(),
        };
        out.push(if harmless {
            Action::Reject { id: id.clone(), retry_after: self.settings.retry_after }
        } else {
            Action::Fail { id: id.clone() }
        });
    }
}

impl Policy for Plain {
    fn handle(&mut self, now: f64, event: Event, truth: &[f64], out: &mut Vec<Action>) {
        match event {
            Event::EngineList(scope, entries) => {
                if scope != ListScope::Changes {
                    self.engines.clear();
                }
                for entry in entries {
                    if entry.lifecycle == Lifecycle::Ready {
                        self.engines.entry(entry.id).or_default();
                    } else {
                        self.engines.remove(&entry.id);
                    }
                }
            }
            Event::Query(query) => {
                let (class, deadline) = (query.class, now + query.time_left);
                let open = Open { class, deadline, tries: 0, ran: None, on: Vec::new() };
                self.requests.insert(query.id.clone(), open);
                self.send(now, &query.id, truth, out);
            }
            Event::AttemptEnded(ended) => {
                let Some(open) = self.requests.get_mut(&ended.id) else { return };
                if let Some(held) =
                    open.on.get(ended.attempt as usize).and_then(|id| self.engines.get_mut(id))
                {
                    *held = held.saturating_sub(1);
                }
                if ended.finished {
                    self.requests.remove(&ended.id);
                    return;
                }
                if !ended.outcome.never_ran() {
                    open.ran.get_or_insert(now);
                }
                let class = &self.settings.classes[open.class];
                let may = match (class.idempotency, open.ran) {
                    (Idempotency::Always, _) | (_, None) => true,
                    (Idempotency::WithKey, Some(_)) => {
                        class.dedup_scope == DedupScope::All
                            && class.dedup_window > class.client_timeout - 1e-9
                    }
                    (Idempotency::Never, Some(_)) => false,
                };
                let time = open.deadline - now > 4.0 * self.settings.tick;
                if may && time && open.tries < self.settings.max_attempts && ended.outcome != Outcome::Expired
                {
                    self.send(now, &ended.id, truth, out);
                } else {
                    self.give_up(&ended.id, out);
                }
            }
            Event::ClientGone { id } => drop(self.requests.remove(&id)),
            Event::Shutdown => {
                let open: Vec<RequestId> = self.requests.keys().cloned().collect();
                open.iter().for_each(|id| self.give_up(id, out));
            }
            _ => {}
        }
    }
}
