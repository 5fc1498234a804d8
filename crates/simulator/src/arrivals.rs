//! Arrival times of an open-loop stream of requests, which do not depend on answers.

use crate::{micros, Micros};
use rand::Rng;
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1, Gamma};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Integration step of the rate (s).
const STEP_S: f64 = 0.001;
/// Variance of bursty intervals, in units of the squared mean: a coefficient of variation of 3.
const BURSTY_VARIANCE: f64 = 9.0;
/// The shortest interval, in units of the mean.
const MIN_INTERVAL: f64 = 1e-9;

/// How the rate changes over the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Constant.
    Steady,
    /// From 0 to twice the mean.
    Ramp,
    /// Three times the mean for a tenth of the run, starting in its middle.
    Spike,
    /// Four equal steps up.
    Steps,
    /// Alternating seconds of twice the mean and of nothing.
    OnOff,
}

/// Distribution of the intervals between requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Intervals {
    /// All equal.
    Even,
    /// Exponential, as in a Poisson process.
    Poisson,
    /// Bursts with long gaps between them: gamma with a coefficient of variation of 3.
    Heavy,
}

impl Shape {
    /// The rate relative to its mean, at a share (0 to 1) of a run of length `seconds`.
    #[must_use]
    pub fn at(self, share: f64, seconds: f64) -> f64 {
        match self {
            Shape::Steady => 1.0,
            Shape::Ramp => 2.0 * share,
            Shape::Spike if (0.5..0.6).contains(&share) => 3.0,
            Shape::Spike => 7.0 / 9.0,
            Shape::Steps => 0.4 * (1.0 + (share * 4.0).floor().min(3.0)),
            Shape::OnOff => 2.0 * (1.0 - (share * seconds).floor() % 2.0),
        }
    }
}

/// The arrival times of a run, in order (us). `rate` is the mean (1/s), `seconds` the length of the run.
/// Intervals are drawn in units of the mean and scaled by the current rate, so that the expected count is the
/// rate times the length for every shape.
#[must_use]
pub fn schedule(rate: f64, seconds: f64, shape: Shape, intervals: Intervals, seed: u64) -> Vec<Micros> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let bursty = Gamma::new(1.0 / BURSTY_VARIANCE, BURSTY_VARIANCE);
    let mut draw_interval = || match (intervals, &bursty) {
        (Intervals::Even, _) | (Intervals::Heavy, Err(_)) => 1.0,
        (Intervals::Poisson, _) => rng.sample(Exp1),
        (Intervals::Heavy, Ok(gamma)) => gamma.sample(&mut rng),
    };
    let mut points = Vec::new();
    let mut due = draw_interval();
    let mut integral = 0.0;
    let mut at = 0.0;
    while at < seconds {
        let gain = rate * shape.at(at / seconds, seconds) * STEP_S;
        while gain > 0.0 && integral + gain >= due {
            points.push(micros(at + STEP_S * (due - integral) / gain));
            due += draw_interval().max(MIN_INTERVAL);
        }
        integral += gain;
        at += STEP_S;
    }
    points
}
