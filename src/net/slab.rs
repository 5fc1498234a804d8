//! The connections of one owner of the daemon, each an object with callbacks.

use super::stream::Fill;
use super::{BufferedStream, Poller, Ready, Time, Token};
use std::io;
use std::rc::Rc;

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

/// A connection. `Shared` is what the connections of its table have in common.
pub trait Connection {
    type Shared;

    /// The peer answers: what it has sent counts even after it has gone. Who asks and goes has nothing more to say.
    const ANSWERS: bool = false;

    fn channel(&mut self) -> &mut BufferedStream;

    /// New bytes stand in the channel's input.
    fn readable(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;

    /// The connection came up, or the socket took bytes.
    fn writable(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;

    /// The socket takes bytes, and what is queued is about to go out: the place to take back what must not any more.
    fn before_write(&mut self, _: Time, _: &mut Self::Shared) -> Flow {
        Flow::Open
    }

    /// Nothing is read for now: there is no room for it.
    fn is_paused(&self) -> bool {
        false
    }

    /// It has something to write that is not queued yet: `writable` is called as soon as the socket takes it.
    fn has_more(&self) -> bool {
        false
    }

    /// The connection is over, whoever ended it. Nothing more is called.
    fn closed(&mut self, now: Time, shared: &mut Self::Shared);
}

/// Reads after which one that takes no bytes any more is heard no further.
const READS: usize = 64;

struct Slot<C> {
    generation: u32,
    open: Option<Open<C>>,
}

struct Open<C> {
    connection: C,
    interest: (bool, bool),
    finishing: bool,
    ended: bool, // our side is shut down
}

/// Connections by token.
pub struct ConnectionSlab<C> {
    owner: u8,
    poller: Rc<Poller>,
    slots: Vec<Slot<C>>,
    free: Vec<u32>,
}

impl<C: Connection> ConnectionSlab<C> {
    pub fn new(owner: u8, poller: Rc<Poller>) -> Self {
        Self { owner, poller, slots: Vec::new(), free: Vec::new() }
    }

    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Takes in the connection that `make` builds round its own token, if it does.
    pub fn add(&mut self, make: impl FnOnce(Token) -> Option<C>) -> io::Result<Option<Token>> {
        let index = self.free.last().copied().unwrap_or(self.slots.len() as u32);
        let generation = self.slots.get(index as usize).map_or(0, |slot| slot.generation);
        let token = Token::new(self.owner, index, generation);
        let Some(mut connection) = make(token) else { return Ok(None) };
        let write = connection.channel().connecting;
        self.poller.add(&connection.channel().stream, token, write)?;
        let open = Some(Open { connection, interest: (true, write), finishing: false, ended: false });
        match self.free.pop() {
            Some(_) => self.slots[index as usize].open = open,
            None => self.slots.push(Slot { generation, open }),
        }
        Ok(Some(token))
    }

    fn open(&mut self, token: Token) -> Option<&mut Open<C>> {
        let slot = self.slots.get_mut(token.slot as usize)?;
        slot.open.as_mut().filter(|_| Token::new(self.owner, token.slot, slot.generation) == token)
    }

    pub fn get(&mut self, token: Token) -> Option<&mut C> {
        self.open(token).map(|open| &mut open.connection)
    }

    /// All connections.
    pub fn all(&self) -> impl Iterator<Item = &C> {
        self.slots.iter().filter_map(|slot| slot.open.as_ref().map(|open| &open.connection))
    }

    /// The tokens of all connections.
    pub fn tokens(&self) -> Vec<Token> {
        let open = self.slots.iter().enumerate().filter(|(_, slot)| slot.open.is_some());
        open.map(|(index, slot)| Token::new(self.owner, index as u32, slot.generation)).collect()
    }

    /// The connection with the least of what `rank` gives, among those that it gives something.
    pub fn least<R: PartialOrd>(&self, rank: impl Fn(&C) -> Option<R>) -> Option<Token> {
        let mut least: Option<(R, Token)> = None;
        for (index, slot) in self.slots.iter().enumerate() {
            let Some(rank) = slot.open.as_ref().and_then(|open| rank(&open.connection)) else { continue };
            if least.as_ref().is_none_or(|(held, _)| rank < *held) {
                least = Some((rank, Token::new(self.owner, index as u32, slot.generation)));
            }
        }
        least.map(|(_, token)| token)
    }

    /// Whether all that was queued has gone out.
    pub fn is_flushed(&mut self) -> bool {
        let mut open = self.slots.iter_mut().filter_map(|slot| slot.open.as_mut());
        open.all(|open| open.connection.channel().queued() == 0)
    }

    /// Runs the callbacks that a ready descriptor calls for.
    pub fn on_ready(&mut self, now: Time, ready: Ready, shared: &mut C::Shared) {
        let Some(open) = self.open(ready.token) else { return };
        let flow = open.step(now, ready, shared);
        self.settle(now, ready.token, flow, shared);
    }

    /// Sends what a connection has queued since, and does what `flow` says.
    pub fn settle(&mut self, now: Time, token: Token, flow: Flow, shared: &mut C::Shared) {
        let Some(open) = self.open(token) else { return };
        open.finishing |= flow == Flow::Finish;
        if flow == Flow::Close || open.write(now, shared) == Flow::Close {
            return self.close(now, token, shared);
        }
        // A connection with bytes unwritten and a full input is read on: a close must be seen. What is read
        // is bounded by the connection's own limits. Of one that is paused the end is seen all the same.
        let channel = open.connection.channel();
        let writes = channel.connecting || channel.queued() > 0;
        let more = open.connection.has_more() && !open.finishing;
        let interest = (open.is_read(), writes || more);
        if interest != open.interest {
            open.interest = interest;
            let poller = self.poller.clone();
            let Some(open) = self.open(token) else { return };
            let stream = &open.connection.channel().stream;
            if poller.change(stream, token, interest.0, interest.1).is_err() {
                self.close(now, token, shared);
            }
        }
    }

    /// Ends a connection.
    pub fn close(&mut self, now: Time, token: Token, shared: &mut C::Shared) {
        if self.open(token).is_none() {
            return;
        }
        let slot = &mut self.slots[token.slot as usize];
        let Some(mut open) = slot.open.take() else { return };
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(token.slot);
        open.connection.closed(now, shared);
    }
}

impl<C: Connection> Open<C> {
    fn step(&mut self, now: Time, ready: Ready, shared: &mut C::Shared) -> Flow {
        let channel = self.connection.channel();
        if channel.connecting {
            if !ready.writable {
                return Flow::Open;
            }
            if channel.connected().is_err() {
                return Flow::Close;
            }
        }
        // What the peer sent counts before what becomes of a write: one that has answered and gone takes no bytes.
        let mut flow = match self.is_read() {
            true if ready.readable => self.read(now, shared),
            // What it still had to say has no room, and nobody is there for an answer.
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
        self.finishing || !self.connection.is_paused()
    }

    /// Reads once.
    fn read(&mut self, now: Time, shared: &mut C::Shared) -> Flow {
        let channel = self.connection.channel();
        match channel.fill() {
            Ok(Fill::Bytes) if self.finishing => channel.input.clear(),
            Ok(Fill::Bytes) => return self.connection.readable(now, shared),
            Ok(Fill::Nothing) => {}
            Ok(Fill::End) | Err(_) => return Flow::Close,
        }
        Flow::Open
    }

    /// The peer takes no bytes any more: reads what it sent before.
    fn read_rest(&mut self, now: Time, shared: &mut C::Shared) {
        for _ in 0..if C::ANSWERS { READS } else { 0 } {
            let before = self.connection.channel().received;
            if self.read(now, shared) != Flow::Open || self.connection.channel().received == before {
                break;
            }
        }
    }

    /// Writes what is queued and may still go out; once a finishing connection has written all, its side is shut down.
    fn write(&mut self, now: Time, shared: &mut C::Shared) -> Flow {
        let channel = self.connection.channel();
        let queued = !channel.connecting && channel.queued() > 0;
        if queued && self.connection.before_write(now, shared) == Flow::Close {
            return Flow::Close;
        }
        let channel = self.connection.channel();
        if channel.flush().is_err() {
            self.read_rest(now, shared);
            return Flow::Close;
        }
        if self.finishing && !self.ended && channel.queued() == 0 {
            channel.finish_writing();
            self.ended = true;
        }
        Flow::Open
    }
}
