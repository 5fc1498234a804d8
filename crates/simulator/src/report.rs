//! The results of a run.

use crate::audit::{Violation, WarmupLoad};
use crate::{seconds, Micros};
use serde::Serialize;

/// Length of the windows from which the worst is selected (s).
const WINDOW_S: usize = 10;
/// Price of one cross-zone attempt per request.
pub const CROSS_ZONE_PRICE: f64 = 0.038;
/// Price of wasted work, relative to all requested work.
pub const WASTED_WORK_PRICE: f64 = 0.16;
/// Price of one new connection per request.
pub const CONNECTION_PRICE: f64 = 0.03;
/// Weight of all requests in the goal.
const TOTAL_PART: f64 = 0.5;
/// Weight of the worst window in the goal.
const WORST_WINDOW_PART: f64 = 0.3;
/// Weight of the worst class in the goal.
const WORST_CLASS_PART: f64 = 0.2;
/// Latency quantiles in a report.
const LATENCY_QUANTILES: [f64; 3] = [0.5, 0.9, 0.99];

/// Priority weight of requests. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct WeightTotals {
    /// Weight of all requests.
    pub offered: f64,
    /// Weight that was earned.
    pub served: f64,
}

impl WeightTotals {
    /// Share of the weight that was earned; 1 if none was offered.
    fn served_share(self) -> f64 {
        if self.offered > 0.0 {
            self.served / self.offered
        } else {
            1.0
        }
    }

    fn sum<'a>(totals: impl IntoIterator<Item = &'a Self>) -> Self {
        totals.into_iter().fold(Self::default(), |sum, totals| Self {
            offered: sum.offered + totals.offered,
            served: sum.served + totals.served,
        })
    }
}

impl From<WeightTotals> for (f64, f64) {
    fn from(totals: WeightTotals) -> Self {
        (totals.offered, totals.served)
    }
}

/// Requests of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// Requests that arrived; retries are not counted again.
    pub offered: u64,
    /// Served within the latency objective.
    pub in_time: u64,
    /// Served after the latency objective.
    pub late: u64,
    /// Rejected, and not retried successfully.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed, or without an answer.
    pub failed: u64,
    /// Priority weight that was offered, and that was earned.
    pub priority_weight: WeightTotals,
    /// Quantiles of the latency of served requests (ms): 0.5, 0.9, 0.99.
    pub millis: [f64; 3],
}

/// Shares of the priority weight that were served, each 0 to 1. Serialized as an array.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 3]")]
pub struct ServedShares {
    /// Of all requests.
    pub total: f64,
    /// In the worst ten seconds.
    pub worst_window: f64,
    /// In the worst class.
    pub worst_class: f64,
}

impl From<ServedShares> for [f64; 3] {
    fn from(shares: ServedShares) -> Self {
        [shares.total, shares.worst_window, shares.worst_class]
    }
}

/// Deductions from the goal. Serialized as an array.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 3]")]
pub struct Prices {
    /// For attempts in another zone.
    pub cross_zone: f64,
    /// For wasted work.
    pub wasted_work: f64,
    /// For new connections.
    pub connections: f64,
}

impl From<Prices> for [f64; 3] {
    fn from(prices: Prices) -> Self {
        [prices.cross_zone, prices.wasted_work, prices.connections]
    }
}

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// 0.5 of the share served, plus 0.3 of that in the worst ten seconds, plus 0.2 of that in the worst
    /// class, minus the prices.
    pub goal: f64,
    /// Shares of the weight that were served.
    pub served: ServedShares,
    /// Deductions from the goal.
    pub prices: Prices,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// Attempts per request.
    pub attempts: f64,
    /// The load on a warming engine with the largest excess over its budget.
    #[serde(rename = "ramp")]
    pub warmup_load: Option<WarmupLoad>,
    /// Number of all violations.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// The first violations.
    #[serde(rename = "first")]
    pub violations: Vec<Violation>,
    /// Number of events processed.
    pub events: u64,
    /// Hash of everything that happened; runs that differ anywhere differ here.
    #[serde(rename = "sum")]
    pub fingerprint: u64,
}

/// Counts and hashes the events of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTrace {
    /// Number of events processed.
    pub events: u64,
    /// Hash of everything that happened so far.
    pub fingerprint: u64,
}

