//! Why proposals, reads and membership changes are rejected.

use crate::Id;
use thiserror::Error;

/// Why a proposal or a read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum ProposeError {
    /// This member is not the leader, or is handing its leadership over; with the id of the current or next leader, if it
    /// is known. The request was not carried out.
    #[error("this member is not the leader; the request was not carried out")]
    NotLeader(Option<Id>),
    /// Too many proposals are uncommitted or too many reads are pending. The request was not carried out.
    #[error("too many pending requests; the request was not carried out")]
    Busy,
    /// The membership change is not allowed, or not now. Nothing was proposed.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The proposal was dropped: another leader overwrote its entry, which is not committed and never will be.
    #[error("proposal dropped: not committed and never will be")]
    Lost,
    /// This member lost the leadership before the proposal was committed: the outcome is unknown.
    #[error("leadership lost, outcome unknown: the proposal may still be committed")]
    Unknown,
}

/// Why a membership change is rejected. Members send these texts to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum MembershipError {
    /// The previous change is not committed yet.
    #[error("another change of members is under way")]
    ChangeUnderWay,
    /// The leader has not committed an entry of its own term yet.
    #[error("the leader is new: nothing of its term counts yet")]
    LeaderIsNew,
    /// There are [`MAX_VOTERS`](super::MAX_VOTERS).
    #[error("there are as many voters as there may be")]
    TooManyVoters,
    /// There are [`MAX_MEMBERS`](super::MAX_MEMBERS).
    #[error("there are as many members as there may be")]
    TooManyMembers,
    /// The member to add is a member already.
    #[error("it is a member")]
    AlreadyMember,
    /// The learner to promote is too far behind the end of the log, or is not a member.
    #[error("it has too few entries yet")]
    LearnerBehind,
    /// The member to promote is not a learner.
    #[error("it is no learner")]
    NotLearner,
    /// The member to remove is not a member, or no voter would be left.
    #[error("it is no member, or the last")]
    NotRemovable,
}
