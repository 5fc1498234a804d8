//! What a leader knows of another member.

use crate::{Index, Micros};

/// How entries go to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Flow {
    /// One message at a time, until it is known where the logs part.
    Probe { waits: bool },
    /// One after the other without waiting.
    Stream,
    /// The snapshot of that index, from that byte on.
    Snapshot { index: Index, at: u64, waits: bool },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Progress {
    /// Entries up to here are on its disk.
    pub matched: Index,
    /// The next one to be sent.
    pub next: Index,
    pub flow: Flow,
    /// When it last answered.
    pub heard: Micros,
    /// The last round that it has answered.
    pub round: u64,
}

impl Progress {
    pub fn new(next: Index, now: Micros) -> Self {
        Self { matched: 0, next, flow: Flow::Probe { waits: false }, heard: now, round: 0 }
    }

    /// It has said which entries it holds.
    pub fn holds(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        let covered = match self.flow {
            Flow::Snapshot { index, .. } => self.matched >= index,
            _ => true,
        };
        if covered {
            self.flow = Flow::Stream;
        }
    }

    /// What was sent did not fit after `prev`.
    pub fn parts(&mut self, prev: Index, hint: Index) {
        let stale = prev <= self.matched || (self.flow != Flow::Stream && prev + 1 != self.next);
        if stale || matches!(self.flow, Flow::Snapshot { .. }) {
            return;
        }
        self.next = (hint + 1).min(prev).max(self.matched + 1);
        self.flow = Flow::Probe { waits: false };
    }
}
