//! Translates between the simulator's wire format and the library's types.

use dahliaspoke::policy::{
    Action, AttemptEnd, EngineEntry, Event, Lifecycle, ListScope, LoadReport, Outcome, Policy, Progress,
    Query,
};
use dahliaspoke::settings::{field, object, object_field, parse_settings, texts, SettingsError};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Why a line of the simulator cannot be handled; the message is a single line for its log.
#[derive(Debug, Error)]
pub enum WireError {
    /// The line, or a value in it, does not have the form that the wire format requires.
    #[error("{0}")]
    Malformed(String),
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings of an instance are wrong.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl From<&str> for WireError {
    fn from(reason: &str) -> Self {
        Self::Malformed(reason.into())
    }
}

/// One coordinator, with the names that its settings define.
struct Instance {
    policy: Policy,
    classes: Vec<String>,
    tenants: Vec<String>,
    columns: Vec<String>,
}

/// All instances of this process, and the catalogs that it has received, by slot number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    slots: BTreeMap<u64, Vec<EngineEntry>>,
}

/// The values of one event, by position.
struct Row<'a> {
    name: &'a str,
    values: &'a [Value],
}

impl<'a> Row<'a> {
    fn get(&self, at: usize) -> Option<&'a Value> {
        self.values.get(at).filter(|v| !v.is_null())
    }
    fn type_error(&self, at: usize, expected: &str) -> WireError {
        WireError::Malformed(format!("{}: value {at} is not {expected}", self.name))
    }
    fn text(&self, at: usize) -> Result<&'a str, WireError> {
        self.get(at).and_then(Value::as_str).ok_or_else(|| self.type_error(at, "a string"))
    }
    fn integer(&self, at: usize) -> Result<u64, WireError> {
        self.get(at).and_then(Value::as_u64).ok_or_else(|| self.type_error(at, "a whole number"))
    }
    fn number(&self, at: usize) -> Result<f64, WireError> {
        self.get(at).and_then(Value::as_f64).ok_or_else(|| self.type_error(at, "a number"))
    }
    fn optional<T>(
        &self,
        at: usize,
        read: fn(&Value) -> Option<T>,
        expected: &str,
    ) -> Result<Option<T>, WireError> {
        self.get(at).map(|v| read(v).ok_or_else(|| self.type_error(at, expected))).transpose()
    }
}

fn entry(value: &Value) -> Result<EngineEntry, WireError> {
    let values = value.as_array().ok_or("catalog: an entry is not a list")?;
    let row = Row { name: "catalog entry", values };
    Ok(EngineEntry {
        id: row.text(0)?.into(),
        zone: row.optional(1, |v| v.as_str().map(Arc::from), "a string")?.unwrap_or_else(|| "".into()),
        kind: row.optional(2, |v| v.as_str().map(Arc::from), "a string")?.unwrap_or_else(|| "".into()),
        cell: row.optional(3, Value::as_i64, "a whole number")?.unwrap_or(0),
        lifecycle: match row.text(4)? {
            "ready" => Lifecycle::Ready,
            "draining" => Lifecycle::Draining,
            "gone" => Lifecycle::Gone,
            other => return Err(WireError::Malformed(format!("catalog: unknown state {other}"))),
        },
        started: row.optional(6, Value::as_f64, "a number")?.filter(|t| *t != 0.0),
    })
}

fn outcome(text: &str) -> Result<Outcome, WireError> {
    Ok(match text {
        "success" => Outcome::Ok,
        "failure" => Outcome::Error,
        "overloaded" => Outcome::Full,
        "timed_out" => Outcome::Timeout,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Reset,
        "withdrawn" => Outcome::Cancelled,
        "void" => Outcome::Expired,
        other => return Err(WireError::Malformed(format!("unknown outcome {other}"))),
    })
}

fn report(value: Option<&Value>, columns: &[String]) -> Result<Option<LoadReport>, WireError> {
    let Some(value) = value else { return Ok(None) };
    let values = value.as_array().ok_or("a load report is not a list")?;
    let mut report = LoadReport::default();
    for (column, value) in columns.iter().zip(values) {
        if value.is_null() {
            continue;
        }
        let field = match column.as_str() {
            "busy" => &mut report.util,
            "q" => &mut report.queue,
            "x0" => &mut report.memory,
            "x1" => &mut report.disk,
            _ => continue,
        };
        *field = Some(value.as_f64().ok_or("a value in a load report is not a number")?);
    }
    Ok(Some(report))
}

/// The message for an action; `None` for actions that the wire does not have, as no instance shares its keys.
fn action(instance_id: u64, action: Action) -> Option<Value> {
    Some(match action {
        Action::Send { id, engine, timeout, .. } => json!(["place", instance_id, &*id, &*engine, timeout]),
        Action::Cancel { id, attempt } => json!(["recall", instance_id, &*id, attempt]),
        Action::Reject { id, retry_after } => json!(["reject", instance_id, &*id, retry_after]),
        Action::Fail { id } => json!(["surrender", instance_id, &*id]),
        Action::SetTerms { id, memory, rank } => {
            json!(["limitsFor", instance_id, &*id, memory.unwrap_or(0.0), rank])
        }
        Action::SetTimer { after, token } => json!(["arm", instance_id, after, token]),
        Action::Subscribe => json!(["keepInformed", instance_id, true]),
        Action::Log(text) => json!(["log", instance_id, text]),
        Action::ReleaseOrderLock { .. } => return None,
    })
}

