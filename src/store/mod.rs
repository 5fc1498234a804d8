//! The coordinators' own replicated store: a few texts by key that a quorum of three to seven members has on disk
//! (`dahliaspoke-raft`). A daemon is a member, or it watches one.

mod config;
mod error;
mod framing;
mod member;
mod replica;
mod statistics;
mod watcher;
mod wire;

pub use config::Config;
pub use error::StoreError;

use crate::limits::Limits;
use crate::net::{EventHandler, Poller, Ready, Time};
use dahliaspoke_raft::state_machine::Value;
use dahliaspoke_raft::Index;
use member::Member;
use std::net::SocketAddr;
use std::rc::Rc;
use watcher::Watcher;

/// The configuration file, from the folder that the daemon is started in.
pub const CONFIG_FILE: &str = "deploy/store.toml";
/// The key of the settings object; a change takes effect at once.
pub const SETTINGS_KEY: &str = "settings";
/// The key of the endpoint set as it was last discovered.
pub const ENDPOINTS_KEY: &str = "engines";
/// The prefix of the keys of engines in maintenance; the engine's id follows.
pub const MAINTENANCE_PREFIX: &str = "maintenance/";

/// Checks whether a key may hold a text: key and text.
pub type ValueCheck = Box<dyn Fn(&str, &str) -> Result<(), String>>; // until the callers are typed

/// What the store needs of the event loop.
pub struct LoopContext {
    /// The store's number as an event handler, in the tokens of its descriptors.
    pub owner: u8,
    /// The current time.
    pub now: Time,
    /// Where descriptors are registered.
    pub poller: Rc<Poller>,
    /// The daemon's limits.
    pub limits: Rc<Limits>,
}

impl LoopContext {
    /// The context of the event handler of that number.
    pub fn new(owner: u8, now: Time, poller: &Rc<Poller>, limits: &Rc<Limits>) -> Self {
        Self { owner, now, poller: poller.clone(), limits: limits.clone() }
    }
}

/// What this daemon is.
enum Role {
    /// One of the members.
    Member(Box<Member>),
    /// It watches a member.
    Watcher(Box<Watcher>),
}

/// The replicated store, as this daemon takes part in it.
pub struct Store {
    role: Role,
}

/// What a daemon knows of the store.
struct Knowledge {
    /// The version of the last change that it knows.
    version: Index,
    /// How old that knowledge is (s); `None` where nothing is known.
    age: Option<Time>,
}

impl Store {
    /// Opens the store as a member, or begins to watch one. `name` is this daemon's own.
    ///
    /// # Errors
    /// Where the configuration does not fit together, the member cannot listen, or its log cannot be opened.
    pub fn open(config: Config, name: &str, context: LoopContext) -> Result<Self, StoreError> {
        config.check()?;
        let role = match (&config.folder, config.listen) {
            (Some(folder), Some(listen)) => {
                Role::Member(Box::new(Member::open(&config, folder, listen, name, context)?))
            }
            _ => Role::Watcher(Box::new(Watcher::new(&config, name, context))),
        };
        Ok(Self { role })
    }

    /// Sets the check that a change must pass before it is proposed.
    pub fn set_value_check(&mut self, check: ValueCheck) {
        if let Role::Member(member) = &mut self.role {
            member.set_value_check(check);
        }
    }

    /// Where a member listens.
    pub fn address(&self) -> Option<SocketAddr> {
        match &self.role {
            Role::Member(member) => member.address(),
            Role::Watcher(_) => None,
        }
    }

    /// What a key holds, as far as this daemon knows.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.value(key).map(|value| &*value.text)
    }

    /// The version of what a key holds, as far as this daemon knows; 0 where it holds nothing.
    pub fn version(&self, key: &str) -> Index {
        self.value(key).map_or(0, |value| value.version)
    }

    /// The keys with a prefix, as far as this daemon knows: what follows the prefix, and what the key holds.
    pub fn entries_with_prefix<'a>(&'a self, prefix: &'a str) -> Vec<(&'a str, &'a str)> {
        match &self.role {
            Role::Member(member) => without_prefix(prefix, member.state_machine().all(prefix)),
            Role::Watcher(watcher) => without_prefix(prefix, watcher.view().all(prefix)),
        }
    }

    /// At the leader's daemon, proposes this text for a key that holds another one.
    pub fn maintain_value(&mut self, now: Time, key: &str, text: &str) {
        if let Role::Member(member) = &mut self.role {
            member.maintain_value(now, key, text);
        }
    }

    /// The next key that has changed; the empty one where keys may have been removed.
    pub fn next_changed_key(&mut self) -> Option<String> {
        match &mut self.role {
            Role::Member(member) => member.next_changed_key(),
            Role::Watcher(watcher) => watcher.next_changed_key(),
        }
    }

    fn value(&self, key: &str) -> Option<&Value> {
        match &self.role {
            Role::Member(member) => member.state_machine().get(key),
            Role::Watcher(watcher) => watcher.view().get(key),
        }
    }

    fn event_handler(&mut self) -> &mut dyn EventHandler {
        match &mut self.role {
            Role::Member(member) => &mut **member,
            Role::Watcher(watcher) => &mut **watcher,
        }
    }
}

/// What follows the prefix in each key, and what the key holds.
fn without_prefix<'a>(
    prefix: &str,
    entries: impl Iterator<Item = (&'a String, &'a Value)>,
) -> Vec<(&'a str, &'a str)> {
    entries.map(|(key, value)| (key.strip_prefix(prefix).unwrap_or_default(), &*value.text)).collect()
}

impl EventHandler for Store {
    fn next_deadline(&mut self) -> Option<Time> {
        self.event_handler().next_deadline()
    }

    fn on_timer(&mut self, now: Time) {
        self.event_handler().on_timer(now);
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        self.event_handler().on_ready(now, ready);
    }
}
