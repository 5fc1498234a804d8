//! The coordinators' own replicated key-value store: a few texts, each persisted by a quorum of three to seven members
//! (`dahliaspoke-raft`). A daemon has a member of its own, or watches one; a daemon whose member does not take part
//! watches another one meanwhile.

mod config;
mod error;
mod following;
mod framing;
mod member;
mod replica;
mod statistics;
mod watcher;
mod wire;

pub use config::Config;
pub use error::StoreError;

use crate::limits::Limits;
use crate::net::{EventHandler, Poller, Time};
use dahliaspoke_raft::state_machine::Value;
use dahliaspoke_raft::Index;
use following::{Following, Source};
use member::Member;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use watcher::{View, Watcher};

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
    /// The member's owner number in tokens.
    pub member_owner: u8,
    /// The watcher's owner number in tokens.
    pub watcher_owner: u8,
    /// The current time.
    pub now: Time,
    /// The poller that the store registers its descriptors with.
    pub poller: Rc<Poller>,
    /// The daemon's limits.
    pub limits: Rc<Limits>,
}

impl LoopContext {
    /// The context of the event handlers with these owner numbers.
    pub fn new(
        member_owner: u8,
        watcher_owner: u8,
        now: Time,
        poller: &Rc<Poller>,
        limits: &Rc<Limits>,
    ) -> Self {
        Self { member_owner, watcher_owner, now, poller: poller.clone(), limits: limits.clone() }
    }
}

/// The replicated store, seen from this daemon.
pub struct Store {
    /// This daemon's member, if it is configured as one.
    member: Option<Box<Member>>,
    /// Watches the members while this daemon has no member that takes part in the store.
    watcher: Box<Watcher>,
    following: Following,
    /// Keys that may have changed because another copy is in use.
    changed_keys: VecDeque<String>,
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
        let now = context.now;
        let watcher = Box::new(Watcher::new(&config, name, &context));
        let member = match (&config.folder, config.listen) {
            (Some(folder), Some(listen)) => {
                Some(Box::new(Member::open(&config, folder, listen, name, context)?))
            }
            _ => None,
        };
        let source = if member.is_some() { Source::Member } else { Source::Watcher };
        let following = Following::new(now, source);
        Ok(Self { member, watcher, following, changed_keys: VecDeque::new() })
    }

    /// Sets the check that a change must pass before it is proposed.
    pub fn set_value_check(&mut self, check: ValueCheck) {
        if let Some(member) = &mut self.member {
            member.set_value_check(check);
        }
    }

    /// The address that a member listens on; `None` for a watcher.
    pub fn address(&self) -> Option<SocketAddr> {
        self.member.as_ref().and_then(|member| member.address())
    }

    /// Whether this daemon's copy has all changes that the leader had committed at the last contact, a moment
    /// ago. A member without peers that has no log has nothing to wait for.
    pub fn is_current(&self, now: Time) -> bool {
        match self.source() {
            SourceCopy::Member(member) => {
                let replica = member.replica();
                let is_alone = replica.raft.members().is_empty() && !self.watcher.has_members();
                is_alone || replica.is_current(now)
            }
            SourceCopy::Watcher(view) => view.is_current(now),
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
        match self.source() {
            SourceCopy::Member(member) => without_prefix(prefix, member.state_machine().all(prefix)),
            SourceCopy::Watcher(view) => without_prefix(prefix, view.all(prefix)),
        }
    }

    /// On the leader's daemon, proposes this text for a key unless it already is the key's value.
    pub fn maintain_value(&mut self, now: Time, key: &str, text: &str) {
        if let Some(member) = &mut self.member {
            member.maintain_value(now, key, text);
        }
    }

    /// The next changed key; an empty string means that any keys may have been removed.
    pub fn next_changed_key(&mut self, now: Time) -> Option<String> {
        self.choose_copy(now);
        let member_key = self.member.as_mut().and_then(|member| member.next_changed_key());
        let watcher_key = self.watcher.next_changed_key();
        let changed = match self.following.source() {
            Source::Member => member_key,
            Source::Watcher => watcher_key,
        };
        changed.or_else(|| self.changed_keys.pop_front())
    }

    /// The member's event handler, if this daemon has a member.
    pub fn member_handler(&mut self) -> Option<&mut dyn EventHandler> {
        self.member.as_mut().map(|member| &mut **member as &mut dyn EventHandler)
    }

    /// The watcher's event handler.
    pub fn watcher_handler(&mut self) -> &mut dyn EventHandler {
        &mut *self.watcher
    }

    /// Switches to the other copy if that one is up to date and the one in use is not: all keys may have changed.
    fn choose_copy(&mut self, now: Time) {
        let Some(member) = &self.member else { return };
        if !self.following.update(now, member, &mut self.watcher) {
            return;
        }
        tracing::info!(at = now, part = "store", "uses the copy of its {:?}", self.following.source());
        let keys: Vec<String> = match self.source() {
            SourceCopy::Member(member) => {
                member.state_machine().all("").map(|(key, _)| key.clone()).collect()
            }
            SourceCopy::Watcher(view) => view.all("").map(|(key, _)| key.clone()).collect(),
        };
        self.changed_keys.extend(keys);
        self.changed_keys.push_back(String::new());
    }

    /// The copy in use.
    fn source(&self) -> SourceCopy<'_> {
        match (&self.member, self.following.source()) {
            (Some(member), Source::Member) => SourceCopy::Member(member),
            _ => SourceCopy::Watcher(self.watcher.view()),
        }
    }

    fn value(&self, key: &str) -> Option<&Value> {
        match self.source() {
            SourceCopy::Member(member) => member.state_machine().get(key),
            SourceCopy::Watcher(view) => view.get(key),
        }
    }

    /// How up to date the copy in use is.
    fn freshness(&self, now: Time) -> Freshness {
        match self.source() {
            SourceCopy::Member(member) => member.freshness(now),
            SourceCopy::Watcher(view) => view.freshness(now),
        }
    }
}

/// The copy of the store that is in use.
enum SourceCopy<'a> {
    Member(&'a Member),
    Watcher(&'a View),
}

/// The rest of each key after the prefix, and the key's value.
fn without_prefix<'a>(
    prefix: &str,
    entries: impl Iterator<Item = (&'a String, &'a Value)>,
) -> Vec<(&'a str, &'a str)> {
    entries.map(|(key, value)| (key.strip_prefix(prefix).unwrap_or_default(), &*value.text)).collect()
}
