//! Answers to requests: replies, and errors with the codes that clients match on.

use super::DecodeError;
use crate::store::replica::NoRandomNumbers;
use dahliaspoke_raft::raft::MembershipError;
use dahliaspoke_raft::state_machine::{CommandError, Value, MAX_VALUE_BYTES};
use dahliaspoke_raft::Index;
use std::sync::Arc;

/// The answer to a request.
pub type Answer = Result<Reply, CallError>;

/// The reply to a successful request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The request was carried out.
    Done,
    /// A change was made, at this version.
    Changed(Index),
    /// A key's value.
    Text(Option<Arc<str>>),
    /// A key's value, with its version.
    Versioned(Option<Value>),
}

/// Why a request failed, or why its outcome is unknown. The texts are sent to clients.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The input is not an array, or a value is too large.
    #[error("malformed, or a value of over {max} bytes", max = MAX_VALUE_BYTES)]
    Malformed,
    /// The array cannot be decoded as a request.
    #[error("{0}")]
    Decode(DecodeError),
    /// The command is invalid, for this reason.
    #[error(transparent)]
    InvalidCommand(#[from] CommandError),
    /// The value is not valid for the key.
    #[error("{key}: {reason}")]
    InvalidValue {
        /// The key.
        key: String,
        /// What is wrong with the value.
        reason: String,
    },
    /// There is no member or configured peer of this name.
    #[error("no member and no peer is called {0}")]
    UnknownPeer(String),
    /// No instance has identified itself under this name.
    #[error("nobody has presented itself under that name")]
    NotIdentified,
    /// There is no member of this name.
    #[error("no member has that name")]
    NoSuchMember,
    /// There is no voter of this name.
    #[error("no voting member has that name")]
    NoSuchVoter,
    /// This daemon's member does not take part in the store, so that it cannot be watched.
    #[error("not a member of the store; watch another")]
    NotParticipating,
    /// The member has a log already.
    #[error("it has a log already")]
    AlreadyBootstrapped,
    /// The system cannot supply random numbers.
    #[error("{0}")]
    NoRandomNumbers(NoRandomNumbers),
    /// This member stopped participating, because its disk failed or the leader's snapshot cannot be read. The request was
    /// not carried out.
    #[error("this member's disk has failed; ask another")]
    DiskFailed,
    /// The member's disk failed while the request was pending: the outcome is unknown.
    #[error("the disk has failed: it may count")]
    DiskFailedWhilePending,
    /// This member is not the leader, or is handing its leadership over; with name and address of the leader, if it is
    /// known. The request was not carried out.
    #[error("{0}")]
    NotLeader(String),
    /// Too many proposals are uncommitted or too many reads are pending. The request was not carried out.
    #[error("too much is under way; nothing was done")]
    Busy,
    /// The membership change is not allowed, or not now. Nothing was proposed.
    #[error(transparent)]
    Membership(#[from] MembershipError),
    /// The proposal was dropped: another leader overwrote its entry, which is not committed and never will be.
    #[error("it was not done and will not be")]
    Lost,
    /// This member lost the leadership before the proposal was committed: the outcome is unknown.
    #[error("this member leads no longer: it may count")]
    LeadershipLost,
    /// The key's version is not the one that a compare-and-set expects.
    #[error("{version} {key} has version {version}")]
    VersionMismatch {
        /// The key.
        key: String,
        /// Its current version; 0 if it has no value.
        version: Index,
    },
    /// The state machine rejected the command, for this reason.
    #[error("{0}")]
    Rejected(String),
}

impl CallError {
    /// The error's code: the first word of the error reply.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            CallError::Malformed
            | CallError::Decode(_)
            | CallError::InvalidCommand(_)
            | CallError::InvalidValue { .. } => "ERR",
            CallError::UnknownPeer(_)
            | CallError::NotIdentified
            | CallError::NotParticipating
            | CallError::NoSuchMember
            | CallError::NoSuchVoter
            | CallError::AlreadyBootstrapped
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
