//! Events that a member takes, and the actions that it asks its caller to carry out.

use super::{ProposeError, WriteBatch};
use crate::entry::{Entry, Snapshot};
use crate::message::Message;
use crate::{Id, Index};
use std::sync::Arc;

/// A change of the membership by one member (Ongaro's thesis, 4.1).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// A learner joins: it gets all entries and does not count in quorums.
    AddLearner {
        /// Its id.
        id: Id,
        /// Its name, as operators call it.
        name: String,
        /// Where it listens.
        address: String,
    },
    /// A learner becomes a voter.
    Promote(Id),
    /// A member leaves.
    Remove(Id),
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message(Message),
    /// The write batch of that number is on disk, and all before it.
    Persisted(u64),
    /// A member without a log begins one, as its only member.
    Bootstrap {
        /// Which log this will be; not 0.
        cluster: u64,
        /// The member's own name.
        name: String,
        /// The member's own address.
        address: String,
    },
    /// Proposes a command. Answered by [`Action::Apply`] or [`Action::Rejected`] with the same id.
    Propose {
        /// The caller's number for it.
        proposal_id: u64,
        /// A command of the state machine.
        data: Arc<Vec<u8>>,
    },
    /// Requests a linearizable read. Answered by [`Action::Read`] or [`Action::Rejected`].
    Read {
        /// The caller's number for it.
        proposal_id: u64,
    },
    /// Proposes a change of the membership. Answered as a command is.
    ChangeMembership {
        /// The caller's number for it.
        proposal_id: u64,
        /// The change.
        change: MembershipChange,
    },
    /// That member is to lead.
    TransferLeadership(Id),
    /// The state machine as it is after an entry, kept in place of the entries up to there.
    Snapshot {
        /// The last entry that it covers: one that was applied.
        index: Index,
        /// The state machine, encoded by itself.
        data: Arc<Vec<u8>>,
    },
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this to disk, then report [`Event::Persisted`].
    Persist(WriteBatch),
    /// Send this message; it may be lost.
    Send(Message),
    /// This entry is committed: apply it.
    Apply {
        /// The entry.
        entry: Entry,
        /// The caller's number for it, where it was proposed here.
        proposal_id: Option<u64>,
    },
    /// The state machine is this one from here on.
    Restore(Arc<Snapshot>),
    /// All entries up to `index` were applied before this action: read now.
    Read {
        /// The caller's number for the read.
        proposal_id: u64,
        /// The last entry that the read sees.
        index: Index,
    },
    /// A proposal or a read was not carried out.
    Rejected {
        /// The caller's number for it.
        proposal_id: u64,
        /// The reason.
        why: ProposeError,
    },
}
