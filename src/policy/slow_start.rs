//! Slow start: an engine that started lately warms up, and until then all coordinators together send it no
//! more than it can bear.
//!
//! Where there are few coordinators, each gets an equal share of what the engine bears in a window. Where an
//! equal share is less than one query, coordinators take rotation slots instead: in each window some may send
//! one query of a class.

use super::cost_model::CostModel;
use super::engine_state::Engine;
use super::{EngineEntry, Settings};

/// Part of a warming engine's budget that rotation slots use: slots of two windows can fall into one.
const SLOT_BUDGET_SHARE: f64 = 0.45;
/// The same where every coordinator sends in each window: each knows its own attempts in any window.
const EQUAL_BUDGET_SHARE: f64 = 0.65;
/// Part of the warm-up that counts as done for a window, on the careful side.
const WARM_UP_CREDIT: f64 = 0.5;
/// Least warm-up factor (share of the capacity).
const MIN_WARM_UP_FACTOR: f64 = 0.01;
/// Step of the rotation from window to window, as part of the coordinators: the golden section visits all
/// evenly.
const ROTATION_STEP: f64 = 0.618;

/// An attempt that was sent lately.
pub struct RecentSend {
    /// When it was sent (seconds).
    pub sent_at: f64,
    /// Usual work of its class (ms).
    pub work: f64,
    /// Its class, by position in the settings.
    pub class: usize,
}

/// What slow start knows of one engine.
pub struct WarmUpState {
    /// When the engine's process started (seconds); negative infinity: long ago.
    pub started_at: f64,
    /// When the engine last refused a connection (seconds): it probably restarts, which discovery may tell
    /// late.
    pub unreachable_at: f64,
    /// Until when the budget counts as spent (seconds): attempts before this coordinator's restart are
    /// unknown.
    pub budget_spent_until: f64,
    /// Attempts of the last window, of warm engines too: one may turn out to have restarted.
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
    /// Forgets attempts from before `from` (seconds).
    pub fn forget_sends_before(&mut self, from: f64) {
        self.recent_sends.retain(|send| send.sent_at >= from);
    }
}

/// What coordinators may send to a warming engine in one window.
pub struct WarmUpLimit {
    /// How many coordinators have a slot in the window.
    pub slots: f64,
    /// Work that each of them may send (ms); `None`: one query of the class.
    pub work_share: Option<f64>,
}

/// Share of its capacity that an engine has at least at this age in seconds (0 to 1).
pub fn warm_up_factor(settings: &Settings, age: f64) -> f64 {
    let warmed = (age / settings.warmup_time.max(1e-9)).clamp(0.0, 1.0);
    let factor = settings.initial_capacity_share + (1.0 - settings.initial_capacity_share) * warmed;
    factor.clamp(MIN_WARM_UP_FACTOR, 1.0)
}

/// The limits on warming engines, by what is known now.
#[derive(Clone, Copy)]
pub struct SlowStart<'a> {
    /// Settings of the coordinator.
    pub settings: &'a Settings,
    /// What queries cost.
    pub costs: &'a CostModel,
    /// The present time (seconds).
    pub now: f64,
}

impl SlowStart<'_> {
    /// Limit on attempts of a class at an engine; `None` once the engine is warm.
    ///
    /// Equal shares of less than one query would starve the engine, and one query from each coordinator would
    /// overload it. Then each class has slots for one query each, by its part of the demand: most of the work
    /// is in expensive queries.
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

    /// Work that a warming engine does at the begin of the window (ms per second).
    fn capacity(&self, engine: &Engine, started_at: f64) -> f64 {
        let settings = self.settings;
        let age = self.now - settings.overload_window - started_at;
        let warmed = (age / settings.warmup_time.max(1e-9)).clamp(0.0, 1.0);
        let initial = settings.initial_capacity_share;
        (initial + (1.0 - initial) * WARM_UP_CREDIT * warmed) * engine.cores * 1000.0
    }

    /// Whether a warming engine has capacity for an attempt of this class from this coordinator now (rule 4).
    pub fn has_capacity(&self, engine: &Engine, class: usize) -> bool {
        let Some(limit) = self.limit(engine, class) else { return true };
        if self.now < engine.warm_up.budget_spent_until || !self.has_slot(&engine.entry, limit.slots) {
            return false;
        }
        let sent = self.recently_sent(engine, limit.work_share.is_none().then_some(class));
        let work = self.costs.usual_work(self.settings, class);
        limit.work_share.map_or(sent == 0.0, |share| sent + work <= share)
    }

    /// Work sent to an engine in the present window (ms), of one class or of all.
    fn recently_sent(&self, engine: &Engine, class: Option<usize>) -> f64 {
        let from = self.now - self.settings.overload_window;
        let counts = |send: &&RecentSend| send.sent_at >= from && class.is_none_or(|c| send.class == c);
        engine.warm_up.recent_sends.iter().filter(counts).map(|send| send.work).sum()
    }

    /// Whether this coordinator is among the first `slots` of the engine's rotation in the present window.
    /// Every engine's rotation begins elsewhere.
    fn has_slot(&self, engine: &EngineEntry, slots: f64) -> bool {
        let settings = self.settings;
        let offset = engine.id.bytes().fold(0.0, |sum, byte| sum * 31.0 % 65537.0 + f64::from(byte));
        let window = (self.now / settings.overload_window.max(1e-9)).floor();
        let coordinators = settings.coordinators;
        let position = (settings.index + offset + window * ROTATION_STEP * coordinators) % coordinators;
        position < slots
    }
}
