//! Handling of expired deadlines of connections, attempts and engines.

use super::connection::RespConnection;
use super::shared::TimerEvent;
use super::RespUpstream;
use crate::core::AttemptOutcome;
use crate::net::{Time, Token};
use crate::upstream::events::AttemptKey;
use dahliaspoke::policy::EngineId;

impl RespUpstream {
    /// Handles a timer that is due.
    pub(super) fn handle_timer(&mut self, now: Time, event: TimerEvent) {
        match event {
            TimerEvent::IdleDeadline(token) => self.check_idle(now, token),
            TimerEvent::ReplyDeadline(token) => self.check_reply_deadline(now, token),
            TimerEvent::SecondConnect(key) => self.connect_second(now, &key),
            TimerEvent::SendDeadline(key) => self.check_send_deadline(now, &key),
            TimerEvent::DrainDeadline(id) => self.end_drain(now, &id),
        }
    }

    /// Closes a connection that was not established in time or has been idle too long.
    fn check_idle(&mut self, now: Time, token: Token) {
        let Some(connection) = self.pool.slab.get(token) else { return };
        let is_unused = connection.stream.is_connecting() || connection.attempts.is_empty();
        if is_unused && connection.idle_deadline <= now {
            return self.pool.slab.close(now, token, &mut self.shared);
        }
        let next_check =
            if is_unused { connection.idle_deadline } else { now + self.shared.limits.engines.idle_timeout };
        connection.idle_deadline = connection.idle_deadline.max(next_check);
        self.shared.timers.set(next_check, TimerEvent::IdleDeadline(token));
    }

    /// Closes a connection on which a reply has stalled: nothing after it can be read.
    fn check_reply_deadline(&mut self, now: Time, token: Token) {
        if self.pool.slab.get(token).is_some_and(|connection| connection.reply_deadline <= now) {
            self.pool.slab.close(now, token, &mut self.shared);
        }
    }

    /// Ends an attempt of which no byte was written by its send deadline.
    fn check_send_deadline(&mut self, now: Time, key: &AttemptKey) {
        let Some(token) = self.pool.attempts.get(key).copied() else { return };
        let is_due = |connection: &mut RespConnection| {
            connection.attempts.get(&key.id).is_some_and(|running| running.pending.send_deadline <= now)
        };
        if self.pool.slab.get(token).is_some_and(is_due) && self.withdraw(now, token, &key.id).is_some() {
            self.shared.events.attempt_ended(&key.id, key.number, AttemptOutcome::Unsent);
            self.close_spare_connects(now, token);
        }
    }

    /// The drain grace of an engine has passed. An attempt counts as sent from its first byte: one of which
    /// no byte has been written must not be sent any more, and ends as unsent.
    pub(super) fn end_drain(&mut self, now: Time, id: &EngineId) {
        if self.pool.engines.get(id).is_none_or(|engine| !engine.is_closed(now)) {
            return;
        }
        for token in self.pool.connections_of(id) {
            self.withdraw_all(now, token);
            // A connection that is established from now on cannot be used.
            if self.pool.slab.get(token).is_some_and(|connection| connection.stream.is_connecting()) {
                self.pool.slab.close(now, token, &mut self.shared);
            }
        }
        if !self.pool.engines.remove_closed(now, id) {
            let next_check = now + self.shared.limits.engines.idle_timeout;
            self.shared.timers.set(next_check, TimerEvent::DrainDeadline(id.clone()));
        }
    }

    /// Ends all attempts on a connection of which no byte has been written.
    fn withdraw_all(&mut self, now: Time, token: Token) {
        let Some(connection) = self.pool.slab.get(token) else { return };
        let ids: Vec<_> = connection.attempts.keys().cloned().collect();
        for id in ids {
            if let Some(running) = self.withdraw(now, token, &id) {
                self.shared.events.attempt_ended(&id, running.number(), AttemptOutcome::Unsent);
            }
        }
    }
}
