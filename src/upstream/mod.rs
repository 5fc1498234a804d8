//! Where attempts run. A link keeps connections to engines and tells the core how each attempt ended.

pub mod mysql;
pub mod resp;

use crate::core::AttemptOutcome;
use crate::net::{BufferedStream, Time, Token};
use dahliaspoke::policy::{EngineId, Lifecycle};
use std::collections::HashMap;
use std::net::SocketAddr;

/// How an attempt ends with its connection; `unsent` where no byte of it went out.
fn ended_by(channel: &BufferedStream, unsent: bool) -> AttemptOutcome {
    match unsent {
        true if channel.refused => AttemptOutcome::ConnectionRefused,
        true => AttemptOutcome::Unsent,
        false => AttemptOutcome::Reset,
    }
}

/// An engine as a link knows it.
pub struct Engine {
    pub address: SocketAddr,
    /// Nothing may begin to go there after this.
    closes: Option<Time>,
    /// Its connections. They belong to its id, never to the address: addresses are used again.
    pub lines: Vec<Token>,
}

impl Engine {
    pub fn is_closed(&self, now: Time) -> bool {
        self.closes.is_some_and(|at| at <= now)
    }
}

/// The engines that a link may send to.
#[derive(Default)]
pub struct Engines(HashMap<EngineId, Engine>);

impl Engines {
    /// Follows the list. Returns when the engine closes, if that is news. The address is absent where the
    /// list does not tell it.
    pub fn follow(
        &mut self,
        id: &EngineId,
        lifecycle: Lifecycle,
        address: Option<SocketAddr>,
        closes: Time,
    ) -> Option<Time> {
        if let Some(address) = address {
            let fresh = || Engine { address, closes: None, lines: Vec::new() };
            self.0.entry(id.clone()).or_insert_with(fresh).address = address;
        }
        let engine = self.0.get_mut(id)?;
        if lifecycle == Lifecycle::Ready {
            engine.closes = None;
            return None;
        }
        let news = engine.closes.is_none();
        engine.closes.get_or_insert(closes);
        engine.closes.filter(|_| news)
    }

    /// Other engines that still go by that address.
    pub fn others_at(&self, id: &EngineId, address: SocketAddr) -> Vec<EngineId> {
        let others = self.0.iter().filter(|(other, e)| *other != id && e.address == address);
        others.map(|(other, _)| other.clone()).collect()
    }

    /// Nothing begins to go to that engine from now on.
    pub fn close(&mut self, now: Time, id: &EngineId) {
        if let Some(engine) = self.0.get_mut(id) {
            engine.closes = Some(engine.closes.map_or(now, |at| at.min(now)));
        }
    }

    pub fn get(&self, id: &EngineId) -> Option<&Engine> {
        self.0.get(id)
    }

    pub fn get_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.0.get_mut(id)
    }

    /// Forgets an engine that has closed and has no connection left.
    pub fn forget(&mut self, now: Time, id: &EngineId) -> bool {
        let over = self.0.get(id).is_some_and(|e| e.is_closed(now) && e.lines.is_empty());
        over && self.0.remove(id).is_some()
    }
}
