//! Outlier detection: engines that perform worse than their peers are ejected for a while.
//!
//! For a rarely used engine, one slow outcome is enough evidence of a fault, or one overdue attempt with
//! nothing received since. The evidence decays, so an ejected engine is tried again.

use super::engine_state::InFlightAttempt;
use super::Outcome;

/// Outlier score above which an engine is ejected (times slower than its peers).
pub const EJECTION_SCORE: f64 = 4.0;
/// Minimum weight of an outcome in an engine's slowdown (share): about 8 outcomes.
const SLOWDOWN_MIN_WEIGHT: f64 = 0.12;
/// Time constant of the decay of an engine's slowdown (seconds).
const SLOWDOWN_DECAY_S: f64 = 8.0;
/// Upper limit on the slowdown of one outcome (ratio).
const MAX_OUTCOME_SLOWDOWN: f64 = 10.0;
/// Slowdown that a reset counts as (ratio): connections to healthy engines break too.
const RESET_SLOWDOWN: f64 = 5.0;

/// Observed health of one engine.
pub struct EngineHealth {
    /// Whether the engine is ejected.
    pub ejected: bool,
    /// When something was last received from the engine (seconds).
    pub last_received_at: f64,
    /// How many times slower than its peers it was, according to its outcomes (ratio).
    slowdown: f64,
    /// When `slowdown` was last updated (seconds).
    updated_at: f64,
}

impl EngineHealth {
    /// Health of an engine without outcomes.
    pub fn new(now: f64) -> Self {
        Self { ejected: false, last_received_at: now, slowdown: 1.0, updated_at: now }
    }

    /// How many times slower than its peers the engine was, without decay (ratio).
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Outlier score: how many times slower than its peers the engine seems to be (ratio, at least 1),
    /// judging by past outcomes and by how long nothing was received for its attempts in flight.
    pub fn outlier_score<'a>(&self, now: f64, in_flight: impl Iterator<Item = &'a InFlightAttempt>) -> f64 {
        let decayed = 1.0 + (self.slowdown - 1.0) * (-(now - self.updated_at) / SLOWDOWN_DECAY_S).exp();
        let overdue = |attempt: &InFlightAttempt| {
            (now - attempt.sent_at.max(self.last_received_at)) / attempt.expected_delay
        };
        in_flight.map(overdue).fold(decayed.max(1.0), f64::max)
    }

    /// Ejects or readmits the engine by its score; returns whether that is a change.
    pub fn set_ejected(&mut self, score: f64) -> bool {
        let ejected = score > EJECTION_SCORE;
        ejected != std::mem::replace(&mut self.ejected, ejected)
    }

    /// Adds an outcome to the slowdown. Its weight grows with the time since the last one: a rarely used
    /// engine is evaluated by a single outcome.
    pub fn add_outcome(&mut self, now: f64, slowdown: f64) {
        let weight = SLOWDOWN_MIN_WEIGHT.max(1.0 - (-(now - self.updated_at) / SLOWDOWN_DECAY_S).exp());
        self.slowdown += weight * (slowdown - self.slowdown);
        self.updated_at = now;
    }
}

/// Slowdown of an attempt by its delay, given as a multiple of the usual delay (ratio).
pub fn measured_slowdown(times_usual: f64) -> f64 {
    times_usual.min(MAX_OUTCOME_SLOWDOWN)
}

/// Slowdown that a failure counts as (ratio): the upper limit, except for a reset.
pub fn failure_slowdown(outcome: Outcome) -> f64 {
    if outcome == Outcome::Reset {
        RESET_SLOWDOWN
    } else {
        MAX_OUTCOME_SLOWDOWN
    }
}
