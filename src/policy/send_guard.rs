//! Rules on attempts: whether a request may be sent to an engine at all.
//!
//! | rule | an attempt is allowed only if | enforced by |
//! | --- | --- | --- |
//! | open request | it is neither answered nor expired, no answer streams, its body is not dropped | `request_state` |
//! | attempt limit | its request has had fewer than `max_attempts` attempts | `request_state` |
//! | retry budget (rule 7) | it is the first of its request, or the budget allows one more retry | `retry` |
//! | draining | its engine is ready; upstreams send nothing after the drain grace | `SendGuard`, upstreams |
//! | one attempt at a time | hedging is allowed, or none is in flight and none may still run on its engine | `SendGuard` |
//! | idempotency | its class allows repeats of the attempts that may have run, if there are any | `SendGuard` |
//! | allowed engines (rule 6) | the zones and kinds of its class include its engine | [`is_placement_allowed`] |
//! | slow start (rule 4) | its engine is warm, or this coordinator's limit for it has capacity | `slow_start` |
//! | order by key | its request is the first of its key, if the class is ordered; a pause of the key delays only first attempts | `ordering` |

use super::engine_state::{Engine, EngineTable};
use super::request_state::{Attempt, AttemptState, Request};
use super::retry::RetryBudgetTracker;
use super::slow_start::SlowStart;
use super::{ClassSettings, DedupScope, EngineEntry, Idempotency, Settings};

/// Whether the placement settings of a class, its zones and kinds, allow an engine (rule 6, allowed engines).
pub fn is_placement_allowed(class: &ClassSettings, entry: &EngineEntry) -> bool {
    let zone = class.zones.as_ref().is_none_or(|zones| zones.iter().any(|zone| **zone == *entry.zone));
    zone && class.kinds.as_ref().is_none_or(|kinds| kinds.iter().any(|kind| **kind == *entry.kind))
}

/// Applies the rules on attempts, except order by key, to the next attempt of one request.
pub struct SendGuard<'a> {
    /// The request.
    pub request: &'a Request,
    /// Its class.
    pub class: &'a ClassSettings,
    /// Settings of the coordinator.
    pub settings: &'a Settings,
    /// Limits on warming engines, and the current time.
    pub slow_start: SlowStart<'a>,
}

impl SendGuard<'_> {
    /// Engines that the rules allow for the next attempt now, ordered by id.
    pub fn allowed_engines<'e>(
        &self,
        engines: &'e EngineTable,
        retry_budget: &RetryBudgetTracker,
    ) -> Vec<&'e Engine> {
        if !self.allows_attempt(retry_budget) {
            return Vec::new();
        }
        engines.iter().filter(|engine| self.allows_engine(engine)).collect()
    }

    /// Whether the request may be sent to any engine: an answer is still possible, and the limits on
    /// retries allow an attempt.
    fn allows_attempt(&self, retry_budget: &RetryBudgetTracker) -> bool {
        let now = self.slow_start.now;
        let in_budget = || self.request.attempts.is_empty() || retry_budget.allows(now, self.settings);
        self.request.may_be_sent(now, self.settings.max_attempts) && in_budget()
    }

    /// Whether the request may be sent to this engine.
    fn allows_engine(&self, engine: &Engine) -> bool {
        engine.is_ready()
            && self.is_apart_from_other_attempts(engine)
            && self.may_repeat(&engine.entry)
            && is_placement_allowed(self.class, &engine.entry)
            && self.slow_start.has_capacity(engine, self.request.query.class)
    }

    /// Whether hedging is allowed, or no attempt is in flight and none may still be running on this engine.
    fn is_apart_from_other_attempts(&self, engine: &Engine) -> bool {
        let may_run_there = |attempt: &Attempt| {
            attempt.state == AttemptState::MayHaveRun && attempt.engine == engine.entry.id
        };
        self.settings.may_hedge
            || !self.request.in_flight() && !self.request.attempts.iter().any(may_run_there)
    }

    /// Whether a repeat on this engine is safe, given all attempts that may have run.
    fn may_repeat(&self, entry: &EngineEntry) -> bool {
        let mut attempts = self.request.attempts.iter().filter(|attempt| attempt.may_have_run());
        attempts.all(|attempt| match self.class.idempotency {
            Idempotency::Always => true,
            Idempotency::Never => false,
            Idempotency::WithKey => {
                let window_end = attempt.sent_at + self.class.dedup_window;
                self.in_dedup_scope(attempt, entry) && self.slow_start.now + self.settings.tick < window_end
            }
        })
    }

    /// Whether an engine is in the scope that drops repeats of an attempt.
    fn in_dedup_scope(&self, attempt: &Attempt, entry: &EngineEntry) -> bool {
        let same_zone = attempt.location.zone == entry.zone;
        match self.class.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => same_zone,
            DedupScope::Cell => same_zone && attempt.location.cell == entry.cell,
        }
    }
}
