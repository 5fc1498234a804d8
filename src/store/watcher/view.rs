//! What a watcher knows of the store.

use crate::net::Time;
use crate::store::wire::WatchProgress;
use crate::store::Knowledge;
use dahliaspoke_raft::state_machine::{KeyChange, Value};
use dahliaspoke_raft::Index;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a watcher knows of the store, from the lines of a watch.
#[derive(Default)]
pub struct View {
    values: BTreeMap<String, Value>,
    /// All changes up to this version are known.
    version: Index,
    /// When the watched member was last known to be in touch with a quorum or the leader.
    as_of: Option<Time>,
    /// During a restart, the keys that were not sent again so far.
    unconfirmed: Option<BTreeSet<String>>,
    changed_keys: VecDeque<String>,
}

impl View {
    /// All changes up to this version are known.
    pub fn version(&self) -> Index {
        self.version
    }

    /// What a key holds.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// The keys with a prefix, in order.
    pub fn all<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        self.values.range(prefix.to_string()..).take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// How far and how old this knowledge is.
    pub fn knowledge(&self, now: Time) -> Knowledge {
        Knowledge { version: self.version, age: self.as_of.map(|as_of| (now - as_of).max(0.0)) }
    }

    /// The next key that has changed.
    pub fn next_changed_key(&mut self) -> Option<String> {
        self.changed_keys.pop_front()
    }

    /// What is known may no longer hold; the changes that follow name all that does.
    pub fn restart(&mut self, version: Index) {
        self.version = self.version.min(version);
        self.unconfirmed = Some(self.values.keys().cloned().collect());
    }

    /// A key has changed, or is named in a restart. One that is known already is ignored.
    pub fn apply(&mut self, change: KeyChange) {
        let mut known = self.values.get(&change.key).map_or(0, |value| value.version);
        match &mut self.unconfirmed {
            Some(keys) => drop(keys.remove(&change.key)),
            None => known = known.max(self.version),
        }
        if change.version <= known {
            return;
        }
        let KeyChange { version, key, value } = change;
        match value {
            Some(text) => self.values.insert(key.clone(), Value { version, text }),
            None => self.values.remove(&key),
        };
        self.changed_keys.push_back(key);
    }

    /// All changes up to a version were sent; keys that a restart did not name are gone. Returns whether the member is
    /// at least as far as this view.
    pub fn advance(&mut self, now: Time, progress: WatchProgress) -> bool {
        for key in self.unconfirmed.take().into_iter().flatten() {
            self.values.remove(&key);
            self.changed_keys.push_back(key);
        }
        let is_current = progress.version >= self.version;
        if is_current {
            self.version = progress.version;
            self.as_of = Some(now - progress.age);
        }
        is_current
    }
}
