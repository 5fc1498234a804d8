//! Queries that have no response yet.

use crate::net::Time;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

struct PendingQuery {
    id: u16,
    sent_at: Time,
}

/// The queries that may still be answered, each with an unpredictable id: a response to an earlier
/// incarnation of this process, or a forged one, matches none of them.
pub struct PendingQueries {
    ids: Pcg64Mcg,
    /// Ordered by send time, the latest last.
    queries: VecDeque<PendingQuery>,
    max_queries: usize,
    latest_id: u16,
}

impl PendingQueries {
    /// Generates ids from `seed`, and keeps at most `max_queries` queries.
    pub fn new(seed: u64, max_queries: usize) -> Self {
        let ids = Pcg64Mcg::seed_from_u64(seed);
        Self { ids, queries: VecDeque::new(), max_queries, latest_id: 0 }
    }

    /// Adds a query that is sent at `now` and returns its id. If there are `max_queries` already, the oldest
    /// is dropped.
    pub fn add(&mut self, now: Time) -> u16 {
        let mut id = self.ids.next_u32() as u16;
        while self.queries.iter().any(|query| query.id == id) {
            id = id.wrapping_add(1);
        }
        if self.queries.len() == self.max_queries {
            self.queries.pop_front();
        }
        self.latest_id = id;
        self.queries.push_back(PendingQuery { id, sent_at: now });
        id
    }

    /// Removes the query that a response answers, and returns when it was sent.
    pub fn remove(&mut self, id: u16) -> Option<Time> {
        let index = self.queries.iter().position(|query| query.id == id)?;
        self.queries.remove(index).map(|query| query.sent_at)
    }

    /// Drops all queries.
    pub fn clear(&mut self) {
        self.queries.clear();
    }

    /// Whether the latest query has no response yet.
    pub fn awaits_latest(&self) -> bool {
        self.queries.back().is_some_and(|query| query.id == self.latest_id)
    }
}
