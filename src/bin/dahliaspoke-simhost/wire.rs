//! The wire's names and shapes, to and from the library's types. Translation only.

use dahliaspoke::policy::{
    Action, AttemptEnd, EngineEntry, Event, Lifecycle, ListScope, LoadReport, Outcome, Policy, Progress,
    Query,
};
use dahliaspoke::settings::{field, object, object_field, parse_settings, texts, SettingsError};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;
use thiserror::Error;

/// Why a line of the simulator cannot be handled; the text is one line for its log.
#[derive(Debug, Error)]
pub enum WireError {
    /// The line, or a value in it, is not of the wire's form.
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

/// One coordinator with the names that its settings gave.
struct Instance {
    policy: Policy,
    classes: Vec<String>,
    tenants: Vec<String>,
    columns: Vec<String>,
}

/// All instances of this process, and the numbered lists that it was sent.
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
    fn wrong(&self, at: usize, wanted: &str) -> WireError {
        WireError::Malformed(format!("{}: value {at} is not {wanted}", self.name))
    }
    fn text(&self, at: usize) -> Result<&'a str, WireError> {
        self.get(at).and_then(Value::as_str).ok_or_else(|| self.wrong(at, "a text"))
    }
    fn whole(&self, at: usize) -> Result<u64, WireError> {
        self.get(at).and_then(Value::as_u64).ok_or_else(|| self.wrong(at, "a whole number"))
    }
    fn number(&self, at: usize) -> Result<f64, WireError> {
        self.get(at).and_then(Value::as_f64).ok_or_else(|| self.wrong(at, "a number"))
    }
    fn maybe<T>(
        &self,
        at: usize,
        read: fn(&Value) -> Option<T>,
        wanted: &str,
    ) -> Result<Option<T>, WireError> {
        self.get(at).map(|v| read(v).ok_or_else(|| self.wrong(at, wanted))).transpose()
    }
}

