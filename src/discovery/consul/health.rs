//! Consul's health API: the instances of a service with their checks.

use super::error::ConsulError;
use super::http::Response;
use crate::discovery::{start_time, Endpoint};
use crate::net::Time;
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use dahliaspoke::settings::{field, list, number, object, object_field, text};
use serde_json::{Map, Value};
use std::net::SocketAddr;

/// The status of a failed check, and of the check that marks maintenance.
const CRITICAL: &str = "critical";

/// Keys in the metadata of an engine's service.
const KEY_ZONE: &str = "zone";
const KEY_KIND: &str = "kind";
const KEY_CELL: &str = "cell";
/// Start of the process in Unix milliseconds; 0 is long ago.
const KEY_STARTED: &str = "started_ms";

/// The instances of a service.
pub struct HealthList {
    /// The version that the next blocking query waits to change.
    pub index: u64,
    /// Every instance of the service.
    pub endpoints: Vec<Endpoint>,
}

/// The path of a blocking query for a service: it is answered when the service differs from version `index`,
/// or after `wait` seconds.
pub fn query_path(service: &str, index: u64, wait: Time) -> String {
    format!("/v1/health/service/{service}?index={index}&wait={wait}s")
}

/// Decodes the response to a blocking query.
///
/// # Errors
/// If it does not have the form that Consul's API documents, or has no index.
pub fn decode(response: &Response) -> Result<HealthList, ConsulError> {
    let body: Value = serde_json::from_slice(&response.body)?;
    let entries = body.as_array().ok_or(ConsulError::NotAList)?;
    let endpoints = entries.iter().map(decode_endpoint).collect::<Result<_, _>>()?;
    let index = response.index.ok_or(ConsulError::NoIndex)?;
    Ok(HealthList { index, endpoints })
}

fn decode_endpoint(entry: &Value) -> Result<Endpoint, ConsulError> {
    let entry = object(entry, "an entry")?;
    let node = object_field(entry, "Node")?;
    let service = object_field(entry, "Service")?;
    let metadata = object_field(service, "Meta")?;
    let id = text(service, "ID", "")?;
    let address = decode_address(node, service, id)?;
    let is_draining = has_critical_check(entry)?;
    let metadata_text = |key| text(metadata, key, "");
    let entry = EngineEntry {
        id: id.into(),
        zone: metadata_text(KEY_ZONE)?.into(),
        kind: metadata_text(KEY_KIND)?.into(),
        cell: decode_number(metadata, KEY_CELL, id)? as i64,
        lifecycle: if is_draining { Lifecycle::Draining } else { Lifecycle::Ready },
        started: start_time(decode_number(metadata, KEY_STARTED, id)?),
    };
    Ok(Endpoint { entry, address: Some(address) })
}

/// The address that a service listens on; a service without an address uses that of its node.
fn decode_address(
    node: &Map<String, Value>,
    service: &Map<String, Value>,
    id: &str,
) -> Result<SocketAddr, ConsulError> {
    let own = text(service, "Address", "")?;
    let ip = if own.is_empty() { text(node, "Address", "")? } else { own };
    let ip = ip.parse().map_err(|source| ConsulError::Address { id: id.into(), source })?;
    let port = number(service, "Port", 0.0)?;
    if id.is_empty() || !(1.0..65536.0).contains(&port) {
        return Err(ConsulError::NoIdOrPort);
    }
    Ok(SocketAddr::new(ip, port as u16))
}

/// Whether a check is critical, which failed checks and maintenance are. The engine then gets no new
/// attempts, and running ones may complete.
fn has_critical_check(entry: &Map<String, Value>) -> Result<bool, ConsulError> {
    Ok(list(entry, "Checks")?.iter().any(is_critical))
}

fn is_critical(check: &Value) -> bool {
    check.as_object().and_then(|check| field(check, "Status")).is_some_and(|status| status == CRITICAL)
}

/// A number in the metadata, whose values are all strings; 0 if it is absent.
fn decode_number(metadata: &Map<String, Value>, key: &'static str, id: &str) -> Result<f64, ConsulError> {
    let text = text(metadata, key, "0")?;
    text.parse().map_err(|source| ConsulError::Metadata { key, id: id.into(), source })
}
