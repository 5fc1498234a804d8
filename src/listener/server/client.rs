//! The interface of clients' connections.

use super::ListenerState;
use crate::limits::Limits;
use crate::net::{BufferedStream, Connection, Flow, Time, Token};

/// The order in which idle connections are closed to make room for new ones, the least first: those that never sent a
/// request come before those that did, then those that are idle for longest.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct EvictionRank {
    /// It has sent a request.
    pub has_sent_request: bool,
    /// Since when it is idle.
    pub idle_since: Time,
}

/// A client's connection.
pub trait ClientConnection: Connection + Sized {
    /// Builds the connection around an accepted socket; `None` if it cannot be served.
    fn accepted(now: Time, stream: BufferedStream, token: Token, shared: &Self::Shared) -> Option<Self>;

    /// When it is closed, or answered with an error; `None` while the client has nothing to do in time.
    fn deadline(&self) -> Option<Time>;

    /// Its deadline has passed.
    fn on_deadline(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;

    /// Its place in the order of eviction; `None` if it must not be closed to make room.
    fn eviction_rank(&self) -> Option<EvictionRank>;

    /// The part of what connections share that does not depend on their protocol.
    fn state(shared: &mut Self::Shared) -> &mut ListenerState;

    /// How many connections may be open at once.
    fn max_connections(limits: &Limits) -> usize;
}
