//! The store's figures for operators.

use super::{Role, Store};
use crate::net::Time;

impl Store {
    /// Passes each figure to `record`, by name.
    pub fn record_statistics(&self, now: Time, mut record: impl FnMut(&str, u64)) {
        let knowledge = match &self.role {
            Role::Member(member) => member.knowledge(now),
            Role::Watcher(watcher) => watcher.view().knowledge(now),
        };
        record("store.version", knowledge.version);
        match knowledge.age {
            Some(age) => record("store.age_ms", (age * 1000.0) as u64),
            None => record("store.unknown", 1),
        }
        if let Role::Member(member) = &self.role {
            let replica = member.replica();
            record("store.term", replica.raft.term());
            record("store.leads", u64::from(replica.raft.leads()));
            record("store.failed", u64::from(replica.failure.is_some()));
            record("store.watchers", member.watcher_count() as u64);
        }
    }
}
