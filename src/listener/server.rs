//! What both fronts have: a listener, connections with a time to live, requests that are open.

use crate::core::{ListenerEvent, Request};
use crate::failpoints;
use crate::limits::Limits;
use crate::net::{
    Acceptor, BufferedStream, Connection, ConnectionSlab, EventHandler, Flow, Poller, Ready, Time,
    TimerQueue, Token,
};
use dahliaspoke::policy::RequestId;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// What the connections of a front have in common, whatever they speak.
pub struct State {
    pub limits: Rc<Limits>,
    pub route: usize,
    events: VecDeque<ListenerEvent>,
    /// The connection that each open request came by.
    open: HashMap<RequestId, Token>,
    timers: TimerQueue<Token>,
    /// The program is about to end: each connection is closed with its next answer.
    pub leaving: bool,
    /// Another process takes the connections that come.
    pub handed_over: bool,
    /// Calls that could not be read.
    pub bad: u64,
    /// Bodies that are coming in.
    pub uploads: usize,
    /// No large body is begun after this: the program is about to end.
    pub last_upload: Time,
}

impl State {
    pub fn new(route: usize, limits: Rc<Limits>) -> Self {
        let (events, open, timers) = (VecDeque::new(), HashMap::new(), TimerQueue::default());
        let last_upload = Time::INFINITY;
        let (leaving, handed_over) = (false, false);
        Self { limits, route, events, open, timers, leaving, handed_over, bad: 0, uploads: 0, last_upload }
    }

    pub fn is_open(&self, id: &RequestId) -> bool {
        self.open.contains_key(id)
    }

    /// Hands a request on to the core.
    pub fn ask(&mut self, token: Token, ask: Request) {
        self.open.insert(ask.id.clone(), token);
        self.events.push_back(ListenerEvent::Request(ask));
    }

    /// The client of an open request has gone.
    pub fn left(&mut self, id: RequestId) {
        self.open.remove(&id);
        self.events.push_back(ListenerEvent::ClientGone(id));
    }

    /// A request was turned away, with an answer, before it was one.
    pub fn turned_away(&mut self, class: usize) {
        self.events.push_back(ListenerEvent::Rejected(class));
    }

    /// Looks at the connection at that time.
    pub fn look(&mut self, at: Time, token: Token) {
        self.timers.set(at, token);
    }
}

/// A client's connection.
pub trait ClientConnection: Connection + Sized {
    /// Round a socket that was accepted; `None` if it cannot be served.
    fn accepted(now: Time, channel: BufferedStream, token: Token, shared: &Self::Shared) -> Option<Self>;
    /// When its time is up; `None` while a request is open.
    fn until(&self) -> Option<Time>;
    /// Its time is up.
    fn overdue(&mut self, now: Time, shared: &mut Self::Shared) -> Flow;
    /// Whether it may be closed to make room, and in which order: those that never asked for anything come
    /// first, then those that have done nothing for longest.
    fn spare(&self) -> Option<(bool, Time)>;
    fn state(shared: &mut Self::Shared) -> &mut State;
    /// Connections held at once.
    fn most(limits: &Limits) -> usize;
}

/// A listener and the connections that came by it.
pub struct Server<G: ClientConnection> {
    listener: Acceptor,
    table: ConnectionSlab<G>,
    /// No connection is taken before: the system had nothing left for one.
    accepts_from: Time,
    pub shared: G::Shared,
}

