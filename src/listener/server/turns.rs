//! Turns of connections whose clients send several requests at once. Each connection handles one request per
//! iteration of the event loop, so that no client holds up the others.

use crate::net::{Time, Token};

/// Connections that have buffered requests and wait for their turn, in order.
#[derive(Default)]
pub struct Turns {
    waiting: Vec<Token>,
    /// When the first of them started to wait.
    since: Option<Time>,
}

impl Turns {
    /// Adds a connection.
    pub fn request(&mut self, now: Time, connection: Token) {
        self.since.get_or_insert(now);
        self.waiting.push(connection);
    }

    /// When the next turn is due: at once, if a connection waits.
    pub fn next_deadline(&self) -> Option<Time> {
        self.since
    }

    /// Whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes all waiting connections. Those that are added from now on have their turn in the next
    /// iteration.
    pub fn take(&mut self) -> Vec<Token> {
        self.since = None;
        std::mem::take(&mut self.waiting)
    }
}
