//! Attempts over `MySQL`: one at a time on a connection. A statement is prepared on each connection when it
//! first runs there, so an execution can be sent to any engine.
//!
//! - `handshake`: authentication of a new connection
//! - `connection`: one connection and its attempt
//! - `prepared`: statements that are prepared on a connection
//! - `command`, `large_command`: the commands that run an attempt, sent whole or in parts
//! - `query_result`: a result, and the outcome of the attempt

mod command;
mod connection;
mod handshake;
mod large_command;
mod prepared;
mod query_result;
mod shared;

use super::events::AttemptKey;
use super::pool::{ConnectionPool, EngineConnection, PoolLimits};
use crate::body_store;
use crate::core::{Attempt, AttemptOutcome, Upstream, UpstreamEvent};
use crate::limits::Limits;
use crate::mysql::config::Mysql;
use crate::net::{BufferedStream, EventHandler, Flow, Poller, Ready, Time, Token};
use connection::{ConnectionState, MysqlConnection, RunningAttempt};
use dahliaspoke::policy::{EngineId, Lifecycle, RequestId};
use shared::{Shared, TimerEvent};
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

/// The `MySQL` connections to all engines.
pub struct MysqlUpstream {
    pool: ConnectionPool<MysqlConnection>,
    shared: Shared,
}

impl MysqlUpstream {
    /// Creates an upstream without engines. The poller reports its descriptors to the event handler `owner`.
    pub fn new(
        owner: u8,
        config: Rc<Mysql>,
        body_store: Option<body_store::SharedBodyStore>,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> Self {
        Self { pool: ConnectionPool::new(owner, poller), shared: Shared::new(config, body_store, limits) }
    }

    /// Removes and returns the oldest event that the core has not received. The daemon calls this until it
    /// returns `None`.
    pub fn next_event(&mut self) -> Option<UpstreamEvent> {
        self.pool.next_event(&mut self.shared.events)
    }

    /// Continues a body whose reader may have new bytes. Called when the body store reports it.
    pub fn continue_body(&mut self, now: Time, reader: u64) {
        let Some(token) = self.shared.bodies.connection(reader) else { return };
        self.pool.continue_body(now, token, &mut self.shared);
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
        address: Option<IpAddr>,
    ) {
        let address = self.shared.config.engine.address(id, address);
        let drain_deadline = notified_at + self.shared.limits.engines.drain_grace;
        if let Some(deadline) = self.pool.update_engine(id, lifecycle, address, drain_deadline) {
            self.shared.timers.set(deadline, TimerEvent::DrainDeadline(id.clone()));
        }
        if let Some(address) = address.filter(|_| lifecycle == Lifecycle::Ready) {
            self.close_former_engines(now, id, address);
        }
        self.leave_former_address(now, id);
    }

    /// An address now belongs to this engine: attempts that still wait for a connection to one that has gone from
    /// there must not reach this one. Engines that share an address on purpose are all ready.
    fn close_former_engines(&mut self, now: Time, id: &EngineId, address: SocketAddr) {
        for former in self.pool.engines.departing_others_at(id, address) {
            self.pool.engines.close(now, &former);
            self.end_drain(now, &former);
        }
    }

    /// The engine may have another address now: connections to the former one end, unless a statement was sent
    /// there.
    fn leave_former_address(&mut self, now: Time, id: &EngineId) {
        for token in self.pool.connections_elsewhere(id) {
            self.close_unless_sent(now, token);
        }
    }

    /// Closes a connection whose attempt, if it has one, has not been sent.
    fn close_unless_sent(&mut self, now: Time, token: Token) {
        let Some(connection) = self.pool.slab.get(token) else { return };
        if connection.running.is_none() || connection.withdraw() {
            self.pool.slab.close(now, token, &mut self.shared);
        }
    }

    /// Closes a connection that was not ready in time or has been idle too long.
    fn check_idle(&mut self, now: Time, token: Token) {
        let Some(connection) = self.pool.slab.get(token) else { return };
        let is_unused = connection.running.is_none() || !connection.is_ready();
        if is_unused && connection.idle_deadline <= now {
            return self.pool.slab.close(now, token, &mut self.shared);
        }
        let next_check = connection.idle_deadline.max(now + self.shared.limits.engines.connection_wait);
        self.shared.timers.set(next_check, TimerEvent::IdleDeadline(token));
    }

    /// The drain grace of an engine has passed: attempts that still wait for a connection must not start
    /// there. Idle connections are closed too, because sessions now use other engines.
    fn end_drain(&mut self, now: Time, id: &EngineId) {
        if self.pool.engines.get(id).is_none_or(|engine| !engine.is_closed(now)) {
            return;
        }
        self.pool.remove_ended(id);
        for token in self.pool.connections_of(id) {
            self.close_unless_sent(now, token);
        }
        if !self.pool.engines.remove_closed(now, id) {
            let next_check = now + self.shared.limits.engines.idle_timeout;
            self.shared.timers.set(next_check, TimerEvent::DrainDeadline(id.clone()));
        }
    }

    /// Returns an idle connection to the attempt's engine, if possible one on which the statement is
    /// prepared, or opens a new one.
    fn connection_for(&mut self, now: Time, attempt: &Attempt) -> Option<Token> {
        self.pool.engines.get_open(now, &attempt.engine)?;
        self.pool.remove_ended(&attempt.engine);
        self.idle_connection(attempt).or_else(|| self.connect(now, attempt))
    }

    fn idle_connection(&mut self, attempt: &Attempt) -> Option<Token> {
        let ConnectionPool { slab, engines, .. } = &mut self.pool;
        let engine = engines.get(&attempt.engine)?;
        let is_idle = |connection: &&mut MysqlConnection| {
            matches!(connection.state, ConnectionState::Idle) && connection.address() == engine.address
        };
        let mut first_idle = None;
        for token in &engine.connections {
            let Some(connection) = slab.get(*token).filter(is_idle) else { continue };
            if connection.prepared.find(&attempt.payload.statement).is_some() {
                return Some(*token);
            }
            first_idle = first_idle.or(Some(*token));
        }
        first_idle
    }

    /// Opens a connection to the attempt's engine; `None` if the pool has no capacity or the connection
    /// cannot be started.
    fn connect(&mut self, now: Time, attempt: &Attempt) -> Option<Token> {
        let limits = &self.shared.limits.engines;
        let pool_limits =
            PoolLimits { per_engine: limits.max_mysql_connections_per_engine, total: limits.max_connections };
        if !self.pool.has_capacity(&attempt.engine, pool_limits) {
            return None;
        }
        let address = self.pool.engines.get(&attempt.engine)?.address;
        let stream = BufferedStream::connect(address).ok()?;
        let ready_deadline = (now + limits.connection_wait).min(attempt.send_deadline);
        let connection = |token| MysqlConnection::new(token, stream, address, ready_deadline);
        let token = self.pool.add(&attempt.engine, connection)?;
        self.shared.timers.set(ready_deadline, TimerEvent::IdleDeadline(token));
        Some(token)
    }
}

impl EventHandler for MysqlUpstream {
    fn next_deadline(&mut self) -> Option<Time> {
        self.shared.timers.next_deadline()
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        self.pool.slab.on_ready(now, ready, &mut self.shared);
    }

