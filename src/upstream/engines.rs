//! The engines that an upstream may send to, and their drain deadlines.

use crate::net::{Time, Token};
use dahliaspoke::policy::{EngineId, Lifecycle};
use std::collections::HashMap;
use std::net::SocketAddr;

/// The upstream's record of an engine.
pub struct Engine {
    /// The address for new connections.
    pub address: SocketAddr,
    /// The time from which no attempt may start to be sent to the engine; `None` while the engine is ready.
    drain_deadline: Option<Time>,
    /// Its connections. They belong to the engine's id, never to its address, because addresses are reused.
    pub connections: Vec<Token>,
}

impl Engine {
    /// Whether the drain deadline has passed, so that nothing new may be sent to the engine.
    pub fn is_closed(&self, now: Time) -> bool {
        self.drain_deadline.is_some_and(|deadline| deadline <= now)
    }
}

/// The engines that an upstream may send to.
#[derive(Default)]
pub struct Engines(HashMap<EngineId, Engine>);

impl Engines {
    /// Applies an engine's lifecycle and address from the endpoint set. Returns the drain deadline if this
    /// call has set it. `address` is `None` if the endpoint set does not name one.
    pub fn update(
        &mut self,
        id: &EngineId,
        lifecycle: Lifecycle,
        address: Option<SocketAddr>,
        drain_deadline: Time,
    ) -> Option<Time> {
        if let Some(address) = address {
            let new = || Engine { address, drain_deadline: None, connections: Vec::new() };
            self.0.entry(id.clone()).or_insert_with(new).address = address;
        }
        let engine = self.0.get_mut(id)?;
        if lifecycle == Lifecycle::Ready {
            engine.drain_deadline = None;
            return None;
        }
        let is_new = engine.drain_deadline.is_none();
        engine.drain_deadline.get_or_insert(drain_deadline);
        engine.drain_deadline.filter(|_| is_new)
    }

    /// The other engines that are still recorded under this address.
    pub fn others_at(&self, id: &EngineId, address: SocketAddr) -> Vec<EngineId> {
        let others = self.0.iter().filter(|(other, engine)| *other != id && engine.address == address);
        others.map(|(other, _)| other.clone()).collect()
    }

    /// Those of them that are draining or gone.
    pub fn departing_others_at(&self, id: &EngineId, address: SocketAddr) -> Vec<EngineId> {
        let mut others = self.others_at(id, address);
        others.retain(|other| self.drain_deadline(other) < Time::INFINITY);
        others
    }

    /// Forbids new sends to an engine from now on.
    pub fn close(&mut self, now: Time, id: &EngineId) {
        if let Some(engine) = self.0.get_mut(id) {
            engine.drain_deadline = Some(engine.drain_deadline.map_or(now, |deadline| deadline.min(now)));
        }
    }

    /// The engine with this id, closed or not.
    pub fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.0.get(id)
    }

    /// The engine with this id, closed or not.
    pub fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.0.get_mut(id)
    }

    /// The engine with this id, unless it is closed.
    pub fn get_open(&self, now: Time, id: &EngineId) -> Option<&Engine> {
        self.0.get(id).filter(|engine| !engine.is_closed(now))
    }

    /// The time from which nothing new may be sent to an engine; infinity if it is not draining.
    pub fn drain_deadline(&self, id: &EngineId) -> Time {
        self.0.get(id).and_then(|engine| engine.drain_deadline).unwrap_or(Time::INFINITY)
    }

    /// Removes an engine if it is closed and has no connections left. Returns whether it was removed.
    pub fn remove_closed(&mut self, now: Time, id: &EngineId) -> bool {
        let is_over = |engine: &Engine| engine.is_closed(now) && engine.connections.is_empty();
        self.0.get(id).is_some_and(is_over) && self.0.remove(id).is_some()
    }
}
