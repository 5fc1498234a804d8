//! The callbacks of a connection when its socket is ready.

use super::{BufferedStream, Time};

/// What happens to a connection after a callback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// It stays open.
    Open,
    /// It is closed immediately.
    Close,
    /// Queued output is still written and further input is discarded.
    Finish,
}

/// A connection in a [`ConnectionSlab`](super::ConnectionSlab), the only caller of these methods. None of
/// them may block.
///
/// When a descriptor is ready, the callbacks run in this order: `readable`, if bytes were read;
/// `before_write`, if output is queued and the socket is writable; `writable`. After each call of a slab
/// method, newly queued output is written, preceded by `before_write`. `closed` is called last, once.
pub trait Connection {
    /// State shared by all connections of one slab. The owner of the slab passes it to each call.
    type Shared;

    /// Whether input is still read after a write has failed. True where the peer is a server, whose answer
    /// may already have arrived; false where it is a client that has disconnected and no longer expects an
    /// answer.
    const READ_AFTER_WRITE_ERROR: bool = false;

    /// The socket and its buffers.
    fn channel(&mut self) -> &mut BufferedStream;

    /// New bytes are in the stream's input. Called after each read that returned bytes, unless the connection
    /// is finishing. The implementation removes the bytes that it has processed from the input.
    fn readable(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;

    /// The connection has been established, or the socket is writable and the queued output has been written.
    /// Called when the poller reports the socket as writable.
    fn writable(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;

    /// Queued output is about to be written: the implementation withdraws here what must no longer be sent.
    /// Called before each write.
    fn before_write(&mut self, _: Time, _: &mut Self::Shared) -> Flow {
        Flow::Open
    }

    /// Whether reading is paused for lack of capacity. Checked before each read, and after each callback to
    /// update the poller.
    fn is_paused(&self) -> bool {
        false
    }

    /// Whether there is output that is not queued yet: `writable` is then called as soon as the socket is
    /// writable. Checked after each callback.
    fn has_unqueued_output(&self) -> bool {
        false
    }

    /// The connection has ended, whichever side ended it. Called once, after it has been removed from its
    /// slab; the socket is closed afterwards.
    fn closed(&mut self, now: Time, shared: &mut Self::Shared);
}
