//! The watch on a service: one blocking query after another.

use crate::net::{Time, Token};

/// The agent adds up to a sixteenth to the time that it may hold a query; one that takes a quarter more has failed.
const HOLD_TOLERANCE: f64 = 1.25;

/// Where the watch stands.
pub enum Watch {
    /// A query is out.
    Pending {
        /// The connection that it is on.
        token: Token,
        /// When it was sent.
        sent_at: Time,
        /// When its response is overdue.
        due: Time,
    },
    /// None is out: the next one is sent then.
    Idle {
        /// When to send it.
        until: Time,
    },
}

impl Watch {
    /// A query was sent at `now`, which the agent may hold for `wait` seconds.
    pub fn sent(now: Time, token: Token, wait: Time) -> Self {
        Self::Pending { token, sent_at: now, due: now + wait * HOLD_TOLERANCE }
    }

    /// When the watch has something to do next.
    pub fn next_deadline(&self) -> Time {
        match *self {
            Self::Pending { due, .. } => due,
            Self::Idle { until } => until,
        }
    }

    /// When the query on that connection was sent; none where it is not the watch's.
    pub fn sent_at(&self, connection: Token) -> Option<Time> {
        match *self {
            Self::Pending { token, sent_at, .. } if token == connection => Some(sent_at),
            _ => None,
        }
    }
}
