//! The watch on a service: one blocking query after another.

use crate::net::{Time, Token};

/// Multiple of the wait time after which the response to a query is overdue. The agent itself adds up to a
/// sixteenth to the wait time.
const WAIT_TOLERANCE: f64 = 1.25;

/// The state of the watch.
pub enum Watch {
    /// A query is in flight.
    Pending {
        /// The connection of the query.
        token: Token,
        /// When it was sent.
        sent_at: Time,
        /// When its response is overdue.
        due: Time,
    },
    /// No query is in flight.
    Idle {
        /// When to send the next query.
        until: Time,
    },
}

impl Watch {
    /// A query was sent at `now`, and the agent may delay its response for `wait` seconds.
    pub fn sent(now: Time, token: Token, wait: Time) -> Self {
        Self::Pending { token, sent_at: now, due: now + wait * WAIT_TOLERANCE }
    }

    /// When the next query is to be sent, or the pending one is overdue.
    pub fn next_deadline(&self) -> Time {
        match *self {
            Self::Pending { due, .. } => due,
            Self::Idle { until } => until,
        }
    }

    /// When the query on this connection was sent; none if the connection is not that of the pending query.
    pub fn sent_at(&self, connection: Token) -> Option<Time> {
        match *self {
            Self::Pending { token, sent_at, .. } if token == connection => Some(sent_at),
            _ => None,
        }
    }
}
