//! The entries that are held in memory: those after a base that a snapshot covers.

use crate::message::Entry;
use crate::{Index, Term};
use std::collections::VecDeque;

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Log {
    pub fn new(base: Index, base_term: Term) -> Self {
        Self { base, base_term, entries: VecDeque::new() }
    }

    pub fn base(&self) -> Index {
        self.base
    }

    pub fn last(&self) -> Index {
        self.base + self.entries.len() as Index
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// The term of an entry that is held, or of the base.
    pub fn term(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: Index) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.base + 1)? as usize)
    }

    /// Entries from there on, up to so many bytes but one at least.
    pub fn from(&self, first: Index, bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let skip = first.saturating_sub(self.base + 1) as usize;
        let fits = |entry: &&Entry| {
            let before = size;
            size += entry.size();
            before == 0 || size <= bytes
        };
        self.entries.iter().skip(skip).take_while(fits).cloned().collect()
    }

    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last() + 1);
        self.entries.push_back(entry);
    }

    /// Drops the entries from there on.
    pub fn truncate(&mut self, from: Index) {
        self.entries.truncate(from.saturating_sub(self.base + 1) as usize);
    }

    /// Drops the entries up to there.
    pub fn compact(&mut self, to: Index) {
        let Some(term) = self.term(to) else { return };
        self.entries.drain(..(to - self.base) as usize);
        (self.base, self.base_term) = (to, term);
    }

    /// The first entry of the term that this one has, of those that are held.
    pub fn first_of_term(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut first = index;
        while first > self.base + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Bytes of the entries after that one.
    pub fn bytes_after(&self, index: Index) -> usize {
        let skip = index.saturating_sub(self.base) as usize;
        self.entries.iter().skip(skip).map(Entry::size).sum()
    }

    /// The entry after which those up to `last` take so many bytes at the most.
    pub fn first_within(&self, last: Index, bytes: usize) -> Index {
        let (mut size, mut at) = (0, last);
        while let Some(entry) = self.get(at) {
            size += entry.size();
            if size > bytes {
                break;
            }
            at -= 1;
        }
        at
    }
}
