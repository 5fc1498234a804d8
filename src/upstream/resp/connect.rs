//! Chooses the connection for an attempt, and opens new ones.

use super::connection::RespConnection;
use super::shared::TimerEvent;
use super::RespUpstream;
use crate::core::{Attempt, AttemptOutcome};
use crate::net::{BufferedStream, Time, Token};
use crate::upstream::events::AttemptKey;
use crate::upstream::pool::{ConnectionPool, PoolLimits};
use dahliaspoke::policy::EngineId;
use std::io;
use std::net::SocketAddr;

/// The load of a connection. Established connections are ordered before connecting ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionLoad {
    is_connecting: bool,
    attempts: usize,
}

impl ConnectionLoad {
    const IDLE: Self = Self { is_connecting: false, attempts: 0 };
}

/// A connection that an attempt may use.
struct Candidate {
    load: ConnectionLoad,
    token: Token,
}

/// The outcome of an attempt whose connection the system refuses to open.
fn connect_error_outcome(error: &io::Error) -> AttemptOutcome {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => AttemptOutcome::ConnectionRefused,
        io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => AttemptOutcome::Unsent,
        // A local shortage of descriptors, ports or memory, which says nothing about the engine.
        _ => AttemptOutcome::Full,
    }
}

impl RespUpstream {
    /// Chooses a connection for the attempt: an idle one, a new one, or else the least loaded one. Whatever
    /// ends a connection ends all attempts sent on it, so each attempt has its own connection while there is
    /// capacity.
    ///
    /// # Errors
    /// The outcome of the attempt if there is no connection for it.
    pub(super) fn connection_for(&mut self, now: Time, attempt: &Attempt) -> Result<Token, AttemptOutcome> {
        let engine = self.pool.engines.get_open(now, &attempt.engine).ok_or(AttemptOutcome::Unsent)?;
        let address = engine.address;
        self.pool.remove_ended(&attempt.engine);
        let best = self.least_loaded(now, attempt, address);
        if let Some(idle) = best.as_ref().filter(|best| best.load == ConnectionLoad::IDLE) {
            return Ok(idle.token);
        }
        match (self.connect(now, &attempt.engine), best) {
            // Without capacity or a descriptor for a new connection, the attempt shares one.
            (Err(AttemptOutcome::Full), Some(best)) => Ok(best.token),
            (connected, _) => connected,
        }
    }

    /// The least loaded connection to the attempt's engine, among those that accept the attempt.
    fn least_loaded(&mut self, now: Time, attempt: &Attempt, address: SocketAddr) -> Option<Candidate> {
        let limits = &self.shared.limits.engines;
        let has_body = attempt.payload.body.is_some();
        let ConnectionPool { slab, engines, .. } = &mut self.pool;
        let mut best: Option<Candidate> = None;
        for token in &engines.get(&attempt.engine)?.connections {
            let Some(connection) = slab.get(*token) else { continue };
            let load = ConnectionLoad {
                is_connecting: connection.stream.is_connecting(),
                attempts: connection.attempts.len(),
            };
            if best.as_ref().is_none_or(|best| load < best.load)
                && connection.accepts(now, &attempt.id, has_body, limits)
                && connection.address == address
            {
                best = Some(Candidate { load, token: *token });
            }
        }
        best
    }

    /// Opens a connection to an engine.
    ///
    /// # Errors
    /// The outcome of an attempt that needs the connection: `Unsent` if the engine is closed, `Full` if the
    /// pool has no capacity.
    fn connect(&mut self, now: Time, id: &EngineId) -> Result<Token, AttemptOutcome> {
        let limits = &self.shared.limits.engines;
        let engine = self.pool.engines.get_open(now, id).ok_or(AttemptOutcome::Unsent)?;
        let address = engine.address;
        let pool_limits =
            PoolLimits { per_engine: limits.max_connections_per_engine, total: limits.max_connections };
        // A full pool says nothing about whether the engine is reachable.
        if !self.pool.has_capacity(id, pool_limits) {
            return Err(AttemptOutcome::Full);
        }
        let stream = BufferedStream::connect(address).map_err(|error| connect_error_outcome(&error))?;
        let connect_deadline = now + limits.connect_timeout;
        let connection = |token| {
            let mut connection = RespConnection::new(now, token, stream, id.clone(), address);
            connection.idle_deadline = connect_deadline;
            connection
        };
        let token = self.pool.add(id, connection).ok_or(AttemptOutcome::Full)?;
        self.shared.timers.set(connect_deadline, TimerEvent::IdleDeadline(token));
        Ok(token)
    }

    /// Opens a second connection for an attempt that has waited longer for its connection than an ordinary
    /// connect takes. The two connects race, and both connections stay open for later attempts.
    pub(super) fn connect_second(&mut self, now: Time, key: &AttemptKey) {
        let Some(token) = self.pool.attempts.get(key).copied() else { return };
        let is_connecting = |connection: &&mut RespConnection| connection.stream.is_connecting();
        let Some(connection) = self.pool.slab.get(token).filter(is_connecting) else { return };
        let engine = connection.engine.clone();
        // A connect that cannot be started is treated like one that never completes.
        let _ = self.connect(now, &engine);
    }

    /// Closes surplus connects to an engine. Of its connections that are still connecting and have no attempt
    /// waiting, the `max_spare_connects` most recent ones stay open. `token` is any connection to that
    /// engine.
    pub(super) fn close_spare_connects(&mut self, now: Time, token: Token) {
        let Some(id) = self.pool.slab.get(token).map(|connection| connection.engine.clone()) else { return };
        let ConnectionPool { slab, engines, .. } = &mut self.pool;
        let Some(engine) = engines.get(&id) else { return };
        let is_spare = |connection: &mut RespConnection| {
            connection.stream.is_connecting() && connection.attempts.is_empty()
        };
        let mut spare = engine.connections.clone();
        spare.retain(|token| slab.get(*token).is_some_and(is_spare));
        for token in spare.iter().rev().skip(self.shared.limits.engines.max_spare_connects) {
            self.pool.slab.close(now, *token, &mut self.shared);
        }
    }
}
