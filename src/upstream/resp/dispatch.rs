//! Queues attempts on connections, and moves those of which no byte has been written.

use super::attempt::{OutgoingBody, PendingAttempt, ResultState, RunningAttempt};
use super::command;
use super::connection::RespConnection;
use super::shared::TimerEvent;
use super::RespUpstream;
use crate::core::AttemptOutcome;
use crate::net::{Time, Token};
use crate::upstream::events::AttemptKey;
use crate::upstream::pool::ConnectionPool;
use dahliaspoke::policy::{EngineId, RequestId};
use dahliaspoke_body_store::Reader;

/// An attempt that waits for its connection to be established.
struct WaitingAttempt {
    id: RequestId,
    connection: Token,
    send_deadline: Time,
}

impl RespUpstream {
    /// Sends an attempt, or queues it on a connecting connection until its send deadline.
    pub(super) fn send_or_queue(&mut self, now: Time, mut pending: PendingAttempt) {
        let attempt = &pending.attempt;
        let Ok(reader) = self.shared.bodies.open(now, attempt.payload.body.as_ref()) else {
            // Its body is no longer stored, so it cannot be sent.
            return self.shared.events.attempt_ended(&attempt.id, attempt.attempt, AttemptOutcome::Expired);
        };
        pending.send_deadline = pending.send_deadline.min(self.pool.lease_end);
        let found = if now < pending.send_deadline {
            self.connection_for(now, &pending.attempt)
        } else {
            Err(AttemptOutcome::Unsent)
        };
        match found {
            Ok(token) => self.queue_on_connection(now, token, pending, reader),
            Err(outcome) => {
                let attempt = &pending.attempt;
                self.shared.events.attempt_ended(&attempt.id, attempt.attempt, outcome);
            }
        }
    }

    /// Queues an attempt on a connection, and sets its timers if it was not written at once.
    fn queue_on_connection(
        &mut self,
        now: Time,
        token: Token,
        mut pending: PendingAttempt,
        reader: Option<Reader>,
    ) {
        pending.send_deadline = pending.send_deadline.min(self.pool.lease_end);
        let send_deadline = pending.send_deadline;
        let key = AttemptKey::new(&pending.attempt.id, pending.attempt.attempt);
        let Some(connection) = self.pool.slab.get(token) else { return };
        if let Some(reader) = &reader {
            self.shared.bodies.insert(reader.id, token);
        }
        connection.queue(now, pending, reader);
        let is_connecting = connection.stream.is_connecting();
        self.pool.attempts.insert(key.clone(), token);
        self.pool.continue_body(now, token, &mut self.shared);
        if is_connecting {
            let second_connect = now + self.shared.limits.engines.second_connect_after;
            self.shared.timers.set(second_connect, TimerEvent::SecondConnect(key.clone()));
        }
        let is_queued = |connection: &mut RespConnection| {
            connection.attempts.contains_key(&key.id) && connection.stream.queued() > 0
        };
        if is_connecting || self.pool.slab.get(token).is_some_and(is_queued) {
            self.shared.timers.set(send_deadline, TimerEvent::SendDeadline(key));
        }
        let attempts = &self.pool.attempts;
        self.shared.timers.discard_stale(|event| match event {
            TimerEvent::SecondConnect(key) | TimerEvent::SendDeadline(key) => attempts.contains_key(key),
            TimerEvent::IdleDeadline(_) | TimerEvent::ReplyDeadline(_) | TimerEvent::DrainDeadline(_) => true,
        });
    }

    /// Assigns waiting attempts to other connections. An attempt whose established connection ended before it
    /// was sent is moved, because the end of a connection says nothing about the engine. A connection that
    /// has become idle gets the attempt that has waited longest.
    pub(super) fn send_waiting(&mut self, now: Time) {
        loop {
            if let Some(mut pending) = self.shared.moved.pop() {
                pending.moves += 1;
                self.send_or_queue(now, pending);
            } else if let Some(idle) = self.shared.idle.pop() {
                self.move_to_idle(now, idle);
            } else {
                return;
            }
        }
    }

    /// Moves to this connection, if it is idle, the attempt that has waited longest for a connection to its
    /// engine.
    fn move_to_idle(&mut self, now: Time, idle: Token) {
        let is_idle = |connection: &&mut RespConnection| {
            !connection.stream.is_connecting() && !connection.is_suspect && connection.attempts.is_empty()
        };
        let Some(connection) = self.pool.slab.get(idle).filter(is_idle) else { return };
        let (id, address) = (connection.engine.clone(), connection.address);
        if self.pool.engines.get_open(now, &id).is_none_or(|engine| engine.address != address) {
            return self.pool.slab.close(now, idle, &mut self.shared);
        }
        let Some(waiting) = self.longest_waiting(&id) else { return };
        let is_barred = |connection: &mut RespConnection| connection.is_barred(now, &waiting.id);
        if self.pool.slab.get(idle).is_some_and(is_barred) {
            return;
        }
        if let Some(running) = self.withdraw(now, waiting.connection, &waiting.id) {
            self.queue_on_connection(now, idle, running.pending, None);
            self.close_spare_connects(now, waiting.connection);
        }
    }

    /// The attempt with the earliest send deadline among those that wait for a connection to that engine to
    /// be established. An attempt with a large body is not moved.
    fn longest_waiting(&mut self, engine: &EngineId) -> Option<WaitingAttempt> {
        let ConnectionPool { slab, engines, .. } = &mut self.pool;
        let mut longest: Option<WaitingAttempt> = None;
        for token in &engines.get(engine)?.connections {
            let Some(connection) = slab.get(*token).filter(|connection| connection.stream.is_connecting())
            else {
                continue;
            };
            for (id, running) in &connection.attempts {
                let send_deadline = running.pending.send_deadline;
                let is_earlier = longest.as_ref().is_none_or(|longest| send_deadline < longest.send_deadline);
                if is_earlier && running.pending.attempt.payload.body.is_none() {
                    longest = Some(WaitingAttempt { id: id.clone(), connection: *token, send_deadline });
                }
            }
        }
        longest
    }

    /// Removes an attempt from its connection if no byte of it has been written.
    pub(super) fn withdraw(&mut self, now: Time, token: Token, id: &RequestId) -> Option<RunningAttempt> {
        let connection = self.pool.slab.get(token)?;
        let message_tag = connection.attempts.get(id)?.message_tag;
        if !connection.stream.withdraw(message_tag) {
            return None;
        }
        let running = connection.attempts.remove(id);
        if connection.sends_body_of(id) {
            // The queued part of its body must not be sent.
            self.pool.slab.close(now, token, &mut self.shared);
        }
        running
    }
}

impl RespConnection {
    /// Queues the command that starts an attempt. Its body, read through `reader`, follows with calls of
    /// `continue_body`.
    fn queue(&mut self, now: Time, pending: PendingAttempt, reader: Option<Reader>) {
        let command = command::start(now, &pending.attempt);
        let id = pending.attempt.id.clone();
        let message_tag = match reader {
            None => self.stream.push_counted(command),
            Some(reader) => {
                self.outgoing_body = Some(OutgoingBody { id: id.clone(), reader, waits_for_bytes: false });
                // It is counted as sent with the end of its body.
                self.stream.push(command)
            }
        };
        let running = RunningAttempt { pending, queued_at: now, message_tag, result: ResultState::Awaited };
        self.attempts.insert(id, running);
    }
}
