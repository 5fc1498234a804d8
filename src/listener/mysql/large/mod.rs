//! Receives what does not arrive in one small packet: statements and executions above the limit for one request in memory, in
//! packets of up to 16 MB and above that in several, and parameters that are sent ahead of their execution. They go into the body
//! store as they arrive, and are always kept: a session that waits for its answer cannot be asked to send again.
//!
//! - `begin` decides where a payload goes, `values` checks the values of an execution;
//! - `parameters` keeps the parameters that are sent ahead;
//! - `storing` submits requests once their bodies are stored, and rejects them if they cannot be.

mod begin;
mod parameters;
mod storing;
mod values;

pub use parameters::{LongValue, ParameterId};
pub use storing::PendingRequest;

use super::error::MysqlError;
use super::session::{Session, SessionState};
use super::Shared;
use crate::core::Request;
use crate::mysql::packet::{self, Malformed, PacketHeader, MAX_PACKET_PAYLOAD};
use crate::net::{Flow, Time};
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::Body;
use values::ValueScanner;

/// A payload that is arriving.
pub struct LargePayload {
    /// Bytes of the current packet that have not arrived.
    remaining: usize,
    /// The current packet is a full one: another follows.
    continues: bool,
    destination: Destination,
    /// The body store has no capacity for more of it now.
    pub store_full: bool,
}

/// Where a payload goes.
enum Destination {
    /// To a request.
    Request(IncomingRequest),
    /// To a parameter of a prepared statement.
    Parameter(ParameterId),
    /// Nowhere: it was answered already.
    Discard,
}

/// A request whose body is arriving: its statement, or its arguments' values.
struct IncomingRequest {
    body: Body,
    request: Box<Request>,
    /// How long its client waits (s).
    timeout: f64,
    /// Checks the values, if the body holds them.
    values: Option<ValueScanner>,
}

/// Where a payload goes, and how many bytes of its beginning were consumed by finding that out.
struct LargeStart {
    consumed: usize,
    destination: Destination,
}

impl LargePayload {
    /// Whether this body is that of the request that is arriving.
    fn is_request_body(&self, id: BodyId) -> bool {
        matches!(&self.destination, Destination::Request(incoming) if incoming.body.id() == id)
    }

    /// Nothing more of it is received.
    fn release(&self, shared: &mut Shared) {
        shared.state.uploads.end();
        if let Destination::Request(incoming) = &self.destination {
            shared.state.uploads.remove_receiver(incoming.body.id());
        }
    }

    fn begin_packet(&mut self, length: usize) {
        self.remaining = length;
        self.continues = length == MAX_PACKET_PAYLOAD;
    }
}

impl Session {
    /// Receives what has arrived of the current payload.
    pub fn receive_large(&mut self, now: Time, shared: &mut Shared) -> Flow {
        while let Some(mut payload) = self.take_payload() {
            let arrived = payload.remaining.min(self.stream.input.len());
            let bytes = self.stream.input[..arrived].to_vec();
            let Ok(taken) = self.deliver(now, &mut payload, &bytes, shared) else {
                payload.release(shared);
                return self.end(now, self.next_sequence, &MysqlError::malformed(), shared);
            };
            self.stream.input.drain(..taken);
            payload.remaining -= taken;
            if taken > 0 {
                self.deadline = now + shared.state.limits.bodies.stall_timeout;
            }
            if payload.remaining > 0 {
                payload.store_full = taken < arrived;
                self.state = SessionState::Receiving(payload);
                return Flow::Open;
            }
            if !payload.continues {
                return self.complete_large(now, payload, shared);
            }
            let header = PacketHeader::decode(&self.stream.input);
            if let Some(PacketHeader { length, sequence }) = header {
                payload.begin_packet(length);
                self.next_sequence = sequence.wrapping_add(1);
                self.stream.input.drain(..packet::HEADER_BYTES);
            }
            self.state = SessionState::Receiving(payload);
            if header.is_none() {
                return Flow::Open;
            }
        }
        Flow::Open
    }

    /// Takes the payload that is arriving out of the session's state.
    fn take_payload(&mut self) -> Option<LargePayload> {
        if !matches!(self.state, SessionState::Receiving(_)) {
            return None;
        }
        match std::mem::replace(&mut self.state, SessionState::Idle) {
            SessionState::Receiving(payload) => Some(payload),
            _ => None,
        }
    }

    /// Delivers bytes of a payload. Returns how many were taken: fewer where the body store has no capacity for the rest now.
    fn deliver(
        &mut self,
        now: Time,
        payload: &mut LargePayload,
        bytes: &[u8],
        shared: &mut Shared,
    ) -> Result<usize, Malformed> {
        match &mut payload.destination {
            Destination::Discard => Ok(bytes.len()),
            Destination::Parameter(id) => Ok(self.append_to_parameter(now, *id, bytes, shared)),
            Destination::Request(IncomingRequest { body, values, .. }) => {
                let Some(store) = shared.state.uploads.store() else { return Ok(bytes.len()) };
                let taken = store.borrow_mut().append_available(now, body.id(), bytes);
                if let Some(values) = values {
                    values.push(&bytes[..taken])?;
                }
                Ok(taken)
            }
        }
    }

    /// All of a payload has arrived.
    fn complete_large(&mut self, now: Time, payload: LargePayload, shared: &mut Shared) -> Flow {
        shared.state.uploads.end();
        self.deadline = now + shared.state.limits.mysql.session_idle_timeout;
        let Destination::Request(incoming) = payload.destination else {
            return self.next_packet(now, shared);
        };
        let IncomingRequest { body, mut request, timeout, values } = incoming;
        if let Some(mut values) = values {
            if !values.is_complete() {
                shared.state.uploads.remove_receiver(body.id());
                return self.end(now, self.next_sequence, &MysqlError::malformed(), shared);
            }
            if let Some(key) = values.key() {
                request.payload.idempotency_key = Some(key);
            }
        }
        request.payload.body = Some(body);
        self.submit_when_stored(now, request, timeout, shared)
    }
}
