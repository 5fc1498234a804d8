//! A leader's view of another member's log (named after `Progress` in etcd's raft).

use crate::{Index, Micros};

/// How the leader replicates to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ProgressState {
    /// One message at a time, until the last matching entry is known.
    Probe { paused: bool },
    /// Messages are pipelined, without waiting for replies.
    Replicate,
    /// The snapshot at `index` is being sent; the next chunk starts at byte `offset`.
    Snapshot { index: Index, offset: u64, paused: bool },
}

/// What may be sent to a member now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextSend {
    /// Nothing until a reply arrives.
    Nothing,
    /// The snapshot chunk at byte `offset`.
    SnapshotChunk { offset: u64 },
    /// One message, with entries unless `paused`.
    Probe { paused: bool },
    /// Entries, up to the limit of the in-flight window.
    Entries,
}

/// The leader's view of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Progress {
    /// Entries up to this index are known to be on its disk.
    pub matched: Index,
    /// The next entry to send.
    pub next: Index,
    pub state: ProgressState,
    /// When its last reply arrived (us).
    pub last_contact: Micros,
    /// The latest read round that it has confirmed.
    pub acknowledged_round: u64,
}

impl Progress {
    /// The progress of a member whose log is unknown; probing starts at the entry `next`.
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

    /// The member's log did not match the entry at `previous`; it may match up to `hint`.
    pub fn reject(&mut self, previous: Index, hint: Index) {
        let expected = self.state == ProgressState::Replicate || previous + 1 == self.next;
        let stale = previous <= self.matched || !expected;
        if stale || matches!(self.state, ProgressState::Snapshot { .. }) {
            return;
        }
        self.next = (hint + 1).min(previous).max(self.matched + 1);
        self.state = ProgressState::Probe { paused: false };
    }

    /// Starts sending the snapshot at that index from byte 0, unless it is being sent already.
    pub fn start_snapshot(&mut self, snapshot: Index) {
        let already_sending =
            matches!(self.state, ProgressState::Snapshot { index, .. } if index == snapshot);
        if !already_sending {
            self.state = ProgressState::Snapshot { index: snapshot, offset: 0, paused: false };
        }
    }

    /// Returns what may be sent now, and pauses a probe or a snapshot until the next reply. A heartbeat resends the
    /// chunk that awaits a reply.
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

    /// Ends the pause, so that messages that may have been lost are sent again.
    pub fn resume(&mut self) {
        if let ProgressState::Probe { paused } | ProgressState::Snapshot { paused, .. } = &mut self.state {
            *paused = false;
        }
    }
}
