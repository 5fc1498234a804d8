//! A member's connections: to and from other members, operators and watchers.

use crate::net::{BufferedStream, Connection, ConnectionSlab, Flow, Poller, Ready, Time, Token};
use crate::store::framing::read_arrays;
use crate::store::wire::{decode_request, DecodeError, Request};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// A request, and the connection that received it.
pub struct ReceivedRequest {
    /// The connection.
    pub connection: Token,
    /// The request, or why it could not be decoded.
    pub request: Result<Request, DecodeError>,
}

/// One connection, opened by either end.
struct MemberConnection {
    channel: BufferedStream,
    token: Token,
}

/// All connections of a member, and the requests received on them.
pub struct Connections {
    slab: ConnectionSlab<MemberConnection>,
    received: VecDeque<ReceivedRequest>,
    /// A connection with more unsent bytes than this is closed.
    max_unsent_bytes: usize,
}

impl Connections {
    /// No connections yet. `owner` is the store's owner number in tokens.
    pub fn new(owner: u8, poller: Rc<Poller>, max_unsent_bytes: usize) -> Self {
        Self { slab: ConnectionSlab::new(owner, poller), received: VecDeque::new(), max_unsent_bytes }
    }

    /// The number of open connections.
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    /// Whether the connection is still open.
    pub fn is_open(&mut self, connection: Token) -> bool {
        self.slab.get(connection).is_some()
    }

    /// Adds a stream. Returns `None`, and closes the stream, if it cannot be registered with the poller.
    pub fn add(&mut self, channel: BufferedStream) -> Option<Token> {
        self.slab.add(|token| Some(MemberConnection { channel, token })).ok()?
    }

    /// Starts to connect to a peer; `greeting` is sent first.
    pub fn connect(&mut self, address: SocketAddr, greeting: Vec<u8>) -> Option<Token> {
        let mut channel = BufferedStream::connect(address).ok()?;
        channel.push(greeting);
        self.add(channel)
    }

    /// Sends bytes, or closes the connection if it has too many unsent bytes already: its peer is not reading.
    pub fn send(&mut self, now: Time, connection: Token, bytes: Vec<u8>) {
        self.send_shared(now, connection, Arc::new(bytes));
    }

    /// Like [`Self::send`], for bytes that are sent on several connections.
    pub fn send_shared(&mut self, now: Time, connection: Token, bytes: Arc<Vec<u8>>) {
        let Some(open) = self.slab.get(connection) else { return };
        if open.channel.queued() > self.max_unsent_bytes {
            tracing::info!(
                at = now,
                part = "store",
                "closing a connection whose peer reads nothing; the peer may reconnect"
            );
            return self.slab.close(now, connection, &mut self.received);
        }
        open.channel.push_shared(bytes);
        self.slab.settle(now, connection, Flow::Open, &mut self.received);
    }

    /// Sends a message that may be lost: it is dropped if the connection has too many unsent bytes already.
    pub fn send_or_drop(&mut self, now: Time, connection: Token, encode: impl FnOnce() -> Vec<u8>) {
        let Some(open) = self.slab.get(connection) else { return };
        if open.channel.queued() < self.max_unsent_bytes {
            open.channel.push(encode());
            self.slab.settle(now, connection, Flow::Open, &mut self.received);
        }
    }

    /// Closes a connection.
    pub fn close(&mut self, now: Time, connection: Token) {
        self.slab.close(now, connection, &mut self.received);
    }

    /// A connection's descriptor is ready.
    pub fn on_ready(&mut self, now: Time, ready: Ready) {
        self.slab.on_ready(now, ready, &mut self.received);
    }

    /// The next received request.
    pub fn next_request(&mut self) -> Option<ReceivedRequest> {
        self.received.pop_front()
    }
}

impl Connection for MemberConnection {
    type Shared = VecDeque<ReceivedRequest>;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, _: Time, received: &mut Self::Shared) -> Flow {
        let connection = self.token;
        read_arrays(&mut self.channel, |values| {
            received.push_back(ReceivedRequest { connection, request: decode_request(values) });
            Flow::Open
        })
    }

    fn writable(&mut self, _: Time, _: &mut Self::Shared) -> Flow {
        Flow::Open
    }

    fn closed(&mut self, _: Time, _: &mut Self::Shared) {}
}
