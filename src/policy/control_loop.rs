//! The control loop: ends the period of every engine's controller once a second.

use super::bounds::{min_bound, query_share, starting_bound};
use super::cost_model::{CostModel, RECENT_SPAN_S};
use super::engine_state::{Engine, EngineTable};
use super::pi_controller::{EnginePeriod, PoolPeriod};
use super::slow_start::warm_up_factor;
use super::Settings;

/// Period of the loop (seconds), as in the paper that `pi_controller` follows.
const PERIOD_S: f64 = 1.0;
/// A period with at most this much time left counts as over (seconds): sums of timer delays are not exact.
const PERIOD_TOLERANCE_S: f64 = 1e-6;

/// State of the control loop over all engines.
pub struct ControlLoop {
    /// When the period ends (seconds); `None`: the loop has not started.
    next_update_at: Option<f64>,
    /// Mean work on a busy thread when bounds were last set (ms).
    work_per_thread: f64,
    /// Peak backlog on all engines since the start of the period (ms).
    peak_backlog: f64,
    /// Rate of recently served cost (ms per second).
    served_rate: f64,
    /// This coordinator's traffic relative to an equal share of all cores (ratio, at least 1).
    traffic_share: f64,
    /// Whether a request found no engine with capacity since the start of the period.
    rejected: bool,
}

impl ControlLoop {
    /// A loop that has not started.
    pub fn new(costs: &CostModel) -> Self {
        Self {
            next_update_at: None,
            work_per_thread: costs.work_per_thread(),
            peak_backlog: 0.0,
            served_rate: 0.0,
            traffic_share: 1.0,
            rejected: false,
        }
    }

    /// Starts the loop if it has not started yet; returns whether it did.
    pub fn start(&mut self, now: f64) -> bool {
        let is_first = self.next_update_at.is_none();
        self.next_update_at.get_or_insert(now + PERIOD_S);
        is_first
    }

    /// Mean work on a busy thread that the bounds are based on (ms).
    pub fn work_per_thread(&self) -> f64 {
        self.work_per_thread
    }

    /// This coordinator's traffic relative to an equal share of all cores (ratio, at least 1).
    pub fn traffic_share(&self) -> f64 {
        self.traffic_share
    }

    /// Records that a request found no engine with capacity, which means that the bounds were fully used,
    /// whatever the backlog was.
    pub fn add_rejected(&mut self) {
        self.rejected = true;
    }

    /// Adds a served request of this cost (ms) to the rate of served cost.
    pub fn add_served(&mut self, cost: f64) {
        self.served_rate += cost / RECENT_SPAN_S;
    }

    /// Updates the peak of the period with the current backlog on all engines (ms).
    pub fn observe_backlog(&mut self, backlog: f64) {
        self.peak_backlog = self.peak_backlog.max(backlog);
    }

    /// Decays the rate of recently served cost by `elapsed` seconds.
    pub fn decay_served(&mut self, elapsed: f64) {
        self.served_rate *= 1.0 - elapsed / RECENT_SPAN_S;
    }

    /// Ends the period if it is over.
    pub fn update_if_due(
        &mut self,
        now: f64,
        settings: &Settings,
        costs: &CostModel,
        engines: &mut EngineTable,
    ) {
        if self.next_update_at.is_some_and(|at| now + PERIOD_TOLERANCE_S >= at) {
            self.next_update_at = Some(now + PERIOD_S);
            self.update(now, settings, costs, engines);
        }
    }

    fn update(&mut self, now: f64, settings: &Settings, costs: &CostModel, engines: &mut EngineTable) {
        let pool = self.end_pool_period(settings, engines);
        let work_per_thread = costs.work_per_thread();
        let previous = std::mem::replace(&mut self.work_per_thread, work_per_thread);
        for engine in engines.iter_mut() {
            let starting = starting_bound(settings, engine.cores, work_per_thread);
            let period = EnginePeriod {
                backlog: engine.backlog(),
                warm_up_factor: warm_up_factor(settings, now - engine.warm_up.started_at),
                starting_bound: starting,
                starting_bound_growth: starting / starting_bound(settings, engine.cores, previous),
                min_bound: min_bound(settings, engine.cores, costs.mean_cost(), work_per_thread),
                step_share: 1.0 - query_share(settings, engine.cores),
            };
            engine.controller.update(&period, &pool);
        }
    }

    /// Aggregates the period over all available engines and starts the next one.
    fn end_pool_period(&mut self, settings: &Settings, engines: &EngineTable) -> PoolPeriod {
        let sum = |value: fn(&Engine) -> f64| engines.available().map(value).sum::<f64>();
        let ddr_count = sum(|engine| engine.controller.ddr_count());
        let backlog = self.peak_backlog.max(sum(Engine::backlog));
        let usage = backlog / (self.traffic_share * sum(|engine| engine.controller.bound)).max(1.0);
        self.peak_backlog = 0.0;
        self.traffic_share = self.measure_traffic_share(settings, engines.len(), sum(|engine| engine.cores));
        PoolPeriod {
            ddr_count,
            mean_ddr: sum(|engine| engine.controller.ddr_sum()) / ddr_count.max(1.0),
            served: sum(|engine| engine.controller.served()),
            usage,
            traffic_share: self.traffic_share,
            rejected: std::mem::take(&mut self.rejected),
        }
    }

    /// Traffic can be spread unevenly: a coordinator that serves more than an equal share of all cores may
    /// use a correspondingly larger share of each bound. Demand would be the wrong measure: in an overload
    /// it would raise the usable share of every bound.
    fn measure_traffic_share(&self, settings: &Settings, engines: usize, cores: f64) -> f64 {
        let outnumber_cores = settings.coordinators * engines as f64 > cores;
        let share = self.served_rate * settings.coordinators / (1000.0 * cores).max(1.0);
        if outnumber_cores {
            share.max(1.0)
        } else {
            1.0
        }
    }
}