fn entry(value: &Value) -> Result<EngineEntry, WireError> {
    let values = value.as_array().ok_or("catalog: an entry is not a list")?;
    let row = Row { name: "catalog entry", values };
    Ok(EngineEntry {
        id: row.text(0)?.into(),
        zone: row.maybe(1, |v| v.as_str().map(Arc::from), "a text")?.unwrap_or_else(|| "".into()),
        kind: row.maybe(2, |v| v.as_str().map(Arc::from), "a text")?.unwrap_or_else(|| "".into()),
        cell: row.maybe(3, Value::as_i64, "a whole number")?.unwrap_or(0),
        lifecycle: match row.text(4)? {
            "ready" => Lifecycle::Ready,
            "draining" => Lifecycle::Draining,
            "gone" => Lifecycle::Gone,
            other => return Err(WireError::Malformed(format!("catalog: unknown state {other}"))),
        },
        started: row.maybe(6, Value::as_f64, "a number")?.filter(|t| *t != 0.0),
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
        *field = Some(value.as_f64().ok_or("a load report holds no number")?);
    }
    Ok(Some(report))
}

fn action(inst: u64, action: Action) -> Value {
    match action {
        Action::Send { id, engine, timeout, .. } => json!(["place", inst, &*id, &*engine, timeout]),
        Action::Cancel { id, attempt } => json!(["recall", inst, &*id, attempt]),
        Action::Reject { id, retry_after } => json!(["reject", inst, &*id, retry_after]),
        Action::Fail { id } => json!(["surrender", inst, &*id]),
        Action::SetTerms { id, memory, rank } => {
            json!(["limitsFor", inst, &*id, memory.unwrap_or(0.0), rank])
        }
        Action::SetTimer { after, token } => json!(["arm", inst, after, token]),
        Action::Subscribe => json!(["keepInformed", inst, true]),
        Action::Log(text) => json!(["log", inst, text]),
    }
}

impl Instance {
    fn create(row: &Row) -> Result<Self, WireError> {
        let seed = row.whole(2)?;
        let conf = object(row.get(3).ok_or("create: no settings")?, "create: conf")?;
        let columns = texts(object_field(conf, "report")?, "columns")?;
        let settings = parse_settings(conf)?;
        let classes = settings.classes.iter().map(|c| c.name.clone()).collect();
        let tenants = settings.tenants.iter().map(|t| t.name.clone()).collect();
        Ok(Self { policy: Policy::new(settings, seed), classes, tenants, columns })
    }

    /// A query of a client.
    fn query(&self, row: &Row) -> Result<Query, WireError> {
        let class = row.text(3)?;
        let tenant = row.maybe(4, |v| Some(v.clone()), "a tenant")?;
        let tenant = tenant.as_ref().and_then(Value::as_str);
        let valid = row.maybe(10, Value::as_u64, "a whole number")?.unwrap_or(1) & 1 != 0;
        let work = row.maybe(7, Value::as_f64, "a number")?.filter(|w| valid && *w > 0.0);
        Ok(Query {
            id: row.text(2)?.into(),
            class: self.classes.iter().position(|c| c == class).ok_or("knock: unknown class")?,
            tenant: tenant.and_then(|t| self.tenants.iter().position(|name| name == t)),
            key: row.maybe(5, |v| v.as_str().map(Arc::from), "a text")?,
            time_left: row.number(6)?,
            work: work.map(|w| w * 1000.0),
            memory: row.maybe(8, Value::as_f64, "a number")?.filter(|mb| *mb > 0.0),
            tables: row.maybe(9, Value::as_i64, "a whole number")?.unwrap_or(-1),
            uploading: false,
        })
    }

    /// The event in the library's terms; `None` for news that it has no use for.
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
                let entries = slots.get(&row.whole(2)?).ok_or("membership: no such catalog slot")?;
                Event::EngineList(scope, entries.clone())
            }
            "knock" => Event::Query(self.query(row)?),
            "opened" => Event::StreamStarted { id: row.text(2)?.into() },
            "ended" => {
                let used = row.maybe(8, Value::as_u64, "a whole number")?.filter(|u| *u > 0);
                Event::AttemptEnded(AttemptEnd {
                    id: row.text(2)?.into(),
                    attempt: row.whole(5)? as u32,
                    outcome: outcome(row.text(6)?)?,
                    finished: row.maybe(7, Value::as_bool, "true or false")?.unwrap_or(false),
                    work: used.map(|u| (u / 4096) as f64),
                    memory: used.map(|u| (u % 4096 * 4) as f64),
                    report: report(row.get(9), &self.columns)?,
                })
            }
            "withdrawn" => Event::ClientGone { id: row.text(2)?.into() },
            "due" => Event::Timer(row.whole(2)?),
            "interim" => {
                let value = row.number(6)?;
                let progress = match row.whole(5)? {
                    1 => Progress::Done(value),
                    2 => Progress::Spills(value),
                    3 if value == 2.0 => Progress::WaitsForLoad,
                    3 => Progress::WaitsForMemory,
                    _ => return Ok(None), // topics to come
                };
                Event::Progress { id: row.text(2)?.into(), attempt: row.whole(3)? as u32, progress }
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
        let mut out = Vec::new();
        let mut actions = Vec::new();
        for item in input {
            let values = item.as_array().ok_or("an event is not a list")?;
            let name = values.first().and_then(Value::as_str).ok_or("an event has no name")?;
            let row = Row { name, values };
            let inst = row.whole(1)?;
            match name {
                "catalog" => {
                    let rows = row.get(2).and_then(Value::as_array).ok_or("catalog: no entries")?;
                    self.slots.insert(inst, rows.iter().map(entry).collect::<Result<_, WireError>>()?);
                }
                "create" => {
                    self.instances.insert(inst, Instance::create(&row)?);
                }
                "shutdown" => {
                    self.instances.remove(&inst).ok_or("shutdown: no such instance")?;
                }
                _ => {
                    let instance = self
                        .instances
                        .get_mut(&inst)
                        .ok_or_else(|| WireError::Malformed(format!("{name}: no such instance {inst}")))?;
                    if let Some(event) = instance.event(&row, &self.slots)? {
                        instance.policy.handle(now, event, &mut actions);
                        out.extend(actions.drain(..).map(|a| action(inst, a)));
                    }
                }
            }
        }
        Ok(format!("{}\n", json!({ "outbox": out })))
    }
}
