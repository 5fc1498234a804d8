//! Admission: whether an engine has capacity for a request now.
//!
//! Normally the engine's bound on this coordinator's backlog decides. Where a coordinator's share of an
//! engine is less than one query, its shares of all engines are pooled.

use super::engine_state::{Engine, EngineTable};
use super::pi_controller::PiController;
use super::request_state::Request;
use super::slow_start::{warm_up_factor, SlowStart};
use super::Settings;

/// Share of the bound that is available to requests over quota or past their latency objective.
pub const LOW_PRIORITY_CAPACITY: f64 = 0.5;
/// Upper limit on the estimated memory of an engine's requests (ratio): above it the engine pages and stalls.
const MAX_MEMORY_SHARE: f64 = 1.3;
/// Standard deviations of one coordinator's backlog that the pooled capacity allows for.
const BACKLOG_DEVIATIONS: f64 = 4.0;
/// Mean error of the controllers (ratio of DDR) at and above which the full allowance for deviations applies.
const FULL_ALLOWANCE_ERROR: f64 = 0.45;
/// Exponent of the warm share of the cores in the allowance.
const WARM_SHARE_EXPONENT: i32 = 3;
/// Recent share of the cores in use at and above which there is no allowance.
const BUSY_UTILIZATION: f64 = 0.8;
/// Range below `BUSY_UTILIZATION` over which the allowance rises from none to full.
const BUSY_RANGE: f64 = 0.2;
/// How far the bound of an idle engine may be exceeded (share of the bound).
const IDLE_EXTENSION: f64 = 1.0;

/// Inputs to the admission of a request, besides the engines.
pub struct AdmissionInput<'a> {
    /// The request.
    pub request: &'a Request,
    /// Share of each bound that is available to it (ratio).
    pub capacity_share: f64,
    /// Mean work on a busy thread (ms).
    pub work_per_thread: f64,
    /// Recent share of the cores in use (0 to 1).
    pub utilization: f64,
    /// Uniform draw (0 to 1) of the share of the request that has to fit in the remaining pool capacity.
    pub draw: f64,
}

/// Admission of one request.
pub struct Admission<'a> {
    request: &'a Request,
    settings: &'a Settings,
    slow_start: SlowStart<'a>,
    capacity_share: f64,
    draw: f64,
    /// Remaining capacity of the pool: its engines' bounds and the allowance for deviations, minus the
    /// backlog (ms).
    pool_capacity: f64,
}

impl<'a> Admission<'a> {
    /// Admission of a request; `pool` are the engines that its class may use now.
    pub fn new(
        input: AdmissionInput<'a>,
        slow_start: SlowStart<'a>,
        pool: &[&Engine],
        engines: &EngineTable,
    ) -> Self {
        let sum = |value: fn(&Engine) -> f64| pool.iter().map(|engine| value(engine)).sum::<f64>();
        let bounds = input.capacity_share * sum(|engine| engine.controller.bound);
        let mean_error = sum(|engine| engine.controller.last_error) / (pool.len() as f64).max(1.0);
        let allowance_share = (mean_error / FULL_ALLOWANCE_ERROR).clamp(0.0, 1.0)
            * warm_share(slow_start, engines).powi(WARM_SHARE_EXPONENT);
        let allowance_share =
            allowance_share * ((BUSY_UTILIZATION - input.utilization) / BUSY_RANGE).clamp(0.0, 1.0);
        let allowance = BACKLOG_DEVIATIONS * allowance_share * (bounds * input.work_per_thread).sqrt();
        Self {
            request: input.request,
            settings: slow_start.settings,
            slow_start,
            capacity_share: input.capacity_share,
            draw: input.draw,
            pool_capacity: bounds + allowance - sum(Engine::backlog),
        }
    }

    /// Whether an engine has capacity for the request.
    pub fn fits(&self, engine: &Engine) -> bool {
        self.fits_memory(engine) && (self.fits_idle_engine(engine) || self.fits_bound(engine))
    }

    /// Whether the request's memory fits next to that of the attempts in flight. An engine that runs out of
    /// memory pages and nearly stops, and load reports show that too late.
    fn fits_memory(&self, engine: &Engine) -> bool {
        let in_flight = engine.memory_in_flight();
        let required = self.request.query.memory.unwrap_or(0.0);
        let limit = MAX_MEMORY_SHARE * self.capacity_share * engine.memory / self.settings.coordinators;
        !(in_flight > 0.0 && in_flight + required > limit)
    }

    /// An engine without backlog accepts a request if this coordinator has a rotation slot there, or if a
    /// randomly drawn share of the request fits in the remaining pool capacity; expensive requests are
    /// accepted less often. The backlog of a coordinator with little work varies relatively more. This evens
    /// out over all coordinators, so the allowance for it does not overload engines while delays are short.
    fn fits_idle_engine(&self, engine: &Engine) -> bool {
        if engine.backlog() != 0.0 {
            return false;
        }
        let coordinators_per_core = (self.settings.coordinators / engine.cores).min(1.0);
        let limit = self.slow_start.limit(engine, self.request.query.class);
        let has_slot = limit.is_some_and(|limit| limit.work_share.is_none());
        has_slot || self.draw * coordinators_per_core * self.request.cost <= self.pool_capacity
    }

    /// Whether the request fits in the bound on the backlog, which is extended while the engine reports
    /// idle cores.
    fn fits_bound(&self, engine: &Engine) -> bool {
        let PiController { bound, last_error, .. } = engine.controller;
        // Cores also idle while a load locks tables; requests admitted then only wait and occupy memory.
        let may_extend = last_error >= 0.0 && engine.locked_tables.is_empty();
        let utilization = engine.load.util.filter(|_| may_extend).unwrap_or(1.0);
        let idle = (1.0 - utilization).clamp(0.0, 1.0);
        let limit = bound * self.capacity_share * (1.0 + IDLE_EXTENSION * idle);
        engine.backlog() + self.request.cost <= limit
    }
}

/// Warm share of all cores (0 to 1). Discovery reports restarts at once, whereas delays show only later that
/// engines are cold.
fn warm_share(slow_start: SlowStart, engines: &EngineTable) -> f64 {
    let warm_cores = |engine: &Engine| {
        let age = slow_start.now - engine.warm_up.started_at;
        engine.cores * warm_up_factor(slow_start.settings, age)
    };
    let warm: f64 = engines.ready().map(warm_cores).sum();
    warm / engines.ready().map(|engine| engine.cores).sum::<f64>().max(1.0)
}
