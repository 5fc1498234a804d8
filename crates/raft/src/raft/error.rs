//! Why proposals, reads and changes of the membership are rejected.

use crate::Id;
use thiserror::Error;

/// Why a proposal or a read was not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum ProposeError {
    /// This member does not lead; the one named may. Nothing was done.
    #[error("this member does not lead; nothing was done")]
    NotLeader(Option<Id>),
    /// Too many proposals are uncommitted or too many reads wait. Nothing was done.
    #[error("too much is under way; nothing was done")]
    Busy,
    /// The membership cannot be changed so, or not now. Nothing was done.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The entry was overwritten: it was not done and will not be.
    #[error("it was not done and will not be")]
    Lost,
    /// This member leads no longer: the entry may be committed later, or never.
    #[error("this member leads no longer: it may count")]
    Unknown,
}

/// Why the membership is not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
pub enum MembershipError {
    /// The change before is not committed yet.
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
    /// The member to be added is one already.
    #[error("it is a member")]
    AlreadyMember,
    /// The learner to be promoted is too far behind the log's end.
    #[error("it has too few entries yet")]
    LearnerBehind,
    /// The member to be promoted is no learner.
    #[error("it is no learner")]
    NotLearner,
    /// The member to be removed is none, or no voter would be left.
    #[error("it is no member, or the last")]
    NotRemovable,
}
