//! Puts attempts on connections, and moves those of which no byte went out.

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

/// An attempt that waits for its connection to come up.
struct WaitingAttempt {
    id: RequestId,
    connection: Token,
    send_deadline: Time,
}

impl RespUpstream {
    /// Sends an attempt, or has it wait for its connection until its send deadline.
    pub(super) fn begin(&mut self, now: Time, mut pending: PendingAttempt) {
        let attempt = &pending.attempt;
        let Ok(reader) = self.shared.bodies.open(now, attempt.payload.body.as_ref()) else {
            // Its body is gone: it is not sent, and cannot be.
            return self.shared.events.attempt_ended(&attempt.id, attempt.attempt, AttemptOutcome::Expired);
        };
        pending.send_deadline = pending.send_deadline.min(self.pool.lease_end);
        let found = if now < pending.send_deadline {
            self.connection_for(now, &pending.attempt)
        } else {
            Err(AttemptOutcome::Unsent)
        };
        match found {
            Ok(token) => self.put_on_connection(now, token, pending, reader),
            Err(outcome) => {
                let attempt = &pending.attempt;
                self.shared.events.attempt_ended(&attempt.id, attempt.attempt, outcome);
            }
        }
    }

    /// Queues an attempt on a connection, and sets its timers while it has not gone out.
    fn put_on_connection(
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
    }

    /// Lets attempts that wait go on. A connection that was up, and ended before an attempt went out, says nothing of the
    /// engine: the attempt is moved to another. One that has become idle takes the attempt that has waited for longest.
    pub(super) fn send_waiting(&mut self, now: Time) {
        loop {
            if let Some(mut pending) = self.shared.moved.pop() {
                pending.moves += 1;
                self.begin(now, pending);
            } else if let Some(idle) = self.shared.idle.pop() {
                self.move_to_idle(now, idle);
            } else {
                return;
            }
        }
    }

    /// Moves the attempt that waits for longest for a connection to the engine of this one here, if it is idle.
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
            self.put_on_connection(now, idle, running.pending, None);
            self.close_spare_connects(now, waiting.connection);
        }
    }

    /// The attempt with the earliest send deadline, of those that wait for a connection to that engine to come up. One
    /// with a large body stays where it is.
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

    /// Removes an attempt from its connection, if no byte of it has gone out.
    pub(super) fn withdraw(&mut self, now: Time, token: Token, id: &RequestId) -> Option<RunningAttempt> {
        let connection = self.pool.slab.get(token)?;
        let message_tag = connection.attempts.get(id)?.message_tag;
        if !connection.stream.withdraw(message_tag) {
            return None;
        }
        let running = connection.attempts.remove(id);
        if connection.sends_body_of(id) {
            // What is queued of its body must not go out.
            self.pool.slab.close(now, token, &mut self.shared);
        }
        running
    }
}

impl RespConnection {
    /// Queues the command that starts an attempt. Its body, which `reader` brings, follows when the connection is asked to
    /// continue it.
    fn queue(&mut self, now: Time, pending: PendingAttempt, reader: Option<Reader>) {
        let command = command::start(now, &pending.attempt);
        let id = pending.attempt.id.clone();
        let message_tag = match reader {
            None => self.stream.push_counted(command),
            Some(reader) => {
                self.outgoing_body = Some(OutgoingBody { id: id.clone(), reader, waits_for_bytes: false });
                // It counts with the end of its body.
                self.stream.push(command)
            }
        };
        let running = RunningAttempt { pending, queued_at: now, message_tag, result: ResultState::Awaited };
        self.attempts.insert(id, running);
    }
}
