//! The store's statistics for operators.

use super::Store;
use crate::net::Time;

impl Store {
    /// Passes the name and value of each statistic to `record`.
    pub fn record_statistics(&self, now: Time, mut record: impl FnMut(&str, u64)) {
        let freshness = self.freshness(now);
        record("store.version", freshness.version);
        match freshness.age {
            Some(age) => record("store.age_ms", (age * 1000.0) as u64),
            None => record("store.unknown", 1),
        }
        if let Some(member) = &self.member {
            let replica = member.replica();
            record("store.term", replica.raft.term());
            record("store.leads", u64::from(replica.raft.leads()));
            record("store.failed", u64::from(replica.failure.is_some()));
            record("store.watchers", member.watcher_count() as u64);
        }
    }
}
