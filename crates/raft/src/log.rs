//! The log entries in memory: those after a base, which a snapshot covers.

use crate::entry::{Entry, LogPosition};
use crate::{Index, Term};
use std::collections::VecDeque;

/// A contiguous section of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    /// The position of the entry before the first one in memory.
    base: LogPosition,
    entries: VecDeque<Entry>,
}

impl Log {
    /// An empty log that continues after `base`.
    pub fn new(base: LogPosition) -> Self {
        Self { base, entries: VecDeque::new() }
    }

    /// The index of the entry before the first one in memory.
    pub fn base(&self) -> Index {
        self.base.index
    }

    /// The index of the last entry, or of the base if there are no entries.
    pub fn last(&self) -> Index {
        self.base.index + self.entries.len() as Index
    }

    /// The position of the last entry, or the base if there are no entries.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base, Entry::position)
    }

    /// The term of the entry at `index`, if it is in memory or is the base.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is in memory.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.base.index + 1)? as usize)
    }

    /// The entries from `first` on, up to `max_bytes` in total but at least one if there is any.
    pub fn entries_from(&self, first: Index, max_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let skipped = first.saturating_sub(self.base.index + 1) as usize;
        let fits = |entry: &&Entry| {
            let before = size;
            size += entry.size();
            before == 0 || size <= max_bytes
        };
        self.entries.iter().skip(skipped).take_while(fits).cloned().collect()
    }

    /// Appends an entry; its index must follow the last one.
    pub fn append(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub fn truncate(&mut self, from: Index) {
        self.entries.truncate(from.saturating_sub(self.base.index + 1) as usize);
    }

    /// Removes the entries up to and including `to`, which becomes the base.
    pub fn compact(&mut self, to: Index) {
        let Some(term) = self.term(to) else { return };
        self.entries.drain(..(to - self.base.index) as usize);
        self.base = LogPosition { index: to, term };
    }

    /// The first entry in memory of the run of entries that ends at `index` and shares its term.
    pub fn first_of_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// The total size of the entries after `index` (bytes).
    pub fn bytes_after(&self, index: Index) -> usize {
        let skipped = index.saturating_sub(self.base.index) as usize;
        self.entries.iter().skip(skipped).map(Entry::size).sum()
    }

    /// The lowest index such that the entries after it, up to `last`, are at most `max_bytes` in total.
    pub fn start_of_tail(&self, last: Index, max_bytes: usize) -> Index {
        let mut size = 0;
        let mut start = last;
        while let Some(entry) = self.get(start) {
            size += entry.size();
            if size > max_bytes {
                break;
            }
            start -= 1;
        }
        start
    }
}
