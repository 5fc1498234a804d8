//! Schedules connections whose clients send several requests at once. Each connection handles one request per iteration
//! of the event loop, so that no client holds up the others.

use crate::net::{Time, Token};

/// Connections that handle a buffered request in the next iteration of the event loop, in order.
#[derive(Default)]
pub struct RunQueue {
    scheduled: Vec<Token>,
    /// When the first of them was scheduled.
    since: Option<Time>,
}

impl RunQueue {
    /// Schedules a connection.
    pub fn push(&mut self, now: Time, connection: Token) {
        self.since.get_or_insert(now);
        self.scheduled.push(connection);
    }

    /// When the queue is to be taken: at once, if a connection is scheduled.
    pub fn next_deadline(&self) -> Option<Time> {
        self.since
    }

    /// Whether no connection is scheduled.
    pub fn is_empty(&self) -> bool {
        self.scheduled.is_empty()
    }

    /// Removes all scheduled connections. Those that are scheduled from now on run in the next iteration.
    pub fn take(&mut self) -> Vec<Token> {
        self.since = None;
        std::mem::take(&mut self.scheduled)
    }
}
