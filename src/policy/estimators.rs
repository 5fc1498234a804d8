//! Statistics that run along: means, quantiles, and uniform draws. They decide nothing.

use rand_core::RngCore;

/// Least step of a quantile, in units of what it is of: it settles in some 50 samples.
const LEARN: f64 = 0.05;
/// The same over the number of samples, while they are few.
const LEARN_FIRST: f64 = 2.0;

/// A running mean whose first samples count in full: at size a gateway sees few of each class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    /// The mean; 0 without samples.
    pub value: f64,
    /// Samples so far.
    pub count: f64,
}

impl Mean {
    /// Takes a sample, which weighs `least` (a share) once there are many.
    pub fn add(&mut self, sample: f64, least: f64) {
        self.count += 1.0;
        self.value += (sample - self.value) * least.max(1.0 / self.count);
    }

    /// The mean, once there is a sample.
    pub fn get(&self) -> Option<f64> {
        Some(self.value).filter(|_| self.count > 0.0)
    }
}

/// A running quantile of something around 0.
#[derive(Clone, Copy, Debug, Default)]
pub struct Quantile {
    /// Where it stands.
    pub value: f64,
    count: f64,
}

impl Quantile {
    /// Takes whether a sample was over it; `quantile` is the share of samples that are to be below.
    pub fn add(&mut self, over: bool, quantile: f64) {
        self.count += 1.0;
        let step = LEARN.max(LEARN_FIRST / (self.count + 1.0));
        self.value += step * if over { quantile } else { quantile - 1.0 };
    }
}

/// A draw from 0 to 1, without 1.
pub fn uniform(rng: &mut impl RngCore) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
