//! Answers to requests: replies, and errors with the codes by which clients tell them apart.

use super::DecodeError;
use crate::store::replica::NoRandomNumbers;
use dahliaspoke_raft::raft::MembershipError;
use dahliaspoke_raft::state_machine::{CommandError, Value, MAX_VALUE_BYTES};
use dahliaspoke_raft::Index;
use std::sync::Arc;

/// The answer to a request.
pub type Answer = Result<Reply, CallError>;

/// What a request that succeeded is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It was done.
    Done,
    /// A change was made, at this version.
    Changed(Index),
    /// What a key holds.
    Text(Option<Arc<str>>),
    /// What a key holds, with its version.
    Versioned(Option<Value>),
}

/// Why a request was not done, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The bytes are no array, or a value is too large.
    #[error("malformed, or a value of over {max} bytes", max = MAX_VALUE_BYTES)]
    Malformed,
    /// The array is no request.
    #[error("{0}")]
    Decode(DecodeError),
    /// The command can never be proposed, for this reason.
    #[error(transparent)]
    InvalidCommand(#[from] CommandError),
    /// A key may not hold that value.
    #[error("{key}: {reason}")]
    InvalidValue {
        /// The key.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
    /// Nobody of that name is a member or a configured peer.
    #[error("no member and no peer is called {0}")]
    UnknownPeer(String),
    /// No instance of that name has presented itself.
    #[error("nobody has presented itself under that name")]
    NotPresented,
    /// No member has the name.
    #[error("no member has that name")]
    NoSuchMember,
    /// No voter has the name.
    #[error("no voting member has that name")]
    NoSuchVoter,
    /// The member has a log already.
    #[error("it has a log already")]
    AlreadyFounded,
    /// The system has no random numbers.
    #[error("{0}")]
    NoRandomNumbers(NoRandomNumbers),
    /// The member's disk has failed; nothing was done.
    #[error("this member's disk has failed; ask another")]
    DiskFailed,
    /// The member's disk failed while the request was pending.
    #[error("the disk has failed: it may count")]
    DiskFailedWhilePending,
    /// This member does not lead; name and address of the leader, as far as it knows.
    #[error("{0}")]
    NotLeader(String),
    /// Too much is pending; nothing was done.
    #[error("too much is under way; nothing was done")]
    Busy,
    /// The members cannot be changed so, or not now.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The entry was overwritten.
    #[error("it was not done and will not be")]
    Lost,
    /// Leadership was lost while the request was pending.
    #[error("this member leads no longer: it may count")]
    LeadershipLost,
    /// Compare-and-set found another version.
    #[error("{version} {key} has version {version}")]
    VersionMismatch {
        /// The key.
        key: String,
        /// The version that it has; 0 where it holds nothing.
        version: Index,
    },
    /// The state machine rejected the command, for this reason.
    #[error("{0}")]
    Rejected(String),
}

impl CallError {
    /// The error's code: the first word of its line.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            CallError::Malformed
            | CallError::Decode(_)
            | CallError::InvalidCommand(_)
            | CallError::InvalidValue { .. } => "ERR",
            CallError::UnknownPeer(_)
            | CallError::NotPresented
            | CallError::NoSuchMember
            | CallError::NoSuchVoter
            | CallError::AlreadyFounded
            | CallError::NoRandomNumbers(_)
            | CallError::DiskFailed
            | CallError::Membership(_)
            | CallError::Rejected(_) => "REFUSED",
            CallError::NotLeader(_) => "LEADER",
            CallError::Busy => "BUSY",
            CallError::Lost => "LOST",
            CallError::DiskFailedWhilePending | CallError::LeadershipLost => "UNKNOWN",
            CallError::VersionMismatch { .. } => "OTHER",
        }
    }
}
