//! Parses the settings object that every coordinator receives at startup into [`Settings`].
//!
//! The simulator and the platform pass the same object. A setting that is absent or null has a default; one
//! of the wrong type is an error that names it. The keys are defined by the platform.

mod classes;
mod error;
mod fields;

pub use classes::DEFAULT_CLIENT_TIMEOUT;
pub use error::SettingsError;
pub use fields::{boolean, boolean_at, field, list, number, number_at, object, object_field, text, texts};

use crate::policy::{RetryBudget, Settings};
use serde_json::{Map, Value};

/// The objects inside a settings object, each empty if it is absent.
struct Sections<'a> {
    /// Properties of the engines, and arrays in the order of classes and kinds.
    engine_family: &'a Map<String, Value>,
    /// Limits on attempts, and what the coordinator may do with them.
    limits: &'a Map<String, Value>,
    /// Warm-up, overload and retries.
    rules: &'a Map<String, Value>,
    /// Costs, expressed in numbers of served requests.
    prices: &'a Map<String, Value>,
}

impl<'a> Sections<'a> {
    fn new(settings: &'a Map<String, Value>) -> Result<Self, SettingsError> {
        Ok(Self {
            engine_family: object_field(settings, "familyInfo")?,
            limits: object_field(settings, "limits")?,
            rules: object_field(settings, "rules")?,
            prices: object_field(settings, "prices")?,
        })
    }
}

/// Parses a settings object.
///
/// # Errors
/// The first setting with the wrong type or an unknown value, in the order in which they are read here.
pub fn parse_settings(settings: &Map<String, Value>) -> Result<Settings, SettingsError> {
    let Sections { engine_family, limits, rules, prices } = Sections::new(settings)?;
    Ok(Settings {
        classes: classes::classes(settings, engine_family)?,
        kinds: classes::kinds(settings, engine_family)?,
        tenants: classes::tenants(settings)?,
        coordinators: number(settings, "fleetSize", 1.0)?.max(1.0),
        index: number(settings, "me", 0.0)?,
        zone: text(settings, "locality", "")?.into(),
        cross_zone_cost: number(prices, "crossZone", 0.0)?,
        handshake_cost: number(prices, "handshake", 0.0)?,
        must_subscribe: text(settings, "discovery", "pushed")? == "on_request",
        may_cancel: boolean(limits, "cancel")?,
        may_hedge: boolean(limits, "parallelTries")?,
        retry_after: max_retry_after(limits)?,
        priorities: boolean(engine_family, "lanesCount")?,
        memory_grants: boolean(engine_family, "grantsCount")?,
        reports_cost: boolean(engine_family, "bills")?,
        max_attempts: number(limits, "tryLimit", 1.0)? as u32,
        tick: number(settings, "granularity", 0.001)?,
        initial_capacity_share: number(rules, "coldShare", 1.0)?,
        warmup_time: number(rules, "cold", 0.0)?,
        overload_multiple: number(rules, "fallMultiple", f64::INFINITY)?,
        overload_window: number(rules, "overloadFor", 0.0)?,
        order_settle: number(rules, "orderSettle", 0.0)?,
        retry_budget: retry_budget(rules)?,
    })
}

/// The longest Retry-After (s); `None` if rejections carry none.
fn max_retry_after(limits: &Map<String, Value>) -> Result<Option<f64>, SettingsError> {
    if !boolean(limits, "retryAfter")? {
        return Ok(None);
    }
    number(limits, "maxRetryAfter", 0.0).map(Some)
}

/// The retry budget; `None` if none of its settings is present.
fn retry_budget(rules: &Map<String, Value>) -> Result<Option<RetryBudget>, SettingsError> {
    if ["budgetFree", "resendRatio", "lookBack"].iter().all(|key| field(rules, key).is_none()) {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        min_attempts: number(rules, "budgetFree", 0.0)?,
        attempts_per_request: number(rules, "resendRatio", 0.0)?,
        window: number(rules, "lookBack", 10.0)?,
    }))
}
