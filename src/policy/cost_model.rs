//! Cost model: what a query costs, learned per class from estimates and outcomes.
//!
//! The service time of a request (σ in the design) is the time that it takes on an otherwise idle engine.
//!
//! Costs and work are in milliseconds of one thread, service times and delays in seconds.

use super::estimators::{RunningMean, RunningQuantile};
use super::request_state::Request;
use super::{ClassSettings, Idempotency, Query, Settings};

/// Minimum weight of a sample in the means of a class (share): about 50 queries.
const CLASS_MEAN_MIN_WEIGHT: f64 = 0.02;
/// Initial estimate of the mean work on a busy thread (ms), before any query has arrived.
const INITIAL_WORK_PER_THREAD_MS: f64 = 1300.0;
/// Weight of the initial work per thread (queries).
const INITIAL_WORK_QUERIES: f64 = 20.0;
/// Quantile of delay per unit of estimate taken as the service time where outcomes report no work.
const SERVICE_TIME_QUANTILE: f64 = 0.25;
/// Quantile of work per unit of estimate that is learned where outcomes report work: the median.
const REPORTED_WORK_QUANTILE: f64 = 0.5;
/// Share of queries that are to get all the memory that they need, where a spill is costly.
const MEMORY_GRANT_QUANTILE: f64 = 0.95;
/// The same share where a spill costs little, as the attempt is cancelled and retried: the median.
const CHEAP_SPILL_GRANT_QUANTILE: f64 = 0.5;
/// Slowness of a class without outcomes (delay over service time).
const INITIAL_SLOWNESS: f64 = 1.5;
/// Upper limit on the usual slowness of a class (delay over service time).
const MAX_SLOWNESS: f64 = 6.0;
/// Minimum weight of a sample in the usual slowness of a class (share): about 25 outcomes.
const SLOWNESS_MIN_WEIGHT: f64 = 0.04;
/// Span over which recent demand and service are averaged (seconds).
pub const RECENT_SPAN_S: f64 = 10.0;
/// Service time that is assumed while nothing is known (share of the latency objective).
const UNKNOWN_SERVICE_SHARE: f64 = 0.25;
/// Work that is assumed while nothing is known (share of the latency objective): a conservative estimate.
const UNKNOWN_WORK_SHARE: f64 = 0.5;
/// Lower limit on the measured work of an outcome (ms).
const MIN_MEASURED_WORK_MS: f64 = 0.01;
/// Lower limit on means used as divisors (ms, or ms per second): avoids division by zero.
const MIN_MEAN: f64 = 1e-9;
/// Lower limit on service times computed from reported work (seconds).
const MIN_REPORTED_SERVICE_TIME_S: f64 = 0.001;

/// Statistics of one class.
#[derive(Default)]
struct ClassCosts {
    /// Natural logarithm of work per unit of estimate.
    log_work_ratio: RunningQuantile,
    /// Natural logarithm of the memory to grant per unit of estimate.
    memory_grant: RunningQuantile,
    /// Estimates as they arrive (ms).
    estimate: RunningMean,
    /// Estimated costs (ms).
    cost: RunningMean,
    /// Work as outcomes report it (ms).
    work: RunningMean,
    /// Rate of recently requested cost (ms per second).
    demand: f64,
    /// Delay over service time, over all engines (ratio).
    slowness: RunningMean,
}

/// Learned costs of all classes.
pub struct CostModel {
    classes: Vec<ClassCosts>,
    /// Cost of a query of any class (ms).
    mean_cost: RunningMean,
    /// Mean work on a busy thread (ms): the mean cost per thread, weighted by cost.
    work_per_thread: f64,
}

/// Service time of a request of this cost (seconds).
pub fn service_time(class: &ClassSettings, cost: f64) -> f64 {
    cost / class.threads.max(1.0) / 1000.0
}

/// Service time of a request by the work that its outcome reports (seconds).
pub fn reported_service_time(class: &ClassSettings, work: f64) -> f64 {
    service_time(class, work).max(MIN_REPORTED_SERVICE_TIME_S)
}

/// Latency objective of a request with this service time (seconds).
pub fn latency_objective(class: &ClassSettings, service_time: f64) -> f64 {
    class.latency_objective + class.objective_stretch * service_time
}

impl CostModel {
    /// A model without samples.
    pub fn new(settings: &Settings) -> Self {
        Self {
            classes: settings.classes.iter().map(|_| ClassCosts::default()).collect(),
            mean_cost: RunningMean::default(),
            work_per_thread: INITIAL_WORK_PER_THREAD_MS,
        }
    }

    /// Mean cost of a query of any class (ms); 0 while nothing is known.
    pub fn mean_cost(&self) -> f64 {
        self.mean_cost.value
    }

    /// Mean work on a busy thread (ms).
    pub fn work_per_thread(&self) -> f64 {
        self.work_per_thread
    }

    /// Cost of an arriving query (ms): its estimate times the work per unit of estimate learned for its
    /// class, or the mean of the class where there is no estimate. Adds the estimate to the means.
    pub fn estimate(&mut self, settings: &ClassSettings, query: &Query) -> f64 {
        let class = &mut self.classes[query.class];
        let Some(estimate) = query.work else {
            let unknown = settings.latency_objective * 1000.0 * settings.threads * UNKNOWN_SERVICE_SHARE;
            return class.work.get().or(class.cost.get()).unwrap_or(unknown);
        };
        class.estimate.add(estimate, CLASS_MEAN_MIN_WEIGHT);
        let cost = estimate * class.log_work_ratio.value.exp();
        class.cost.add(cost, CLASS_MEAN_MIN_WEIGHT);
        self.mean_cost.add(cost, CLASS_MEAN_MIN_WEIGHT);
        self.add_work_per_thread(settings, cost);
        cost
    }

