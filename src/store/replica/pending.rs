//! Requests that wait for the consensus protocol, by the ids under which they were proposed.

use crate::net::Token;
use std::collections::HashMap;

/// What a request waits for.
#[derive(Debug, PartialEq, Eq)]
pub enum PendingKind {
    /// The outcome of a change.
    Change,
    /// A linearizable read of a key.
    Read {
        /// The key.
        key: String,
        /// Whether the answer has the version in front of the value.
        with_version: bool,
    },
    /// A change of members.
    Membership,
}

/// A request that waits.
#[derive(Debug, PartialEq, Eq)]
pub struct PendingCall {
    /// The connection that is to be answered.
    pub connection: Token,
    /// What it waits for.
    pub kind: PendingKind,
}

/// All requests that wait.
#[derive(Default)]
pub struct PendingCalls {
    calls: HashMap<u64, PendingCall>,
    last_id: u64,
}

impl PendingCalls {
    /// Adds a request and returns its proposal id, from 1.
    pub fn add(&mut self, connection: Token, kind: PendingKind) -> u64 {
        self.last_id += 1;
        self.calls.insert(self.last_id, PendingCall { connection, kind });
        self.last_id
    }

    /// Removes the request of a proposal id.
    pub fn remove(&mut self, proposal_id: u64) -> Option<PendingCall> {
        self.calls.remove(&proposal_id)
    }

    /// Removes all requests; the connections that made them.
    pub fn drain_connections(&mut self) -> Vec<Token> {
        self.calls.drain().map(|(_, call)| call.connection).collect()
    }
}