    fn on_timer(&mut self, now: Time) {
        while let Some(event) = self.shared.timers.pop_due(now) {
            match event {
                TimerEvent::IdleDeadline(token) => self.check_idle(now, token),
                TimerEvent::DrainDeadline(id) => self.end_drain(now, &id),
            }
        }
    }
}

impl Upstream for MysqlUpstream {
    fn start(&mut self, now: Time, attempt: Attempt) {
        let key = AttemptKey::new(&attempt.id, attempt.attempt);
        let drain_deadline = self.pool.engines.drain_deadline(&attempt.engine);
        let send_deadline = attempt.send_deadline.min(drain_deadline).min(self.pool.lease_end);
        if send_deadline <= now {
            return self.shared.events.attempt_ended(&key.id, key.number, AttemptOutcome::Unsent);
        }
        let token = self.connection_for(now, &attempt);
        let Some(connection) = token.and_then(|token| self.pool.slab.get(token)) else {
            // There is no connection: the pool has no capacity, the engine is closed or not in the pool,
            // connecting failed at once, or the poller refused the socket. All of these are reported as a full
            // engine: the attempt never ran, and a full pool is no sign that the engine is unreachable.
            return self.shared.events.attempt_ended(&key.id, key.number, AttemptOutcome::Full);
        };
        let token = connection.token;
        connection.running = Some(RunningAttempt {
            key: key.clone(),
            send_deadline,
            payload: attempt.payload,
            message_tag: None,
        });
        let mut flow = Flow::Open;
        if matches!(connection.state, ConnectionState::Idle) {
            connection.start_attempt(&self.shared.limits.mysql);
            flow = connection.continue_body(now, &mut self.shared);
        }
        self.pool.attempts.insert(key, token);
        self.pool.slab.settle(now, token, flow, &mut self.shared);
    }

    /// `MySQL` cannot cancel a statement on its own connection, so the connection is closed.
    fn abandon(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool {
        let key = AttemptKey::new(id, attempt);
        let Some(token) = self.pool.attempts.remove(&key) else { return false };
        let Some(connection) = self.pool.slab.get(token) else { return false };
        if connection.running.as_ref().is_none_or(|running| running.key != key) {
            return false;
        }
        let is_unsent = connection.withdraw();
        connection.running = None;
        self.pool.slab.close(now, token, &mut self.shared);
        is_unsent
    }

    /// The protocol has no priorities.
    fn set_priority(&mut self, _: Time, _: &RequestId, _: u32, _: u8) {}

    fn sent_attempts(&self) -> u64 {
        self.shared.sent_attempts + self.pool.sent_attempts()
    }
}
