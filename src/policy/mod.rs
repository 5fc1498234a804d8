//! All decisions of dahliaspoke, as one pure state machine: [`Policy`].
//!
//! On the ordinary path each engine has a bound on this coordinator's unfinished work there (estimated ms). A
//! weighted random draw orders the engines, and a request goes to the first whose bound has capacity for it.
//! A PI controller moves each bound every second so that the mean delay-to-deadline ratio (DDR) of finished
//! requests stays at a set-point. The modules state the exceptions, each where it is made.
//!
//! | module | job |
//! | --- | --- |
//! | `settings`, `event`, `action`, `status` | the public types |
//! | `dispatch` | takes queries, sends attempts, gives final answers |
//! | `load_balancing`, `admission` | which engine a request goes to, and which has capacity |
//! | `send_guard`, `retry` | the rules on attempts, and the retry budget |
//! | `attempt_plan`, `deadline` | timeout, priority and memory of an attempt; slack factors and DDR |
//! | `outcomes`, `progress` | what follows from the end and from the progress of an attempt |
//! | `ordering`, `quota` | requests of one key in order; quotas of tenants |
//! | `control_loop`, `pi_controller`, `bounds` | how the bounds move, and where they start |
//! | `slow_start`, `outlier` | engines that warm up, and engines that do worse than their peers |
//! | `cost_model`, `estimators` | what queries cost, as learned; running statistics |
//! | `engine_state`, `request_state` | the state of engines and of requests |
//! | [`subsetting`] | which engines a coordinator prefers to keep connections to |
//!
//! [`Event`]s come in with the time, [`Action`]s go out. Nothing here does I/O, reads a clock or starts a
//! thread.

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

/// Period of housekeeping (seconds): how soon silence of an engine shows.
const TICK_S: f64 = 0.1;
/// Pause between calls to a discovery that fails (seconds).
const DISCOVERY_RETRY_S: f64 = 1.0;
/// Token of the timer of housekeeping. Requests use their number, from 1.
const TICK_TOKEN: u64 = 0;
/// Token of the timer of the next call to discovery.
const DISCOVERY_TOKEN: u64 = u64::MAX >> 1;

/// The decisions of one coordinator.
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
    /// Part of cores in use lately, as engines report it (0 to 1).
    utilization: RunningMean,
}

impl Policy {
    /// A coordinator that knows its settings and nothing else. The seed decides all random draws.
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

    /// How much state is kept, for operators and tests.
    #[must_use]
    pub fn state_counts(&self) -> StateCounts {
        StateCounts {
            requests: self.requests.len(),
            engines: self.engines.len(),
            order_keys: self.order.len(),
        }
    }

    /// State of an engine, for operators and tests; `None` if it is not known.
    #[must_use]
    pub fn engine(&self, id: &str) -> Option<EngineStatus> {
        self.engines.get(id).map(EngineStatus::from)
    }

    /// State of each engine of the present endpoint set, in the order of their ids.
    pub fn engines(&self) -> impl Iterator<Item = EngineStatus> + '_ {
        self.engines.iter().filter(|engine| engine.is_present()).map(EngineStatus::from)
    }

    /// Takes one event at time `now` (seconds on the caller's clock, never less than before) and appends the
    /// actions that follow from it to `out`.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        if self.control.start(now) {
            out.push(Action::SetTimer { after: TICK_S, token: TICK_TOKEN });
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
            // A coordinator that stopped asking would go on sending to engines that drain.
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

    /// Replaces the settings; what was learned stays.
    fn on_settings(&mut self, settings: Settings) {
        self.slack = SlackFactors::new(&settings);
        self.quotas = TenantQuotas::new(&settings);
        self.settings = settings;
    }

    fn on_timer(&mut self, now: f64, token: u64, out: &mut Vec<Action>) {
        match token {
            TICK_TOKEN => self.on_tick(now, out),
            DISCOVERY_TOKEN => out.push(Action::Subscribe),
            number => self.give_up(number, out), // the time of a request is up
        }
    }

    /// Housekeeping: forgets what no longer counts, ejects and readmits engines, and runs the control loop.
    fn on_tick(&mut self, now: f64, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK_S, token: TICK_TOKEN });
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
        self.control.decay_served(TICK_S);
        self.costs.decay_demand(TICK_S);
        self.control.update_if_due(now, &self.settings, &self.costs, &mut self.engines);
    }
}
