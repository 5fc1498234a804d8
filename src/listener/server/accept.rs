//! Accepts connections while there is capacity, and evicts idle ones to free capacity.

use super::{ClientConnection, Server};
use crate::net::{BufferedStream, Flow, Time, Token};

impl<C: ClientConnection> Server<C> {
    /// Accepts pending connections, at most one batch so that a flood cannot monopolise the event loop. The
    /// poller reports the remaining ones again.
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

    /// Adds an accepted connection, or drops it if it cannot be served.
    fn add(&mut self, now: Time, stream: BufferedStream) {
        let shared = &self.shared;
        let added = self.connections.add(|token| C::accepted(now, stream, token, shared));
        let Ok(Some(token)) = added else { return };
        let state = self.state();
        let evictable_from = now + state.limits.clients.min_connection_age;
        state.schedule_check(evictable_from, token);
        self.connections.settle(now, token, Flow::Open, &mut self.shared);
    }

    /// Resumes accepting if it was paused and there is capacity again, or an idle connection that can be
    /// evicted.
    pub(super) fn resume_accepting(&mut self, now: Time) {
        let is_blocked = self.state().handed_over || now < self.accept_resumes_at;
        if is_blocked || self.acceptor.is_accepting() {
            return;
        }
        if self.has_capacity() || self.eviction_candidate(now).is_some() {
            self.acceptor.set_accepting(true);
        }
    }

    /// Handles the lack of a descriptor or of memory: evicts an idle connection and pauses accepting for
    /// `accept_backoff`, during which the poller must not report pending connections over and over.
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

    /// Whether another connection may be accepted. Connections beyond the capacity wait in the kernel's
    /// backlog.
    fn has_capacity(&mut self) -> bool {
        self.connections.len() < C::max_connections(&self.state().limits)
    }

    /// The idle connection to evict when there is no capacity for a new one. Without eviction, clients that
    /// connect and never send a request, or remain connected after one, would lock out those that have a
    /// request to send. A connection is not evicted before `min_connection_age`, since its request may still
    /// be in transit.
    fn eviction_candidate(&mut self, now: Time) -> Option<Token> {
        let idle_before = now - self.state().limits.clients.min_connection_age;
        let mut already_read = None;
        loop {
            let token = self
                .connections
                .min_by_rank(|client| client.eviction_rank().filter(|rank| rank.idle_since <= idle_before))?;
            // Pending input may be a request, so it is read before the connection is evicted. A connection
            // that is still the candidate after that has sent nothing that makes it busy.
            if already_read == Some(token) || !self.connections.get(token)?.channel().has_input() {
                return Some(token);
            }
            already_read = Some(token);
            self.read_pending(now, token);
        }
    }
}
