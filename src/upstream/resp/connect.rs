//! Which connection an attempt uses, and when new ones are opened.

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

/// How much a connection has to do. Those that are up come before those that connect.
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

/// How an attempt ends whose connection the system refuses to open.
fn connect_error_outcome(error: &io::Error) -> AttemptOutcome {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => AttemptOutcome::ConnectionRefused,
        io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => AttemptOutcome::Unsent,
        // No descriptor, port or memory for it here: that says nothing of the engine.
        _ => AttemptOutcome::Full,
    }
}

impl RespUpstream {
    /// A connection for the attempt: an idle one, or a new one, or the one that has least to do. Whatever ends a
    /// connection ends all attempts on it, so each has one of its own while there are enough.
    ///
    /// # Errors
    /// How the attempt ends without one.
    pub(super) fn connection_for(&mut self, now: Time, attempt: &Attempt) -> Result<Token, AttemptOutcome> {
        let engine = self.pool.engines.get_open(now, &attempt.engine).ok_or(AttemptOutcome::Unsent)?;
        let address = engine.address;
        self.pool.remove_ended(&attempt.engine);
        let best = self.least_loaded(now, attempt, address);
        if let Some(idle) = best.as_ref().filter(|best| best.load == ConnectionLoad::IDLE) {
            return Ok(idle.token);
        }
        match (self.connect(now, &attempt.engine), best) {
            // Without a place or a descriptor for one of its own it shares one.
            (Err(AttemptOutcome::Full), Some(best)) => Ok(best.token),
            (connected, _) => connected,
        }
    }

    /// The connection to the attempt's engine that has least to do, of those that accept the attempt.
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
    /// How an attempt ends that needs it: `Unsent` where the engine is closed, `Full` where the pool has no capacity.
    fn connect(&mut self, now: Time, id: &EngineId) -> Result<Token, AttemptOutcome> {
        let limits = &self.shared.limits.engines;
        let engine = self.pool.engines.get_open(now, id).ok_or(AttemptOutcome::Unsent)?;
        let address = engine.address;
        let pool_limits =
            PoolLimits { per_engine: limits.max_connections_per_engine, total: limits.max_connections };
        // That the pool has no capacity for it says nothing of whether the engine can be reached.
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
        self.shared.timers.set(connect_deadline, TimerEvent::Connection(token));
        Ok(token)
    }

    /// An attempt has waited for its connection for longer than those take that are not late: a second one races the
    /// first, and both stay for later attempts.
    pub(super) fn connect_second(&mut self, now: Time, key: &AttemptKey) {
        let Some(token) = self.pool.attempts.get(key).copied() else { return };
        let is_connecting = |connection: &&mut RespConnection| connection.stream.is_connecting();
        let Some(connection) = self.pool.slab.get(token).filter(is_connecting) else { return };
        let engine = connection.engine.clone();
        // One that cannot be begun is as one that never comes up.
        let _ = self.connect(now, &engine);
    }

    /// Of the connections to an engine that are still not up and that no attempt waits for, a few are kept: those begun
    /// last. `token` is a connection to that engine.
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
