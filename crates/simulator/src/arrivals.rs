//! When requests are due: the points of an open stream, fixed before any answer is seen.

use crate::{micros, Micros};
use rand::Rng;
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1, Gamma};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Steps in which the rate is integrated (s).
const STEP_S: f64 = 0.001;
/// Variance of bursty intervals, in units of the squared mean: a coefficient of variation of 3.
const BURSTY_VARIANCE: f64 = 9.0;
/// The shortest interval, in units of the mean.
const MIN_INTERVAL: f64 = 1e-9;

/// How the rate moves over the run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// It stays.
    Steady,
    /// From nothing to twice the mean.
    Ramp,
    /// Three times the mean for a tenth of the run, from its middle on.
    Spike,
    /// Four equal steps up.
    Steps,
    /// On and off, a second each, at twice the mean.
    OnOff,
}

/// How far apart requests come.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Intervals {
    /// Equally far.
    Even,
    /// Independent of each other (Poisson).
    Poisson,
    /// In clumps, with long gaps: gamma with a coefficient of variation of 3.
    Heavy,
}

impl Shape {
    /// The rate over its mean, at a share (0 to 1) of a run of that length (s).
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

/// The points of a run, in order (us). `rate` is the mean (1/s), `seconds` the length of the run. Intervals are drawn
/// in units of the mean and stretched by the rate of the moment, so that the mean count is the rate times the length,
/// whatever the shape.
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
