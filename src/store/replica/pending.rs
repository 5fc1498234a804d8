//! Requests that are waiting for the consensus protocol, by proposal id.

use crate::net::Token;
use std::collections::HashMap;

/// What a request is waiting for.
#[derive(Debug, PartialEq, Eq)]
pub enum PendingKind {
    /// The outcome of a change.
    Change,
    /// A linearizable read of a key.
    Read {
        /// The key.
        key: String,
        /// Whether the answer includes the version, before the value.
        with_version: bool,
    },
    /// The outcome of a membership change.
    Membership,
}

/// A pending request.
#[derive(Debug, PartialEq, Eq)]
pub struct PendingCall {
    /// The connection to answer on.
    pub connection: Token,
    /// What the request is waiting for.
    pub kind: PendingKind,
}

/// All pending requests.
#[derive(Default)]
pub struct PendingCalls {
    calls: HashMap<u64, PendingCall>,
    last_id: u64,
}

impl PendingCalls {
    /// Adds a request and returns its proposal id. Ids start at 1.
    pub fn add(&mut self, connection: Token, kind: PendingKind) -> u64 {
        self.last_id += 1;
        self.calls.insert(self.last_id, PendingCall { connection, kind });
        self.last_id
    }

    /// Removes the request with this proposal id.
    pub fn remove(&mut self, proposal_id: u64) -> Option<PendingCall> {
        self.calls.remove(&proposal_id)
    }

    /// Removes all requests and returns their connections.
    pub fn drain_connections(&mut self) -> Vec<Token> {
        self.calls.drain().map(|(_, call)| call.connection).collect()
    }
}
