//! The engines that an upstream may send to, and until when.

use crate::net::{Time, Token};
use dahliaspoke::policy::{EngineId, Lifecycle};
use std::collections::HashMap;
use std::net::SocketAddr;

/// An engine as an upstream knows it.
pub struct Engine {
    /// Where new connections go.
    pub address: SocketAddr,
    /// No attempt may begin to be sent there from then on; `None` while the engine is ready.
    drain_deadline: Option<Time>,
    /// Its connections. They belong to the engine's id, never to the address: addresses are used again.
    pub connections: Vec<Token>,
}

impl Engine {
    /// Whether nothing may be sent to it any more.
    pub fn is_closed(&self, now: Time) -> bool {
        self.drain_deadline.is_some_and(|deadline| deadline <= now)
    }
}

/// The engines that an upstream may send to.
#[derive(Default)]
pub struct Engines(HashMap<EngineId, Engine>);

impl Engines {
    /// Applies what the endpoint set says of an engine. Returns the drain deadline where this call has set it. `address` is
    /// absent where the endpoint set does not name one.
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

    /// Other engines that are still known by that address.
    pub fn others_at(&self, id: &EngineId, address: SocketAddr) -> Vec<EngineId> {
        let others = self.0.iter().filter(|(other, engine)| *other != id && engine.address == address);
        others.map(|(other, _)| other.clone()).collect()
    }

    /// Lets nothing begin to be sent to that engine from now on.
    pub fn close(&mut self, now: Time, id: &EngineId) {
        if let Some(engine) = self.0.get_mut(id) {
            engine.drain_deadline = Some(engine.drain_deadline.map_or(now, |deadline| deadline.min(now)));
        }
    }

    /// The engine of that id, closed or not.
    pub fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.0.get(id)
    }

    /// The engine of that id, closed or not.
    pub fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.0.get_mut(id)
    }

    /// The engine of that id, unless it is closed.
    pub fn get_open(&self, now: Time, id: &EngineId) -> Option<&Engine> {
        self.0.get(id).filter(|engine| !engine.is_closed(now))
    }

    /// From when on nothing may begin to be sent to that engine; infinity where it does not drain.
    pub fn drain_deadline(&self, id: &EngineId) -> Time {
        self.0.get(id).and_then(|engine| engine.drain_deadline).unwrap_or(Time::INFINITY)
    }

    /// Removes an engine that is closed and has no connection left. Returns whether it has.
    pub fn remove_closed(&mut self, now: Time, id: &EngineId) -> bool {
        let is_over = |engine: &Engine| engine.is_closed(now) && engine.connections.is_empty();
        self.0.get(id).is_some_and(is_over) && self.0.remove(id).is_some()
    }
}
