//! One connection to an engine.

use super::attempt::{OutgoingBody, RunningAttempt};
use super::command;
use super::reply::{self, DecodedReply};
use super::shared::{Shared, TimerEvent};
use crate::core::AttemptOutcome;
use crate::limits::EngineLimits;
use crate::net::resp::Malformed;
use crate::net::{BufferedStream, ConnectState, Connection, Flow, Time, Token};
use crate::upstream::events::outcome_of_close;
use crate::upstream::pool::EngineConnection;
use dahliaspoke::policy::{EngineId, RequestId};
use dahliaspoke_body_store::ReadOutcome;
use std::collections::HashMap;
use std::net::SocketAddr;

/// An id that no attempt may use on a connection, because a reply to an earlier attempt may still arrive.
struct BarredId {
    id: RequestId,
    until: Time,
}

/// A connection to an engine. It belongs to the engine's id, never to its address.
pub struct RespConnection {
    /// The socket.
    pub stream: BufferedStream,
    /// Its own token.
    pub token: Token,
    /// The engine.
    pub engine: EngineId,
    /// The engine's address when the connection was opened.
    pub address: SocketAddr,
    /// The attempts in flight on this connection.
    pub attempts: HashMap<RequestId, RunningAttempt>,
    barred_ids: Vec<BarredId>,
    /// While connecting, the time at which the connect is given up; later, the time from which the connection
    /// has been idle too long.
    pub idle_deadline: Time,
    /// The time by which the next reply must be complete, while a reply or a result is incomplete; infinity
    /// otherwise.
    pub reply_deadline: Time,
    /// The time at which bytes were last received.
    pub last_received: Time,
    /// An attempt was abandoned here after no reply or only part of one: no further attempt is sent on this
    /// connection.
    pub is_suspect: bool,
    /// The large body that is being sent; nothing else can be sent until it is complete.
    pub outgoing_body: Option<OutgoingBody>,
}

impl RespConnection {
    /// Wraps a connection that has just been opened; the caller sets `idle_deadline` to the connect deadline.
    pub fn new(
        now: Time,
        token: Token,
        stream: BufferedStream,
        engine: EngineId,
        address: SocketAddr,
    ) -> Self {
        Self {
            stream,
            token,
            engine,
            address,
            attempts: HashMap::new(),
            barred_ids: Vec::new(),
            idle_deadline: now,
            reply_deadline: Time::INFINITY,
            last_received: now,
            is_suspect: false,
            outgoing_body: None,
        }
    }

    /// Whether the body of this request is still being sent here.
    pub fn sends_body_of(&self, id: &RequestId) -> bool {
        self.outgoing_body.as_ref().is_some_and(|body| body.id == *id)
    }

    /// Bars an id on this connection until no late reply to its current attempt can arrive any more.
    pub fn bar_id(&mut self, now: Time, id: &RequestId, limits: &EngineLimits) {
        self.barred_ids.push(BarredId { id: id.clone(), until: now + limits.late_answer_window });
    }

    /// Whether a late reply to an earlier attempt with this id may still arrive.
    pub fn is_barred(&self, now: Time, id: &RequestId) -> bool {
        self.barred_ids.iter().any(|barred| barred.until > now && barred.id == *id)
    }

    /// Whether another attempt, with this id, may be queued here; `has_body` if its statement is a large
    /// body, which needs the connection to itself.
    pub fn accepts(&mut self, now: Time, id: &RequestId, has_body: bool, limits: &EngineLimits) -> bool {
        self.barred_ids.retain(|barred| barred.until > now);
        let has_capacity = self.attempts.len() < limits.max_streams
            && self.stream.queued() < limits.max_unwritten_bytes
            && (!has_body || self.attempts.is_empty());
        let is_usable = !self.is_suspect && self.outgoing_body.is_none();
        has_capacity && is_usable && !self.attempts.contains_key(id) && !self.is_barred(now, id)
    }

    /// Stops sending the body, whether or not all of it is queued.
    fn end_body(&mut self, shared: &mut Shared) {
        if let Some(body) = self.outgoing_body.take() {
            shared.bodies.remove(body.reader.id);
        }
    }

