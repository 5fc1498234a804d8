//! Status: the state of a [`Policy`](super::Policy) that is visible to operators and tests.

use super::engine_state::Engine;

/// Number of requests, engines and order keys that a policy holds state for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateCounts {
    /// Requests that are open or have attempts in flight.
    pub requests: usize,
    /// Engines that are listed or have attempts in flight.
    pub engines: usize,
    /// Keys of requests that run in order.
    pub order_keys: usize,
}

/// State of one engine, for operators and tests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineStatus {
    /// Bound on this coordinator's backlog on the engine (ms of work).
    pub bound: f64,
    /// This coordinator's backlog on the engine (ms of work).
    pub backlog: f64,
    /// Whether the engine is ejected as an outlier.
    pub ejected: bool,
}

impl From<&Engine> for EngineStatus {
    fn from(engine: &Engine) -> Self {
        Self { bound: engine.controller.bound, backlog: engine.backlog(), ejected: engine.health.ejected }
    }
}
