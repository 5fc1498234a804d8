//! Cost model: what a query costs, learned per class from estimates and outcomes.
//!
//! The service time of a request (σ of the design) is how long it takes on an engine without other work.
//!
//! Costs and work are in milliseconds of one thread, service times and delays in seconds.

use super::estimators::{RunningMean, RunningQuantile};
use super::request_state::Request;
use super::{ClassSettings, Idempotency, Query, Settings};

/// Least weight of a sample in means per class (share): some 50 queries.
const CLASS_MEAN_MIN_WEIGHT: f64 = 0.02;
/// Work that a busy thread holds at first (ms), until queries have shown it.
const INITIAL_WORK_PER_THREAD_MS: f64 = 1300.0;
/// How many queries the initial work per thread counts as.
const INITIAL_WORK_QUERIES: f64 = 20.0;
/// Quantile of delay per unit of estimate that counts as service time where outcomes report no work.
const SERVICE_TIME_QUANTILE: f64 = 0.25;
/// Quantile of work per unit of estimate where outcomes report it: the median.
const REPORTED_WORK_QUANTILE: f64 = 0.5;
/// Share of queries that get all the memory that they need, where a spill is costly.
const MEMORY_GRANT_QUANTILE: f64 = 0.95;
/// The same where a spill costs little, as the attempt is cancelled and retried: the median.
const CHEAP_SPILL_GRANT_QUANTILE: f64 = 0.5;
/// Slowness of a class without outcomes (delay over service time).
const INITIAL_SLOWNESS: f64 = 1.5;
/// Most that the usual slowness of a class counts (delay over service time).
const MAX_SLOWNESS: f64 = 6.0;
/// Least weight of a sample in the usual slowness of a class (share): some 25 outcomes.
const SLOWNESS_MIN_WEIGHT: f64 = 0.04;
/// Span over which recent demand and service are averaged (seconds).
pub const RECENT_SPAN_S: f64 = 10.0;
/// Part of the latency objective that the service time is assumed to take while nothing is known.
const UNKNOWN_SERVICE_SHARE: f64 = 0.25;
/// Part of the latency objective that the work is assumed to take on the careful side, likewise.
const UNKNOWN_WORK_SHARE: f64 = 0.5;
/// Least work that an outcome counts as (ms).
const MIN_MEASURED_WORK_MS: f64 = 0.01;
/// Least mean that parts and shares are computed of (ms, or ms per second): avoids division by zero.
const MIN_MEAN: f64 = 1e-9;
/// Least service time that counts (seconds), where work is reported.
const MIN_REPORTED_SERVICE_TIME_S: f64 = 0.001;

/// What is learned of one class.
#[derive(Default)]
struct ClassCosts {
    /// Natural logarithm of work per unit of estimate.
    unit: RunningQuantile,
    /// Natural logarithm of the memory to grant per unit of estimate.
    memory_grant: RunningQuantile,
    /// Estimates as they arrive (ms).
    estimate: RunningMean,
    /// Estimated costs (ms).
    cost: RunningMean,
    /// Work as outcomes report it (ms).
    work: RunningMean,
    /// Cost that was recently asked for (ms per second).
    demand: f64,
    /// Delay over service time, over all engines (ratio).
    slowness: RunningMean,
}

/// What is learned of all classes.
pub struct CostModel {
    classes: Vec<ClassCosts>,
    /// Cost of a query of any class (ms).
    mean_cost: RunningMean,
    /// Work that a busy thread holds (ms): the mean cost per thread, weighted by cost.
    work_per_thread: f64,
}

/// Time that work of so much takes on an engine without other work (seconds).
pub fn service_time(class: &ClassSettings, cost: f64) -> f64 {
    cost / class.threads.max(1.0) / 1000.0
}

/// The service time of work as an outcome reports it (seconds).
pub fn reported_service_time(class: &ClassSettings, work: f64) -> f64 {
    service_time(class, work).max(MIN_REPORTED_SERVICE_TIME_S)
}

/// Latency objective of a request with this service time (seconds).
pub fn latency_objective(class: &ClassSettings, service_time: f64) -> f64 {
    class.latency_objective + class.objective_stretch * service_time
}

impl CostModel {
    /// A model that has seen nothing.
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

    /// Work that a busy thread holds (ms).
    pub fn work_per_thread(&self) -> f64 {
        self.work_per_thread
    }

