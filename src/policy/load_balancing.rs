//! Load balancing: the engines that a request may be sent to are put in a weighted random order, and the
//! first one with capacity is selected.

use super::admission::{Admission, AdmissionInput, LOW_PRIORITY_CAPACITY};
use super::control_loop::ControlLoop;
use super::cost_model::{latency_objective, service_time, CostModel};
use super::engine_state::{Engine, EngineTable, InFlightAttempt};
use super::estimators::uniform;
use super::request_state::Request;
use super::retry::RetryBudgetTracker;
use super::send_guard::{is_placement_allowed, SendGuard};
use super::slow_start::SlowStart;
use super::{ClassSettings, EngineId, Settings};
use rand_pcg::Pcg64Mcg;

/// Exponent of an engine's load in its weight.
const LOAD_EXPONENT: i32 = -3;
/// Exponent of an engine's outlier score, by which its weight is divided.
const OUTLIER_EXPONENT: i32 = 2;
/// Factor on the weight of an engine where a load seems to lock the request's tables.
const LOCKED_TABLES_WEIGHT: f64 = 0.05;
/// Expected delays after which an attempt on the same tables seems to stall.
const STALL_DELAYS: f64 = 1.5;
/// Factor on the cost of a new connection in the (negative) exponent of the weight.
const HANDSHAKE_EXPONENT: f64 = 50.0;
/// Factor on the cost of an attempt in another zone in that exponent; lower, as zones are loaded unequally.
const CROSS_ZONE_EXPONENT: f64 = 25.0;
/// Time after which an unused connection is assumed to be closed (seconds).
const CONNECTION_IDLE_S: f64 = 10.0;
/// Urgency of a warming engine (coordinators per rotation slot times the initial capacity share) above which
/// the costs of connections and zones are ignored.
const MAX_PENALIZED_URGENCY: f64 = 3.0;
/// Minimum number of engines in a coordinator's subset.
const MIN_SUBSET_ENGINES: f64 = 10.0;
/// Minimum number of coordinators whose subsets contain the same engine.
const MIN_SUBSET_COORDINATORS: f64 = 20.0;

/// Chooses the engine for the next attempt of a request.
pub struct LoadBalancer<'a> {
    /// The request.
    pub request: &'a Request,
    /// Its class.
    pub class: &'a ClassSettings,
    /// Settings of the coordinator.
    pub settings: &'a Settings,
    /// All engines.
    pub engines: &'a EngineTable,
    /// Learned query costs.
    pub costs: &'a CostModel,
    /// State of the retry budget.
    pub retry_budget: &'a RetryBudgetTracker,
    /// The control loop, for this coordinator's share of the traffic.
    pub control: &'a ControlLoop,
    /// Recent share of the cores in use (0 to 1).
    pub utilization: f64,
    /// Current time (seconds).
    pub now: f64,
}

/// Engines that a request may be sent to.
struct Candidates<'a> {
    /// The engines, ordered by id.
    engines: Vec<&'a Engine>,
    /// Whether ejected engines are among them.
    with_ejected: bool,
}

/// An engine with its random sort key.
struct DrawnEngine<'a> {
    /// Exponentially distributed sort key.
    key: f64,
    engine: &'a Engine,
}

impl<'a> LoadBalancer<'a> {
    /// Draws an order of engines and returns the first with capacity.
    pub fn pick(&self, rng: &mut Pcg64Mcg) -> Option<EngineId> {
        let Candidates { engines, with_ejected } = self.candidates();
        let order = self.draw_order(engines, rng);
        let admission = self.admission(with_ejected, uniform(rng));
        let fitting = order.into_iter().map(|drawn| drawn.engine).find(|engine| admission.fits(engine));
        fitting.map(|engine| engine.entry.id.clone())
    }

