//! The roles of a member, each with its own state.

use crate::progress::Progress;
use crate::{Id, Index, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The role of a member in its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Role {
    Follower(Follower),
    PreCandidate(PreCandidate),
    Candidate(Candidate),
    Leader(Box<Leader>),
}

impl Role {
    /// A follower of that leader, if one is known.
    pub fn follower(leader: Option<Id>) -> Self {
        Role::Follower(Follower { leader })
    }
}

/// Accepts entries from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Follower {
    /// The leader of the term, if it is known.
    pub leader: Option<Id>,
}

/// Runs a pre-vote: finds out whether it could win an election before it disrupts the others with a new term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PreCandidate {
    /// Members that would vote for it, itself included.
    pub granted: BTreeSet<Id>,
}

/// Requests votes in a new term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    /// Members that have voted for it; includes itself once its own vote is on disk.
    pub granted: BTreeSet<Id>,
}

/// Replicates its log to the other members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Leader {
    /// The other members.
    pub peers: BTreeMap<Id, Progress>,
    /// The latest read round. Append and snapshot messages carry it and their replies repeat it.
    pub round: u64,
    /// Pending reads, in order of arrival.
    pub pending_reads: VecDeque<PendingRead>,
    /// When the next heartbeat is due (us).
    pub heartbeat_deadline: Micros,
    /// The leadership transfer in progress.
    pub transfer: Option<LeadershipTransfer>,
}

impl Leader {
    /// A newly elected leader; its peers are added from the membership afterwards.
    pub fn new(now: Micros) -> Self {
        Self {
            peers: BTreeMap::new(),
            round: 0,
            pending_reads: VecDeque::new(),
            heartbeat_deadline: now,
            transfer: None,
        }
    }
}

/// A read that waits for a quorum to confirm that this member is still the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRead {
    /// The id that the caller chose for it.
    pub proposal_id: u64,
    /// The commit index when the read was requested.
    pub index: Index,
    /// The round that a quorum has to confirm; `None` once it is confirmed.
    pub awaited_round: Option<u64>,
}

/// A leadership transfer in progress; meanwhile the leader accepts no proposals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeadershipTransfer {
    /// The member that is to become the leader.
    pub to: Id,
    /// When the transfer is given up (us).
    pub deadline: Micros,
}
