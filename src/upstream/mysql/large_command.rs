//! A command whose statement or arguments are sent in parts: first the long parameters, each chunk in a
//! command of its own, then the command itself with the part of it that is in the body store, split into
//! packets.

use super::command;
use crate::body_store;
use crate::core::{LongParameter, ParameterValue, QueryPayload};
use crate::mysql::packet;
use crate::mysql::payload::Payload;
use crate::net::{BufferedStream, Time, Token};
use crate::upstream::body_readers::BodyReaders;
use dahliaspoke_body_store::{Body, Bytes, ReadOutcome, Reader};
use std::collections::VecDeque;

/// A part that is still to be sent.
enum CommandPart {
    /// The chunks of a long parameter, each in its own command.
    LongParameter { position: u16, value: ParameterValue, started: bool },
    /// The command that runs the attempt: `head`, followed by the stored `body`.
    Execution { head: Vec<u8>, body: Option<Body> },
}

/// A command that is sent to an engine in parts.
pub struct LargeCommand {
    /// The parts that are still to be queued, in order.
    parts: VecDeque<CommandPart>,
    /// The prepared statement's id at the engine.
    statement: u32,
    /// The reader of the first part's body.
    reader: Option<Reader>,
    /// The packets of the execution, once they have been started.
    payload: Option<Payload>,
    /// The tag by which the execution can be withdrawn from the output, once it is queued.
    pub message_tag: Option<u64>,
    /// Whether no bytes are available now; the body store reports when there are some.
    pub waits_for_bytes: bool,
}

/// The destination of a command's parts.
pub struct CommandOutput<'a> {
    /// The connection's socket.
    pub stream: &'a mut BufferedStream,
    /// The upstream's readers of bodies, and their store.
    pub bodies: &'a mut BodyReaders,
    /// The connection's token.
    pub connection: Token,
    /// Nothing is added while this much or more is queued (bytes).
    pub max_queued_bytes: usize,
}

/// The progress of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStatus {
    /// More of it has to be queued.
    Partial,
    /// All of it is queued.
    Complete,
    /// The rest is no longer available.
    Lost,
}

/// The result of one step.
enum Step {
    /// Bytes were queued, or a part was completed.
    Queued,
    /// The next bytes are not available yet.
    Blocked,
    /// The next bytes are no longer available.
    Lost,
}

impl LargeCommand {
    /// The command that runs this query, if it has to be sent in parts. `statement` is the prepared
    /// statement's id at the engine; it is unused for a text query.
    pub fn new(query: &QueryPayload, statement: u32) -> Option<Self> {
        if query.body.is_none() && query.long_parameters.is_empty() {
            return None;
        }
        let long_parameter = |LongParameter { position, value }| CommandPart::LongParameter {
            position,
            value,
            started: false,
        };
        let mut parts: VecDeque<_> = query.long_parameters.iter().cloned().map(long_parameter).collect();
        let head = match &query.arguments {
            None => command::query(&[]),
            Some(arguments) => command::execute(statement, arguments),
        };
        parts.push_back(CommandPart::Execution { head, body: query.body.clone() });
        Some(Self {
            parts,
            statement,
            reader: None,
            payload: None,
            message_tag: None,
            waits_for_bytes: false,
        })
    }

    /// Queues parts until `max_queued_bytes` are queued.
    pub fn send(&mut self, now: Time, output: &mut CommandOutput) -> SendStatus {
        self.waits_for_bytes = false;
        while output.stream.queued() < output.max_queued_bytes && !self.parts.is_empty() {
            match self.send_step(now, output) {
                Step::Queued => {}
                Step::Blocked => {
                    self.waits_for_bytes = true;
                    return SendStatus::Partial;
                }
                Step::Lost => return SendStatus::Lost,
            }
        }
        if self.parts.is_empty() {
            SendStatus::Complete
        } else {
            SendStatus::Partial
        }
    }