impl<G: ClientConnection> Server<G> {
    pub fn new(part: u8, socket: TcpListener, shared: G::Shared, poller: Rc<Poller>) -> io::Result<Self> {
        let listener = Acceptor::new(part, socket, poller.clone())?;
        Ok(Self { listener, table: ConnectionSlab::new(part, poller), accepts_from: 0.0, shared })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    pub fn take(&mut self) -> Option<ListenerEvent> {
        G::state(&mut self.shared).events.pop_front()
    }

    pub fn bad(&mut self) -> u64 {
        G::state(&mut self.shared).bad
    }

    /// Whether every answer is out, and no body is coming in.
    pub fn idle(&mut self) -> bool {
        self.table.is_flushed() && G::state(&mut self.shared).uploads == 0
    }

    /// Takes no connection from here on: another process has the listening socket as well.
    pub fn hand_over(&mut self) {
        let state = G::state(&mut self.shared);
        (state.leaving, state.handed_over) = (true, true);
        self.listener.room(false);
    }

    /// Each connection ends with its next answer from here on, and those that rest end now. One that has said something
    /// is heard first.
    pub fn end_resting(&mut self, now: Time) {
        G::state(&mut self.shared).leaving = true;
        for token in self.table.tokens() {
            let rests = |client: &mut G| {
                client.spare().is_some() && client.channel().input.is_empty() && !client.channel().has_input()
            };
            if self.table.get(token).is_some_and(rests) {
                self.table.settle(now, token, Flow::Finish, &mut self.shared);
            }
        }
    }

    /// Whether nobody is connected.
    pub fn is_empty(&self) -> bool {
        self.table.len() == 0
    }

    /// Runs `answer` on the connection that the request came by, if it is still there.
    pub fn answer(&mut self, now: Time, id: &RequestId, answer: impl FnOnce(&mut G, &mut G::Shared) -> Flow) {
        let Some(token) = G::state(&mut self.shared).open.remove(id) else { return };
        self.reply(now, token, answer);
    }

    /// Whether the client of an open request still waits.
    pub fn is_client_waiting(&mut self, id: &RequestId) -> bool {
        let token = G::state(&mut self.shared).open.get(id).copied();
        let client = token.and_then(|token| self.table.get(token));
        client.is_some_and(|client| !client.channel().has_ended())
    }

    /// Runs `answer` on a connection, if it is still there.
    pub fn reply(&mut self, now: Time, token: Token, answer: impl FnOnce(&mut G, &mut G::Shared) -> Flow) {
        let Some(client) = self.table.get(token) else { return };
        let flow = answer(client, &mut self.shared);
        self.table.settle(now, token, flow, &mut self.shared);
    }

    /// The connection that is closed for a new one when all places are taken. Crowds that say nothing, or
    /// asked once and stay, would shut out those that come to ask. A new one keeps its place for a moment:
    /// its call is on the way.
    fn spare(&mut self, now: Time) -> Option<Token> {
        let young = now - G::state(&mut self.shared).limits.clients.min_connection_age;
        let mut heard = None;
        loop {
            let token = self.table.least(|client| client.spare().filter(|(_, since)| *since <= young))?;
            // A request that stands unread must not meet a close; one that was heard, and is no busier for
            // it, has nothing to say.
            if heard == Some(token) || !self.table.get(token)?.channel().has_input() {
                return Some(token);
            }
            heard = Some(token);
            self.hear(now, token);
        }
    }

    /// Reads what has come on a connection, before it might be closed.
    fn hear(&mut self, now: Time, token: Token) {
        self.table.on_ready(
            now,
            Ready { token, readable: true, writable: false, ended: false },
            &mut self.shared,
        );
    }

    /// Whether there is a place. Connections for which there is none wait in the kernel's line.
    fn has_room(&mut self) -> bool {
        self.table.len() < G::most(&G::state(&mut self.shared).limits)
    }

    fn rearm(&mut self, now: Time) {
        let closed = G::state(&mut self.shared).handed_over || now < self.accepts_from;
        if !closed && !self.listener.is_armed() && (self.has_room() || self.spare(now).is_some()) {
            self.listener.room(true);
        }
    }

    fn accept(&mut self, now: Time) {
        // Bounded, so that a flood does not keep the loop here: what is left is told of again.
        for _ in 0..G::state(&mut self.shared).limits.clients.accept_batch {
            if G::state(&mut self.shared).handed_over {
                return;
            }
            let spare = if self.has_room() { None } else { self.spare(now) };
            if spare.is_none() && !self.has_room() {
                return self.listener.room(false);
            }
            let channel = match self.listener.accept() {
                Ok(Some(channel)) => channel,
                Ok(None) => return,
                Err(_) => return self.pause(now),
            };
            if let Some(token) = spare {
                self.table.close(now, token, &mut self.shared);
            }
            let shared = &self.shared;
            let Ok(Some(token)) = self.table.add(|token| G::accepted(now, channel, token, shared)) else {
                continue;
            };
            let state = G::state(&mut self.shared);
            let young = now + state.limits.clients.min_connection_age;
            state.look(young, token); // it may be closed for another from then on
            self.table.settle(now, token, Flow::Open, &mut self.shared);
        }
    }

    /// The system has no descriptor left, or no memory: one that rests makes room, and the next is taken in a moment.
    /// Until then epoll must not tell of it again and again.
    fn pause(&mut self, now: Time) {
        if let Some(token) = self.spare(now) {
            self.table.close(now, token, &mut self.shared);
        }
        let state = G::state(&mut self.shared);
        self.accepts_from = now + state.limits.clients.accept_backoff;
        state.look(self.accepts_from, self.listener.token());
        self.listener.room(false);
    }
}

impl<G: ClientConnection> EventHandler for Server<G> {
    fn next_deadline(&mut self) -> Option<Time> {
        G::state(&mut self.shared).timers.next_deadline()
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        if ready.token.slot == Acceptor::SLOT {
            self.accept(now);
        } else {
            self.table.on_ready(now, ready, &mut self.shared);
        }
        self.rearm(now);
    }

    /// Closes the connections whose time is up.
    fn on_timer(&mut self, now: Time) {
        while let Some(token) = G::state(&mut self.shared).timers.due(now) {
            let Some(client) = self.table.get(token) else { continue };
            if client.until().is_some_and(|until| until <= now) {
                failpoints::reach("client.overdue");
                // What has come meanwhile must not meet a close: it is heard first, and may change the time.
                if client.channel().has_input() {
                    self.hear(now, token);
                }
            }
            let Some(client) = self.table.get(token) else { continue };
            match client.until() {
                Some(until) if until <= now => {
                    let flow = client.overdue(now, &mut self.shared);
                    self.table.settle(now, token, flow, &mut self.shared);
                }
                until => {
                    let state = G::state(&mut self.shared);
                    // A call that begins meanwhile brings it forward: an idle session is looked at in time.
                    let again = until
                        .unwrap_or(now + state.limits.clients.linger_timeout)
                        .min(now + state.limits.clients.request_timeout);
                    state.look(again, token);
                }
            }
        }
        self.rearm(now);
    }
}
