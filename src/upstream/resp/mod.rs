//! Attempts over the platform's engine protocol: many on a connection, answers in any order, results in pages.
//!
//! - `attempt`, `result_pages`: an attempt and what has come of its result
//! - `command`, `reply`, `fields`: the protocol's messages
//! - `connection`, `answers`: one connection, and what it does with answers
//! - `connect`: which connection an attempt uses
//! - `dispatch`: puts attempts on connections and moves those that were not sent
//! - `deadlines`: timers

mod answers;
mod attempt;
mod command;
mod connect;
mod connection;
mod deadlines;
mod dispatch;
mod fields;
mod reply;
mod result_pages;
mod shared;

use super::events::AttemptKey;
use super::pool::ConnectionPool;
use crate::body_store;
use crate::core::{Attempt, Upstream, UpstreamEvent};
use crate::limits::Limits;
use crate::net::{EventHandler, Poller, Ready, Time};
use attempt::PendingAttempt;
use connection::RespConnection;
use dahliaspoke::policy::{EngineId, Lifecycle, RequestId};
use shared::{Shared, TimerEvent};
use std::net::SocketAddr;
use std::rc::Rc;

/// The connections to all engines.
pub struct RespUpstream {
    pool: ConnectionPool<RespConnection>,
    shared: Shared,
}

impl RespUpstream {
    /// An upstream without engines, whose descriptors the poller reports to the event handler `owner`.
    pub fn new(
        owner: u8,
        body_store: Option<body_store::SharedBodyStore>,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> Self {
        Self { pool: ConnectionPool::new(owner, poller), shared: Shared::new(body_store, limits) }
    }

    /// Removes the oldest event that the core has not received. The daemon calls this until there is none.
    pub fn next_event(&mut self) -> Option<UpstreamEvent> {
        self.pool.next_event(&mut self.shared.events)
    }

    /// Continues a body whose reader may find something now. Called when the body store reports it.
    pub fn continue_body(&mut self, now: Time, reader: u64) {
        let Some(token) = self.shared.bodies.connection(reader) else { return };
        if self.pool.slab.get(token).is_none() {
            return;
        }
        self.pool.continue_body(now, token, &mut self.shared);
        self.send_waiting(now);
    }

    /// Sets the end of the endpoint set's lease: nothing begins to be sent from then on.
    pub fn set_lease_end(&mut self, until: Time) {
        self.pool.lease_end = until;
    }

    /// Applies what the endpoint set says of an engine; `notified` is since when this counts as known. `address` is
    /// absent where the endpoint set does not name one.
    pub fn update_engine(
        &mut self,
        now: Time,
        notified: Time,
        id: &EngineId,
        lifecycle: Lifecycle,
        address: Option<SocketAddr>,
    ) {
        let drain_deadline = notified + self.shared.limits.engines.drain_grace;
        if let Some(deadline) = self.pool.update_engine(id, lifecycle, address, drain_deadline) {
            self.shared.timers.set(deadline, TimerEvent::DrainDeadline(id.clone()));
        }
        if let Some(address) = address.filter(|_| lifecycle == Lifecycle::Ready) {
            self.close_former_engines(now, id, address);
        }
        self.send_waiting(now);
    }

    /// An address is this engine's now: what still waits for a connection to another engine there must not reach this one.
    fn close_former_engines(&mut self, now: Time, id: &EngineId, address: SocketAddr) {
        for former in self.pool.engines.others_at(id, address) {
            self.pool.engines.close(now, &former);
            self.end_drain(now, &former);
        }
    }

    /// Removes an attempt from its connection. Has the engine abandon it where some of it has gone out; returns whether none
    /// has.
    fn remove_attempt(&mut self, now: Time, key: &AttemptKey) -> bool {
        // Its end may be on its way to the core already; the core passes over what comes second.
        let Some(token) = self.pool.attempts.remove(key) else { return false };
        let Some(connection) = self.pool.slab.get(token) else { return false };
        let Some(running) = connection.attempts.remove(&key.id) else { return false };
        if connection.attempts.is_empty() && !connection.stream.is_connecting() {
            connection.idle_deadline = now + self.shared.limits.engines.idle_timeout;
        }
        let is_unsent = connection.stream.withdraw(running.message_tag);
        if connection.sends_body_of(&key.id) {
            // Half a body is on it: it is of no more use, and ends what runs there.
            self.pool.slab.close(now, token, &mut self.shared);
            return is_unsent;
        }
        if is_unsent {
            self.close_spare_connects(now, token);
            return true;
        }
        // Silent since, or stopped in the middle of an answer: it may be of no more use.
        let is_silent = connection.last_received < running.queued_at;
        connection.is_suspect |= is_silent || !connection.stream.input.is_empty();
        if connection.is_suspect && connection.attempts.is_empty() {
            self.pool.slab.close(now, token, &mut self.shared); // which gives the attempt up
            return false;
        }
        connection.bar_id(now, &key.id, &self.shared.limits.engines);
        let abandon = if running.is_receiving() { command::close } else { command::abandon };
        connection.stream.push(abandon(&key.id));
        self.pool.settle(now, token, &mut self.shared);
        false
    }
}

impl EventHandler for RespUpstream {
    fn next_deadline(&mut self) -> Option<Time> {
        self.shared.timers.next_deadline()
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        self.pool.slab.on_ready(now, ready, &mut self.shared);
        self.send_waiting(now);
    }

    fn on_timer(&mut self, now: Time) {
        while let Some(event) = self.shared.timers.pop_due(now) {
            self.handle_timer(now, event);
        }
        self.send_waiting(now);
    }
}

impl Upstream for RespUpstream {
    fn start(&mut self, now: Time, attempt: Attempt) {
        let send_deadline = attempt
            .send_deadline
            .min(now + self.shared.limits.engines.connection_wait)
            .min(self.pool.engines.drain_deadline(&attempt.engine));
        self.begin(now, PendingAttempt { attempt, send_deadline, moves: 0 });
        self.send_waiting(now);
    }

    fn abandon(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool {
        let is_unsent = self.remove_attempt(now, &AttemptKey::new(id, attempt));
        // Its connection may have ended with it: what waited there is moved to another before anything else is done with it.
        self.send_waiting(now);
        is_unsent
    }

    fn set_priority(&mut self, now: Time, id: &RequestId, attempt: u32, priority: u8) {
        let Some(token) = self.pool.attempts.get(&AttemptKey::new(id, attempt)).copied() else { return };
        // In the middle of a body no other command can go out.
        let is_sendable = |connection: &&mut RespConnection| {
            connection.attempts.contains_key(id) && connection.outgoing_body.is_none()
        };
        let Some(connection) = self.pool.slab.get(token).filter(is_sendable) else { return };
        connection.stream.push(command::set_priority(id, priority));
        self.pool.settle(now, token, &mut self.shared);
        self.send_waiting(now);
    }

    fn sent_attempts(&self) -> u64 {
        self.shared.sent_attempts + self.pool.sent_attempts()
    }
}
