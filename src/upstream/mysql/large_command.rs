//! A command whose statement or arguments do not go out at once: long parameters before it, each chunk a command of its own,
//! then the command itself with what the body store holds of it, cut into packets.

use super::command;
use crate::body_store;
use crate::core::{LongParameter, ParameterValue, QueryPayload};
use crate::mysql::packet;
use crate::mysql::payload::Payload;
use crate::net::{BufferedStream, Time, Token};
use crate::upstream::body_readers::BodyReaders;
use dahliaspoke_body_store::{Body, Bytes, ReadOutcome, Reader};
use std::collections::VecDeque;

/// What still goes out.
enum CommandPart {
    /// Chunks of a parameter, each in a command.
    LongParameter { position: u16, value: ParameterValue, begun: bool },
    /// The command that runs the attempt; `body` is the rest of it.
    Execution { head: Vec<u8>, body: Option<Body> },
}

/// A command on its way to an engine.
pub struct LargeCommand {
    /// What still goes out, in order.
    parts: VecDeque<CommandPart>,
    /// The statement's number at the engine.
    statement: u32,
    /// Reads the body of the first part.
    reader: Option<Reader>,
    /// The packets of the execution, once it has begun.
    payload: Option<Payload>,
    /// By which the execution can be withdrawn from the output, once it is queued.
    pub message_tag: Option<u64>,
    /// None of its bytes is here now; the body store reports when there are some.
    pub waits_for_bytes: bool,
}

/// Where a command is queued.
pub struct CommandOutput<'a> {
    /// The connection's socket.
    pub stream: &'a mut BufferedStream,
    /// Its upstream's readers, and the store that they read.
    pub bodies: &'a mut BodyReaders,
    /// The connection.
    pub connection: Token,
    /// Nothing is added while so much is queued (bytes).
    pub max_queued_bytes: usize,
}

/// How far a command has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStatus {
    /// More of it is to be queued.
    Partial,
    /// All of it is queued.
    Complete,
    /// The rest cannot be had.
    Lost,
}

/// What one step has done.
enum Step {
    /// Something was queued, or a part has ended.
    Queued,
    /// The next bytes are not here yet.
    Waits,
    /// The next bytes cannot be had.
    Lost,
}

impl LargeCommand {
    /// The command that runs this payload. `statement` is its number at the engine, which a text does not need. `None` where
    /// it goes out at once.
    pub fn new(query: &QueryPayload, statement: u32) -> Option<Self> {
        if query.body.is_none() && query.long_parameters.is_empty() {
            return None;
        }
        let long_parameter =
            |LongParameter { position, value }| CommandPart::LongParameter { position, value, begun: false };
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

    /// Queues more of it, while little is queued.
    pub fn send(&mut self, now: Time, output: &mut CommandOutput) -> SendStatus {
        self.waits_for_bytes = false;
        while output.stream.queued() < output.max_queued_bytes && !self.parts.is_empty() {
            match self.send_step(now, output) {
                Step::Queued => {}
                Step::Waits => {
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

    /// Queues a chunk of the first part, or ends it.
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
                    let begun = begin_execution(head, body.as_ref(), output.bodies.store());
                    self.payload = Some(begun.payload);
                    self.message_tag = Some(output.stream.push(begun.first_bytes));
                }
                if body.is_none() {
                    output.stream.push_counted(Vec::new()); // it is out with what came before
                }
                body.clone()
            }
            None => None,
        };
        let Some(body) = body else {
            self.parts.pop_front();
            return Step::Queued;
        };
        match self.pull(now, &body, output) {
            ReadOutcome::Bytes(bytes) => self.push_bytes(bytes, output.stream),
            ReadOutcome::NotReady => Step::Waits,
            ReadOutcome::End => self.end_part(output.stream),
            ReadOutcome::Lost => Step::Lost,
        }
    }

    /// The next bytes of the first part's body.
    fn pull(&mut self, now: Time, body: &Body, output: &mut CommandOutput) -> ReadOutcome {
        let Some(store) = output.bodies.store().cloned() else { return ReadOutcome::Lost };
        let reader = if let Some(reader) = &self.reader {
            reader
        } else {
            let Ok(Some(reader)) = output.bodies.open(now, Some(body)) else { return ReadOutcome::Lost };
            output.bodies.insert(reader.id, output.connection);
            self.reader.insert(reader)
        };
        let pulled = store.borrow_mut().read(now, reader);
        pulled
    }

    /// Queues bytes of the first part's body.
    fn push_bytes(&mut self, bytes: Bytes, stream: &mut BufferedStream) -> Step {
        match (self.parts.front_mut(), &mut self.payload) {
            (Some(CommandPart::LongParameter { position, begun, .. }), _) => {
                *begun = true;
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

    /// All of the first part's body is queued.
    fn end_part(&mut self, stream: &mut BufferedStream) -> Step {
        match self.parts.pop_front() {
            // An empty parameter is sent as well.
            Some(CommandPart::LongParameter { position, begun: false, .. }) => {
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

/// The begun packets of an execution.
struct BegunExecution {
    payload: Payload,
    first_bytes: Vec<u8>,
}

/// Begins the packets of an execution, of which all of the body is in the store.
fn begin_execution(
    head: &[u8],
    body: Option<&Body>,
    store: Option<&body_store::SharedBodyStore>,
) -> BegunExecution {
    let stored_bytes =
        |body: &Body| store.map_or(0, |store| store.borrow().received_bytes(body.id()) as usize);
    let mut first_bytes = Vec::new();
    let mut payload = Payload::open(head.len() + body.map_or(0, stored_bytes), &mut first_bytes);
    payload.put(head, &mut first_bytes);
    BegunExecution { payload, first_bytes }
}
