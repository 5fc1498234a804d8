//! Outlier detection: engines that do worse than their peers are ejected for a while.
//!
//! A rarely used engine shows a fault by one slow outcome, or by one attempt that is overdue with nothing
//! heard since. The evidence fades, so an ejected engine is tried again.

use super::engine_state::InFlightAttempt;
use super::Outcome;

/// Outlier score from which on an engine is ejected (times slower than its peers).
pub const EJECTION_SCORE: f64 = 4.0;
/// Least weight of an outcome in an engine's slowdown (share): some 8 outcomes.
const SLOWDOWN_MIN_WEIGHT: f64 = 0.12;
/// Span over which what is known of an engine's health fades (seconds).
const HEALTH_FADE_S: f64 = 8.0;
/// Most that one outcome counts in an engine's slowdown (ratio).
const MAX_OUTCOME_SLOWDOWN: f64 = 10.0;
/// What a reset counts in an engine's slowdown (ratio): connections break at sound engines too.
const RESET_SLOWDOWN: f64 = 5.0;

/// What is known of the health of one engine.
pub struct EngineHealth {
    /// Whether the engine is ejected.
    pub ejected: bool,
    /// When something was last received from the engine (seconds).
    pub last_received_at: f64,
    /// How many times slower than its peers it was, by its outcomes (ratio).
    slowdown: f64,
    /// When the last outcome counted in `slowdown` (seconds).
    evaluated_at: f64,
}

impl EngineHealth {
    /// An engine of which nothing is known yet.
    pub fn new(now: f64) -> Self {
        Self { ejected: false, last_received_at: now, slowdown: 1.0, evaluated_at: now }
    }

    /// How many times slower than its peers the engine was, without fading (ratio).
    pub fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Outlier score: how many times slower than its peers the engine seems (ratio, at least 1), by past
    /// outcomes and by how long its attempts in flight have been silent.
    pub fn outlier_score<'a>(&self, now: f64, in_flight: impl Iterator<Item = &'a InFlightAttempt>) -> f64 {
        let faded = 1.0 + (self.slowdown - 1.0) * (-(now - self.evaluated_at) / HEALTH_FADE_S).exp();
        let overdue = |attempt: &InFlightAttempt| {
            (now - attempt.sent_at.max(self.last_received_at)) / attempt.expected_delay
        };
        in_flight.map(overdue).fold(faded.max(1.0), f64::max)
    }

    /// Ejects or readmits the engine by its score; returns whether that is a change.
    pub fn set_ejected(&mut self, score: f64) -> bool {
        let ejected = score > EJECTION_SCORE;
        ejected != std::mem::replace(&mut self.ejected, ejected)
    }

    /// Takes an outcome into the slowdown. The longer ago the last one, the more this one says: a rarely used
    /// engine is evaluated by one.
    pub fn add_outcome(&mut self, now: f64, slowdown: f64) {
        let weight = SLOWDOWN_MIN_WEIGHT.max(1.0 - (-(now - self.evaluated_at) / HEALTH_FADE_S).exp());
        self.slowdown += weight * (slowdown - self.slowdown);
        self.evaluated_at = now;
    }
}

/// Slowdown of an attempt that ran for so many times its usual delay (ratio).
pub fn measured_slowdown(times_usual: f64) -> f64 {
    times_usual.min(MAX_OUTCOME_SLOWDOWN)
}

/// Slowdown that a failure counts as: the slowest service there is (ratio).
pub fn failure_slowdown(outcome: Outcome) -> f64 {
    if outcome == Outcome::Reset {
        RESET_SLOWDOWN
    } else {
        MAX_OUTCOME_SLOWDOWN
    }
}
