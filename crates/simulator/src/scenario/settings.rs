//! The settings that coordinators of a scenario start with.

use super::{zone_name, Class, Scenario};
use crate::report::{CONNECTION_PRICE, CROSS_ZONE_PRICE};
use dahliaspoke::policy::{ClassSettings, DedupScope, KindSettings, Settings};

/// Declared initial capacity, relative to the real one: operators declare a little less, and a longer
/// warm-up.
const DECLARED_INITIAL_CAPACITY: f64 = 0.85;
/// Declared warm-up, relative to the real one.
const DECLARED_WARMUP: f64 = 1.2;
/// Maximum Retry-After of a rejection (s).
const MAX_RETRY_AFTER_S: f64 = 0.5;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;
/// Granularity of timers (s).
const TICK_S: f64 = 0.005;

impl Scenario {
    /// The settings of a coordinator, by its position.
    #[must_use]
    pub fn settings(&self, number: usize) -> Settings {
        Settings {
            classes: self.classes.iter().map(class_settings).collect(),
            kinds: vec![KindSettings {
                name: "std".into(),
                cores: self.engine.cores,
                memory: self.engine.memory_mb,
            }],
            tenants: Vec::new(),
            coordinators: self.coordinators as f64,
            index: number as f64,
            zone: zone_name(number % self.zones),
            cross_zone_cost: CROSS_ZONE_PRICE,
            handshake_cost: CONNECTION_PRICE,
            must_subscribe: false,
            may_cancel: true,
            may_hedge: true,
            retry_after: Some(MAX_RETRY_AFTER_S),
            priorities: true,
            memory_grants: true,
            reports_cost: false,
            max_attempts: MAX_ATTEMPTS,
            tick: TICK_S,
            initial_capacity_share: self.engine.initial_capacity_share * DECLARED_INITIAL_CAPACITY,
            warmup_time: self.engine.warmup_s * DECLARED_WARMUP,
            overload_multiple: self.engine.overload_multiple,
            overload_window: self.engine.overload_window_s,
            order_settle: 0.0,
            retry_budget: None,
        }
    }
}

fn class_settings(class: &Class) -> ClassSettings {
    ClassSettings {
        name: class.name.clone(),
        latency_objective: class.latency_objective_s,
        objective_stretch: class.objective_stretch,
        client_timeout: class.client_timeout_s,
        priority_weight: class.priority_weight,
        late_weight: class.late_weight,
        idempotency: class.idempotency.into(),
        dedup_scope: DedupScope::All,
        dedup_window: class.dedup_window_s,
        ordered: false,
        stream: false,
        zones: None,
        kinds: None,
        threads: class.threads,
        is_load: class.is_load,
        yields_to_loads: class.yields_to_loads,
    }
}
