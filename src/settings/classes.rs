//! Request classes, engine kinds and tenants of a settings object.

use super::fields::{boolean, boolean_at, field, list, number, number_at, object, text, texts};
use super::SettingsError;
use crate::policy::{ClassSettings, DedupScope, Idempotency, KindSettings, TenantSettings};
use serde_json::{Map, Value};

/// How long a client waits in total, if the settings of its class do not specify it (s).
pub const DEFAULT_CLIENT_TIMEOUT: f64 = 30.0;

/// All classes, in the order of the settings. `engine_family` has arrays in the same order.
pub(super) fn classes(
    settings: &Map<String, Value>,
    engine_family: &Map<String, Value>,
) -> Result<Vec<ClassSettings>, SettingsError> {
    let classes = list(settings, "classes")?.iter().enumerate();
    classes.map(|(position, value)| class(object(value, "a class")?, position, engine_family)).collect()
}

fn class(
    map: &Map<String, Value>,
    position: usize,
    engine_family: &Map<String, Value>,
) -> Result<ClassSettings, SettingsError> {
    let idempotency = idempotency(map)?;
    let dedup_scope = dedup_scope(map)?;
    let client_timeout = number(map, "giveUp", DEFAULT_CLIENT_TIMEOUT)?;
    Ok(ClassSettings {
        name: class_name(map)?,
        latency_objective: number(map, "objective", client_timeout)?,
        objective_stretch: number(map, "aimStretch", 0.0)?,
        client_timeout,
        priority_weight: number(map, "importance", 1.0)?,
        late_weight: number(map, "lateValue", 0.0)?,
        idempotency,
        dedup_scope,
        dedup_window: number(map, "memorySpan", 0.0)?,
        ordered: boolean(map, "inTurn")?,
        stream: boolean(map, "stream")?,
        zones: optional_texts(map, "zonesAllowed")?,
        kinds: optional_texts(map, "runsOn")?,
        threads: number_at(engine_family, "classThreads", position, 1.0)?,
        is_load: boolean_at(engine_family, "loads", position)?,
        yields_to_loads: boolean_at(engine_family, "yieldsToLoads", position)?,
    })
}

fn class_name(map: &Map<String, Value>) -> Result<String, SettingsError> {
    let name = field(map, "name").and_then(Value::as_str);
    name.map(String::from).ok_or(SettingsError::MissingClassName)
}

fn idempotency(map: &Map<String, Value>) -> Result<Idempotency, SettingsError> {
    match text(map, "effect", "once")? {
        "repeatable" => Ok(Idempotency::Always),
        "by_key" => Ok(Idempotency::WithKey),
        "once" => Ok(Idempotency::Never),
        other => Err(SettingsError::UnknownValue { key: "effect".into(), value: other.into() }),
    }
}

fn dedup_scope(map: &Map<String, Value>) -> Result<DedupScope, SettingsError> {
    match text(map, "group", "cell")? {
        "all" => Ok(DedupScope::All),
        "zone" => Ok(DedupScope::Zone),
        "cell" => Ok(DedupScope::Cell),
        other => Err(SettingsError::UnknownValue { key: "group".into(), value: other.into() }),
    }
}

/// An array of strings; `None` if it is absent.
fn optional_texts(map: &Map<String, Value>, key: &str) -> Result<Option<Vec<String>>, SettingsError> {
    field(map, key).map(|_| texts(map, key)).transpose()
}

/// All engine kinds, in the order of the settings. `engine_family` has arrays in the same order.
pub(super) fn kinds(
    settings: &Map<String, Value>,
    engine_family: &Map<String, Value>,
) -> Result<Vec<KindSettings>, SettingsError> {
    let names = texts(settings, "flavors")?.into_iter().enumerate();
    let kind = |(position, name)| {
        Ok(KindSettings {
            name,
            cores: number_at(engine_family, "sizeCores", position, 1.0)?,
            memory: number_at(engine_family, "sizeMb", position, 0.0)?,
        })
    };
    names.map(kind).collect()
}

/// All tenants, in the order of the settings. A tenant without a quota is unlimited.
pub(super) fn tenants(settings: &Map<String, Value>) -> Result<Vec<TenantSettings>, SettingsError> {
    let tenant = |value: &Value| {
        let map = object(value, "a tenant")?;
        Ok(TenantSettings {
            name: text(map, "name", "")?.into(),
            quota_per_s: number(map, "quotaPerS", f64::INFINITY)?,
        })
    };
    list(settings, "tenants")?.iter().map(tenant).collect()
}
