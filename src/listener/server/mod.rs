//! The part that all listeners share: accepting, connection deadlines, capacity, shutdown, and open requests.

mod accept;
mod client;
mod run_queue;
mod state;
mod uploads;

pub use client::{ClientConnection, EvictionRank};
pub use run_queue::RunQueue;
pub use state::ListenerState;
pub use uploads::{UploadConnection, Uploads};

use crate::core::ListenerEvent;
use crate::failpoints;
use crate::net::{Acceptor, ConnectionSlab, EventHandler, Flow, Poller, Ready, Time, Token};
use dahliaspoke::policy::RequestId;
use std::cmp::Reverse;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// A listening socket and the connections that were accepted from it.
pub struct Server<C: ClientConnection> {
    acceptor: Acceptor,
    connections: ConnectionSlab<C>,
    /// When accepting may resume after the system had no descriptor or memory for a connection.
    accept_resumes_at: Time,
    /// State shared by the connections.
    pub shared: C::Shared,
}

impl<C: ClientConnection> Server<C> {
    /// Listens on a socket. `owner` is the owner number in tokens.
    ///
    /// # Errors
    /// The operating system refuses to watch the socket.
    pub fn new(owner: u8, socket: TcpListener, shared: C::Shared, poller: Rc<Poller>) -> io::Result<Self> {
        let acceptor = Acceptor::new(owner, socket, poller.clone())?;
        let connections = ConnectionSlab::new(owner, poller);
        Ok(Self { acceptor, connections, accept_resumes_at: 0.0, shared })
    }

    /// The address that the server listens on.
    ///
    /// # Errors
    /// The error that the operating system reports.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.acceptor.address()
    }

    /// The next event for the core, in order.
    pub fn next_event(&mut self) -> Option<ListenerEvent> {
        self.state().events.pop_front()
    }

    /// Number of requests rejected since the start because they were malformed or not acceptable.
    pub fn bad_requests(&mut self) -> u64 {
        self.state().bad_requests
    }

    /// Whether all answers are written, no connection is scheduled and no body is being received.
    pub fn is_drained(&mut self) -> bool {
        let state = self.state();
        state.run_queue.is_empty() && state.uploads.is_idle() && self.connections.is_flushed()
    }

    /// Stops accepting, since another process has the listening socket as well. Each connection is closed
    /// after its next answer.
    pub fn stop_accepting(&mut self) {
        let state = self.state();
        state.shutting_down = true;
        state.handed_over = true;
        self.acceptor.set_accepting(false);
    }

    /// Starts the shutdown: idle connections are closed now, the others after their next answer. A connection
    /// with unread input is not idle.
    pub fn begin_shutdown(&mut self, now: Time) {
        self.state().shutting_down = true;
        for token in self.connections.tokens() {
            if self.connections.get(token).is_some_and(is_idle) {
                self.connections.settle(now, token, Flow::Finish, &mut self.shared);
            }
        }
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.connections.len() == 0
    }

    /// Removes an open request and runs `answer` on its connection, if that still exists.
    pub fn answer(&mut self, now: Time, id: &RequestId, answer: impl FnOnce(&mut C, &mut C::Shared) -> Flow) {
        let Some(token) = self.state().open_requests.remove(id) else { return };
        self.reply(now, token, answer);
    }

    /// Whether the client of an open request is still connected.
    pub fn is_client_waiting(&mut self, id: &RequestId) -> bool {
        let token = self.state().open_requests.get(id).copied();
        let client = token.and_then(|token| self.connections.get(token));
        client.is_some_and(|client| !client.channel().has_ended())
    }

    /// Runs `answer` on a connection, if it still exists.
    pub fn reply(&mut self, now: Time, token: Token, answer: impl FnOnce(&mut C, &mut C::Shared) -> Flow) {
        let Some(client) = self.connections.get(token) else { return };
        let flow = answer(client, &mut self.shared);
        self.connections.settle(now, token, flow, &mut self.shared);
        self.limit_memory(now);
    }

    /// Closes the connections that occupy the most memory until those that may be closed stay within the limit
    /// together: clients that send a large request slowly, or do not read their answers. Each other connection has at
    /// most what one read returned.
    fn limit_memory(&mut self, now: Time) {
        let max_bytes = C::max_buffered_bytes(&self.state().limits);
        if self.connections.buffered_bytes() <= max_bytes {
            return;
        }
        while self.connections.iter().filter_map(C::refusable_bytes).sum::<usize>() > max_bytes {
            let largest = |client: &C| client.refusable_bytes().map(Reverse);
            let Some(token) = self.connections.min_by_rank(largest) else { return };
            let Some(client) = self.connections.get(token) else { return };
            let flow = client.on_memory_pressure(now, &mut self.shared);
            self.connections.settle(now, token, flow, &mut self.shared);
        }
    }

    fn state(&mut self) -> &mut ListenerState {
        C::state(&mut self.shared)
    }

    /// Reads the pending input of a connection that may be closed next.
    fn read_pending(&mut self, now: Time, token: Token) {
        let readable = Ready { token, readable: true, writable: false, ended: false };
        self.connections.on_ready(now, readable, &mut self.shared);
    }

    /// Calls `on_deadline` if a connection's deadline has passed, otherwise schedules the next check.
    fn check_deadline(&mut self, now: Time, token: Token) {
        let Some(client) = self.connections.get(token) else { return };
        if client.deadline().is_some_and(|deadline| deadline <= now) {
            failpoints::reach("client.overdue");
            // Input that has arrived in the meantime is read first, since it may move the deadline.
            if client.channel().has_input() {
                self.read_pending(now, token);
            }
        }
        let Some(client) = self.connections.get(token) else { return };
        match client.deadline() {
            Some(deadline) if deadline <= now => {
                let flow = client.on_deadline(now, &mut self.shared);
                self.connections.settle(now, token, flow, &mut self.shared);
            }
            deadline => self.schedule_next_check(now, token, deadline),
        }
    }

    /// Schedules the next check, at the latest after `request_timeout`: a request that starts to arrive in
    /// the meantime may make the deadline of an idle connection earlier.
    fn schedule_next_check(&mut self, now: Time, token: Token, deadline: Option<Time>) {
        let state = self.state();
        let clients = &state.limits.clients;
        let at = deadline.unwrap_or(now + clients.linger_timeout).min(now + clients.request_timeout);
        state.schedule_check(at, token);
    }
}

/// Whether a connection may be closed at shutdown: it may be evicted and has no unread input.
fn is_idle<C: ClientConnection>(client: &mut C) -> bool {
    client.eviction_rank().is_some() && client.channel().input.is_empty() && !client.channel().has_input()
}

impl<C: ClientConnection> EventHandler for Server<C> {
    fn next_deadline(&mut self) -> Option<Time> {
        let state = self.state();
        let deadlines = [state.timers.next_deadline(), state.run_queue.next_deadline()];
        deadlines.into_iter().flatten().reduce(Time::min)
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        if ready.token.slot == Acceptor::SLOT {
            self.accept(now);
        } else {
            self.connections.on_ready(now, ready, &mut self.shared);
            self.limit_memory(now);
        }
        self.resume_accepting(now);
    }

    /// Handles one buffered request of each scheduled connection, and checks the connections whose
    /// timers have expired.
    fn on_timer(&mut self, now: Time) {
        for token in self.state().run_queue.take() {
            self.reply(now, token, |connection, shared| connection.on_scheduled(now, shared));
        }
        while let Some(token) = self.state().timers.pop_due(now) {
            self.check_deadline(now, token);
        }
        self.resume_accepting(now);
    }
}
