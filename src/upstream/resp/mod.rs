//! Attempts over the platform's engine protocol: many on a connection, with replies in any order and results
//! in pages.
//!
//! - `attempt`, `result_pages`: an attempt and the state of its result
//! - `command`, `reply`, `fields`: the protocol's messages
//! - `connection`, `answers`: one connection, and how it handles replies
//! - `connect`: the choice of a connection for an attempt
//! - `dispatch`: queues attempts on connections and moves unsent ones
//! - `deadlines`: expired deadlines

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

/// The connections to all engines that speak the platform's protocol.
pub struct RespUpstream {
    pool: ConnectionPool<RespConnection>,
    shared: Shared,
}

impl RespUpstream {
    /// Creates an upstream without engines. The poller reports its descriptors to the event handler `owner`.
    pub fn new(
        owner: u8,
        body_store: Option<body_store::SharedBodyStore>,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> Self {
        Self { pool: ConnectionPool::new(owner, poller), shared: Shared::new(body_store, limits) }
    }

    /// Removes and returns the oldest event that the core has not received. The daemon calls this until it
    /// returns `None`.
    pub fn next_event(&mut self) -> Option<UpstreamEvent> {
        self.pool.next_event(&mut self.shared.events)
    }

    /// Continues a body whose reader may have new bytes. Called when the body store reports it.
    pub fn continue_body(&mut self, now: Time, reader: u64) {
        let Some(token) = self.shared.bodies.connection(reader) else { return };
        if self.pool.slab.get(token).is_none() {
            return;
        }
        self.pool.continue_body(now, token, &mut self.shared);
        self.send_waiting(now);
    }

    /// Sets the end of the endpoint set's lease: no send may start from then on.
    pub fn set_lease_end(&mut self, until: Time) {
        self.pool.lease_end = until;
    }

    /// Applies an engine's lifecycle and address from the endpoint set. The drain grace is counted from
    /// `notified_at`. `address` is `None` if the endpoint set does not name one.
    pub fn update_engine(
        &mut self,
        now: Time,
        notified_at: Time,
        id: &EngineId,
        lifecycle: Lifecycle,
        address: Option<SocketAddr>,
    ) {
        let drain_deadline = notified_at + self.shared.limits.engines.drain_grace;
        if let Some(deadline) = self.pool.update_engine(id, lifecycle, address, drain_deadline) {
            self.shared.timers.set(deadline, TimerEvent::DrainDeadline(id.clone()));
        }
        if let Some(address) = address.filter(|_| lifecycle == Lifecycle::Ready) {
            self.close_former_engines(now, id, address);
        }
        self.leave_former_address(now, id);
        self.send_waiting(now);
    }

    /// The engine may have another address now: attempts that still wait for a connection to the former one are
    /// moved. Those that have been sent go on.
    fn leave_former_address(&mut self, now: Time, id: &EngineId) {
        for token in self.pool.connections_elsewhere(id) {
            let Some(connection) = self.pool.slab.get(token) else { continue };
            let ids: Vec<_> = connection.attempts.keys().cloned().collect();
            for id in ids {
                let withdrawn = self.withdraw(now, token, &id);
                self.shared.moved.extend(withdrawn.map(|running| running.pending));
            }
            if self.pool.slab.get(token).is_some_and(|connection| connection.attempts.is_empty()) {
                self.pool.slab.close(now, token, &mut self.shared);
            }
        }
    }

    /// An address now belongs to this engine: attempts that still wait for a connection to another engine at
    /// that address must not reach this one.
    fn close_former_engines(&mut self, now: Time, id: &EngineId, address: SocketAddr) {
        for former in self.pool.engines.others_at(id, address) {
            self.pool.engines.close(now, &former);
            self.end_drain(now, &former);
        }
    }

    /// Removes an attempt from its connection. If some of it has been written, tells the engine to abandon
    /// it. Returns whether none of it has been written.
    fn remove_attempt(&mut self, now: Time, key: &AttemptKey) -> bool {
        // Its end may already be queued for the core, which ignores the second end of an attempt.
        let Some(token) = self.pool.attempts.remove(key) else { return false };
        let Some(connection) = self.pool.slab.get(token) else { return false };
        let Some(running) = connection.attempts.remove(&key.id) else { return false };
        if connection.attempts.is_empty() && !connection.stream.is_connecting() {
            connection.idle_deadline = now + self.shared.limits.engines.idle_timeout;
        }
        let is_unsent = connection.stream.withdraw(running.message_tag);
        if connection.sends_body_of(&key.id) {
            // The body was sent only in part: the connection is unusable, and closing it ends the attempts on
            // it.
            self.pool.slab.close(now, token, &mut self.shared);
            return is_unsent;
        }
        if is_unsent {
            self.close_spare_connects(now, token);
            return true;
        }
        // No bytes since the attempt was queued, or an incomplete reply: the connection may be unusable.
        let is_silent = connection.last_received < running.queued_at;
        connection.is_suspect |= is_silent || !connection.stream.input.is_empty();
        if connection.is_suspect && connection.attempts.is_empty() {
            self.pool.slab.close(now, token, &mut self.shared); // ends the attempt at the engine too
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
        self.send_or_queue(now, PendingAttempt { attempt, send_deadline, moves: 0 });
        self.send_waiting(now);
    }

    fn abandon(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool {
        let is_unsent = self.remove_attempt(now, &AttemptKey::new(id, attempt));
        // The connection may have been closed with it: attempts that waited on it are moved before anything
        // else happens to them.
        self.send_waiting(now);
        is_unsent
    }

    fn set_priority(&mut self, now: Time, id: &RequestId, attempt: u32, priority: u8) {
        let Some(token) = self.pool.attempts.get(&AttemptKey::new(id, attempt)).copied() else { return };
        // No other command can be sent in the middle of a body.
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
