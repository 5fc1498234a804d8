//! When requests are to be sent: points of an open stream, fixed before any answer is seen.

use crate::{micros, Micros};
use rand::Rng;
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1, Gamma};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

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
pub enum Gaps {
    /// Equally far.
    Even,
    /// Independent of each other (Poisson).
    Poisson,
    /// In clumps, with long gaps: gamma with a coefficient of variation of 3.
    Heavy,
}

impl Shape {
    /// The rate at a share of the run, over the mean.
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

/// The points, in order. Gaps are drawn in units of the mean and stretched by the rate as it is, so that the count
/// is the rate times the span in the mean, whatever the shape.
#[must_use]
pub fn schedule(rate: f64, seconds: f64, shape: Shape, gaps: Gaps, seed: u64) -> Vec<Micros> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let heavy = Gamma::new(1.0 / 9.0, 9.0);
    let mut draw = || match (gaps, &heavy) {
        (Gaps::Even, _) | (Gaps::Heavy, Err(_)) => 1.0,
        (Gaps::Poisson, _) => rng.sample(Exp1),
        (Gaps::Heavy, Ok(gamma)) => gamma.sample(&mut rng),
    };
    // Work through the integral of the rate in small steps.
    const STEP: f64 = 0.001;
    let (mut points, mut due, mut sum, mut at) = (Vec::new(), draw(), 0.0, 0.0);
    while at < seconds {
        let gain = rate * shape.at(at / seconds, seconds) * STEP;
        while gain > 0.0 && sum + gain >= due {
            points.push(micros(at + STEP * (due - sum) / gain));
            due += draw().max(1e-9);
        }
        sum += gain;
        at += STEP;
    }
    points
}
