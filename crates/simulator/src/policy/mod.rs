//! Who decides: the decision module, or a plain policy in its place. All are driven alike: they are handed events and
//! append actions.

mod baseline;

use baseline::BaselinePolicy;
use dahliaspoke::policy::Policy as DecisionModule;
use dahliaspoke::policy::{Action, Event, Settings};
use serde::{Deserialize, Serialize};

/// The policies that can be played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
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
    /// Handles an event at a time (s) and appends what is to be done about it. `engine_delays` says how long the work
    /// in hand of each engine takes (s), by position, as it was a little ago; only the oracle looks at it.
    fn handle(&mut self, now: f64, event: Event, engine_delays: &[f64], actions: &mut Vec<Action>);
}

/// Makes a policy.
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
