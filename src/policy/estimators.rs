//! Streaming statistics (means and quantiles) and uniform random draws.

use rand_core::RngCore;

/// Minimum step of a quantile, in units of the estimated value: it converges within about 50 samples.
const QUANTILE_MIN_STEP: f64 = 0.05;
/// Product of the step of a quantile and the number of samples while there are few.
const QUANTILE_FIRST_STEP: f64 = 2.0;

/// A running mean. The first samples are weighted equally: in a large fleet a coordinator sees few queries of
/// each class.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean {
    /// The mean; 0 without samples.
    pub value: f64,
    /// Number of samples so far.
    pub count: f64,
}

impl RunningMean {
    /// Adds a sample with a weight of at least `min_weight` (0 to 1).
    pub fn add(&mut self, sample: f64, min_weight: f64) {
        self.count += 1.0;
        self.value += (sample - self.value) * min_weight.max(1.0 / self.count);
    }

    /// The mean; `None` without samples.
    pub fn get(&self) -> Option<f64> {
        Some(self.value).filter(|_| self.count > 0.0)
    }
}

/// A running quantile of values around 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningQuantile {
    /// The estimated quantile.
    pub value: f64,
    count: f64,
}

impl RunningQuantile {
    /// Adds a sample, given as whether it was above the current value; `quantile` is the share of samples
    /// (0 to 1) that are to be below the value.
    pub fn add(&mut self, above: bool, quantile: f64) {
        self.count += 1.0;
        let step = QUANTILE_MIN_STEP.max(QUANTILE_FIRST_STEP / (self.count + 1.0));
        self.value += step * if above { quantile } else { quantile - 1.0 };
    }
}

/// A uniform draw from 0 (inclusive) to 1 (exclusive).
pub fn uniform(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
