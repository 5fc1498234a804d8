//! Accepts connections while there is capacity, and closes idle ones to make room.

use super::{ClientConnection, Server};
use crate::net::{BufferedStream, Flow, Time, Token};

impl<C: ClientConnection> Server<C> {
    /// Accepts pending connections, at most a batch of them: a flood must not keep the event loop here. The poller reports
    /// those that are left again.
    pub(super) fn accept(&mut self, now: Time) {
        for _ in 0..self.state().limits.clients.accept_batch {
            if self.state().handed_over {
                return;
            }
            let evicted = if self.has_capacity() { None } else { self.eviction_candidate(now) };
            if evicted.is_none() && !self.has_capacity() {
                return self.acceptor.set_accepting(false);
            }
            let stream = match self.acceptor.accept() {
                Ok(Some(stream)) => stream,
                Ok(None) => return,
                Err(_) => return self.back_off(now),
            };
            if let Some(token) = evicted {
                self.connections.close(now, token, &mut self.shared);
            }
            self.add(now, stream);
        }
    }

    /// Adds an accepted connection. It is passed over if it cannot be served.
    fn add(&mut self, now: Time, stream: BufferedStream) {
        let shared = &self.shared;
        let added = self.connections.add(|token| C::accepted(now, stream, token, shared));
        let Ok(Some(token)) = added else { return };
        let state = self.state();
        let evictable_from = now + state.limits.clients.min_connection_age;
        state.schedule_check(evictable_from, token);
        self.connections.settle(now, token, Flow::Open, &mut self.shared);
    }

    /// Resumes accepting where it was paused and there is capacity again.
    pub(super) fn resume_accepting(&mut self, now: Time) {
        let closed = self.state().handed_over || now < self.accept_resumes_at;
        if closed || self.acceptor.is_accepting() {
            return;
        }
        if self.has_capacity() || self.eviction_candidate(now).is_some() {
            self.acceptor.set_accepting(true);
        }
    }

    /// The system has no descriptor or memory left: an idle connection is closed, and accepting pauses for a while. Until
    /// then the poller must not report pending connections again and again.
    fn back_off(&mut self, now: Time) {
        if let Some(token) = self.eviction_candidate(now) {
            self.connections.close(now, token, &mut self.shared);
        }
        let acceptor = self.acceptor.token();
        let resumes_at = now + self.state().limits.clients.accept_backoff;
        self.state().schedule_check(resumes_at, acceptor);
        self.accept_resumes_at = resumes_at;
        self.acceptor.set_accepting(false);
    }

    /// Whether a further connection may be open. Those for which there is no capacity wait in the kernel's backlog.
    fn has_capacity(&mut self) -> bool {
        self.connections.len() < C::max_connections(&self.state().limits)
    }

    /// The connection that is closed for a new one when there is no capacity: crowds that never send a request, or sent one
    /// and stay, would shut out those that have one to send. A new connection is not closed before a minimal age, since its
    /// request is on the way.
    fn eviction_candidate(&mut self, now: Time) -> Option<Token> {
        let idle_before = now - self.state().limits.clients.min_connection_age;
        let mut already_read = None;
        loop {
            let token = self
                .connections
                .min_by_rank(|client| client.eviction_rank().filter(|rank| rank.idle_since <= idle_before))?;
            // A request that is not read yet must not meet a close. One that was read and is still idle has sent nothing that
            // matters.
            if already_read == Some(token) || !self.connections.get(token)?.channel().has_input() {
                return Some(token);
            }
            already_read = Some(token);
            self.read_pending(now, token);
        }
    }
}
