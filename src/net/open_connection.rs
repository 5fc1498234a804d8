//! A connection in its slot, and the order in which its callbacks are called.

use super::poller::Interest;
use super::stream::ReadStatus;
use super::{Connection, Flow, Ready, Time};

/// Reads after which a peer that takes no bytes any more is read no further.
const MAX_FINAL_READS: usize = 64;

/// A connection in its slot.
pub struct OpenConnection<C> {
    /// The connection.
    pub connection: C,
    /// What the poller reports of it.
    pub interest: Interest,
    /// It ends as soon as its output has gone out and the peer has ended its side.
    pub is_finishing: bool,
    /// Our side of the socket is shut down.
    is_shut_down: bool,
}

impl<C: Connection> OpenConnection<C> {
    /// A connection that the poller watches with this interest.
    pub fn new(connection: C, interest: Interest) -> Self {
        Self { connection, interest, is_finishing: false, is_shut_down: false }
    }

    /// What the poller is to report from now on. A connection with bytes unwritten and a full input is read on: a close must
    /// be seen. What is read is bounded by the connection's own limits. Of one that is paused the end is seen all the same.
    pub fn wanted_interest(&mut self) -> Interest {
        let stream = self.connection.channel();
        let is_writing = stream.is_connecting() || stream.queued() > 0;
        let has_more = self.connection.has_unqueued_output() && !self.is_finishing;
        Interest { readable: self.is_read(), writable: is_writing || has_more }
    }

    /// Runs the callbacks that a ready descriptor calls for.
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
        // What the peer sent counts before what becomes of a write: one that has answered and gone takes no bytes.
        let mut flow = match self.is_read() {
            true if ready.readable => self.read(now, shared),
            // What it still had to say is not read, and nobody is there for an answer.
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

    fn is_read(&self) -> bool {
        self.is_finishing || !self.connection.is_paused()
    }

    /// Reads once.
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

    /// The peer takes no bytes any more: reads what it sent before.
    fn read_rest(&mut self, now: Time, shared: &mut C::Shared) {
        if !C::PEER_ANSWERS {
            return;
        }
        for _ in 0..MAX_FINAL_READS {
            let before = self.connection.channel().received;
            if self.read(now, shared) != Flow::Open || self.connection.channel().received == before {
                break;
            }
        }
    }

    /// Writes what is queued and may still go out. Once a finishing connection has written all, its side is shut down.
    pub fn write(&mut self, now: Time, shared: &mut C::Shared) -> Flow {
        let stream = self.connection.channel();
        let has_output = !stream.is_connecting() && stream.queued() > 0;
        if has_output && self.connection.before_write(now, shared) == Flow::Close {
            return Flow::Close;
        }
        let stream = self.connection.channel();
        if stream.flush().is_err() {
            self.read_rest(now, shared);
            return Flow::Close;
        }
        if self.is_finishing && !self.is_shut_down && stream.queued() == 0 {
            stream.shutdown_write();
            self.is_shut_down = true;
        }
        Flow::Open
    }
}
