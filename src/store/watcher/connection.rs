//! The connection to the watched member.

use crate::net::{BufferedStream, Connection, Flow, Time, Token};
use crate::store::framing::read_arrays;
use crate::store::wire::{decode_watch_event, WatchEvent};
use std::collections::VecDeque;

/// A watch event, and the connection that received it.
pub struct ReceivedEvent {
    /// The connection.
    pub connection: Token,
    /// The event.
    pub event: WatchEvent,
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
        read_arrays(&mut self.channel, |values| match decode_watch_event(values) {
            Ok(event) => {
                received.push_back(ReceivedEvent { connection, event });
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
