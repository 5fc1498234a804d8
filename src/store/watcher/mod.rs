//! Watches a member of the store, for a daemon whose own member does not take part or that has none, and switches to
//! the next one if the connection is lost or the member reports no progress.

mod connection;
mod view;

use super::wire::{encode_watch, StoreId, WatchEvent};
use super::{Config, LoopContext};
use crate::net::{BufferedStream, ConnectionSlab, EventHandler, Ready, Time, Token};
use connection::{ReceivedEvent, ReceivedEventKind, WatchConnection};
use std::collections::VecDeque;
use std::net::SocketAddr;
pub use view::View;

/// Time (s) without reported progress after which the watcher switches to another member.
const SILENCE_TIMEOUT: Time = 2.0;
/// Interval (s) at which the connection to the watched member is checked.
const POLL_INTERVAL: Time = 0.25;

/// Watches one member at a time.
pub struct Watcher {
    /// The members, in the order of their names.
    members: Vec<SocketAddr>,
    /// The number of members tried so far. Modulo the member count, it is the index of the watched member.
    rotation: usize,
    /// The connection to the watched member; it may be closed already.
    connection: Option<Token>,
    /// When the watcher switches to another member unless the watched one reports progress.
    silence_deadline: Time,
    /// When the connection is checked next; `None` while the watcher is not active.
    next_poll: Option<Time>,
    connections: ConnectionSlab<WatchConnection>,
    received: VecDeque<ReceivedEvent>,
    view: View,
    /// The copy of another store that the watched member has, until that member is known to be up to date: a member
    /// that is left of a former store must not replace a newer one.
    candidate: Option<View>,
    /// The next request does not name the store, since a member of an earlier version did not know the one that did.
    omits_store: bool,
}

impl Watcher {
    /// A watcher of the configured members. `name` is this daemon's own name. It is active unless this daemon is
    /// configured as a member.
    pub fn new(config: &Config, name: &str, context: &LoopContext) -> Self {
        let members = config.peers.iter().filter(|(other, _)| *other != name);
        Self {
            members: members.map(|(_, address)| *address).collect(),
            rotation: 0,
            connection: None,
            silence_deadline: 0.0,
            next_poll: config.folder.is_none().then_some(context.now),
            connections: ConnectionSlab::new(context.watcher_owner, context.poller.clone()),
            received: VecDeque::new(),
            view: View::default(),
            candidate: None,
            omits_store: false,
        }
    }

    /// Whether there is a member to watch.
    pub fn has_members(&self) -> bool {
        !self.members.is_empty()
    }

    /// Starts or ends the watch. The copy remains.
    pub fn set_active(&mut self, now: Time, is_active: bool) {
        if is_active {
            self.next_poll.get_or_insert(now);
            return;
        }
        self.next_poll = None;
        if let Some(token) = self.connection.take() {
            self.connections.close(now, token, &mut self.received);
        }
    }

    /// The watcher's copy of the store.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// The next changed key.
    pub fn next_changed_key(&mut self) -> Option<String> {
        self.view.next_changed_key()
    }

    /// Switches to the next member, unless the watched one is connected and reports progress.
    fn check_connection(&mut self, now: Time) {
        let is_open = self.connection.is_some_and(|token| self.connections.get(token).is_some());
        if is_open && now < self.silence_deadline {
            return;
        }
        if let Some(token) = self.connection.take() {
            self.connections.close(now, token, &mut self.received);
        }
        // The same member is asked again, in the earlier form.
        self.rotation += usize::from(!self.omits_store);
        let index = self.rotation % self.members.len().max(1);
        if let Some(member) = self.members.get(index).copied() {
            self.silence_deadline = now + SILENCE_TIMEOUT;
            self.connection = self.connect(member);
        }
    }

    /// Starts to watch a member, from the version of this watcher's copy.
    fn connect(&mut self, member: SocketAddr) -> Option<Token> {
        self.candidate = None;
        let store = (!std::mem::take(&mut self.omits_store)).then(|| self.view.store());
        let mut channel = BufferedStream::connect(member).ok()?;
        channel.push(encode_watch(self.view.version(), store));
        self.connections.add(|token| Some(WatchConnection { channel, token })).ok()?
    }

    /// Applies all received events, except those of members that are no longer watched.
    fn apply_received(&mut self, now: Time) {
        while let Some(ReceivedEvent { connection, event }) = self.received.pop_front() {
            if self.connection != Some(connection) {
                continue;
            }
            match event {
                ReceivedEventKind::Event(event) => self.apply(now, event),
                ReceivedEventKind::UnknownRequest => self.omits_store = true,
            }
        }
    }

    fn apply(&mut self, now: Time, event: WatchEvent) {
        match event {
            WatchEvent::Store(store) => self.begin_store(store),
            WatchEvent::Change(change) => self.received_copy().apply(change),
            WatchEvent::Resync(version) => self.received_copy().resync(version),
            WatchEvent::Progress(progress) => {
                if self.received_copy().advance(now, progress) && self.accept_candidate(now) {
                    self.silence_deadline = now + SILENCE_TIMEOUT;
                }
            }
        }
    }

    /// The events that follow are about this store.
    fn begin_store(&mut self, store: StoreId) {
        if self.view.is_empty() {
            self.view = View::of_store(store);
        }
        self.candidate = (store != self.view.store()).then(|| View::of_store(store));
    }

    /// The copy that the events of the watched member are about.
    fn received_copy(&mut self) -> &mut View {
        self.candidate.as_mut().unwrap_or(&mut self.view)
    }

    /// Replaces the copy by that of another store, if there is one and its member is up to date. Returns whether the
    /// copy is that of the watched member.
    fn accept_candidate(&mut self, now: Time) -> bool {
        let Some(candidate) = self.candidate.take_if(|candidate| candidate.is_current(now)) else {
            return self.candidate.is_none();
        };
        tracing::info!(at = now, part = "store", "follows another store: all values are replaced");
        self.view.replace(candidate);
        true
    }
}

impl EventHandler for Watcher {
    fn next_deadline(&mut self) -> Option<Time> {
        self.next_poll
    }

    fn on_timer(&mut self, now: Time) {
        if self.next_poll.is_some_and(|next_poll| next_poll <= now) {
            self.next_poll = Some(now + POLL_INTERVAL);
            self.check_connection(now);
        }
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        self.connections.on_ready(now, ready, &mut self.received);
        self.apply_received(now);
    }
}
