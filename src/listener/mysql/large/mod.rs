//! Receives large payloads: statements and executions above the size limit of a request in memory, in one
//! packet of up to 16 MB or in several, and long data, that is parameters sent ahead of their execution. They
//! are received into the body store as they arrive, and are always stored, never passed through: a client
//! that waits for its answer cannot be asked to send a body again.
//!
//! - `begin` chooses the destination of a payload, `values` checks the values of an execution;
//! - `parameters` collects long data;
//! - `storing` submits requests once their bodies are stored, and rejects requests whose bodies cannot be
//!   stored.

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
    /// Whether the current packet has the maximum length, so that another follows.
    continues: bool,
    destination: Destination,
    /// The body store currently has no capacity for more of the payload.
    pub store_full: bool,
}

/// The destination of a payload.
enum Destination {
    /// The body of a request.
    Request(IncomingRequest),
    /// A parameter of a prepared statement.
    Parameter(ParameterId),
    /// None: the command was already answered with an error.
    Discard,
}

/// A request whose body is arriving: its statement, or the values of its arguments.
struct IncomingRequest {
    body: Body,
    request: Box<Request>,
    /// How long its client waits (s).
    timeout: f64,
    /// Checks the values, if the body consists of them.
    values: Option<ValueScanner>,
}

/// The destination of a payload, and how many bytes of its start were consumed to determine it.
struct LargeStart {
    consumed: usize,
    destination: Destination,
}

impl LargePayload {
    /// Whether this is the body of the request that is arriving.
    fn is_request_body(&self, id: BodyId) -> bool {
        matches!(&self.destination, Destination::Request(incoming) if incoming.body.id() == id)
    }

    /// Stops receiving the payload.
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
    /// Processes the input that belongs to the current payload.
    pub fn receive_large(&mut self, now: Time, shared: &mut Shared) -> Flow {
        while let Some(mut payload) = self.take_payload() {
            let arrived = payload.remaining.min(self.stream.input.len());
            let bytes = self.stream.input[..arrived].to_vec();
            let Ok(accepted) = self.deliver(now, &mut payload, &bytes, shared) else {
                payload.release(shared);
                return self.end(now, self.next_sequence, &MysqlError::malformed(), shared);
            };
            self.stream.input.drain(..accepted);
            payload.remaining -= accepted;
            if accepted > 0 {
                self.deadline = now + shared.state.limits.bodies.stall_timeout;
            }
            if payload.remaining > 0 {
                payload.store_full = accepted < arrived;
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

    /// Moves the payload that is arriving out of the session's state.
    fn take_payload(&mut self) -> Option<LargePayload> {
        if !matches!(self.state, SessionState::Receiving(_)) {
            return None;
        }
        match std::mem::replace(&mut self.state, SessionState::Idle) {
            SessionState::Receiving(payload) => Some(payload),
            _ => None,
        }
    }

    /// Delivers bytes of a payload to its destination. Returns how many were accepted: fewer than given if
    /// the body store currently has no capacity for the rest.
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
                let accepted = store.borrow_mut().append_available(now, body.id(), bytes);
                if let Some(values) = values {
                    values.push(&bytes[..accepted])?;
                }
                Ok(accepted)
            }
        }
    }

    /// Handles the end of a payload: a complete request is submitted once its bodies are stored.
    fn complete_large(&mut self, now: Time, payload: LargePayload, shared: &mut Shared) -> Flow {
        shared.state.uploads.end();
        self.deadline = now + shared.state.limits.mysql.session_idle_timeout;
        let Destination::Request(incoming) = payload.destination else {
            self.schedule_if_buffered(now, shared);
            return Flow::Open;
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