    /// Updates the time by which the next reply must be complete.
    fn update_reply_deadline(&mut self, now: Time, read: usize, shared: &mut Shared) {
        let is_receiving = self.attempts.values().any(RunningAttempt::is_receiving);
        if self.stream.input.is_empty() && !is_receiving {
            self.reply_deadline = Time::INFINITY;
        } else if read > 0 || self.reply_deadline == Time::INFINITY {
            self.reply_deadline = now + shared.limits.results.stall_timeout;
            shared.timers.set(self.reply_deadline, TimerEvent::ReplyDeadline(self.token));
        }
    }
}

impl EngineConnection for RespConnection {
    fn sent_attempts(&self) -> u64 {
        self.stream.counted_sent()
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn limit_send_deadlines(&mut self, deadline: Time) {
        for running in self.attempts.values_mut() {
            running.pending.send_deadline = running.pending.send_deadline.min(deadline);
        }
    }

    fn continue_body(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let (Some(body), Some(store)) = (&mut self.outgoing_body, shared.bodies.store().cloned()) else {
            return Flow::Open;
        };
        let max_queued = shared.limits.engines.max_queued_body_bytes;
        while !self.stream.is_connecting() && self.stream.queued() < max_queued {
            let read_outcome = store.borrow_mut().read(now, &body.reader);
            match read_outcome {
                ReadOutcome::Bytes(bytes) => drop(self.stream.push_shared(bytes)),
                ReadOutcome::NotReady => {
                    body.waits_for_bytes = true;
                    return Flow::Open;
                }
                ReadOutcome::End => {
                    self.stream.push_counted(command::BODY_END.to_vec());
                    self.end_body(shared);
                    return Flow::Open;
                }
                // The engine must not mistake a partial body for the complete one.
                ReadOutcome::Lost => return Flow::Close,
            }
        }
        body.waits_for_bytes = false;
        Flow::Open
    }
}

impl Connection for RespConnection {
    type Shared = Shared;

    const READ_AFTER_WRITE_ERROR: bool = true;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.last_received = now;
        let mut read = 0;
        let flow = loop {
            match reply::decode(&self.stream.input[read..], &shared.limits) {
                Ok(Some(DecodedReply { reply, length })) => {
                    read += length;
                    if self.handle_reply(now, reply, shared).is_err() {
                        break Flow::Close;
                    }
                }
                Ok(None) => break Flow::Open,
                Err(Malformed) => break Flow::Close,
            }
        };
        self.stream.input.drain(..read);
        self.update_reply_deadline(now, read, shared);
        flow
    }

    fn writable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.idle_deadline = now + shared.limits.engines.idle_timeout;
        if self.attempts.is_empty() {
            shared.idle.push(self.token);
        }
        self.continue_body(now, shared)
    }

    /// Withdraws attempts whose send deadline has passed: the process may have been suspended since they were
    /// queued.
    fn before_write(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let (stream, body) = (&mut self.stream, &self.outgoing_body);
        let mut flow = Flow::Open;
        self.attempts.retain(|id, running| {
            let is_late = running.pending.send_deadline <= now && stream.withdraw(running.message_tag);
            if is_late {
                shared.events.attempt_ended(id, running.number(), AttemptOutcome::Unsent);
                if body.as_ref().is_some_and(|body| body.id == *id) {
                    flow = Flow::Close; // the queued part of its body must not be sent
                }
            }
            !is_late
        });
        flow
    }

    fn has_unqueued_output(&self) -> bool {
        self.outgoing_body.as_ref().is_some_and(|body| !body.waits_for_bytes)
    }

    /// Unsent attempts never ran; the others may have.
    fn closed(&mut self, _: Time, shared: &mut Shared) {
        shared.sent_attempts += self.stream.counted_sent();
        self.end_body(shared);
        let was_up = matches!(self.stream.connect_state(), ConnectState::Connected | ConnectState::Reset);
        for (id, running) in self.attempts.drain() {
            let is_unsent = self.stream.withdraw(running.message_tag);
            if is_unsent && was_up && running.pending.moves < shared.limits.engines.max_moves {
                shared.moved.push(running.pending);
                continue;
            }
            let outcome = outcome_of_close(&self.stream, is_unsent);
            shared.events.attempt_ended(&id, running.number(), outcome);
        }
    }
}