impl Instance {
    fn create(row: &Row) -> Result<Self, WireError> {
        let seed = row.integer(2)?;
        let conf = object(row.get(3).ok_or("create: no settings")?, "create: conf")?;
        let columns = texts(object_field(conf, "report")?, "columns")?;
        let settings = parse_settings(conf)?;
        let classes = settings.classes.iter().map(|c| c.name.clone()).collect();
        let tenants = settings.tenants.iter().map(|t| t.name.clone()).collect();
        Ok(Self { policy: Policy::new(settings, seed), classes, tenants, columns })
    }

    /// Converts a client's query.
    fn query(&self, row: &Row) -> Result<Query, WireError> {
        let class = row.text(3)?;
        let tenant = row.optional(4, |v| Some(v.clone()), "a tenant")?;
        let tenant = tenant.as_ref().and_then(Value::as_str);
        let valid = row.optional(10, Value::as_u64, "a whole number")?.unwrap_or(1) & 1 != 0;
        let work = row.optional(7, Value::as_f64, "a number")?.filter(|w| valid && *w > 0.0);
        Ok(Query {
            id: row.text(2)?.into(),
            class: self.classes.iter().position(|c| c == class).ok_or("knock: unknown class")?,
            tenant: tenant.and_then(|t| self.tenants.iter().position(|name| name == t)),
            key: row.optional(5, |v| v.as_str().map(Arc::from), "a string")?,
            time_left: row.number(6)?,
            work: work.map(|w| w * 1000.0),
            memory: row.optional(8, Value::as_f64, "a number")?.filter(|mb| *mb > 0.0),
            tables: row.optional(9, Value::as_i64, "a whole number")?.unwrap_or(-1),
            uploading: false,
            ..Query::default()
        })
    }

    /// Converts an event to the library's type; `None` for events that the library does not use.
    fn event(&self, row: &Row, slots: &BTreeMap<u64, Vec<EngineEntry>>) -> Result<Option<Event>, WireError> {
        Ok(Some(match row.name {
            "membership" => {
                let scope = match row.text(4)? {
                    "update" => ListScope::Changes,
                    "replace" => ListScope::Complete,
                    "restored" => ListScope::Restored,
                    "unavailable" => return Ok(Some(Event::DiscoveryFailed)),
                    other => return Err(WireError::Malformed(format!("membership: unknown scope {other}"))),
                };
                let entries = slots.get(&row.integer(2)?).ok_or("membership: no such catalog slot")?;
                Event::EngineList(scope, entries.clone())
            }
            "knock" => Event::Query(self.query(row)?),
            "opened" => Event::StreamStarted { id: row.text(2)?.into() },
            "ended" => {
                // One number with the work (ms) times 4096, plus the memory in units of 4 MB.
                let used = row.optional(8, Value::as_u64, "a whole number")?.filter(|u| *u > 0);
                Event::AttemptEnded(AttemptEnd {
                    id: row.text(2)?.into(),
                    attempt: row.integer(5)? as u32,
                    outcome: outcome(row.text(6)?)?,
                    finished: row.optional(7, Value::as_bool, "true or false")?.unwrap_or(false),
                    work: used.map(|u| (u / 4096) as f64),
                    memory: used.map(|u| (u % 4096 * 4) as f64),
                    report: report(row.get(9), &self.columns)?,
                })
            }
            "withdrawn" => Event::ClientGone { id: row.text(2)?.into() },
            "due" => Event::Timer(row.integer(2)?),
            "interim" => {
                let value = row.number(6)?;
                let progress = match row.integer(5)? {
                    1 => Progress::Done(value),
                    2 => Progress::Spills(value),
                    3 if value == 2.0 => Progress::WaitsForLoad,
                    3 => Progress::WaitsForMemory,
                    _ => return Ok(None), // unknown kinds of progress are ignored
                };
                Event::Progress { id: row.text(2)?.into(), attempt: row.integer(3)? as u32, progress }
            }
            "probeResult" | "heard" => return Ok(None),
            other => return Err(WireError::Malformed(format!("unknown event {other}"))),
        }))
    }
}

impl Host {
    /// Handles one line and returns the reply, newline included.
    pub fn batch(&mut self, line: &[u8]) -> Result<String, WireError> {
        let batch: Value = serde_json::from_slice(line)?;
        let batch = object(&batch, "a batch")?;
        let now = field(batch, "moment").and_then(Value::as_f64).ok_or("moment is not a number")?;
        let input = field(batch, "input").and_then(Value::as_array).ok_or("input is not a list")?;
        let mut outbox = Vec::new();
        let mut actions = Vec::new();
        for item in input {
            let values = item.as_array().ok_or("an event is not a list")?;
            let name = values.first().and_then(Value::as_str).ok_or("an event has no name")?;
            let row = Row { name, values };
            let instance_id = row.integer(1)?;
            match name {
                "catalog" => {
                    let rows = row.get(2).and_then(Value::as_array).ok_or("catalog: no entries")?;
                    self.slots.insert(instance_id, rows.iter().map(entry).collect::<Result<_, WireError>>()?);
                }
                "create" => {
                    self.instances.insert(instance_id, Instance::create(&row)?);
                }
                "shutdown" => {
                    self.instances.remove(&instance_id).ok_or("shutdown: no such instance")?;
                }
                _ => {
                    let instance = self.instances.get_mut(&instance_id).ok_or_else(|| {
                        WireError::Malformed(format!("{name}: no such instance {instance_id}"))
                    })?;
                    if let Some(event) = instance.event(&row, &self.slots)? {
                        instance.policy.handle(now, event, &mut actions);
                        outbox.extend(actions.drain(..).filter_map(|a| action(instance_id, a)));
                    }
                }
            }
        }
        Ok(format!("{}\n", json!({ "outbox": outbox })))
    }
}
