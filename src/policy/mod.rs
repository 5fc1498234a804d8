//! All decisions of dahliaspoke, as one pure state machine: [`Policy`].
//!
//! Normally each engine has a bound on this coordinator's unfinished work there (estimated ms). A weighted
//! random draw orders the engines, and a request is sent to the first one whose bound has capacity for it.
//! Every second a PI controller adjusts each bound to hold the mean delay-to-deadline ratio (DDR) of finished
//! requests at a set-point. Exceptions are documented in the modules that implement them.
//!
//! | module | purpose |
//! | --- | --- |
//! | `settings`, `event`, `action`, `status` | the public types |
//! | `dispatch` | accepts queries, sends attempts, gives final answers |
//! | `load_balancing`, `admission` | choice of the engine for a request; capacity of engines |
//! | `send_guard`, `retry` | rules on attempts; the retry budget |
//! | `attempt_plan`, `deadline` | timeout, priority and memory of an attempt; slack factors and DDR |
//! | `outcomes`, `progress` | handling of outcomes and of progress reports |
//! | `ordering`, `quota` | ordering of requests with the same key; tenant quotas |
//! | `control_loop`, `pi_controller`, `bounds` | adjustment of the bounds, and their initial values |
//! | `slow_start`, `outlier` | limits on engines that warm up; ejection of outliers |
//! | `cost_model`, `estimators` | learned query costs; running statistics |
//! | `engine_state`, `request_state` | state of engines and of requests |
//! | [`subsetting`] | which engines a coordinator prefers to keep connections to |
//!
//! The input is a sequence of [`Event`]s with their times, the output a list of [`Action`]s. Nothing here
//! does I/O, reads a clock or starts a thread.

mod action;
mod admission;
mod attempt_plan;
mod bounds;
mod control_loop;
mod cost_model;
mod deadline;
mod dispatch;
mod engine_state;
mod estimators;
mod event;
mod load_balancing;
mod ordering;
mod outcomes;
mod outlier;
mod pi_controller;
mod progress;
mod quota;
mod request_state;
mod retry;
mod send_guard;
mod settings;
mod slow_start;
mod status;
pub mod subsetting;

pub use action::*;
pub use event::*;
pub use settings::*;
pub use status::*;

use control_loop::ControlLoop;
use cost_model::CostModel;
use deadline::SlackFactors;
use engine_state::{EndpointUpdate, EngineTable};
use estimators::RunningMean;
use ordering::OrderQueues;
use progress::AttemptProgress;
use quota::TenantQuotas;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use request_state::RequestTable;
use retry::RetryBudgetTracker;

/// Period of housekeeping (seconds); a silent engine is detected at this granularity.
const HOUSEKEEPING_PERIOD_S: f64 = 0.1;
/// Delay before discovery is called again after a failure (seconds).
const DISCOVERY_RETRY_S: f64 = 1.0;
/// Token of the housekeeping timer. The timer of a request has the request's number, from 1, as its token.
const HOUSEKEEPING_TOKEN: u64 = 0;
/// Token of the timer for the next discovery call.
const DISCOVERY_TOKEN: u64 = u64::MAX >> 1;

/// The state machine that makes the decisions of one coordinator.
pub struct Policy {
    settings: Settings,
    rng: Pcg64Mcg,
    requests: RequestTable,
    order: OrderQueues,
    engines: EngineTable,
    costs: CostModel,
    slack: SlackFactors,
    quotas: TenantQuotas,
    retry_budget: RetryBudgetTracker,
    control: ControlLoop,
    /// Recent share of the cores in use, as reported by engines (0 to 1).
    utilization: RunningMean,
}

