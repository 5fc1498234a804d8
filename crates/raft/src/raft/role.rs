//! The roles of a member, each with the state that only it has.

use crate::progress::Progress;
use crate::{Id, Index, Micros};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What a member is in its term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Role {
    Follower(Follower),
    PreCandidate(PreCandidate),
    Candidate(Candidate),
    Leader(Box<Leader>),
}

impl Role {
    /// A follower, of that leader where one is known.
    pub fn follower(leader: Option<Id>) -> Self {
        Role::Follower(Follower { leader })
    }
}

/// Takes entries from the leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Follower {
    /// The leader of the term, where it is known.
    pub leader: Option<Id>,
}

/// Asks whether it would be elected, before it disturbs anyone by a new term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PreCandidate {
    /// Members that would vote for it, itself included.
    pub granted: BTreeSet<Id>,
}

/// Wants to be elected.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    /// Members that have voted for it; itself once its own vote is on disk.
    pub granted: BTreeSet<Id>,
}

/// Replicates its log to the other members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Leader {
    /// The other members.
    pub peers: BTreeMap<Id, Progress>,
    /// The latest read round. Each message carries it and each answer repeats it.
    pub round: u64,
    /// Reads in the order in which they came.
    pub pending_reads: VecDeque<PendingRead>,
    /// When the next heartbeat is due (us).
    pub heartbeat_deadline: Micros,
    /// A leadership transfer that is under way.
    pub transfer: Option<LeadershipTransfer>,
}

impl Leader {
    /// A leader that has just been elected; its peers are set with the membership.
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

/// A read that waits for a quorum to confirm that this member still leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRead {
    /// The caller's number for it.
    pub proposal_id: u64,
    /// The commit index when it was asked for.
    pub index: Index,
    /// The round that a quorum has to answer; none once it has.
    pub awaited_round: Option<u64>,
}

/// Nothing new is accepted while the leadership goes to another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LeadershipTransfer {
    /// The member that is to lead.
    pub to: Id,
    /// When it has failed (us).
    pub deadline: Micros,
}
