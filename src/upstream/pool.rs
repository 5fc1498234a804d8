//! The connections of one upstream to all engines.

use super::engines::Engines;
use super::events::{AttemptKey, EventQueue};
use crate::core::UpstreamEvent;
use crate::net::{Connection, ConnectionSlab, Flow, Poller, Time, Token};
use dahliaspoke::policy::{EngineId, Lifecycle};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The interface of a connection to an engine that the pool uses.
pub trait EngineConnection: Connection {
    /// Attempts that have been written completely on this connection.
    fn sent_attempts(&self) -> u64;

    /// The address that it was opened to.
    fn address(&self) -> SocketAddr;

    /// Lowers the send deadlines of the connection's attempts to `deadline` at most. Called when the engine
    /// starts to drain.
    fn limit_send_deadlines(&mut self, deadline: Time);

    /// Queues more of the body that is being sent. Called when its reader may have new bytes.
    fn continue_body(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;
}

/// Limits on the number of connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Connections to one engine.
    pub per_engine: usize,
    /// Connections to all engines.
    pub total: usize,
}

/// The connections of one upstream, the engines that they belong to, and the attempts in flight on them.
pub struct ConnectionPool<C> {
    /// The connections.
    pub slab: ConnectionSlab<C>,
    /// The engines.
    pub engines: Engines,
    /// The connection of each attempt in flight.
    pub attempts: HashMap<AttemptKey, Token>,
    /// The end of the endpoint set's lease: no send may start from then on.
    pub lease_end: Time,
}

impl<C: EngineConnection> ConnectionPool<C> {
    /// Creates an empty pool. The poller reports its descriptors to the event handler `owner`.
    pub fn new(owner: u8, poller: Rc<Poller>) -> Self {
        Self {
            slab: ConnectionSlab::new(owner, poller),
            engines: Engines::default(),
            attempts: HashMap::new(),
            lease_end: Time::INFINITY,
        }
    }

    /// Removes and returns the oldest event. An attempt that it reports as ended is no longer in flight.
    pub fn next_event(&mut self, events: &mut EventQueue) -> Option<UpstreamEvent> {
        let event = events.pop()?;
        if let UpstreamEvent::AttemptEnd { id, attempt, .. } = &event {
            self.attempts.remove(&AttemptKey::new(id, *attempt));
        }
        Some(event)
    }

    /// Applies an engine's lifecycle and address from the endpoint set, see [`Engines::update`]. If the
    /// engine starts to drain, lowers the send deadlines of its attempts to the drain deadline, which is
    /// returned.
    pub fn update_engine(
        &mut self,
        id: &EngineId,
        lifecycle: Lifecycle,
        address: Option<SocketAddr>,
        drain_deadline: Time,
    ) -> Option<Time> {
        let deadline = self.engines.update(id, lifecycle, address, drain_deadline)?;
        for token in self.connections_of(id) {
            if let Some(connection) = self.slab.get(token) {
                connection.limit_send_deadlines(deadline);
            }
        }
        Some(deadline)
    }

    /// The connections to an engine; some may have ended.
    pub fn connections_of(&self, id: &EngineId) -> Vec<Token> {
        self.engines.get(id).map(|engine| engine.connections.clone()).unwrap_or_default()
    }

    /// The connections of an engine that were opened to an address that it no longer has. Another process may be
    /// there by now.
    pub fn connections_elsewhere(&mut self, id: &EngineId) -> Vec<Token> {
        let Some(address) = self.engines.get(id).map(|engine| engine.address) else { return Vec::new() };
        let slab = &mut self.slab;
        let mut tokens = self.engines.get(id).map(|engine| engine.connections.clone()).unwrap_or_default();
        tokens.retain(|token| slab.get(*token).is_some_and(|connection| connection.address() != address));
        tokens
    }

    /// Removes the connections that have ended from their engine's list.
    pub fn remove_ended(&mut self, id: &EngineId) {
        let slab = &mut self.slab;
        if let Some(engine) = self.engines.get_mut(id) {
            engine.connections.retain(|token| slab.get(*token).is_some());
        }
    }

    /// Whether another connection to an engine may be opened.
    pub fn has_capacity(&self, id: &EngineId, limits: PoolLimits) -> bool {
        let connections = self.engines.get(id).map_or(0, |engine| engine.connections.len());
        connections < limits.per_engine && self.slab.len() < limits.total
    }

    /// Adds the connection that `make` builds for the given token. `None` if the system refuses to watch it.
    pub fn add(&mut self, id: &EngineId, make: impl FnOnce(Token) -> C) -> Option<Token> {
        let token = self.slab.add(|token| Some(make(token))).ok().flatten()?;
        if let Some(engine) = self.engines.get_mut(id) {
            engine.connections.push(token);
        }
        Some(token)
    }

    /// Writes a connection's queued output, and closes the connection if that fails or it must end.
    pub fn settle(&mut self, now: Time, token: Token, shared: &mut C::Shared) {
        self.slab.settle(now, token, Flow::Open, shared);
    }

    /// Sends more of the body that a connection is sending.
    pub fn continue_body(&mut self, now: Time, token: Token, shared: &mut C::Shared) {
        let Some(connection) = self.slab.get(token) else { return };
        let flow = connection.continue_body(now, shared);
        self.slab.settle(now, token, flow, shared);
    }

    /// Attempts that have been written completely on connections that are still open.
    pub fn sent_attempts(&self) -> u64 {
        self.slab.iter().map(EngineConnection::sent_attempts).sum()
    }
}
