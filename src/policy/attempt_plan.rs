//! The plan of an attempt: its expected delay, timeouts, priority and memory.

use super::cost_model::{latency_objective, service_time, CostModel};
use super::deadline::SlackFactors;
use super::engine_state::Engine;
use super::request_state::{Attempt, Request};
use super::{ClassSettings, Idempotency, Settings};

/// Timeout of an attempt where it frees the engine (multiples of the expected delay).
const TIMEOUT_DELAYS: f64 = 5.0;
/// Minimum timeout (seconds): leaves time for handshakes and ticks.
const MIN_TIMEOUT_S: f64 = 0.3;
/// Minimum timeout (latency objectives) where abandoned work keeps running, so that a retry doubles the work.
const UNCANCELLABLE_TIMEOUT_OBJECTIVES: f64 = 4.0;
/// Minimum expected service time of a query (share of the usual service time of its class).
pub const MIN_EXPECTED_SHARE: f64 = 0.5;
/// Upper limit on an engine's slowdown in the expected delay (ratio).
const MAX_EXPECTED_SLOWDOWN: f64 = 2.0;

/// Parameters of an attempt.
pub struct AttemptPlan {
    /// Expected delay (seconds).
    pub expected_delay: f64,
    /// Timeout (seconds); `None`: no timeout before the client gives up.
    pub timeout: Option<f64>,
    /// Time within which its first byte must be sent (seconds); `None`: the timeout applies.
    pub send_within: Option<f64>,
    /// Memory to grant (MB); `None`: the engine decides.
    pub memory: Option<f64>,
    /// Priority, 0 to 3.
    pub rank: u8,
}

/// Plans attempts of one request.
pub struct AttemptPlanner<'a> {
    /// The request.
    pub request: &'a Request,
    /// Settings of the coordinator.
    pub settings: &'a Settings,
    /// Learned query costs.
    pub costs: &'a CostModel,
    /// Slack factors of all classes.
    pub slack: &'a SlackFactors,
    /// Current time (seconds).
    pub now: f64,
}

impl AttemptPlanner<'_> {
    /// Plans the next attempt, on this engine.
    pub fn plan(&self, engine: &Engine) -> AttemptPlan {
        let class = self.request.query.class;
        let expected_delay = self.expected_delay(engine);
        let service_time = service_time(self.class(), self.request.cost);
        AttemptPlan {
            expected_delay,
            timeout: self.timeout(engine, expected_delay),
            send_within: self.dedup_time_left(),
            memory: self.costs.memory_grant(self.settings, self.request),
            rank: self.slack.rank(class, service_time, self.costs.mean_cost()),
        }
    }

    fn class(&self) -> &ClassSettings {
        &self.settings.classes[self.request.query.class]
    }

    fn time_left(&self) -> f64 {
        self.request.deadline - self.now
    }

    /// Expected delay on an engine (seconds).
    fn expected_delay(&self, engine: &Engine) -> f64 {
        let class = self.request.query.class;
        let slowdown = self.costs.slowness(class).max(engine.health.slowdown().min(MAX_EXPECTED_SLOWDOWN));
        let usual = self.costs.usual_service_time(self.settings, class);
        let service_time = service_time(self.class(), self.request.cost);
        let expected = service_time.max(MIN_EXPECTED_SHARE * usual) * slowdown;
        if self.request.query.uploading {
            self.time_left().max(expected)
        } else {
            expected
        }
    }

    /// Timeout of the attempt (seconds), if a retry could follow in time.
    fn timeout(&self, engine: &Engine, expected_delay: f64) -> Option<f64> {
        let class = self.class();
        let base_timeout = (TIMEOUT_DELAYS * expected_delay).max(MIN_TIMEOUT_S);
        let objective = latency_objective(class, service_time(class, self.request.cost));
        let timeout = if self.settings.may_cancel {
            base_timeout
        } else {
            base_timeout.max(UNCANCELLABLE_TIMEOUT_OBJECTIVES * objective)
        };
        // For lack of a better engine, a request may be sent to one where a load locks its tables; it waits
        // there.
        let waits_for_load = class.yields_to_loads && engine.has_locked(self.now, self.request.query.tables);
        let lock_wait = if waits_for_load { self.costs.load_duration(self.settings) } else { 0.0 };
        let timeout = timeout + lock_wait;
        let usual = self.costs.usual_service_time(self.settings, self.request.query.class);
        let attempts_left = (self.request.attempts.len() as u32 + 1) < self.settings.max_attempts;
        let retryable = class.idempotency == Idempotency::Always && attempts_left;
        (retryable && timeout + usual < self.time_left()).then_some(timeout)
    }

    /// Time remaining in the dedup windows of earlier attempts (seconds). Repeats are not dropped after the
    /// end of a window, so the attempt must not be sent later.
    fn dedup_time_left(&self) -> Option<f64> {
        let class = self.class();
        let is_deduplicated =
            |attempt: &&Attempt| attempt.may_have_run() && class.idempotency == Idempotency::WithKey;
        let remaining =
            |attempt: &Attempt| attempt.sent_at + class.dedup_window - self.settings.tick - self.now;
        self.request.attempts.iter().filter(is_deduplicated).map(remaining).reduce(f64::min)
    }
}
