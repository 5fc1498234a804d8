//! The endpoints that the configuration holds as events (protocol, "The directory"), and the store as a list of servers.

use super::{start_time, Endpoint, EndpointSet};
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use dahliaspoke::settings::{field, flag, list, num, object, part, word};
use serde_json::{json, Map, Value};
use std::fmt::Display;
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;

/// Names of the life cycle's steps.
const STATE_READY: &str = "active";
const STATE_DRAINING: &str = "leaving";
const STATE_GONE: &str = "left";

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Why endpoints cannot be read.
#[derive(Debug, Error)]
pub enum EndpointJsonError {
    /// A field has another type than expected; the text names it.
    #[error("{0}")]
    Field(String),
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is not a list.
    #[error("the servers are not a list")]
    NotAList,
    /// A server is in a state that the protocol does not name.
    #[error("unknown state {0}")]
    UnknownState(String),
    /// The address of a server is not an IP address with a port.
    #[error("addr of {id}: {source}")]
    Address {
        /// The server's id.
        id: String,
        /// What is wrong with the address.
        source: AddrParseError,
    },
    /// A server lacks its id, or lacks its address and is not gone.
    #[error("a server has no id or no address")]
    NoIdOrAddress,
}

impl From<EndpointJsonError> for String {
    // until the callers are typed
    fn from(error: EndpointJsonError) -> Self {
        error.to_string()
    }
}

/// Reads the events under `known` in the configuration: the number of the last one, and the endpoints after all of them.
///
/// # Errors
/// Where the events are not of the protocol's form.
pub fn read(config: &Map<String, Value>) -> Result<(u32, EndpointSet), EndpointJsonError> {
    let none = Map::new();
    let known = part(config, "known", &none).map_err(wrong_field)?;
    let mut endpoints = EndpointSet::default();
    for event in list(known, "events").map_err(wrong_field)? {
        let event = object(event, "an event").map_err(wrong_field)?;
        apply_event(&mut endpoints, part(event, "members", &none).map_err(wrong_field)?)?;
    }
    let number = num(known, "n", 0.0).map_err(wrong_field)?;
    Ok((number as u32, endpoints))
}

fn apply_event(endpoints: &mut EndpointSet, event: &Map<String, Value>) -> Result<(), EndpointJsonError> {
    let servers = decode_endpoints(list(event, "servers").map_err(wrong_field)?)?;
    if flag(event, "full").map_err(wrong_field)? {
        endpoints.replace(servers);
    } else {
        endpoints.change(servers);
    }
    Ok(())
}

/// Encodes endpoints as a list of servers, in the form that they have in events.
pub fn write(endpoints: &EndpointSet) -> String {
    let servers = endpoints.all().iter().map(encode_endpoint).collect::<Vec<_>>();
    Value::from(servers).to_string()
}

/// Decodes a list of servers, as [`write`] encodes it.
///
/// # Errors
/// Where the text is not of that form.
pub fn from_json(text: &str) -> Result<EndpointSet, EndpointJsonError> {
    let value: Value = serde_json::from_str(text)?;
    let servers = value.as_array().ok_or(EndpointJsonError::NotAList)?;
    let mut endpoints = EndpointSet::default();
    endpoints.replace(decode_endpoints(servers)?);
    Ok(endpoints)
}

/// [`from_json`] for callers that want the error as text.
///
/// # Errors
/// As [`from_json`].
pub fn servers(text: &str) -> Result<EndpointSet, String> {
    // until the callers are typed
    Ok(from_json(text)?)
}

fn encode_endpoint(endpoint: &Endpoint) -> Value {
    let Endpoint { entry, address } = endpoint;
    let state = if endpoint.is_ready() { STATE_READY } else { STATE_DRAINING };
    let started_ms = entry.started.map_or(0.0, |seconds| (seconds * MS_PER_S).round());
    json!({"id": &*entry.id, "addr": address.map(|address| address.to_string()), "zone": &*entry.zone,
        "kind": &*entry.kind, "cell": entry.cell, "state": state, "started_ms": started_ms})
}

fn decode_endpoints(servers: &[Value]) -> Result<Vec<Endpoint>, EndpointJsonError> {
    servers.iter().map(decode_endpoint).collect()
}

fn decode_endpoint(server: &Value) -> Result<Endpoint, EndpointJsonError> {
    let server = object(server, "a server").map_err(wrong_field)?;
    let text = |key| word(server, key, "").map_err(wrong_field);
    let number = |key| num(server, key, 0.0).map_err(wrong_field);
    let lifecycle = decode_state(word(server, "state", STATE_READY).map_err(wrong_field)?)?;
    let id = text("id")?;
    let address = decode_address(server, id)?;
    if id.is_empty() || address.is_none() && lifecycle != Lifecycle::Gone {
        return Err(EndpointJsonError::NoIdOrAddress);
    }
    let entry = EngineEntry {
        id: id.into(),
        zone: text("zone")?.into(),
        kind: text("kind")?.into(),
        cell: number("cell")? as i64,
        lifecycle,
        started: start_time(number("started_ms")?),
    };
    Ok(Endpoint { entry, address })
}

fn decode_state(state: &str) -> Result<Lifecycle, EndpointJsonError> {
    match state {
        STATE_READY => Ok(Lifecycle::Ready),
        STATE_DRAINING => Ok(Lifecycle::Draining),
        STATE_GONE => Ok(Lifecycle::Gone),
        unknown => Err(EndpointJsonError::UnknownState(unknown.to_string())),
    }
}

fn decode_address(server: &Map<String, Value>, id: &str) -> Result<Option<SocketAddr>, EndpointJsonError> {
    if field(server, "addr").is_none() {
        return Ok(None);
    }
    let address = word(server, "addr", "").map_err(wrong_field)?;
    let address = address.parse().map_err(|source| EndpointJsonError::Address { id: id.into(), source })?;
    Ok(Some(address))
}

fn wrong_field(error: impl Display) -> EndpointJsonError {
    EndpointJsonError::Field(error.to_string())
}
