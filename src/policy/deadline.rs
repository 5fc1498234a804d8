//! Deadlines from slack factors, the delay-to-deadline ratio (DDR), and priorities.
//!
//! The deadline of a request is its service time times the slack factor of its class.

use super::{ClassSettings, Settings};

/// Deadline over service time at the highest priority weight (ratio): about where the throughput of shared
/// cores peaks.
const SLACK_FACTOR: f64 = 2.1;
/// Multiplier of `SLACK_FACTOR` where outcomes report no work: service times are then lower quartiles of
/// delays.
const SLACK_WITHOUT_COST: f64 = 1.6;
/// Growth of the slack factor with falling priority weight (exponent of the ratio of weights).
const SLACK_EXPONENT: f64 = 0.03;
/// Lower limit on the priority weight of a class (share of the highest weight).
const MIN_RELATIVE_WEIGHT: f64 = 1e-3;
/// The most urgent rank.
const MAX_RANK: f64 = 3.0;

/// Slack factors of all classes.
pub struct SlackFactors {
    by_class: Vec<f64>,
}

impl SlackFactors {
    /// Computes slack factors from the priority weights of the classes.
    pub fn new(settings: &Settings) -> Self {
        let highest = settings.classes.iter().map(|class| class.priority_weight).fold(0.0, f64::max);
        let unreported = if settings.reports_cost { 1.0 } else { SLACK_WITHOUT_COST };
        let factor = |class: &ClassSettings| {
            let weight = class.priority_weight.max(highest * MIN_RELATIVE_WEIGHT).max(1e-9);
            unreported * SLACK_FACTOR * (highest / weight).powf(SLACK_EXPONENT)
        };
        Self { by_class: settings.classes.iter().map(factor).collect() }
    }

    /// DDR of a request of a class, by its delay and service time (both in seconds).
    pub fn ddr(&self, class: usize, delay: f64, service_time: f64) -> f64 {
        delay / (self.by_class[class] * service_time)
    }

    /// Priority rank of an attempt (0 to 3): higher for nearer deadlines. It drops by one with each
    /// doubling of the deadline beyond a quarter of the mean deadline. `service_time` is in seconds,
    /// `mean_cost` in ms.
    pub fn rank(&self, class: usize, service_time: f64, mean_cost: f64) -> u8 {
        let deadline = self.by_class[class] * service_time * 1000.0 / (SLACK_FACTOR * mean_cost.max(1.0));
        (1.0 - deadline.log2()).clamp(0.0, MAX_RANK) as u8
    }
}