    /// Cost of an arriving query (ms): its estimate times the learned unit of its class, or the mean of the
    /// class where there is no estimate. Takes the estimate into the means.
    pub fn estimate(&mut self, settings: &ClassSettings, query: &Query) -> f64 {
        let class = &mut self.classes[query.class];
        let Some(estimate) = query.work else {
            let unknown = settings.latency_objective * 1000.0 * settings.threads * UNKNOWN_SERVICE_SHARE;
            return class.work.get().or(class.cost.get()).unwrap_or(unknown);
        };
        class.estimate.add(estimate, CLASS_MEAN_MIN_WEIGHT);
        let cost = estimate * class.unit.value.exp();
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

    /// Work of an average query of a class (ms), on the careful side.
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

    /// Duration of an average load (seconds); 0 without classes of loads.
    pub fn load_duration(&self, settings: &Settings) -> f64 {
        let loads = settings.classes.iter().enumerate().filter(|(_, class)| class.is_load);
        loads.map(|(at, _)| self.usual_service_time(settings, at) * self.slowness(at)).fold(0.0, f64::max)
    }

    /// Usual delay of a class over its service time (ratio, at least 1).
    pub fn slowness(&self, class: usize) -> f64 {
        self.classes[class].slowness.get().unwrap_or(INITIAL_SLOWNESS).clamp(1.0, MAX_SLOWNESS)
    }

    /// Takes the slowness of one outcome into the usual slowness of its class.
    pub fn add_slowness(&mut self, class: usize, slowness: f64) {
        self.classes[class].slowness.add(slowness, SLOWNESS_MIN_WEIGHT);
    }

    /// Counts a query as recent demand.
    pub fn add_demand(&mut self, class: usize, cost: f64) {
        self.classes[class].demand += cost / RECENT_SPAN_S;
    }

    /// Lets recent demand fade over `elapsed` seconds.
    pub fn decay_demand(&mut self, elapsed: f64) {
        for class in &mut self.classes {
            class.demand *= 1.0 - elapsed / RECENT_SPAN_S;
        }
    }

    /// Part of the recent demand that is of this class (0 to 1).
    pub fn demand_share(&self, class: usize) -> f64 {
        self.classes[class].demand / self.classes.iter().map(|class| class.demand).sum::<f64>().max(MIN_MEAN)
    }

    /// Learns from a served request what a unit of estimate comes to: from the work that was reported (ms),
    /// or else from the delays (seconds) of the fastest outcomes.
    pub fn learn_work(&mut self, settings: &Settings, request: &Request, delay: f64, work: Option<f64>) {
        let threads = settings.classes[request.query.class].threads.max(1.0);
        let class = &mut self.classes[request.query.class];
        if let Some(work) = work {
            class.work.add(work, CLASS_MEAN_MIN_WEIGHT);
        }
        let timed = (!request.query.uploading).then_some(delay * 1000.0 * threads);
        let Some(measured) = work.or(timed).map(|measured| measured.max(MIN_MEASURED_WORK_MS)) else {
            return;
        };
        let Some(estimate) = request.query.work else {
            class.cost.add(measured, CLASS_MEAN_MIN_WEIGHT);
            return self.mean_cost.add(measured, CLASS_MEAN_MIN_WEIGHT);
        };
        // The estimate is believed until outcomes say otherwise, each less than the one before.
        let quantile = if work.is_some() { REPORTED_WORK_QUANTILE } else { SERVICE_TIME_QUANTILE };
        class.unit.add((measured / estimate).ln() >= class.unit.value, quantile);
    }

    /// Memory to grant an attempt (MB): the estimate times what its class was found to need per unit of it.
    pub fn memory_grant(&self, settings: &Settings, request: &Request) -> Option<f64> {
        let estimate = request.query.memory.filter(|_| settings.memory_grants)?;
        let learned = estimate * self.classes[request.query.class].memory_grant.value.exp();
        Some(request.required_memory.unwrap_or(learned).ceil())
    }

    /// Learns from a served request how much memory to grant per unit of estimate, so that few spill, or half
    /// of them where a spill is cheap. `required` is the memory that was reported (MB).
    pub fn learn_memory(&mut self, settings: &Settings, request: &Request, required: Option<f64>) {
        let Some(estimate) = request.query.memory.filter(|_| request.granted_memory.is_some()) else {
            return;
        };
        let class = request.query.class;
        let cheap_spill = settings.may_cancel
            && settings.max_attempts > 2
            && settings.classes[class].idempotency == Idempotency::Always;
        let grant = &mut self.classes[class].memory_grant;
        let short = required
            .or(request.required_memory)
            .is_some_and(|required| required > estimate * grant.value.exp());
        let quantile = if cheap_spill && required.is_some() {
            CHEAP_SPILL_GRANT_QUANTILE
        } else {
            MEMORY_GRANT_QUANTILE
        };
        grant.add(short, quantile);
    }
}
