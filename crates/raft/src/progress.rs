//! What a leader knows of another member's log (etcd's raft has it under the same name).

use crate::{Index, Micros};

/// How entries are sent to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProgressState {
    /// One message at a time, until it is known up to where the logs match.
    Probe { paused: bool },
    /// Messages follow each other without waiting for answers.
    Replicate,
    /// The snapshot of that index is sent, from the byte `offset` on.
    Snapshot { index: Index, offset: u64, paused: bool },
}

/// What may be sent to a member now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextSend {
    /// Nothing: an answer has to come first.
    Nothing,
    /// The snapshot's chunk at that byte.
    SnapshotChunk { offset: u64 },
    /// One message with entries, or without any while it is `paused`.
    Probe { paused: bool },
    /// Entries as long as the window has room.
    Entries,
}

/// A member as its leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Progress {
    /// Entries up to here are on its disk.
    pub matched: Index,
    /// The next entry to be sent.
    pub next: Index,
    pub state: ProgressState,
    /// When it last answered (us).
    pub last_contact: Micros,
    /// The last read round that it has answered.
    pub acknowledged_round: u64,
}

impl Progress {
    /// A member of whose log nothing is known; the entry `next` is tried first.
    pub fn new(next: Index, now: Micros) -> Self {
        let state = ProgressState::Probe { paused: false };
        Self { matched: 0, next, state, last_contact: now, acknowledged_round: 0 }
    }

    /// The member has confirmed that entries up to `index` are on its disk.
    pub fn acknowledge(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        let covered = match self.state {
            ProgressState::Snapshot { index, .. } => self.matched >= index,
            _ => true,
        };
        if covered {
            self.state = ProgressState::Replicate;
        }
    }

    /// Entries did not match the member's log after `previous`; it may match up to `hint`.
    pub fn reject(&mut self, previous: Index, hint: Index) {
        let expected = self.state == ProgressState::Replicate || previous + 1 == self.next;
        let stale = previous <= self.matched || !expected;
        if stale || matches!(self.state, ProgressState::Snapshot { .. }) {
            return;
        }
        self.next = (hint + 1).min(previous).max(self.matched + 1);
        self.state = ProgressState::Probe { paused: false };
    }

    /// Sends the snapshot of that index from its beginning, unless it is being sent already.
    pub fn start_snapshot(&mut self, snapshot: Index) {
        let under_way = matches!(self.state, ProgressState::Snapshot { index, .. } if index == snapshot);
        if !under_way {
            self.state = ProgressState::Snapshot { index: snapshot, offset: 0, paused: false };
        }
    }

    /// What may be sent now; a heartbeat sends the last chunk again. Pauses until the next answer where that is due.
    pub fn next_send(&mut self, heartbeat: bool) -> NextSend {
        match &mut self.state {
            ProgressState::Snapshot { paused: true, .. } if !heartbeat => NextSend::Nothing,
            ProgressState::Snapshot { offset, paused, .. } => {
                *paused = true;
                NextSend::SnapshotChunk { offset: *offset }
            }
            ProgressState::Probe { paused } => NextSend::Probe { paused: std::mem::replace(paused, true) },
            ProgressState::Replicate => NextSend::Entries,
        }
    }

    /// What was under way may be lost: sends again.
    pub fn resume(&mut self) {
        if let ProgressState::Probe { paused } | ProgressState::Snapshot { paused, .. } = &mut self.state {
            *paused = false;
        }
    }
}