    fn slow_start(&self) -> SlowStart<'a> {
        SlowStart { settings: self.settings, costs: self.costs, now: self.now }
    }

    /// Engines that the rules allow. Engines that are ejected or that the request has tried are left out
    /// while there are others, except that ejection is ignored if most engines are ejected.
    fn candidates(&self) -> Candidates<'a> {
        let guard = SendGuard {
            request: self.request,
            class: self.class,
            settings: self.settings,
            slow_start: self.slow_start(),
        };
        let mut engines = guard.allowed_engines(self.engines, self.retry_budget);
        let untried = |engine: &Engine| !self.request.tried(&engine.entry.id);
        if engines.iter().any(|engine| untried(engine) && !engine.health.ejected) {
            engines.retain(|engine| untried(engine));
        }
        let with_ejected = self.are_most_ejected() || engines.iter().all(|engine| engine.health.ejected);
        engines.retain(|engine| with_ejected || !engine.health.ejected);
        Candidates { engines, with_ejected }
    }

    /// Whether most ready engines are ejected. The cause is then assumed to be shared, and ejection is
    /// ignored, as otherwise nothing would be served. This hurts for as long as most engines really are
    /// down.
    fn are_most_ejected(&self) -> bool {
        2 * self.engines.available().count() < self.engines.ready().count()
    }

    /// Orders engines at random by weight: each draws an exponential key with its weight as the rate, and the
    /// lowest key comes first.
    fn draw_order(&self, engines: Vec<&'a Engine>, rng: &mut Pcg64Mcg) -> Vec<DrawnEngine<'a>> {
        let subset_end = self.subset_end();
        let draw = |engine: &'a Engine| {
            let weight = self.weight(engine, subset_end);
            DrawnEngine { key: -(1.0 - uniform(rng)).ln() / weight, engine }
        };
        let mut order: Vec<DrawnEngine> = engines.into_iter().map(draw).collect();
        order.sort_by(|a, b| a.key.total_cmp(&b.key));
        order
    }

    /// Weight of an engine in the draw.
    fn weight(&self, engine: &Engine, subset_end: f64) -> f64 {
        let mut weight = load_weight(engine);
        weight /= engine.outlier_score(self.now).powi(OUTLIER_EXPONENT);
        weight *= self.connection_weight(engine, subset_end);
        if self.seems_locked(engine) {
            weight *= LOCKED_TABLES_WEIGHT;
        }
        weight
    }

    /// Weight by the costs of new connections and other zones. The coordinators with a rotation slot at a
    /// warming engine send it the work on behalf of all coordinators, whatever their zone.
    fn connection_weight(&self, engine: &Engine, subset_end: f64) -> f64 {
        let limit = self.slow_start().limit(engine, self.request.query.class);
        let slots = limit.map_or(f64::INFINITY, |limit| limit.slots);
        let urgency = (self.settings.coordinators / slots * self.settings.initial_capacity_share).max(1.0);
        if urgency > MAX_PENALIZED_URGENCY {
            return urgency;
        }
        let idle = self.now - engine.last_used_at > CONNECTION_IDLE_S;
        let new_connection = f64::from(engine.subset_position > subset_end && idle);
        let other_zone = f64::from(engine.subset_position > 1.0);
        let penalty = HANDSHAKE_EXPONENT * self.settings.handshake_cost * new_connection
            + CROSS_ZONE_EXPONENT * self.settings.cross_zone_cost * other_zone;
        urgency * (-penalty).exp()
    }

    /// Whether a load seems to lock the request's tables on the engine. A load of another coordinator shows
    /// only in stalled requests for the same tables.
    fn seems_locked(&self, engine: &Engine) -> bool {
        let tables = self.request.query.tables;
        let stalls = |attempt: &InFlightAttempt| {
            attempt.is_load || self.now - attempt.sent_at > STALL_DELAYS * attempt.expected_delay
        };
        engine.has_locked(self.now, tables)
            || engine.in_flight.values().any(|attempt| attempt.tables == tables && stalls(attempt))
    }

    /// Last position in the order of preference that is in this coordinator's subset. Small subsets save
    /// handshakes and get frequent load reports from each engine; enough coordinators per engine balance
    /// its load.
    fn subset_end(&self) -> f64 {
        let mut positions: Vec<f64> = self.engines.available().map(|engine| engine.subset_position).collect();
        positions.sort_by(f64::total_cmp);
        let shared = MIN_SUBSET_COORDINATORS * positions.len() as f64 / self.settings.coordinators;
        let count = shared.max(MIN_SUBSET_ENGINES) * self.control.traffic_share();
        positions.get(count as usize).copied().unwrap_or(f64::INFINITY)
    }

    /// Admission of the request, with the engines that its class may use now as the pool.
    fn admission(&self, with_ejected: bool, draw: f64) -> Admission<'a> {
        let class = self.request.query.class;
        let slow_start = self.slow_start();
        let in_pool = |engine: &&Engine| {
            is_placement_allowed(self.class, &engine.entry)
                && (with_ejected || !engine.health.ejected)
                && slow_start.has_capacity(engine, class)
        };
        let pool: Vec<&Engine> = self.engines.ready().filter(in_pool).collect();
        let input = AdmissionInput {
            request: self.request,
            capacity_share: self.capacity_share(),
            work_per_thread: self.costs.work_per_thread(),
            utilization: self.utilization,
            draw,
        };
        Admission::new(input, slow_start, &pool, self.engines)
    }

    /// Share of each bound that is available to the request. A request past its latency objective earns
    /// little: in an overload it would only delay those that are still in time.
    fn capacity_share(&self) -> f64 {
        let objective = latency_objective(self.class, service_time(self.class, self.request.cost));
        let late = self.now - self.request.arrived_at() > objective;
        let low_priority = self.request.over_quota || late;
        self.control.traffic_share() * if low_priority { LOW_PRIORITY_CAPACITY } else { 1.0 }
    }
}

/// Weight of an engine by its size and load. The scarcest resource determines the load: memory or disks can
/// be exhausted while cores idle.
fn load_weight(engine: &Engine) -> f64 {
    let cores = engine.load.util.unwrap_or_else(|| engine.backlog() / engine.controller.bound.max(1.0));
    let used = cores.max(engine.load.memory.unwrap_or(0.0)).max(engine.load.disk.unwrap_or(0.0));
    engine.cores * (1.0 + used + engine.sent_since_report / engine.cores).powi(LOAD_EXPONENT)
}
