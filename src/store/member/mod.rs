//! A daemon that is a member: runs its replica on the event loop and serves the connections of other members, operators
//! and watchers.

mod connections;
mod peers;
mod requests;
mod status;
mod watchers;

use super::replica::{Replica, ReplicaEvent};
use super::wire::encode_message;
use super::{Config, Freshness, LoopContext, StoreError, ValueCheck};
use crate::net::{Acceptor, EventHandler, Ready, Time, Token};
use connections::Connections;
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::state_machine::{Command, Op, StateMachine, MAX_VALUE_BYTES};
use peers::Peers;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use watchers::Watchers;

/// Interval (s) at which the list of peers is updated and closed connections to them are reopened.
const POLL_INTERVAL: Time = 0.25;
/// The slot in the token of the log writer's waker; no connection uses it.
const WAKER_SLOT: u32 = u32::MAX - 1;

/// A member of the store.
pub struct Member {
    listener: Acceptor,
    max_connections: usize,
    connections: Connections,
    peers: Peers,
    replica: Replica,
    /// The token of the log writer's waker.
    waker: Token,
    watchers: Watchers,
    next_poll: Time,
    value_check: ValueCheck,
    changed_keys: VecDeque<String>,
}

impl Member {
    /// Starts to listen, and opens the log in `folder`. `name` is this daemon's own name.
    ///
    /// # Errors
    /// If the member cannot listen, or its log cannot be opened.
    pub fn open(
        config: &Config,
        folder: &Path,
        listen: SocketAddr,
        name: &str,
        context: LoopContext,
    ) -> Result<Self, StoreError> {
        let LoopContext { member_owner: owner, now, poller, limits, .. } = context;
        let listen_error = |error| StoreError::Listen { address: listen, error };
        let socket = TcpListener::bind(listen).map_err(listen_error)?;
        let listener = Acceptor::new(owner, socket, poller.clone()).map_err(listen_error)?;
        let own_address = listener.address().map_err(listen_error)?;
        let address = config.address.clone().unwrap_or(own_address.to_string());
        let replica = Replica::open(now, folder, name, address)?;
        let waker = Token::new(owner, WAKER_SLOT, 0);
        poller.add(replica.writer_waker(), waker, false).map_err(StoreError::Poller)?;
        // At least two values of the maximum size must fit.
        let max_unsent_bytes = limits.engines.max_unwritten_bytes.max(2 * MAX_VALUE_BYTES);
        Ok(Self {
            listener,
            max_connections: config.connections.unwrap_or(limits.store.max_connections),
            connections: Connections::new(owner, poller, max_unsent_bytes),
            peers: Peers::new(config, name),
            replica,
            waker,
            watchers: Watchers::new(now),
            next_poll: now,
            value_check: Box::new(|_, _| Ok(())),
            changed_keys: VecDeque::new(),
        })
    }

    /// Sets the check that a change must pass before it is proposed.
    pub fn set_value_check(&mut self, check: ValueCheck) {
        self.value_check = check;
    }

    /// The address that it listens on.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.address().ok()
    }

    /// Its replica.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The state after all entries that were applied here.
    pub fn state_machine(&self) -> &StateMachine {
        &self.replica.state_machine
    }

    /// The number of watchers, including those that disconnected since the last heartbeat.
    pub fn watcher_count(&self) -> usize {
        self.watchers.len()
    }

    /// How up to date this member's copy is; without a known leader it has no age.
    pub fn freshness(&self, now: Time) -> Freshness {
        let has_leader = self.replica.raft.leader().is_some();
        let age = has_leader.then(|| self.replica.age_ms(now) as Time / 1000.0);
        Freshness { version: self.replica.state_machine.applied(), age }
    }

    /// The next changed key; an empty string means that any keys may have been removed.
    pub fn next_changed_key(&mut self) -> Option<String> {
        self.changed_keys.pop_front()
    }

    /// On the leader, proposes this text for a key unless it already is the key's value.
    pub fn maintain_value(&mut self, now: Time, key: &str, text: &str) {
        let is_unchanged = self.state_machine().get(key).is_some_and(|value| &*value.text == text);
        if is_unchanged || !self.replica.raft.leads() {
            return;
        }
        let op = Op { key: key.into(), value: Some(text.into()), expect: None };
        let command = Command { session: 0, serial: 0, ops: vec![op] };
        // The waker's token belongs to no connection, so the answer is dropped.
        self.replica.propose(now, self.waker, &command);
        self.process_events(now);
    }

    /// Processes the replica's events.
    fn process_events(&mut self, now: Time) {
        for event in self.replica.take_events() {
            match event {
                ReplicaEvent::Send(message) => self.send_message(now, &message),
                ReplicaEvent::Answer(connection, answer) => self.answer(now, connection, &answer),
                ReplicaEvent::KeyChanged(change) => self.publish_change(now, &change),
                ReplicaEvent::Restored => self.publish_resync(now),
            }
        }
    }

    /// Sends a message of the consensus protocol, which retransmits lost messages.
    fn send_message(&mut self, now: Time, message: &Message) {
        if let Some(connection) = self.peers.connection_to(message.to) {
            self.connections.send_or_drop(now, connection, || encode_message(message));
        }
    }

    fn accept_connections(&mut self) {
        while self.connections.len() < self.max_connections {
            let Ok(Some(channel)) = self.listener.accept() else { break };
            self.connections.add(channel);
        }
    }

    /// Adds new members to the peers, and connects to each peer without an open connection.
    fn update_peers(&mut self) {
        self.peers.add_members(self.replica.raft.members(), self.replica.raft.id());
        self.peers.reconnect(&mut self.connections, &self.replica.hello);
    }
}

impl EventHandler for Member {
    fn next_deadline(&mut self) -> Option<Time> {
        let deadlines = [self.watchers.next_deadline(), self.replica.next_deadline()];
        Some(deadlines.into_iter().flatten().fold(self.next_poll, f64::min))
    }

    fn on_timer(&mut self, now: Time) {
        self.replica.on_timer(now);
        self.process_events(now);
        if self.next_poll <= now {
            self.next_poll = now + POLL_INTERVAL;
            self.update_peers();
        }
        if self.watchers.is_heartbeat_due(now) {
            self.send_heartbeat(now);
        }
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        match ready.token.slot {
            WAKER_SLOT => {
                self.replica.on_written(now);
                self.process_events(now);
            }
            Acceptor::SLOT => self.accept_connections(),
            _ => {
                self.connections.on_ready(now, ready);
                self.handle_requests(now);
            }
        }
        let has_capacity = self.connections.len() < self.max_connections;
        self.listener.set_accepting(has_capacity);
    }
}
