//! The policies that a run can use: the decision module, or a baseline in its place. All share one interface:
//! they receive events and append actions.

mod baseline;

use baseline::BaselinePolicy;
use dahliaspoke::policy::Policy as DecisionModule;
use dahliaspoke::policy::{Action, Event, Settings};
use serde::{Deserialize, Serialize};

/// The available policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// The decision module.
    Module,
    /// A random ready engine.
    Random,
    /// Each ready engine in turn.
    RoundRobin,
    /// The engine with the fewest outstanding queries of this coordinator.
    LeastOutstanding,
    /// Of two engines drawn at random, the one with fewer outstanding queries of this coordinator.
    TwoChoices,
    /// The engine with the least actual work, as of a short time ago.
    Oracle,
}

/// Makes the decisions of one coordinator.
pub trait Policy {
    /// Handles an event at time `now` (s) and appends the resulting actions. `engine_delays` has the time
    /// that each engine needs for its pending work (s), by position and slightly out of date; only the oracle
    /// uses it.
    fn handle(&mut self, now: f64, event: Event, engine_delays: &[f64], actions: &mut Vec<Action>);
}

/// Creates a policy.
#[must_use]
pub fn make(kind: PolicyKind, settings: &Settings, seed: u64) -> Box<dyn Policy> {
    match kind {
        PolicyKind::Module => Box::new(ModulePolicy(Box::new(DecisionModule::new(settings.clone(), seed)))),
        _ => Box::new(BaselinePolicy::new(kind, settings.clone(), seed)),
    }
}

struct ModulePolicy(Box<DecisionModule>);

impl Policy for ModulePolicy {
    fn handle(&mut self, now: f64, event: Event, _: &[f64], actions: &mut Vec<Action>) {
        self.0.handle(now, event, actions);
    }
}

/// The number in an engine's id.
#[must_use]
pub fn position(id: &str) -> usize {
    id.trim_start_matches('e').parse().unwrap_or(usize::MAX)
}
