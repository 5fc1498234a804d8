//! The results of a run of the load generator.

use crate::{seconds, Micros};
use hdrhistogram::Histogram;
use serde::Serialize;

/// The longest latency that can be recorded (us): an hour. Longer ones are recorded as this.
const MAX_LATENCY: Micros = 3_600_000_000;
/// Significant digits of a recorded latency.
const LATENCY_DIGITS: u8 = 3;

/// Requests of one class.
#[derive(Debug, Serialize)]
pub struct ClassSummary {
    /// Its name.
    pub name: String,
    /// Requests that were due.
    pub due: usize,
    /// Of those, served.
    pub served: usize,
    /// Rejected for good.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Failed, or without an answer at the end.
    pub failed: usize,
    /// Quantiles of the latency of served requests (ms): 0.5, 0.9, 0.99, 0.999, the longest.
    pub millis: [f64; 5],
}

impl ClassSummary {
    pub(super) fn new(name: String) -> Self {
        Self { name, due: 0, served: 0, rejected: 0, failed: 0, millis: [0.0; 5] }
    }
}

/// The results of a run.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    /// Results by class, if figures are kept by class.
    #[serde(rename = "groups")]
    pub classes: Vec<ClassSummary>,
    /// Requests that were due; retries are not counted again.
    pub due: usize,
    /// Of those, served.
    pub served: usize,
    /// Rejected for good.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Failed, or without an answer at the end.
    pub failed: usize,
    /// Total number of tries.
    pub tries: usize,
    /// Quantiles of the latency of served requests (ms): 0.5, 0.9, 0.99, 0.999, the longest.
    pub millis: [f64; 5],
    /// The longest delay of a request that was sent late because of the generator itself (ms).
    pub late_ms: f64,
    /// Tries that were sent late because of the generator itself.
    pub late: usize,
    /// Whether the figures are meaningless: the generator was late for more than one request in a thousand,
    /// or short of connections.
    pub void: bool,
    /// Number of polls in which a due try found no free connection.
    pub starved: usize,
}

/// Latencies of served requests.
pub(super) struct Latencies(Histogram<u64>);

impl Latencies {
    pub(super) fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY, LATENCY_DIGITS);
        Self(histogram.unwrap_or_else(|_| unreachable!("the bounds are valid")))
    }

    pub(super) fn record(&mut self, latency: Micros) {
        self.0.saturating_record(latency);
    }

    /// Quantiles (ms): 0.5, 0.9, 0.99, 0.999, the longest.
    pub(super) fn millis(&self) -> [f64; 5] {
        let at = |quantile: f64| seconds(self.0.value_at_quantile(quantile)) * 1000.0;
        [at(0.5), at(0.9), at(0.99), at(0.999), seconds(self.0.max()) * 1000.0]
    }
}
