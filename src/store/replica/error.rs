//! Why a member cannot start, and why it has stopped participating.

use dahliaspoke_raft::codec::DecodeError;
use dahliaspoke_raft::disk;
use std::io;
use std::path::PathBuf;

/// The system cannot supply random numbers.
#[derive(Debug, thiserror::Error)]
#[error("no random numbers: {0}")]
pub struct NoRandomNumbers(pub getrandom::Error);

/// Why a member's log cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum OpenError {
    /// No random id could be generated.
    #[error("{0}")]
    NoRandomNumbers(#[from] NoRandomNumbers),
    /// The folder cannot be used.
    #[error("{}: {error}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The log is damaged.
    #[error("{}: {error}", folder.display())]
    Log {
        /// The folder.
        folder: PathBuf,
        /// What is wrong, with the file and the byte offset.
        #[source]
        error: disk::OpenError,
    },
    /// The snapshot cannot be read.
    #[error("{}: {error}", folder.display())]
    Snapshot {
        /// The folder.
        folder: PathBuf,
        /// Why it cannot be decoded.
        error: DecodeError,
    },
}

/// Why a member has stopped participating.
#[derive(Debug, thiserror::Error)]
pub enum ReplicaFailure {
    /// A write to the log has failed.
    #[error("{0}")]
    Disk(io::Error),
    /// The leader's snapshot cannot be read.
    #[error("{0}")]
    Snapshot(DecodeError),
}