    /// Queues a chunk of the first part, or completes that part.
    fn send_step(&mut self, now: Time, output: &mut CommandOutput) -> Step {
        let body = match self.parts.front() {
            Some(CommandPart::LongParameter { position, value: ParameterValue::Inline(bytes), .. }) => {
                output.stream.push(long_data_packet(self.statement, *position, bytes));
                None
            }
            Some(CommandPart::LongParameter { value: ParameterValue::Stored(body), .. }) => {
                Some(body.clone())
            }
            Some(CommandPart::Execution { head, body }) => {
                if self.payload.is_none() {
                    let started = start_execution(head, body.as_ref(), output.bodies.store());
                    self.payload = Some(started.payload);
                    self.message_tag = Some(output.stream.push(started.first_bytes));
                }
                if body.is_none() {
                    output.stream.push_counted(Vec::new()); // counts the attempt as sent after its command
                }
                body.clone()
            }
            None => None,
        };
        let Some(body) = body else {
            self.parts.pop_front();
            return Step::Queued;
        };
        match self.read_next(now, &body, output) {
            ReadOutcome::Bytes(bytes) => self.push_bytes(bytes, output.stream),
            ReadOutcome::NotReady => Step::Blocked,
            ReadOutcome::End => self.end_part(output.stream),
            ReadOutcome::Lost => Step::Lost,
        }
    }

    /// Reads the next bytes of the first part's body.
    fn read_next(&mut self, now: Time, body: &Body, output: &mut CommandOutput) -> ReadOutcome {
        let Some(store) = output.bodies.store().cloned() else { return ReadOutcome::Lost };
        let reader = if let Some(reader) = &self.reader {
            reader
        } else {
            let Ok(Some(reader)) = output.bodies.open(now, Some(body)) else { return ReadOutcome::Lost };
            output.bodies.insert(reader.id, output.connection);
            self.reader.insert(reader)
        };
        let read_outcome = store.borrow_mut().read(now, reader);
        read_outcome
    }

    /// Queues bytes of the first part's body.
    fn push_bytes(&mut self, bytes: Bytes, stream: &mut BufferedStream) -> Step {
        match (self.parts.front_mut(), &mut self.payload) {
            (Some(CommandPart::LongParameter { position, started, .. }), _) => {
                *started = true;
                stream.push(long_data_packet(self.statement, *position, &bytes));
            }
            (Some(CommandPart::Execution { .. }), Some(payload)) if bytes.len() < payload.packet => {
                payload.packet -= bytes.len();
                stream.push_shared(bytes);
            }
            (Some(CommandPart::Execution { .. }), Some(payload)) => {
                let mut out = Vec::new();
                payload.put(&bytes, &mut out);
                stream.push(out);
            }
            _ => return Step::Lost,
        }
        Step::Queued
    }

    /// Completes the first part, all of whose body is queued.
    fn end_part(&mut self, stream: &mut BufferedStream) -> Step {
        match self.parts.pop_front() {
            // An empty parameter needs a command too.
            Some(CommandPart::LongParameter { position, started: false, .. }) => {
                stream.push(long_data_packet(self.statement, position, &[]));
            }
            Some(CommandPart::Execution { .. }) => {
                stream.push_counted(Vec::new());
            }
            Some(CommandPart::LongParameter { .. }) | None => {}
        }
        self.reader = None;
        Step::Queued
    }
}

fn long_data_packet(statement: u32, parameter: u16, bytes: &[u8]) -> Vec<u8> {
    packet::encode(0, &command::long_data(statement, parameter, bytes))
}

/// The first packets of an execution.
struct StartedExecution {
    payload: Payload,
    first_bytes: Vec<u8>,
}

/// Starts the packets of an execution whose body is completely stored.
fn start_execution(
    head: &[u8],
    body: Option<&Body>,
    store: Option<&body_store::SharedBodyStore>,
) -> StartedExecution {
    let stored_bytes =
        |body: &Body| store.map_or(0, |store| store.borrow().received_bytes(body.id()) as usize);
    let mut first_bytes = Vec::new();
    let mut payload = Payload::open(head.len() + body.map_or(0, stored_bytes), &mut first_bytes);
    payload.put(head, &mut first_bytes);
    StartedExecution { payload, first_bytes }
}
