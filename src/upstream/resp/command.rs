//! Encoding of commands to engines.

use crate::core::Attempt;
use crate::net::resp::{array, array_head};
use crate::net::Time;
use dahliaspoke::policy::RequestId;

const MS_PER_S: f64 = 1000.0;

/// The command that starts an attempt. If the statement is a large body, this is only the part before the
/// body; [`BODY_END`] follows the body.
///
/// Its fields on the wire: `sort` is the class, `patience` the time until the deadline (ms, at least 1), `op` the
/// idempotency key, `pool` the memory granted (MB) and `band` the priority.
pub fn start(now: Time, attempt: &Attempt) -> Vec<u8> {
    let patience = ((attempt.deadline - now) * MS_PER_S).ceil().max(1.0);
    let mut fields = format!("sort={},patience={patience}", attempt.payload.class_name);
    if let Some(key) = &attempt.payload.idempotency_key {
        fields += &format!(",op={key}");
    }
    if let Some(memory) = attempt.memory {
        fields += &format!(",pool={}", memory.ceil());
    }
    fields += &format!(",band={}", attempt.priority);
    let (name, id, fields): (&[u8], _, _) = (b"GET", attempt.id.as_bytes(), fields.as_bytes());
    match &attempt.payload.body {
        None => array(&[name, id, fields, &attempt.payload.statement]),
        Some(body) => array_head(&[name, id, fields], body.length()),
    }
}

/// The end of a command whose last value is a large body.
pub const BODY_END: &[u8] = b"\r\n";

/// Requests a page of a result, by its index from 0.
pub fn page(id: &RequestId, index: usize) -> Vec<u8> {
    array(&[b"PAGE", id.as_bytes(), index.to_string().as_bytes()])
}

/// Releases the pages of a result that the engine has stored for us.
pub fn close(id: &RequestId) -> Vec<u8> {
    array(&[b"CLOSE", id.as_bytes()])
}

/// Abandons an attempt that has no result yet.
pub fn abandon(id: &RequestId) -> Vec<u8> {
    array(&[b"DROP", id.as_bytes()])
}

/// Changes the priority of an attempt, 0 to 3.
pub fn set_priority(id: &RequestId, priority: u8) -> Vec<u8> {
    array(&[b"RANK", id.as_bytes(), priority.to_string().as_bytes()])
}