impl RunTrace {
    /// Mixes an event at a time into the fingerprint.
    pub fn mix(&mut self, now: Micros, subject: u64, detail: u64) {
        let value = now ^ subject.rotate_left(20) ^ detail.rotate_left(40);
        self.fingerprint = (self.fingerprint ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    }
}

/// What the auditor found in a run.
#[derive(Clone, Debug, Default)]
pub struct AuditResult {
    /// Number of all violations.
    pub violation_count: u64,
    /// The first violations.
    pub violations: Vec<Violation>,
    /// The load on a warming engine with the largest excess over its budget.
    pub warmup_load: Option<WarmupLoad>,
}

/// Collects the figures of a run.
#[derive(Default)]
pub struct Tally {
    /// By class.
    pub classes: Vec<ClassReport>,
    /// Latencies of served requests (s), by class.
    latencies: Vec<Vec<f64>>,
    /// Priority weight by the second of arrival.
    by_second: Vec<WeightTotals>,
    /// Attempts.
    pub attempts: u64,
    /// Attempts in another zone than the coordinator's.
    pub cross_zone_attempts: u64,
    /// New connections.
    pub connections: u64,
    /// Work of all requests (ms).
    work: f64,
    /// Work of queries that did not finish or whose results were not used (ms).
    pub wasted_work: f64,
}

impl Tally {
    /// Creates a tally for classes with these names.
    pub fn new(names: impl Iterator<Item = String>) -> Self {
        let classes: Vec<_> = names.map(|name| ClassReport { name, ..ClassReport::default() }).collect();
        Self { latencies: vec![Vec::new(); classes.len()], classes, ..Self::default() }
    }

    /// A request arrived; `work` in ms of one thread.
    pub fn request_arrived(&mut self, at: Micros, class: usize, priority_weight: f64, work: f64) {
        let second = seconds(at) as usize;
        if self.by_second.len() <= second {
            self.by_second.resize(second + 1, WeightTotals::default());
        }
        self.by_second[second].offered += priority_weight;
        self.classes[class].offered += 1;
        self.classes[class].priority_weight.offered += priority_weight;
        self.work += work;
    }

    /// A request was served and earned `priority_weight`.
    pub fn request_served(
        &mut self,
        arrived: Micros,
        now: Micros,
        class: usize,
        priority_weight: f64,
        in_time: bool,
    ) {
        self.by_second[seconds(arrived) as usize].served += priority_weight;
        let report = &mut self.classes[class];
        report.priority_weight.served += priority_weight;
        *if in_time { &mut report.in_time } else { &mut report.late } += 1;
        self.latencies[class].push(seconds(now - arrived));
    }

    /// Creates the report at the end of the run.
    #[must_use]
    pub fn into_report(mut self, audit: AuditResult, trace: RunTrace) -> Report {
        self.fill_latencies();
        let offered = self.classes.iter().map(|class| class.offered).sum::<u64>().max(1) as f64;
        let served = self.served_shares();
        let prices = Prices {
            cross_zone: CROSS_ZONE_PRICE * self.cross_zone_attempts as f64 / offered,
            wasted_work: WASTED_WORK_PRICE * self.wasted_work / self.work.max(1.0),
            connections: CONNECTION_PRICE * self.connections as f64 / offered,
        };
        let earned = TOTAL_PART * served.total
            + WORST_WINDOW_PART * served.worst_window
            + WORST_CLASS_PART * served.worst_class;
        Report {
            goal: earned - <[f64; 3]>::from(prices).iter().sum::<f64>(),
            served,
            prices,
            classes: self.classes,
            attempts: self.attempts as f64 / offered,
            warmup_load: audit.warmup_load,
            violation_count: audit.violation_count,
            violations: audit.violations,
            events: trace.events,
            fingerprint: trace.fingerprint,
        }
    }

    fn fill_latencies(&mut self) {
        for (class, latencies) in self.classes.iter_mut().zip(&mut self.latencies) {
            latencies.sort_by(f64::total_cmp);
            class.millis = LATENCY_QUANTILES.map(|quantile| {
                let rank = (quantile * latencies.len() as f64) as usize;
                latencies.get(rank).map_or(0.0, |latency| latency * 1000.0)
            });
        }
    }

    fn served_shares(&self) -> ServedShares {
        let total = WeightTotals::sum(&self.by_second).served_share();
        let width = WINDOW_S.min(self.by_second.len().max(1));
        let windows = self.by_second.windows(width).map(|window| WeightTotals::sum(window).served_share());
        let classes = self.classes.iter().map(|class| class.priority_weight.served_share());
        ServedShares {
            total,
            worst_window: windows.fold(total, f64::min),
            worst_class: classes.fold(total, f64::min),
        }
    }
}
