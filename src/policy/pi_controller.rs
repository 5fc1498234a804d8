//! The PI controller of one engine: adjusts the bound on this coordinator's backlog there to hold the mean
//! delay-to-deadline ratio (DDR) of finished requests at the set-point.
//!
//! Each second, `increment += K_P ((K_I + 1) e(k) - e(k - 1))` and `bound += increment`, with `e` the
//! set-point minus the mean DDR (velocity form). Exceptions are documented where they are implemented.
//!
//! The controller follows a paper: Yan Zhou and Kyoung-Don Kang, "Deadline Assignment and Feedback Control
//! for Differentiated Real-Time Data Services". Comments below refer to it as "the paper".

/// Target of the mean DDR (ratio), as in the paper.
const SET_POINT: f64 = 0.9;
/// Proportional gain (mean-cost queries per unit of error). Lower than in the paper, where a bound is
/// hundreds of items; here it is a few queries.
const PROPORTIONAL_GAIN: f64 = 0.2;
/// Integral gain relative to the proportional gain; low for the same reason.
const INTEGRAL_GAIN: f64 = 0.5;
/// Upper limit on the DDR of one request (ratio): a single runaway request must not drive a bound to its
/// minimum.
const MAX_DDR: f64 = 3.0;
/// Maximum growth of a bound in one period (share of the bound): anti-windup.
const MAX_GROWTH: f64 = 0.25;
/// Maximum decrease of a bound in one period (multiples of its maximum growth): starting bounds are generous.
const FALL_TO_GROWTH_RATIO: f64 = 2.0;
/// Minimum share of a bound that the backlog must use for the bound to grow: anti-windup.
const MIN_USAGE: f64 = 0.6;
/// Upper limit on a bound (multiples of its starting bound): with larger ones, a burst after a time of light
/// traffic would overload all engines.
const MAX_BOUND: f64 = 1.2;

/// Statistics of all available engines together in a period.
pub struct PoolPeriod {
    /// Number of requests in the mean DDR.
    pub ddr_count: f64,
    /// Mean DDR (ratio).
    pub mean_ddr: f64,
    /// Number of requests served.
    pub served: f64,
    /// Peak backlog over the sum of bounds times `traffic_share` (ratio).
    pub usage: f64,
    /// This coordinator's traffic relative to an equal share of all cores (ratio, at least 1).
    pub traffic_share: f64,
    /// Whether a request found no engine with capacity: the bounds were fully used, whatever the backlog was.
    pub rejected: bool,
}

/// Inputs to the update of an engine's bound at the end of a period, besides the controller's own state.
pub struct EnginePeriod {
    /// Backlog at the end (ms).
    pub backlog: f64,
    /// Warm-up factor at the end (share of its capacity).
    pub warm_up_factor: f64,
    /// Starting bound at current query costs (ms).
    pub starting_bound: f64,
    /// Starting bound over that of the previous period (ratio).
    pub starting_bound_growth: f64,
    /// Minimum bound (ms), and the minimum unit of the increment.
    pub min_bound: f64,
    /// Unit of the increment as a share of the bound: the errors of many coordinators average out, so each
    /// may move its bound by a share of it.
    pub step_share: f64,
}

/// The controller of one engine.
#[derive(Default)]
pub struct PiController {
    /// Bound on this coordinator's backlog (ms of work).
    pub bound: f64,
    /// Set-point minus the mean DDR of the last period (ratio).
    pub last_error: f64,
    /// Peak backlog since the start of the period (ms).
    peak_backlog: f64,
    /// Warm-up factor by which the bound is currently reduced.
    warm_up_factor: f64,
    /// Increment of the bound (units).
    increment: f64,
    /// Sum of the DDRs of the period (each at most `MAX_DDR`).
    ddr_sum: f64,
    /// Number of requests in `ddr_sum`.
    ddr_count: u32,
    /// Number of requests served in the period.
    served: u32,
}

impl PiController {
    /// A controller with a starting bound (ms) to which a warm-up factor has been applied.
    pub fn new(bound: f64, warm_up_factor: f64) -> Self {
        Self { bound, warm_up_factor, ..Self::default() }
    }

    /// Adds the DDR of a finished request.
    pub fn add_ddr(&mut self, ddr: f64) {
        self.ddr_sum += ddr.min(MAX_DDR);
        self.ddr_count += 1;
    }

    /// Records that the engine was full and refused an attempt, which counts as the highest DDR.
    pub fn add_full(&mut self) {
        self.add_ddr(MAX_DDR);
    }

    /// Counts a served request.
    pub fn add_served(&mut self) {
        self.served += 1;
    }

    /// Updates the peak of the period with the current backlog (ms).
    pub fn observe_backlog(&mut self, backlog: f64) {
        self.peak_backlog = self.peak_backlog.max(backlog);
    }

    /// Sum of the DDRs of the period.
    pub fn ddr_sum(&self) -> f64 {
        self.ddr_sum
    }

    /// Number of requests in that sum.
    pub fn ddr_count(&self) -> f64 {
        f64::from(self.ddr_count)
    }

    /// Number of requests served in the period.
    pub fn served(&self) -> f64 {
        f64::from(self.served)
    }

    /// Ends the period and adjusts the bound.
    pub fn update(&mut self, engine: &EnginePeriod, pool: &PoolPeriod) {
        self.rescale(engine);
        let step = engine.min_bound.max(engine.step_share * self.bound);
        let peak = self.peak_backlog.max(engine.backlog);
        let usage = pool.usage.max(peak / (pool.traffic_share * self.bound).max(1.0));
        let served = self.served() + pool.served;
        let Some(mean_ddr) = self.end_period(engine.backlog, pool) else { return };
        self.integrate(SET_POINT - mean_ddr, step);
        // Anti-windup in light traffic: no growth without served requests, nor past the starting bound if the
        // bound is not used.
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

    /// Undoes the reduction of the bound step by step as the engine warms up (the controller alone would need
    /// minutes), and follows changes of the starting bound.
    fn rescale(&mut self, engine: &EnginePeriod) {
        let factor = engine.warm_up_factor.max(self.warm_up_factor);
        self.bound *= engine.starting_bound_growth * factor / self.warm_up_factor;
        self.warm_up_factor = factor;
    }

    /// Returns the mean DDR of the period, if any request finished, and starts the next one. Many seconds can
    /// pass without an outcome on this engine, so the mean of all engines counts as one more sample.
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

    /// Applies the PI control law; `step` is the unit of the increment (ms).
    fn integrate(&mut self, error: f64, step: f64) {
        // Anti-windup at the minimum: once the DDR is below the set-point again, past errors are dropped.
        if error > 0.0 && self.increment < 0.0 {
            self.increment = 0.0;
            self.last_error = 0.0;
        }
        self.increment += PROPORTIONAL_GAIN * ((INTEGRAL_GAIN + 1.0) * error - self.last_error);
        self.last_error = error;
        let max_increment = MAX_GROWTH * self.bound / step;
        self.increment = self.increment.clamp(-max_increment * FALL_TO_GROWTH_RATIO, max_increment);
    }
}
