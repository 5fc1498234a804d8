//! Watchers: connections that receive each change, and regularly how far this member is.

use super::Member;
use crate::net::{Time, Token};
use crate::store::wire::{encode_change, encode_progress, encode_restart};
use dahliaspoke_raft::state_machine::KeyChange;
use dahliaspoke_raft::Index;
use std::collections::HashSet;
use std::sync::Arc;

/// Interval (s) at which watchers are sent how far this member is.
const HEARTBEAT_INTERVAL: Time = 0.5;

/// The connections of watchers.
pub struct Watchers {
    connections: HashSet<Token>,
    next_heartbeat: Time,
}

impl Watchers {
    /// No watchers yet.
    pub fn new(now: Time) -> Self {
        Self { connections: HashSet::new(), next_heartbeat: now }
    }

    /// How many there are; some may be closed since the last heartbeat.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// When the next heartbeat is due; `None` without watchers.
    pub fn next_deadline(&self) -> Option<Time> {
        (!self.connections.is_empty()).then_some(self.next_heartbeat)
    }

    /// Whether a heartbeat is due; the next one is after the usual interval then.
    pub fn is_heartbeat_due(&mut self, now: Time) -> bool {
        let is_due = self.next_heartbeat <= now;
        if is_due {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
        }
        is_due
    }

    fn connections(&self) -> Vec<Token> {
        self.connections.iter().copied().collect()
    }
}

impl Member {
    /// A connection becomes a watcher of all changes after a version.
    pub(super) fn start_watch(&mut self, now: Time, connection: Token, version: Index) {
        self.watchers.connections.insert(connection);
        let state_machine = &self.replica.state_machine;
        let Some(changes) = state_machine.changes_since(version) else {
            return self.send_restart(now, connection);
        };
        let mut lines: Vec<u8> = changes.flat_map(encode_change).collect();
        lines.extend(encode_progress(state_machine.applied(), self.replica.age_ms(now)));
        self.connections.send(now, connection, lines);
    }

    /// Sends a watcher all values, in place of what it was sent before.
    fn send_restart(&mut self, now: Time, connection: Token) {
        let (version, age_ms) = (self.replica.state_machine.applied(), self.replica.age_ms(now));
        let mut lines = encode_restart(version, age_ms);
        for (key, held) in self.replica.state_machine.all("") {
            let value = Some(held.text.clone());
            lines.extend(encode_change(&KeyChange { version: held.version, key: key.clone(), value }));
        }
        lines.extend(encode_progress(version, age_ms));
        self.connections.send(now, connection, lines);
    }

    /// A key has changed: notes it, and sends the change to all watchers.
    pub(super) fn publish_change(&mut self, now: Time, change: &KeyChange) {
        self.changed_keys.push_back(change.key.clone());
        self.send_to_watchers(now, encode_change(change));
    }

    /// The state machine was replaced: notes all keys, and sends all values to all watchers.
    pub(super) fn publish_restart(&mut self, now: Time) {
        self.changed_keys.extend(self.replica.state_machine.all("").map(|(key, _)| key.clone()));
        self.changed_keys.push_back(String::new()); // some may have been removed
        for connection in self.watchers.connections() {
            self.send_restart(now, connection);
        }
    }

    /// Sends watchers how far this member is: their knowledge is as old as its last contact with a quorum. Without a
    /// leader it knows nothing new, and sends nothing.
    pub(super) fn send_heartbeat(&mut self, now: Time) {
        let replica = &self.replica;
        if replica.raft.leader().is_none() || replica.failure.is_some() {
            return;
        }
        let line = encode_progress(replica.state_machine.applied(), replica.age_ms(now));
        self.send_to_watchers(now, line);
        let connections = &mut self.connections;
        self.watchers.connections.retain(|connection| connections.is_open(*connection));
    }

    fn send_to_watchers(&mut self, now: Time, line: Vec<u8>) {
        let line = Arc::new(line);
        for connection in self.watchers.connections() {
            self.connections.send_shared(now, connection, line.clone());
        }
    }
}
