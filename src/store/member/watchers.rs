//! Watchers: connections that are sent each change and, at intervals, this member's progress.

use super::Member;
use crate::net::{Time, Token};
use crate::store::wire::{encode_change, encode_progress, encode_resync, encode_store, StoreId};
use dahliaspoke_raft::state_machine::KeyChange;
use dahliaspoke_raft::Index;
use std::collections::HashSet;
use std::sync::Arc;

/// Interval (s) at which this member's progress is sent to watchers.
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

    /// The number of watchers, including those whose connection was closed since the last heartbeat.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// When the next heartbeat is due; `None` without watchers.
    pub fn next_deadline(&self) -> Option<Time> {
        (!self.connections.is_empty()).then_some(self.next_heartbeat)
    }

    /// Whether a heartbeat is due. If so, schedules the next one.
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
    /// Makes a connection a watcher of all changes after a version. A watcher of another store, as the one that was
    /// there before this one was initialized, is sent all values.
    pub(super) fn start_watch(
        &mut self,
        now: Time,
        connection: Token,
        version: Index,
        store: Option<StoreId>,
    ) {
        self.watchers.connections.insert(connection);
        let own_store = self.replica.raft.cluster();
        if store.is_some() {
            self.connections.send(now, connection, encode_store(own_store));
        }
        if store.is_some_and(|store| store != own_store) {
            return self.send_resync(now, connection);
        }
        let state_machine = &self.replica.state_machine;
        let Some(changes) = state_machine.changes_since(version) else {
            return self.send_resync(now, connection);
        };
        let mut events: Vec<u8> = changes.flat_map(encode_change).collect();
        events.extend(encode_progress(state_machine.applied(), self.replica.age_ms(now)));
        self.connections.send(now, connection, events);
    }

    /// Sends a watcher all values, which replace everything that it was sent before.
    fn send_resync(&mut self, now: Time, connection: Token) {
        let (version, age_ms) = (self.replica.state_machine.applied(), self.replica.age_ms(now));
        let mut events = encode_resync(version, age_ms);
        for (key, stored) in self.replica.state_machine.all("") {
            let value = Some(stored.text.clone());
            events.extend(encode_change(&KeyChange { version: stored.version, key: key.clone(), value }));
        }
        events.extend(encode_progress(version, age_ms));
        self.connections.send(now, connection, events);
    }

    /// Records the key of a change, and sends the change to all watchers.
    pub(super) fn publish_change(&mut self, now: Time, change: &KeyChange) {
        self.changed_keys.push_back(change.key.clone());
        self.send_to_watchers(now, encode_change(change));
    }

    /// After the state machine was replaced: records all keys as changed, and sends all values to all watchers.
    pub(super) fn publish_resync(&mut self, now: Time) {
        self.changed_keys.extend(self.replica.state_machine.all("").map(|(key, _)| key.clone()));
        self.changed_keys.push_back(String::new()); // any keys may have been removed
        for connection in self.watchers.connections() {
            self.send_resync(now, connection);
        }
    }

    /// Sends watchers this member's progress. Their copy is as old as this member's last contact with a quorum or the
    /// leader. Nothing is sent while no leader is known or after a failure, as this member then learns nothing new.
    pub(super) fn send_heartbeat(&mut self, now: Time) {
        if !self.replica.participates() {
            return self.end_watches(now);
        }
        let replica = &self.replica;
        if replica.raft.leader().is_none() || replica.failure.is_some() {
            return;
        }
        let event = encode_progress(replica.state_machine.applied(), replica.age_ms(now));
        self.send_to_watchers(now, event);
        let connections = &mut self.connections;
        self.watchers.connections.retain(|connection| connections.is_open(*connection));
    }

    /// Closes the connections of all watchers, which then watch another member.
    fn end_watches(&mut self, now: Time) {
        for connection in std::mem::take(&mut self.watchers.connections) {
            self.connections.close(now, connection);
        }
    }

    fn send_to_watchers(&mut self, now: Time, event: Vec<u8>) {
        let event = Arc::new(event);
        for connection in self.watchers.connections() {
            self.connections.send_shared(now, connection, event.clone());
        }
    }
}