    fn add_work_per_thread(&mut self, settings: &ClassSettings, cost: f64) {
        let mean = self.mean_cost.value.max(MIN_MEAN);
        let count = INITIAL_WORK_QUERIES + self.mean_cost.count;
        let weight = (CLASS_MEAN_MIN_WEIGHT.max(1.0 / count) * cost / mean).min(1.0);
        self.work_per_thread += weight * (cost / settings.threads.max(1.0) - self.work_per_thread);
    }

    /// Service time of an average query of a class (seconds).
    pub fn usual_service_time(&self, settings: &Settings, class: usize) -> f64 {
        let class_settings = &settings.classes[class];
        self.classes[class]
            .cost
            .get()
            .map_or(class_settings.latency_objective * UNKNOWN_SERVICE_SHARE, |cost| {
                service_time(class_settings, cost)
            })
    }

    /// Work of an average query of a class (ms), estimated conservatively.
    pub fn usual_work(&self, settings: &Settings, class: usize) -> f64 {
        let costs = &self.classes[class];
        if let Some(work) = costs.work.get() {
            return work;
        }
        let estimated = costs.cost.get().zip(costs.estimate.get()).map(|(cost, estimate)| cost.max(estimate));
        estimated.unwrap_or_else(|| {
            let settings = &settings.classes[class];
            settings.latency_objective * 1000.0 * settings.threads * UNKNOWN_WORK_SHARE
        })
    }

    /// Duration of an average load of the slowest class of loads (seconds); 0 if there is no such class.
    pub fn load_duration(&self, settings: &Settings) -> f64 {
        let loads = settings.classes.iter().enumerate().filter(|(_, class)| class.is_load);
        loads
            .map(|(index, _)| self.usual_service_time(settings, index) * self.slowness(index))
            .fold(0.0, f64::max)
    }

    /// Usual delay of a class over its service time (ratio, at least 1).
    pub fn slowness(&self, class: usize) -> f64 {
        self.classes[class].slowness.get().unwrap_or(INITIAL_SLOWNESS).clamp(1.0, MAX_SLOWNESS)
    }

    /// Adds the slowness of one outcome to the usual slowness of its class.
    pub fn add_slowness(&mut self, class: usize, slowness: f64) {
        self.classes[class].slowness.add(slowness, SLOWNESS_MIN_WEIGHT);
    }

    /// Adds a query of this cost (ms) to the recent demand.
    pub fn add_demand(&mut self, class: usize, cost: f64) {
        self.classes[class].demand += cost / RECENT_SPAN_S;
    }

    /// Decays the recent demand by `elapsed` seconds.
    pub fn decay_demand(&mut self, elapsed: f64) {
        for class in &mut self.classes {
            class.demand *= 1.0 - elapsed / RECENT_SPAN_S;
        }
    }

    /// Share of this class in the recent demand (0 to 1).
    pub fn demand_share(&self, class: usize) -> f64 {
        self.classes[class].demand / self.classes.iter().map(|class| class.demand).sum::<f64>().max(MIN_MEAN)
    }

    /// Learns the work per unit of estimate from a served request: from its reported work (ms), or else from
    /// the delays (seconds) of the fastest outcomes.
    pub fn learn_work(&mut self, settings: &Settings, request: &Request, delay: f64, work: Option<f64>) {
        let threads = settings.classes[request.query.class].threads.max(1.0);
        let class = &mut self.classes[request.query.class];
        if let Some(work) = work {
            class.work.add(work, CLASS_MEAN_MIN_WEIGHT);
        }
        let work_by_delay = (!request.query.uploading).then_some(delay * 1000.0 * threads);
        let Some(measured) = work.or(work_by_delay).map(|measured| measured.max(MIN_MEASURED_WORK_MS)) else {
            return;
        };
        let Some(estimate) = request.query.work else {
            class.cost.add(measured, CLASS_MEAN_MIN_WEIGHT);
            return self.mean_cost.add(measured, CLASS_MEAN_MIN_WEIGHT);
        };
        // Estimates are trusted at first; outcomes correct them in decreasing steps.
        let quantile = if work.is_some() { REPORTED_WORK_QUANTILE } else { SERVICE_TIME_QUANTILE };
        class.log_work_ratio.add((measured / estimate).ln() >= class.log_work_ratio.value, quantile);
    }

    /// Memory to grant an attempt (MB): the estimate times the memory per unit of estimate learned for its
    /// class.
    pub fn memory_grant(&self, settings: &Settings, request: &Request) -> Option<f64> {
        let estimate = request.query.memory.filter(|_| settings.memory_grants)?;
        let learned = estimate * self.classes[request.query.class].memory_grant.value.exp();
        Some(request.required_memory.unwrap_or(learned).ceil())
    }

    /// Learns from a served request how much memory to grant per unit of estimate so that few requests spill,
    /// or half of them where a spill is cheap. `required` is the reported memory (MB).
    pub fn learn_memory(&mut self, settings: &Settings, request: &Request, required: Option<f64>) {
        let Some(estimate) = request.query.memory.filter(|_| request.granted_memory.is_some()) else {
            return;
        };
        let class = request.query.class;
        let cheap_spill = settings.may_cancel
            && settings.max_attempts > 2
            && settings.classes[class].idempotency == Idempotency::Always;
        let grant = &mut self.classes[class].memory_grant;
        let is_too_small = required
            .or(request.required_memory)
            .is_some_and(|required| required > estimate * grant.value.exp());
        let quantile = if cheap_spill && required.is_some() {
            CHEAP_SPILL_GRANT_QUANTILE
        } else {
            MEMORY_GRANT_QUANTILE
        };
        grant.add(is_too_small, quantile);
    }
}
