//! The settings object that every gateway is handed at its start, into the library's types.

use crate::policy::*;
use serde_json::{Map, Value};

/// What went wrong, in plain words.
pub type Res<T> = Result<T, String>;

/// A value that is there and not null.
#[must_use]
pub fn field<'a>(map: &'a Map<String, Value>, key: &str) -> Option<&'a Value> {
    map.get(key).filter(|v| !v.is_null())
}

/// A number, or the default.
pub fn num(map: &Map<String, Value>, key: &str, default: f64) -> Res<f64> {
    field(map, key)
        .map_or(Ok(default), |v| v.as_f64().ok_or_else(|| format!("setting {key} is not a number")))
}

/// A truth value, false where absent.
pub fn flag(map: &Map<String, Value>, key: &str) -> Res<bool> {
    field(map, key)
        .map_or(Ok(false), |v| v.as_bool().ok_or_else(|| format!("setting {key} is not true or false")))
}

/// A text, or the default.
pub fn word<'a>(map: &'a Map<String, Value>, key: &str, default: &'a str) -> Res<&'a str> {
    field(map, key).map_or(Ok(default), |v| v.as_str().ok_or_else(|| format!("setting {key} is not a text")))
}

/// A list, empty where absent.
pub fn list<'a>(map: &'a Map<String, Value>, key: &str) -> Res<&'a [Value]> {
    field(map, key).map_or(Ok(&[]), |v| {
        v.as_array().map(Vec::as_slice).ok_or_else(|| format!("setting {key} is not a list"))
    })
}

/// A list of texts.
pub fn words(map: &Map<String, Value>, key: &str) -> Res<Vec<String>> {
    let text = |v: &Value| v.as_str().map(String::from).ok_or_else(|| format!("setting {key} holds no text"));
    list(map, key)?.iter().map(text).collect()
}

/// An object inside another; `none` stands in where it is absent.
pub fn part<'a>(
    map: &'a Map<String, Value>,
    key: &str,
    none: &'a Map<String, Value>,
) -> Res<&'a Map<String, Value>> {
    field(map, key)
        .map_or(Ok(none), |v| v.as_object().ok_or_else(|| format!("setting {key} is not an object")))
}

/// The value as an object.
pub fn object<'a>(value: &'a Value, what: &str) -> Res<&'a Map<String, Value>> {
    value.as_object().ok_or_else(|| format!("{what} is not an object"))
}

/// Value `at` of a list kept in the order of classes or kinds.
fn nth<T>(list: &[Value], at: usize, key: &str, read: fn(&Value) -> Option<T>, default: T) -> Res<T> {
    list.get(at).map_or(Ok(default), |v| read(v).ok_or_else(|| format!("setting {key} holds a wrong type")))
}

fn class_settings(map: &Map<String, Value>, at: usize, family: &Map<String, Value>) -> Res<ClassSettings> {
    let bound = |key: &str| field(map, key).map(|_| words(map, key)).transpose();
    let idempotency = match word(map, "effect", "once")? {
        "repeatable" => Idempotency::Always,
        "by_key" => Idempotency::WithKey,
        "once" => Idempotency::Never,
        other => return Err(format!("setting effect: unknown {other}")),
    };
    let group = match word(map, "group", "cell")? {
        "all" => DedupScope::All,
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        other => return Err(format!("setting group: unknown {other}")),
    };
    let give_up = num(map, "giveUp", 30.0)?;
    Ok(ClassSettings {
        name: field(map, "name").and_then(Value::as_str).ok_or("a class has no name")?.into(),
        latency_objective: num(map, "objective", give_up)?,
        objective_stretch: num(map, "aimStretch", 0.0)?,
        client_timeout: give_up,
        priority_weight: num(map, "importance", 1.0)?,
        late_weight: num(map, "lateValue", 0.0)?,
        idempotency,
        dedup_scope: group,
        dedup_window: num(map, "memorySpan", 0.0)?,
        ordered: flag(map, "inTurn")?,
        stream: flag(map, "stream")?,
        zones: bound("zonesAllowed")?,
        kinds: bound("runsOn")?,
        threads: nth(list(family, "classThreads")?, at, "classThreads", Value::as_f64, 1.0)?,
        is_load: nth(list(family, "loads")?, at, "loads", Value::as_bool, false)?,
        yields_to_loads: nth(list(family, "yieldsToLoads")?, at, "yieldsToLoads", Value::as_bool, false)?,
    })
}

/// The settings object, as the simulator and the platform both hand it over.
pub fn settings(conf: &Map<String, Value>) -> Res<Settings> {
    let none = Map::new();
    let family = part(conf, "familyInfo", &none)?;
    let limits = part(conf, "limits", &none)?;
    let rules = part(conf, "rules", &none)?;
    let prices = part(conf, "prices", &none)?;
    let mut classes = Vec::new();
    for (at, class) in list(conf, "classes")?.iter().enumerate() {
        classes.push(class_settings(object(class, "a class")?, at, family)?);
    }
    let mut kinds = Vec::new();
    for (at, name) in words(conf, "flavors")?.into_iter().enumerate() {
        kinds.push(KindSettings {
            name,
            cores: nth(list(family, "sizeCores")?, at, "sizeCores", Value::as_f64, 1.0)?,
            memory: nth(list(family, "sizeMb")?, at, "sizeMb", Value::as_f64, 0.0)?,
        });
    }
    let mut tenants = Vec::new();
    for tenant in list(conf, "tenants")? {
        let map = object(tenant, "a tenant")?;
        tenants.push(TenantSettings {
            name: word(map, "name", "")?.into(),
            quota_per_s: num(map, "quotaPerS", f64::INFINITY)?,
        });
    }
    let budget = ["budgetFree", "resendRatio", "lookBack"].iter().any(|key| field(rules, key).is_some());
    Ok(Settings {
        classes,
        kinds,
        tenants,
        gateways: num(conf, "fleetSize", 1.0)?.max(1.0),
        index: num(conf, "me", 0.0)?,
        zone: word(conf, "locality", "")?.into(),
        cross_zone_cost: num(prices, "crossZone", 0.0)?,
        handshake_cost: num(prices, "handshake", 0.0)?,
        must_subscribe: word(conf, "discovery", "pushed")? == "on_request",
        may_cancel: flag(limits, "cancel")?,
        may_hedge: flag(limits, "parallelTries")?,
        retry_after: if flag(limits, "retryAfter")? {
            Some(num(limits, "maxRetryAfter", 0.0)?)
        } else {
            None
        },
        priorities: flag(family, "lanesCount")?,
        grants: flag(family, "grantsCount")?,
        reports_cost: flag(family, "bills")?,
        max_attempts: num(limits, "tryLimit", 1.0)? as u32,
        tick: num(conf, "granularity", 0.001)?,
        initial_capacity_share: num(rules, "coldShare", 1.0)?,
        warmup_time: num(rules, "cold", 0.0)?,
        overload_multiple: num(rules, "fallMultiple", f64::INFINITY)?,
        overload_window: num(rules, "overloadFor", 0.0)?,
        order_settle: num(rules, "orderSettle", 0.0)?,
        retry_budget: if budget {
            Some(RetryBudget {
                min_attempts: num(rules, "budgetFree", 0.0)?,
                attempts_per_request: num(rules, "resendRatio", 0.0)?,
                window: num(rules, "lookBack", 10.0)?,
            })
        } else {
            None
        },
    })
}
