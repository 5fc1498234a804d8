//! JSON encoding of endpoints: as events in the configuration (protocol, "The directory"), as a list of
//! servers in the store.

use super::{start_time, Endpoint, EndpointSet};
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use dahliaspoke::settings::{boolean, field, list, number, object, object_field, text, SettingsError};
use serde_json::{json, Map, Value};
use std::net::{AddrParseError, SocketAddr};
use thiserror::Error;

/// Names of the lifecycle states.
const STATE_READY: &str = "active";
const STATE_DRAINING: &str = "leaving";
const STATE_GONE: &str = "left";

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Why endpoints cannot be read.
#[derive(Debug, Error)]
pub enum EndpointJsonError {
    /// A field has an unexpected type; the text names the field.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The text is not a list.
    #[error("the servers are not a list")]
    NotAList,
    /// A server has a state that the protocol does not define.
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
    /// A server has no id, or it has no address and its state is not `left`.
    #[error("a server has no id or no address")]
    NoIdOrAddress,
}

/// The endpoints in the configuration.
#[derive(Clone, Debug, Default)]
pub struct InitialEndpoints {
    /// The number of the last list that they include.
    pub list_number: u32,
    /// The endpoints after all lists have been applied.
    pub endpoints: EndpointSet,
}

/// Reads the events under `known` in the configuration.
///
/// # Errors
/// If the events do not have the form that the protocol defines.
pub fn from_config(config: &Map<String, Value>) -> Result<InitialEndpoints, EndpointJsonError> {
    let known = object_field(config, "known")?;
    let mut endpoints = EndpointSet::default();
    for event in list(known, "events")? {
        let event = object(event, "an event")?;
        apply_event(&mut endpoints, object_field(event, "members")?)?;
    }
    let list_number = number(known, "n", 0.0)? as u32;
    Ok(InitialEndpoints { list_number, endpoints })
}

fn apply_event(endpoints: &mut EndpointSet, event: &Map<String, Value>) -> Result<(), EndpointJsonError> {
    let servers = decode_endpoints(list(event, "servers")?)?;
    if boolean(event, "full")? {
        endpoints.replace(servers);
    } else {
        endpoints.apply_changes(servers);
    }
    Ok(())
}

/// Encodes endpoints as a list of servers, in the same form as in events.
pub fn to_json(endpoints: &EndpointSet) -> String {
    let servers = endpoints.to_vec().iter().map(encode_endpoint).collect::<Vec<_>>();
    Value::from(servers).to_string()
}

/// Decodes a list of servers, as [`to_json`] encodes it.
///
/// # Errors
/// If the text does not have that form.
pub fn from_json(text: &str) -> Result<EndpointSet, EndpointJsonError> {
    let value: Value = serde_json::from_str(text)?;
    let servers = value.as_array().ok_or(EndpointJsonError::NotAList)?;
    let mut endpoints = EndpointSet::default();
    endpoints.replace(decode_endpoints(servers)?);
    Ok(endpoints)
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
    let server = object(server, "a server")?;
    let lifecycle = decode_state(text(server, "state", STATE_READY)?)?;
    let id = text(server, "id", "")?;
    let address = decode_address(server, id)?;
    if id.is_empty() || address.is_none() && lifecycle != Lifecycle::Gone {
        return Err(EndpointJsonError::NoIdOrAddress);
    }
    let entry = EngineEntry {
        id: id.into(),
        zone: text(server, "zone", "")?.into(),
        kind: text(server, "kind", "")?.into(),
        cell: number(server, "cell", 0.0)? as i64,
        lifecycle,
        started: start_time(number(server, "started_ms", 0.0)?),
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
    let address = text(server, "addr", "")?;
    let address = address.parse().map_err(|source| EndpointJsonError::Address { id: id.into(), source })?;
    Ok(Some(address))
}
