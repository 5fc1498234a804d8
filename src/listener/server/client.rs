//! The interface that [`Server`](super::Server) requires of client connections.

use super::ListenerState;
use crate::limits::Limits;
use crate::net::{BufferedStream, Connection, Flow, Time, Token};

/// The order in which idle connections are evicted, lowest first: connections that have never sent a request
/// before those that have, and within each group the longest idle first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct EvictionRank {
    /// Whether the connection has sent a request.
    pub has_sent_request: bool,
    /// When the connection became idle.
    pub idle_since: Time,
}

/// A client's connection.
pub trait ClientConnection: Connection + Sized {
    /// Creates the connection for an accepted socket; `None` if it cannot be served.
    fn accepted(now: Time, stream: BufferedStream, token: Token, shared: &Self::Shared) -> Option<Self>;

    /// When [`on_deadline`](Self::on_deadline) is due; `None` while nothing is expected of the client.
    fn deadline(&self) -> Option<Time>;

    /// Handles an expired deadline: closes the connection, or answers with an error.
    fn on_deadline(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;

    /// Handles the next request of the buffered input, after [`ListenerState::schedule`].
    fn on_scheduled(&mut self, _: Time, _: &mut Self::Shared) -> Flow {
        Flow::Open
    }

    /// Memory of the buffers that is freed if the connection is closed for lack of memory (bytes); `None` if that would
    /// lose a request that has been read. A client that does not read its answers has no claim to further ones.
    fn refusable_bytes(&self) -> Option<usize>;

    /// The listener's connections occupy too much memory, and this one the most of those that may be closed: closes it,
    /// after an error if its request is incomplete.
    fn on_memory_pressure(&mut self, _: Time, _: &mut Self::Shared) -> Flow {
        Flow::Close
    }

    /// Maximum memory of the buffers of all connections (bytes).
    fn max_buffered_bytes(limits: &Limits) -> usize;

    /// The connection's place in the eviction order; `None` if it must not be evicted.
    fn eviction_rank(&self) -> Option<EvictionRank>;

    /// The part of the shared state that does not depend on the protocol.
    fn state(shared: &mut Self::Shared) -> &mut ListenerState;

    /// Maximum number of open connections.
    fn max_connections(limits: &Limits) -> usize;
}
