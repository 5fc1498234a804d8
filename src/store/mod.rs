//! The coordinators' own replicated key-value store: a few texts, each persisted by a quorum of three to seven members
//! (`dahliaspoke-raft`). A daemon is either a member, or a watcher of one.

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

/// The configuration file, relative to the daemon's working directory.
pub const CONFIG_FILE: &str = "deploy/store.toml";
/// The key of the settings object; a change is effective immediately.
pub const SETTINGS_KEY: &str = "settings";
/// The key of the last discovered endpoint set.
pub const ENDPOINTS_KEY: &str = "engines";
/// The prefix of the keys of engines in maintenance; the engine's id follows it.
pub const MAINTENANCE_PREFIX: &str = "maintenance/";

/// Checks whether a text is a valid value of a key. Its arguments are the key and the text; its error is the reason, as
/// sent to the client.
pub type ValueCheck = Box<dyn Fn(&str, &str) -> Result<(), String>>;

/// What the store needs from the event loop.
pub struct LoopContext {
    /// The store's owner number in tokens.
    pub owner: u8,
    /// The current time.
    pub now: Time,
    /// The poller that the store registers its descriptors with.
    pub poller: Rc<Poller>,
    /// The daemon's limits.
    pub limits: Rc<Limits>,
}

impl LoopContext {
    /// The context of the event handler with the owner number `owner`.
    pub fn new(owner: u8, now: Time, poller: &Rc<Poller>, limits: &Rc<Limits>) -> Self {
        Self { owner, now, poller: poller.clone(), limits: limits.clone() }
    }
}

/// This daemon's role in the store.
enum Role {
    /// It is a member.
    Member(Box<Member>),
    /// It watches a member.
    Watcher(Box<Watcher>),
}

/// The replicated store, seen from this daemon.
pub struct Store {
    role: Role,
}

/// How up to date a daemon's copy of the store is.
struct Freshness {
    /// All changes up to this version are in the copy.
    version: Index,
    /// Time (s) since the copy was last confirmed; `None` if it never was or, on a member, if no leader is known.
    age: Option<Time>,
}

impl Store {
    /// Opens the store as a member, or starts to watch one. `name` is this daemon's own name.
    ///
    /// # Errors
    /// If the configuration is inconsistent, the member cannot listen, or its log cannot be opened.
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

    /// The address that a member listens on; `None` for a watcher.
    pub fn address(&self) -> Option<SocketAddr> {
        match &self.role {
            Role::Member(member) => member.address(),
            Role::Watcher(_) => None,
        }
    }

    /// Whether this daemon's copy has all changes that the leader had committed at the last contact, a moment
    /// ago. A member of no store has nothing to wait for.
    pub fn is_current(&self, now: Time) -> bool {
        match &self.role {
            Role::Member(member) => member.replica().is_current(),
            Role::Watcher(watcher) => watcher.view().is_current(now),
        }
    }

    /// A key's value in this daemon's copy of the store.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.value(key).map(|value| &*value.text)
    }

    /// The version of a key's value in this daemon's copy of the store; 0 if the key has no value.
    pub fn version(&self, key: &str) -> Index {
        self.value(key).map_or(0, |value| value.version)
    }

    /// All entries of this daemon's copy whose keys have a prefix: the rest of the key, and its value.
    pub fn entries_with_prefix<'a>(&'a self, prefix: &'a str) -> Vec<(&'a str, &'a str)> {
        match &self.role {
            Role::Member(member) => without_prefix(prefix, member.state_machine().all(prefix)),
            Role::Watcher(watcher) => without_prefix(prefix, watcher.view().all(prefix)),
        }
    }

    /// On the leader's daemon, proposes this text for a key unless it already is the key's value.
    pub fn maintain_value(&mut self, now: Time, key: &str, text: &str) {
        if let Role::Member(member) = &mut self.role {
            member.maintain_value(now, key, text);
        }
    }

    /// The next changed key; an empty string means that any keys may have been removed.
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

/// The rest of each key after the prefix, and the key's value.
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
