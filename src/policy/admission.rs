//! Admission: whether an engine has capacity for a request now.
//!
//! On the ordinary path the engine's bound on this coordinator's backlog decides. Where a share of an engine
//! is less than one query, the shares of all engines count as one.

use super::engine_state::{Engine, EngineTable};
use super::pi_controller::PiController;
use super::request_state::Request;
use super::slow_start::{warm_up_factor, SlowStart};
use super::Settings;

/// Share of the bound that is open to requests over quota and past their latency objective.
pub const LOW_PRIORITY_CAPACITY: f64 = 0.5;
/// Most of an engine's memory that estimates may add up to (ratio): past that it pages and stalls.
const MAX_MEMORY_SHARE: f64 = 1.3;
/// Deviations of one coordinator's backlog that the capacity of all engines allows for.
const BACKLOG_DEVIATIONS: f64 = 4.0;
/// Mean error of the controllers (ratio of DDR) from which on the allowance for deviations counts in full.
const CALM_ERROR: f64 = 0.45;
/// Exponent of the part of cores that is warm in the allowance.
const WARM_EXPONENT: i32 = 3;
/// Part of cores in recent use from which on none of the allowance counts.
const BUSY_UTILIZATION: f64 = 0.8;
/// So much below that, all of it counts.
const BUSY_RANGE: f64 = 0.2;
/// How far past its bound an idle engine takes work (share of the bound).
const IDLE_EXTENSION: f64 = 1.0;

/// What admission of a request goes by, beside the engines.
pub struct AdmissionInput<'a> {
    /// The request.
    pub request: &'a Request,
    /// Share of each bound that is open to it (ratio).
    pub capacity_share: f64,
    /// Work that a busy thread holds (ms).
    pub work_per_thread: f64,
    /// Part of cores in use lately (0 to 1).
    pub utilization: f64,
    /// Uniform draw (0 to 1) for the part of the request that has to fit what the pool leaves.
    pub draw: f64,
}

/// Admission of one request.
pub struct Admission<'a> {
    request: &'a Request,
    settings: &'a Settings,
    slow_start: SlowStart<'a>,
    capacity_share: f64,
    draw: f64,
    /// What the bounds of all engines of the pool leave (ms).
    pool_capacity: f64,
}

impl<'a> Admission<'a> {
    /// Admission of a request of which `pool` are the engines that its class may use now.
    pub fn new(
        input: AdmissionInput<'a>,
        slow_start: SlowStart<'a>,
        pool: &[&Engine],
        engines: &EngineTable,
    ) -> Self {
        let sum = |value: fn(&Engine) -> f64| pool.iter().map(|engine| value(engine)).sum::<f64>();
        let bounds = input.capacity_share * sum(|engine| engine.controller.bound);
        let mean_error = sum(|engine| engine.controller.last_error) / (pool.len() as f64).max(1.0);
        let calm =
            (mean_error / CALM_ERROR).clamp(0.0, 1.0) * warm_share(slow_start, engines).powi(WARM_EXPONENT);
        let calm = calm * ((BUSY_UTILIZATION - input.utilization) / BUSY_RANGE).clamp(0.0, 1.0);
        let allowance = BACKLOG_DEVIATIONS * calm * (bounds * input.work_per_thread).sqrt();
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

    /// Past its memory an engine pages, and all its work nearly stops: no report tells of that in time.
    fn fits_memory(&self, engine: &Engine) -> bool {
        let in_flight = engine.memory_in_flight();
        let required = self.request.query.memory.unwrap_or(0.0);
        let limit = MAX_MEMORY_SHARE * self.capacity_share * engine.memory / self.settings.coordinators;
        !(in_flight > 0.0 && in_flight + required > limit)
    }

    /// An engine without backlog takes a request for which it has a rotation slot, or of which a drawn part
    /// fits what the pool leaves: the more expensive, the more seldom. A coordinator with little work varies
    /// more; over all of them that evens out, so it is no load while delays are short.
    fn fits_idle_engine(&self, engine: &Engine) -> bool {
        if engine.backlog() != 0.0 {
            return false;
        }
        let crowding = (self.settings.coordinators / engine.cores).min(1.0);
        let limit = self.slow_start.limit(engine, self.request.query.class);
        let has_slot = limit.is_some_and(|limit| limit.work_share.is_none());
        has_slot || self.draw * crowding * self.request.cost <= self.pool_capacity
    }

    /// The bound on the backlog, extended while the engine reports idle cores.
    fn fits_bound(&self, engine: &Engine) -> bool {
        let PiController { bound, last_error, .. } = engine.controller;
        // Where loads lock tables cores idle as well; what is admitted only waits there, with its memory.
        let flowing = last_error >= 0.0 && engine.locked_tables.is_empty();
        let utilization = engine.load.util.filter(|_| flowing).unwrap_or(1.0);
        let idle = (1.0 - utilization).clamp(0.0, 1.0);
        let limit = bound * self.capacity_share * (1.0 + IDLE_EXTENSION * idle);
        engine.backlog() + self.request.cost <= limit
    }
}

/// Part of all cores that is warm (0 to 1). Delays tell late of engines that left and came back cold;
/// discovery tells at once.
fn warm_share(slow_start: SlowStart, engines: &EngineTable) -> f64 {
    let warm_cores = |engine: &Engine| {
        let age = slow_start.now - engine.warm_up.started_at;
        engine.cores * warm_up_factor(slow_start.settings, age)
    };
    let warm: f64 = engines.ready().map(warm_cores).sum();
    warm / engines.ready().map(|engine| engine.cores).sum::<f64>().max(1.0)
}
