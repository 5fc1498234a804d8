//! What a connection does when its socket is ready.

use super::{BufferedStream, Time};

/// What becomes of a connection after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It goes on.
    Open,
    /// It is closed at once.
    Close,
    /// What is queued goes out; what still comes in is passed over.
    Finish,
}

/// A connection in a [`ConnectionSlab`](super::ConnectionSlab), which alone calls this. None of it may block.
///
/// For a descriptor that is ready the order is: `readable`, if bytes were read; `before_write`, if something is queued and the
/// socket takes bytes; `writable`. After each of the slab's calls what was queued meanwhile is written, with `before_write`
/// ahead of it. `closed` comes last, once.
pub trait Connection {
    /// What all connections of one slab have in common. The owner of the slab hands it in with each call.
    type Shared;

    /// Whether the peer answers, as a server does: what it has sent is read even after a write has failed. What a client sent
    /// before it went away is not.
    const PEER_ANSWERS: bool = false;

    /// Its socket and buffers.
    fn channel(&mut self) -> &mut BufferedStream;

    /// New bytes are in the stream's input. Called after each read that has brought some, unless the connection finishes. What
    /// it has dealt with it removes from the input.
    fn readable(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;

    /// The connection came up, or the socket takes bytes and what was queued has been written. Called when the poller reports
    /// the socket as writable.
    fn writable(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;

    /// The socket may take bytes, and what is queued is about to be written: the place to withdraw what must not go out any
    /// more. Called before each write.
    fn before_write(&mut self, _: Time, _: &mut Self::Shared) -> Flow {
        Flow::Open
    }

    /// Whether nothing is read for now, for lack of capacity. Asked before each read, and after each callback to tell the
    /// poller.
    fn is_paused(&self) -> bool {
        false
    }

    /// Whether it has something to write that is not queued yet: `writable` is called as soon as the socket takes it. Asked
    /// after each callback.
    fn has_unqueued_output(&self) -> bool {
        false
    }

    /// The connection is over, whoever ended it. Called once, when it has left its slab; the socket is closed afterwards.
    fn closed(&mut self, now: Time, shared: &mut Self::Shared);
}
