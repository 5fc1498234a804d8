//! The connections of one owner, stored by index.

use super::open_connection::OpenConnection;
use super::poller::Interest;
use super::{Connection, Flow, Poller, Ready, Time, Token};
use std::io;
use std::rc::Rc;

struct Slot<C> {
    /// How often the slot has been reused.
    generation: u32,
    open: Option<OpenConnection<C>>,
}

/// The connections of one event handler, by token. Slots are reused with a new generation.
pub struct ConnectionSlab<C> {
    owner: u8,
    poller: Rc<Poller>,
    slots: Vec<Slot<C>>,
    free_slots: Vec<u32>,
    /// Memory of the buffers of all connections (bytes).
    buffered_bytes: usize,
}

impl<C: Connection> ConnectionSlab<C> {
    /// Creates an empty slab. The tokens of its connections name the event handler `owner`.
    pub fn new(owner: u8, poller: Rc<Poller>) -> Self {
        Self { owner, poller, slots: Vec::new(), free_slots: Vec::new(), buffered_bytes: 0 }
    }

    /// The number of connections.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }

    /// Adds the connection that `make` builds for the given token, if it builds one, and registers it with
    /// the poller.
    ///
    /// # Errors
    /// If the poller refuses it; the connection is then dropped without a call of [`Connection::closed`].
    pub fn add(&mut self, make: impl FnOnce(Token) -> Option<C>) -> io::Result<Option<Token>> {
        let index = self.free_slots.last().copied().unwrap_or(self.slots.len() as u32);
        let generation = self.slots.get(index as usize).map_or(0, |slot| slot.generation);
        let token = Token::new(self.owner, index, generation);
        let Some(mut connection) = make(token) else { return Ok(None) };
        let interest = Interest { readable: true, writable: connection.channel().is_connecting() };
        self.poller.add(&connection.channel().stream, token, interest.writable)?;
        let open = Some(OpenConnection::new(connection, interest));
        match self.free_slots.pop() {
            Some(_) => self.slots[index as usize].open = open,
            None => self.slots.push(Slot { generation, open }),
        }
        Ok(Some(token))
    }

    fn open(&mut self, token: Token) -> Option<&mut OpenConnection<C>> {
        let slot = self.slots.get_mut(token.slot as usize)?;
        let is_current = Token::new(self.owner, token.slot, slot.generation) == token;
        slot.open.as_mut().filter(|_| is_current)
    }

    /// The connection with this token; `None` if it has ended.
    pub fn get(&mut self, token: Token) -> Option<&mut C> {
        self.open(token).map(|open| &mut open.connection)
    }

    /// All connections.
    pub fn iter(&self) -> impl Iterator<Item = &C> {
        self.slots.iter().filter_map(|slot| slot.open.as_ref().map(|open| &open.connection))
    }

    /// The tokens of all connections.
    pub fn tokens(&self) -> Vec<Token> {
        let open = self.slots.iter().enumerate().filter(|(_, slot)| slot.open.is_some());
        open.map(|(index, slot)| Token::new(self.owner, index as u32, slot.generation)).collect()
    }

    /// The connection with the lowest rank among those that have a rank; the first one in case of a tie.
    pub fn min_by_rank<R: PartialOrd>(&self, rank: impl Fn(&C) -> Option<R>) -> Option<Token> {
        let mut lowest: Option<(R, Token)> = None;
        for (index, slot) in self.slots.iter().enumerate() {
            let Some(rank) = slot.open.as_ref().and_then(|open| rank(&open.connection)) else { continue };
            if lowest.as_ref().is_none_or(|(lowest_rank, _)| rank < *lowest_rank) {
                lowest = Some((rank, Token::new(self.owner, index as u32, slot.generation)));
            }
        }
        lowest.map(|(_, token)| token)
    }

    /// Memory of the buffers of all connections (bytes).
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Whether all queued output has been written.
    pub fn is_flushed(&mut self) -> bool {
        let mut open = self.slots.iter_mut().filter_map(|slot| slot.open.as_mut());
        open.all(|open| open.connection.channel().queued() == 0)
    }

    /// Runs the callbacks for a ready descriptor. Stale events are ignored.
    pub fn on_ready(&mut self, now: Time, ready: Ready, shared: &mut C::Shared) {
        let Some(open) = self.open(ready.token) else { return };
        let flow = open.handle_ready(now, ready, shared);
        self.settle(now, ready.token, flow, shared);
    }

    /// Writes a connection's queued output and applies `flow`. Must be called after each change of a
    /// connection that was not made by one of its callbacks.
    pub fn settle(&mut self, now: Time, token: Token, flow: Flow, shared: &mut C::Shared) {
        let Some(open) = self.open(token) else { return };
        open.is_finishing |= flow == Flow::Finish;
        if flow == Flow::Close
            || open.write(now, shared) == Flow::Close
            || self.update_interest(token).is_err()
        {
            return self.close(now, token, shared);
        }
        self.update_buffered_bytes(token);
    }

    /// Updates the memory of a connection's buffers.
    fn update_buffered_bytes(&mut self, token: Token) {
        let Some(open) = self.open(token) else { return };
        let stream = open.connection.channel();
        stream.release_input_memory();
        let now = stream.buffered_bytes();
        let before = std::mem::replace(&mut open.buffered_bytes, now);
        self.buffered_bytes = self.buffered_bytes - before + now;
    }

    /// Updates the events that the poller reports for a connection, if they have changed.
    fn update_interest(&mut self, token: Token) -> io::Result<()> {
        let poller = self.poller.clone();
        let Some(open) = self.open(token) else { return Ok(()) };
        let interest = open.wanted_interest();
        if interest == open.interest {
            return Ok(());
        }
        open.interest = interest;
        poller.modify(&open.connection.channel().stream, token, interest)
    }

    /// Removes a connection and calls its [`Connection::closed`].
    pub fn close(&mut self, now: Time, token: Token, shared: &mut C::Shared) {
        if self.open(token).is_none() {
            return;
        }
        let slot = &mut self.slots[token.slot as usize];
        let Some(mut open) = slot.open.take() else { return };
        self.buffered_bytes -= open.buffered_bytes;
        slot.generation = slot.generation.wrapping_add(1);
        self.free_slots.push(token.slot);
        open.connection.closed(now, shared);
    }
}
