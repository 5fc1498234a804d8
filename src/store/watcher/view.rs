//! A watcher's copy of the store.

use crate::net::Time;
use crate::store::wire::{StoreId, WatchProgress};
use crate::store::Freshness;
use dahliaspoke_raft::state_machine::{KeyChange, Value};
use dahliaspoke_raft::Index;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A copy that was confirmed within this time (s) is current; members report their progress twice a second.
const MAX_CURRENT_AGE: Time = 1.0;

/// A watcher's copy of the store, built from watch events.
#[derive(Default)]
pub struct View {
    /// The store that the versions belong to; 0 if it is not known.
    store: StoreId,
    values: BTreeMap<String, Value>,
    /// All changes up to this version are in the copy.
    version: Index,
    /// When the watched member was last known to be in contact with a quorum or the leader.
    as_of: Option<Time>,
    /// During a resync, the keys that have not been sent again yet.
    unconfirmed: Option<BTreeSet<String>>,
    changed_keys: VecDeque<String>,
}

impl View {
    /// An empty copy of a store.
    pub fn of_store(store: StoreId) -> Self {
        Self { store, ..Self::default() }
    }

    /// The store that the versions belong to; 0 if it is not known.
    pub fn store(&self) -> StoreId {
        self.store
    }

    /// Whether nothing was received yet.
    pub fn is_empty(&self) -> bool {
        self.version == 0 && self.values.is_empty()
    }

    /// Replaces this copy by that of another store: all keys of both may have changed.
    pub fn replace(&mut self, other: View) {
        let former = std::mem::replace(self, other);
        let removed = former.values.into_keys().filter(|key| !self.values.contains_key(key));
        let mut changed_keys = former.changed_keys;
        changed_keys.extend(removed);
        changed_keys.extend(self.values.keys().cloned());
        self.changed_keys = changed_keys;
    }

    /// The version up to which the copy has all changes.
    pub fn version(&self) -> Index {
        self.version
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// All entries whose keys have a prefix, in key order.
    pub fn all<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        self.values.range(prefix.to_string()..).take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// How up to date this copy is.
    pub fn freshness(&self, now: Time) -> Freshness {
        Freshness { version: self.version, age: self.as_of.map(|as_of| (now - as_of).max(0.0)) }
    }

    /// Whether the copy was up to date a moment ago.
    pub fn is_current(&self, now: Time) -> bool {
        self.as_of.is_some_and(|as_of| now - as_of < MAX_CURRENT_AGE)
    }

    /// The next changed key.
    pub fn next_changed_key(&mut self) -> Option<String> {
        self.changed_keys.pop_front()
    }

    /// Starts a resync: the copy may be wrong, and the changes that follow are all values as of `version`.
    pub fn resync(&mut self, version: Index) {
        self.version = self.version.min(version);
        self.unconfirmed = Some(self.values.keys().cloned().collect());
    }

    /// Applies a change, or a value of a resync. It is ignored if the copy already has it.
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

    /// The member has sent all changes up to a version. Ends a resync: keys that were not sent again are removed. Returns
    /// whether the member is at least as up to date as this copy.
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
