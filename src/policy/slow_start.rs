//! Slow start: a recently started engine warms up, and until it is warm, all coordinators together limit
//! the work that they send it to what it can handle.
//!
//! Where there are few coordinators, each gets an equal share of the engine's budget in a window. Where an
//! equal share is less than one query, coordinators use rotation slots instead: in each window only some of
//! them may send one query of a class.

use super::cost_model::CostModel;
use super::engine_state::Engine;
use super::{EngineEntry, Settings};

/// Share of a warming engine's budget that rotation slots use: queries of two rotation windows can fall into
/// one overload window.
const SLOT_BUDGET_SHARE: f64 = 0.45;
/// Share of the budget used where every coordinator sends in each window: each knows its own attempts in
/// any window.
const EQUAL_BUDGET_SHARE: f64 = 0.65;
/// Share of the elapsed warm-up that is credited to an engine's capacity: a conservative estimate.
const WARM_UP_CREDIT: f64 = 0.5;
/// Minimum warm-up factor (share of the capacity).
const MIN_WARM_UP_FACTOR: f64 = 0.01;
/// Step of the rotation from window to window (share of the coordinators): the golden section visits all of
/// them evenly.
const ROTATION_STEP: f64 = 0.618;

/// A recently sent attempt.
pub struct RecentSend {
    /// When it was sent (seconds).
    pub sent_at: f64,
    /// Usual work of its class (ms).
    pub work: f64,
    /// Its class, by position in the settings.
    pub class: usize,
}

/// State of one engine for slow start.
pub struct WarmUpState {
    /// When the engine's process started (seconds); negative infinity: unknown or long ago.
    pub started_at: f64,
    /// When the engine last refused a connection (seconds): it is probably restarting, which discovery may
    /// report late.
    pub unreachable_at: f64,
    /// Time until which the budget is considered spent (seconds): attempts from before this coordinator's
    /// restart are unknown.
    pub budget_spent_until: f64,
    /// Attempts of the last window, also for a warm engine: it may turn out to have restarted.
    pub recent_sends: Vec<RecentSend>,
}

impl Default for WarmUpState {
    fn default() -> Self {
        Self {
            started_at: f64::NEG_INFINITY,
            unreachable_at: f64::NEG_INFINITY,
            budget_spent_until: f64::NEG_INFINITY,
            recent_sends: Vec::new(),
        }
    }
}

impl WarmUpState {
    /// Drops attempts from before `from` (seconds).
    pub fn drop_sends_before(&mut self, from: f64) {
        self.recent_sends.retain(|send| send.sent_at >= from);
    }
}

/// Limit on the work that coordinators may send to a warming engine in one window.
pub struct WarmUpLimit {
    /// Number of coordinators that have a slot in the window.
    pub slots: f64,
    /// Work that each of them may send (ms); `None`: one query of the class.
    pub work_share: Option<f64>,
}

/// Minimum share of its capacity that an engine of this age (seconds) has (0 to 1).
pub fn warm_up_factor(settings: &Settings, age: f64) -> f64 {
    let warmed = (age / settings.warmup_time.max(1e-9)).clamp(0.0, 1.0);
    let factor = settings.initial_capacity_share + (1.0 - settings.initial_capacity_share) * warmed;
    factor.clamp(MIN_WARM_UP_FACTOR, 1.0)
}

/// Computes the limits on warming engines at the current time.
#[derive(Clone, Copy)]
pub struct SlowStart<'a> {
    /// Settings of the coordinator.
    pub settings: &'a Settings,
    /// Learned query costs.
    pub costs: &'a CostModel,
    /// Current time (seconds).
    pub now: f64,
}

impl SlowStart<'_> {
    /// Limit on attempts of a class at an engine; `None` once the engine is warm.
    ///
    /// Where equal shares are less than one query, they would starve the engine, and one query from each
    /// coordinator would overload it. In this case each class has slots for one query each, in proportion
    /// to its share of the demand: most of the work is in expensive queries.
    pub fn limit(&self, engine: &Engine, class: usize) -> Option<WarmUpLimit> {
        let settings = self.settings;
        let started_at = engine.warm_up.started_at.max(engine.warm_up.unreachable_at);
        if self.now - started_at >= settings.warmup_time {
            return None;
        }
        let budget =
            settings.overload_multiple * self.capacity(engine, started_at) * settings.overload_window;
        if SLOT_BUDGET_SHARE * budget >= settings.coordinators * self.costs.mean_cost() {
            let work_share = Some(EQUAL_BUDGET_SHARE * budget / settings.coordinators);
            return Some(WarmUpLimit { slots: settings.coordinators, work_share });
        }
        let demand_share = self.costs.demand_share(class);
        let slots = SLOT_BUDGET_SHARE * budget * demand_share / self.costs.usual_work(settings, class);
        Some(WarmUpLimit { slots: slots.min(settings.coordinators), work_share: None })
    }

    /// Capacity of a warming engine at the start of the window (ms of work per second).
    fn capacity(&self, engine: &Engine, started_at: f64) -> f64 {
        let settings = self.settings;
        let age = self.now - settings.overload_window - started_at;
        let warmed = (age / settings.warmup_time.max(1e-9)).clamp(0.0, 1.0);
        let initial = settings.initial_capacity_share;
        (initial + (1.0 - initial) * WARM_UP_CREDIT * warmed) * engine.cores * 1000.0
    }

    /// Whether slow start (rule 4) allows this coordinator to send an attempt of this class to an engine now;
    /// a warm engine is not limited.
    pub fn has_capacity(&self, engine: &Engine, class: usize) -> bool {
        let Some(limit) = self.limit(engine, class) else { return true };
        if self.now < engine.warm_up.budget_spent_until || !self.has_slot(&engine.entry, limit.slots) {
            return false;
        }
        let sent = self.recently_sent(engine, limit.work_share.is_none().then_some(class));
        let work = self.costs.usual_work(self.settings, class);
        limit.work_share.map_or(sent == 0.0, |share| sent + work <= share)
    }

    /// Work sent to an engine in the current window (ms), of one class or of all classes.
    fn recently_sent(&self, engine: &Engine, class: Option<usize>) -> f64 {
        let from = self.now - self.settings.overload_window;
        let is_counted = |send: &&RecentSend| send.sent_at >= from && class.is_none_or(|c| send.class == c);
        engine.warm_up.recent_sends.iter().filter(is_counted).map(|send| send.work).sum()
    }

    /// Whether this coordinator is among the first `slots` of the engine's rotation in the current window.
    /// Rotations start at different coordinators for different engines.
    fn has_slot(&self, engine: &EngineEntry, slots: f64) -> bool {
        let settings = self.settings;
        let offset = engine.id.bytes().fold(0.0, |sum, byte| sum * 31.0 % 65537.0 + f64::from(byte));
        let window = (self.now / settings.overload_window.max(1e-9)).floor();
        let coordinators = settings.coordinators;
        let position = (settings.index + offset + window * ROTATION_STEP * coordinators) % coordinators;
        position < slots
    }
}
