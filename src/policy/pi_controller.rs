//! The PI controller of one engine: moves the bound on this coordinator's backlog there so that the mean
//! delay-to-deadline ratio (DDR) of finished requests stays at the set-point.
//!
//! Each second, `increment += K_P ((K_I + 1) e(k) - e(k - 1))` and `bound += increment`, with `e` the
//! set-point less the mean DDR (velocity form), as in the paper; the exceptions are stated where they are
//! made.

/// Mean DDR that the controller aims at (ratio), as in the paper.
const SET_POINT: f64 = 0.9;
/// Proportional gain (mean-cost queries per unit of error): the paper bounds hundreds of items, this a few.
const PROPORTIONAL_GAIN: f64 = 0.2;
/// Integral gain relative to the proportional gain; low for the same reason.
const INTEGRAL_GAIN: f64 = 0.5;
/// Most that the DDR of one request counts (ratio): one runaway must not close an engine.
const MAX_DDR: f64 = 3.0;
/// Most growth of a bound in one period (share of the bound): anti-windup.
const MAX_GROWTH: f64 = 0.25;
/// A bound may fall by so many times its most growth in one period: it starts wide open.
const FALL_OVER_GROWTH: f64 = 2.0;
/// A bound grows only if the backlog used this share of it: anti-windup.
const MIN_USAGE: f64 = 0.6;
/// Most that a bound grows to (starting bounds): a burst after a quiet time would overload all engines.
const MAX_BOUND: f64 = 1.2;

/// What all available engines together did in a period.
pub struct PoolPeriod {
    /// How many requests counted in the mean DDR.
    pub ddr_count: f64,
    /// Mean DDR (ratio).
    pub mean_ddr: f64,
    /// Requests that were served.
    pub served: f64,
    /// Most backlog over the sum of bounds (ratio).
    pub usage: f64,
    /// This coordinator's traffic over an equal part of all (ratio, at least 1).
    pub traffic_share: f64,
    /// Whether a request found no engine with capacity: it made full use of the bounds, whatever the backlog
    /// was.
    pub rejected: bool,
}

/// What an engine's bound is set by at the end of a period, beside what the controller has counted.
pub struct EnginePeriod {
    /// Backlog at the end (ms).
    pub backlog: f64,
    /// Warm-up factor at the end (share of its capacity).
    pub warm_up_factor: f64,
    /// Starting bound (ms) by what queries cost now.
    pub starting_bound: f64,
    /// Starting bound over the one of the period before (ratio).
    pub starting_bound_growth: f64,
    /// Least bound (ms), and the least unit of the increment.
    pub min_bound: f64,
    /// Unit of the increment as a share of the bound: the errors of many coordinators even out, so each may
    /// move its bound by a share of it.
    pub step_share: f64,
}

/// The controller of one engine.
#[derive(Default)]
pub struct PiController {
    /// Bound on this coordinator's backlog (ms of work).
    pub bound: f64,
    /// Set-point less the mean DDR of the last period (ratio).
    pub last_error: f64,
    /// Most backlog since the period began (ms).
    peak_backlog: f64,
    /// Warm-up factor that the bound was last cut by.
    warm_up_factor: f64,
    /// Increment of the bound (units).
    increment: f64,
    /// Sum of the DDRs of the period (each at most `MAX_DDR`).
    ddr_sum: f64,
    /// How many requests counted in `ddr_sum`.
    ddr_count: u32,
    /// Requests served in the period.
    served: u32,
}

impl PiController {
    /// A controller with a starting bound (ms) that was cut by a warm-up factor.
    pub fn new(bound: f64, warm_up_factor: f64) -> Self {
        Self { bound, warm_up_factor, ..Self::default() }
    }

    /// Counts the DDR of a finished request.
    pub fn add_ddr(&mut self, ddr: f64) {
        self.ddr_sum += ddr.min(MAX_DDR);
        self.ddr_count += 1;
    }

    /// Counts an attempt that the engine had no room for: it is past any deadline.
    pub fn add_full(&mut self) {
        self.add_ddr(MAX_DDR);
    }

    /// Counts a served request.
    pub fn add_served(&mut self) {
        self.served += 1;
    }

    /// Takes the present backlog (ms) into the peak of the period.
    pub fn observe_backlog(&mut self, backlog: f64) {
        self.peak_backlog = self.peak_backlog.max(backlog);
    }

    /// Sum of the DDRs of the period.
    pub fn ddr_sum(&self) -> f64 {
        self.ddr_sum
    }

    /// How many requests counted in it.
    pub fn ddr_count(&self) -> f64 {
        f64::from(self.ddr_count)
    }

    /// Requests served in the period.
    pub fn served(&self) -> f64 {
        f64::from(self.served)
    }

    /// Ends a period and moves the bound.
    pub fn update(&mut self, engine: &EnginePeriod, pool: &PoolPeriod) {
        self.rescale(engine);
        let step = engine.min_bound.max(engine.step_share * self.bound);
        let peak = self.peak_backlog.max(engine.backlog);
        let usage = pool.usage.max(peak / (pool.traffic_share * self.bound).max(1.0));
        let served = self.served() + pool.served;
        let Some(mean_ddr) = self.end_period(engine.backlog, pool) else { return };
        self.integrate(SET_POINT - mean_ddr, step);
        // Anti-windup on quiet days: no growth without service, nor past the starting bound without use.
        let idle = usage < MIN_USAGE && !pool.rejected && self.bound >= engine.starting_bound;
        if self.increment > 0.0 && (served == 0.0 || idle) {
            self.increment = 0.0;
            return;
        }
        self.bound = (self.bound + self.increment * step).floor().min(engine.starting_bound * MAX_BOUND);
        if self.bound <= engine.min_bound {
            self.bound = engine.min_bound;
            self.increment = 0.0;
        }
    }

    /// Gives back what a start has cut the bound by as the engine warms up: the controller would take
    /// minutes.
    fn rescale(&mut self, engine: &EnginePeriod) {
        let factor = engine.warm_up_factor.max(self.warm_up_factor);
        self.bound *= engine.starting_bound_growth * factor / self.warm_up_factor;
        self.warm_up_factor = factor;
    }

    /// Mean DDR of the period, if anything finished, and starts the next one. Many seconds can pass without
    /// an outcome here: what finished on any engine counts as one more sample.
    fn end_period(&mut self, backlog: f64, pool: &PoolPeriod) -> Option<f64> {
        let pool_weight = pool.ddr_count.min(1.0);
        let count = self.ddr_count() + pool_weight;
        let mean = (self.ddr_sum + pool.mean_ddr * pool_weight) / count.max(1.0);
        self.ddr_sum = 0.0;
        self.ddr_count = 0;
        self.served = 0;
        self.peak_backlog = backlog;
        (count != 0.0).then_some(mean)
    }

    /// The PI law, with `step` the unit of the increment (ms).
    fn integrate(&mut self, error: f64, step: f64) {
        // Anti-windup at the floor: once DDR is back under the set-point, the sum of old errors goes.
        if error > 0.0 && self.increment < 0.0 {
            self.increment = 0.0;
            self.last_error = 0.0;
        }
        self.increment += PROPORTIONAL_GAIN * ((INTEGRAL_GAIN + 1.0) * error - self.last_error);
        self.last_error = error;
        let max_increment = MAX_GROWTH * self.bound / step;
        self.increment = self.increment.clamp(-max_increment * FALL_OVER_GROWTH, max_increment);
    }
}
