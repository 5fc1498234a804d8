//! Rules on attempts: whether a request may be sent to an engine at all.
//!
//! Enforced by [`SendGuard`]:
//!
//! - open request: it is neither answered nor expired, no answer is being streamed, and its body has not been
//!   dropped (`Request::may_be_sent`);
//! - attempt limit: it has had fewer than `max_attempts` attempts (`Request::may_be_sent`);
//! - retry budget (rule 7): an attempt other than the first needs capacity in the budget (`retry`);
//! - drains: its engine is ready, not draining;
//! - one attempt at a time: without hedging, no attempt is in flight, and none may still run on the engine;
//! - idempotency: attempts that may have run allow a repeat only as far as the class does;
//! - allowed engines (rule 6): the zones and kinds of the class include the engine;
//! - slow start (rule 4): a warming engine has capacity for an attempt of this coordinator (`slow_start`).
//!
//! Enforced elsewhere:
//!
//! - order by key: requests of an ordered class with the same key run one at a time (`ordering`);
//! - drain grace: an attempt that still waits when its engine's drain grace ends is not sent (the upstreams).

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

/// Applies the rules on attempts to the next attempt of one request.
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