impl Policy {
    /// A policy without engines, requests or learned statistics. The seed determines all random draws.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let costs = CostModel::new(&settings);
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            requests: RequestTable::default(),
            order: OrderQueues::default(),
            engines: EngineTable::default(),
            slack: SlackFactors::new(&settings),
            quotas: TenantQuotas::new(&settings),
            retry_budget: RetryBudgetTracker::default(),
            control: ControlLoop::new(&costs),
            utilization: RunningMean::default(),
            costs,
            settings,
        }
    }

    /// Sizes of the state held in memory, for operators and tests.
    #[must_use]
    pub fn state_counts(&self) -> StateCounts {
        StateCounts {
            requests: self.requests.len(),
            engines: self.engines.len(),
            order_keys: self.order.len(),
        }
    }

    /// State of an engine, for operators and tests; `None` if the engine is unknown.
    #[must_use]
    pub fn engine(&self, id: &str) -> Option<EngineStatus> {
        self.engines.get(id).map(EngineStatus::from)
    }

    /// State of each engine of the current endpoint set, ordered by id.
    pub fn engines(&self) -> impl Iterator<Item = EngineStatus> + '_ {
        self.engines.iter().filter(|engine| engine.is_present()).map(EngineStatus::from)
    }

    /// Whether the timer with this token is still needed: that of a request which has its answer is not. A
    /// caller may drop a timer that is not needed; its event would change nothing.
    #[must_use]
    pub fn needs_timer(&self, token: u64) -> bool {
        match token {
            HOUSEKEEPING_TOKEN | DISCOVERY_TOKEN => true,
            number => self.requests.get(number).is_some_and(|request| !request.finished),
        }
    }

    /// Handles one event at time `now` (seconds on the caller's clock, which must not go backwards) and
    /// appends the resulting actions to `out`.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        if self.control.start(now) {
            out.push(Action::SetTimer { after: HOUSEKEEPING_PERIOD_S, token: HOUSEKEEPING_TOKEN });
            if self.settings.must_subscribe {
                out.push(Action::Subscribe);
            }
        }
        self.dispatch_event(now, event, out);
        self.dispatch_waiting(now, out);
    }

    fn dispatch_event(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EngineList(scope, entries) => self.on_endpoints(now, scope, entries),
            // Without further calls the coordinator would keep sending to draining engines.
            Event::DiscoveryFailed => {
                out.push(Action::SetTimer { after: DISCOVERY_RETRY_S, token: DISCOVERY_TOKEN });
            }
            Event::Query(query) => self.on_query(now, query, out),
            Event::StreamStarted { id } => {
                if let Some(request) = self.requests.by_id_mut(&id) {
                    request.streaming = true;
                }
            }
            Event::BodyDropped { id } => {
                if let Some(request) = self.requests.by_id_mut(&id) {
                    request.body_dropped = true;
                }
            }
            Event::AttemptEnded(ended) => self.on_attempt_ended(now, ended, out),
            Event::Progress { id, attempt, progress } => {
                self.on_progress(now, &id, AttemptProgress { attempt, progress }, out);
            }
            Event::OrderLockAcquired { id } => self.on_order_lock_acquired(now, &id),
            Event::ClientGone { id } => {
                if let Some(number) = self.requests.number_of(&id) {
                    self.close(number, out);
                }
            }
            Event::Settings(settings) => self.on_settings(*settings),
            Event::Timer(token) => self.on_timer(now, token, out),
            Event::Shutdown => {
                for number in self.requests.numbers() {
                    self.give_up(number, out);
                }
            }
        }
    }

    fn on_endpoints(&mut self, now: f64, scope: ListScope, entries: Vec<EngineEntry>) {
        let update = EndpointUpdate { now, scope, entries };
        self.engines.apply(update, &self.settings, self.control.work_per_thread());
    }

    /// Replaces the settings and keeps the learned statistics.
    fn on_settings(&mut self, settings: Settings) {
        self.slack = SlackFactors::new(&settings);
        self.quotas = TenantQuotas::new(&settings);
        self.settings = settings;
    }

    fn on_timer(&mut self, now: f64, token: u64, out: &mut Vec<Action>) {
        match token {
            HOUSEKEEPING_TOKEN => self.on_housekeeping(now, out),
            DISCOVERY_TOKEN => out.push(Action::Subscribe),
            number => self.give_up(number, out), // the request's deadline is near
        }
    }

    /// Housekeeping: drops expired state, ejects and readmits engines, and runs the control loop.
    fn on_housekeeping(&mut self, now: f64, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: HOUSEKEEPING_PERIOD_S, token: HOUSEKEEPING_TOKEN });
        for engine in self.engines.iter_mut() {
            engine.expire(now, self.settings.overload_window);
            let score = engine.outlier_score(now);
            if engine.health.set_ejected(score) {
                let change = if engine.health.ejected { "ejected" } else { "readmitted" };
                out.push(Action::Log(format!("engine {} {change}", engine.entry.id)));
            }
        }
        self.retry_budget.expire(now, &self.settings);
        self.order.drop_idle(now);
        self.control.decay_served(HOUSEKEEPING_PERIOD_S);
        self.costs.decay_demand(HOUSEKEEPING_PERIOD_S);
        self.control.update_if_due(now, &self.settings, &self.costs, &mut self.engines);
    }
}
