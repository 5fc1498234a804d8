//! The events that the configuration holds at the start.

use super::{start_time, Endpoint, EndpointSet};
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use dahliaspoke::settings::{field, flag, list, num, object, part, word, Res};
use serde_json::{json, Map, Value};

/// The list after all events, and the number of the last.
pub fn read(config: &Map<String, Value>) -> Res<(u32, EndpointSet)> {
    let none = Map::new();
    let known = part(config, "known", &none)?;
    let mut endpoints = EndpointSet::default();
    for event in list(known, "events")? {
        let event = part(object(event, "an event")?, "members", &none)?;
        let servers = list(event, "servers")?.iter().map(endpoint).collect::<Res<Vec<_>>>()?;
        if flag(event, "full")? {
            endpoints.replace(servers);
        } else {
            endpoints.change(servers);
        }
    }
    Ok((num(known, "n", 0.0)? as u32, endpoints))
}

/// The form in which servers stand in events.
pub fn write(endpoints: &EndpointSet) -> String {
    let server = |m: Endpoint| {
        let state = if m.entry.lifecycle == Lifecycle::Ready { "active" } else { "leaving" };
        json!({"id": &*m.entry.id, "addr": m.address.map(|a| a.to_string()), "zone": &*m.entry.zone,
            "kind": &*m.entry.kind, "cell": m.entry.cell, "state": state,
            "started_ms": m.entry.started.map_or(0.0, |s| (s * 1000.0).round())})
    };
    Value::from(endpoints.all().into_iter().map(server).collect::<Vec<_>>()).to_string()
}

/// Servers in that form.
pub fn servers(text: &str) -> Res<EndpointSet> {
    let value: Value = serde_json::from_str(text).map_err(|e| format!("not JSON: {e}"))?;
    let list = value.as_array().ok_or("the servers are not a list")?;
    let mut endpoints = EndpointSet::default();
    endpoints.replace(list.iter().map(endpoint).collect::<Res<_>>()?);
    Ok(endpoints)
}

fn endpoint(value: &Value) -> Res<Endpoint> {
    let map = object(value, "a server")?;
    let lifecycle = match word(map, "state", "active")? {
        "active" => Lifecycle::Ready,
        "leaving" => Lifecycle::Draining,
        "left" => Lifecycle::Gone,
        other => return Err(format!("unknown state {other}")),
    };
    let id = word(map, "id", "")?;
    let address = match field(map, "addr") {
        None => None,
        Some(_) => Some(word(map, "addr", "")?.parse().map_err(|e| format!("addr of {id}: {e}"))?),
    };
    if id.is_empty() || address.is_none() && lifecycle != Lifecycle::Gone {
        return Err("a server has no id or no address".into());
    }
    let entry = EngineEntry {
        id: id.into(),
        zone: word(map, "zone", "")?.into(),
        kind: word(map, "kind", "")?.into(),
        cell: num(map, "cell", 0.0)? as i64,
        lifecycle,
        started: start_time(num(map, "started_ms", 0.0)?),
    };
    Ok(Endpoint { entry, address })
}
