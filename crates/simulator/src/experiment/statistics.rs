//! Means, confidence intervals and paired differences.

use statrs::distribution::{ContinuousCDF, StudentsT};

/// Quantile at the upper end of a two-sided 95 % interval.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean with its 95 % confidence interval (Student's t).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanInterval {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; infinite for fewer than two values.
    pub half_width: f64,
}

impl MeanInterval {
    /// The mean of the values and its interval.
    #[must_use]
    pub fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Self { mean, half_width: f64::INFINITY };
        }
        let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
        let distribution = StudentsT::new(0.0, 1.0, count - 1.0);
        let quantile = distribution.map_or(f64::INFINITY, |t| t.inverse_cdf(UPPER_QUANTILE));
        Self { mean, half_width: quantile * (variance / count).sqrt() }
    }
}

/// How one policy compares with the baseline at one value.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// Number of paired runs.
    pub runs: usize,
    /// Mean of the differences of the goal, with its interval.
    pub interval: MeanInterval,
}

impl Difference {
    /// The difference of paired goals, each pair the baseline's goal and the other policy's.
    #[must_use]
    pub fn of(pairs: &[(f64, f64)]) -> Self {
        let differences: Vec<f64> = pairs.iter().map(|(baseline, other)| other - baseline).collect();
        Self { runs: pairs.len(), interval: MeanInterval::of(&differences) }
    }

    /// The verdict in words: better or worse only if the interval does not contain 0.
    #[must_use]
    pub fn verdict(&self) -> &'static str {
        let MeanInterval { mean, half_width } = self.interval;
        if mean - half_width > 0.0 {
            "better"
        } else if mean + half_width < 0.0 {
            "worse"
        } else {
            "cannot tell"
        }
    }
}
