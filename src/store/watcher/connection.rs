//! The connection to the watched member.

use crate::net::{BufferedStream, Connection, Flow, Time, Token};
use crate::store::framing::read_arrays;
use crate::store::wire::{decode_watch_event, WatchEvent};
use std::collections::VecDeque;

/// The start of the answer of a member that does not know the request.
const UNKNOWN_REQUEST: &[u8] = b"-ERR ";

/// What a connection has received, and which one it was.
pub struct ReceivedEvent {
    /// The connection.
    pub connection: Token,
    /// What it has received.
    pub event: ReceivedEventKind,
}

/// What a connection has received.
pub enum ReceivedEventKind {
    /// An event of the watch.
    Event(WatchEvent),
    /// The member, of an earlier version, does not know the request.
    UnknownRequest,
}

/// A connection to a watched member.
pub struct WatchConnection {
    /// The stream and its buffers.
    pub channel: BufferedStream,
    /// The connection's own token.
    pub token: Token,
}

impl Connection for WatchConnection {
    type Shared = VecDeque<ReceivedEvent>;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, _: Time, received: &mut Self::Shared) -> Flow {
        let connection = self.token;
        let mut push = |event| received.push_back(ReceivedEvent { connection, event });
        if self.channel.input.starts_with(UNKNOWN_REQUEST) {
            push(ReceivedEventKind::UnknownRequest);
            return Flow::Close;
        }
        read_arrays(&mut self.channel, |values| match decode_watch_event(values) {
            Ok(event) => {
                push(ReceivedEventKind::Event(event));
                Flow::Open
            }
            Err(_) => Flow::Close,
        })
    }

    fn writable(&mut self, _: Time, _: &mut Self::Shared) -> Flow {
        Flow::Open
    }

    fn closed(&mut self, _: Time, _: &mut Self::Shared) {}
}
