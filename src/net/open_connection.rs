//! A connection in its slot of the slab, and the order in which its callbacks run.

use super::poller::Interest;
use super::stream::ReadStatus;
use super::{Connection, Flow, Ready, Time};

/// Maximum number of reads from a peer after a write to it has failed.
const MAX_FINAL_READS: usize = 64;

/// A connection in its slot of the slab.
pub struct OpenConnection<C> {
    /// The connection.
    pub connection: C,
    /// The events that the poller reports for it.
    pub interest: Interest,
    /// Memory of its buffers as of the last update (bytes).
    pub buffered_bytes: usize,
    /// The connection closes once its output has been written and the peer has closed its side.
    pub is_finishing: bool,
    /// The write side of the socket has been shut down.
    is_shut_down: bool,
}

impl<C: Connection> OpenConnection<C> {
    /// Wraps a connection that the poller watches with this interest.
    pub fn new(connection: C, interest: Interest) -> Self {
        Self { connection, interest, buffered_bytes: 0, is_finishing: false, is_shut_down: false }
    }

    /// The events that the poller should report from now on. A connection with unwritten output and a full
    /// input is still read, because a close by the peer must be noticed; the connection's own limits bound
    /// the input. The poller reports the peer's close even while reading is paused.
    pub fn wanted_interest(&mut self) -> Interest {
        let stream = self.connection.channel();
        let is_writing = stream.is_connecting() || stream.queued() > 0;
        let has_unqueued = self.connection.has_unqueued_output() && !self.is_finishing;
        Interest { readable: self.is_reading(), writable: is_writing || has_unqueued }
    }

    /// Runs the callbacks for a ready descriptor.
    pub fn handle_ready(&mut self, now: Time, ready: Ready, shared: &mut C::Shared) -> Flow {
        let stream = self.connection.channel();
        if stream.is_connecting() {
            if !ready.writable {
                return Flow::Open;
            }
            if stream.finish_connect().is_err() {
                return Flow::Close;
            }
        }
        // Input is handled before any write error: a peer that has answered and closed the connection accepts
        // no more bytes.
        let mut flow = match self.is_reading() {
            true if ready.readable => self.read(now, shared),
            // Reading is paused and the peer has closed: its unread input is dropped, as it would not receive
            // an answer.
            false if ready.ended => Flow::Close,
            _ => Flow::Open,
        };
        if ready.writable && flow == Flow::Open {
            flow = self.write(now, shared);
            if flow == Flow::Open {
                flow = self.connection.writable(now, shared);
            }
        }
        flow
    }

    fn is_reading(&self) -> bool {
        self.is_finishing || !self.connection.is_paused()
    }

    /// Reads once and passes new bytes to the connection.
    fn read(&mut self, now: Time, shared: &mut C::Shared) -> Flow {
        let stream = self.connection.channel();
        match stream.read_once() {
            Ok(ReadStatus::Bytes) if self.is_finishing => stream.input.clear(),
            Ok(ReadStatus::Bytes) => return self.connection.readable(now, shared),
            Ok(ReadStatus::WouldBlock) => {}
            Ok(ReadStatus::Ended) | Err(_) => return Flow::Close,
        }
        Flow::Open
    }

    /// A write has failed: reads what the peer sent before.
    fn read_remaining(&mut self, now: Time, shared: &mut C::Shared) {
        if !C::READ_AFTER_WRITE_ERROR {
            return;
        }
        for _ in 0..MAX_FINAL_READS {
            let received_before = self.connection.channel().received;
            if self.read(now, shared) != Flow::Open || self.connection.channel().received == received_before {
                break;
            }
        }
    }

    /// Writes the queued output that may still be sent. Shuts down the write side once a finishing connection
    /// has written everything.
    pub fn write(&mut self, now: Time, shared: &mut C::Shared) -> Flow {
        let stream = self.connection.channel();
        let has_output = !stream.is_connecting() && stream.queued() > 0;
        if has_output && self.connection.before_write(now, shared) == Flow::Close {
            return Flow::Close;
        }
        let stream = self.connection.channel();
        if stream.flush().is_err() {
            self.read_remaining(now, shared);
            return Flow::Close;
        }
        if self.is_finishing && !self.is_shut_down && stream.queued() == 0 {
            stream.shutdown_write();
            self.is_shut_down = true;
        }
        Flow::Open
    }
}
