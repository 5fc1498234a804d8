//! Events that a member handles, and the actions that its caller has to carry out.

use super::{ProposeError, WriteBatch};
use crate::entry::{Entry, LogPosition, Snapshot};
use crate::message::Message;
use crate::{Id, Index};
use std::sync::Arc;

/// A membership change by a single member (Ongaro's thesis, 4.1).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// Adds a learner, which receives all entries but does not count in quorums.
    AddLearner {
        /// Its id.
        id: Id,
        /// Its name, as shown to operators.
        name: String,
        /// The address that it listens on.
        address: String,
    },
    /// Makes a learner a voter.
    Promote(Id),
    /// Removes a member.
    Remove(Id),
}

/// An input of the consensus state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message(Message),
    /// The write batch with this number is on disk, and so are all before it.
    Persisted(u64),
    /// Starts a new log, with this member as its only one; ignored if the member already has a log.
    Bootstrap {
        /// The id of the new log; not 0.
        cluster: u64,
        /// This member's name.
        name: String,
        /// This member's address.
        address: String,
    },
    /// Proposes a command. Answered by [`Action::Apply`] or [`Action::Rejected`] with the same id.
    Propose {
        /// The id that the caller chose for it.
        proposal_id: u64,
        /// A command for the state machine.
        data: Arc<Vec<u8>>,
    },
    /// Requests a linearizable read. Answered by [`Action::Read`] or [`Action::Rejected`].
    Read {
        /// The id that the caller chose for it.
        proposal_id: u64,
    },
    /// Proposes a membership change. Answered like [`Propose`](Self::Propose).
    ChangeMembership {
        /// The id that the caller chose for it.
        proposal_id: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Transfers the leadership to this member.
    TransferLeadership(Id),
    /// A snapshot of the state machine; replaces the entries that it covers.
    Snapshot {
        /// The last entry that it covers, which must have been applied.
        index: Index,
        /// The state machine's own encoding of its state.
        data: Arc<Vec<u8>>,
    },
}

/// What the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this batch to disk, then report [`Event::Persisted`].
    Persist(WriteBatch),
    /// Send this message; it may be lost.
    Send(Message),
    /// Apply this entry, which is committed.
    Apply {
        /// The entry.
        entry: Entry,
        /// The caller's id for the proposal, if it was made at this member.
        proposal_id: Option<u64>,
    },
    /// Record that the log is committed up to this entry, so that the member knows it after a restart. Nothing depends on
    /// the record: it may be late or lost.
    RecordCommit(LogPosition),
    /// Replace the state machine's state with this snapshot.
    Restore(Arc<Snapshot>),
    /// Carry out a read now: all entries up to `index` have been applied by earlier actions.
    Read {
        /// The caller's id for the read.
        proposal_id: u64,
        /// The last entry that the read sees.
        index: Index,
    },
    /// Report to the proposer or reader that its request was rejected or dropped, or that its outcome is unknown.
    Rejected {
        /// The id that the caller chose for it.
        proposal_id: u64,
        /// The reason.
        why: ProposeError,
    },
}
