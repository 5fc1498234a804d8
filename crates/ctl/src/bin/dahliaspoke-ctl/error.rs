//! Why a command failed, and the exit code that says so.

use dahliaspoke_ctl::{CallError, Reply};
use std::io;
use std::path::PathBuf;

/// Refused; nothing was done.
const EXIT_REFUSED: u8 = 1;
/// No member leads or can be reached; nothing was done.
const EXIT_UNAVAILABLE: u8 = 3;
/// Nobody knows whether it was done.
const EXIT_UNKNOWN: u8 = 4;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A call failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The value could not be read.
    #[error("standard input: {0}")]
    StandardInput(io::Error),
    /// The key has no value.
    #[error("{0} holds nothing")]
    NoValue(String),
    /// The file to take over could not be read.
    #[error("{}: {error}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        error: io::Error,
    },
    /// The file to take over is not one of the gossip store's.
    #[error("{}: {error}", path.display())]
    ParseFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        error: serde_json::Error,
    },
    /// No member answered.
    #[error("nothing was done: no member could be reached")]
    NoMemberReached,
    /// No member sent changes for too long.
    #[error("nothing was done: no member tells what changes")]
    NoMemberToWatch,
    /// A reply that does not fit the request.
    #[error("it may have been done: an odd answer: {0}")]
    UnexpectedReply(Reply),
    /// The member is not a voter by the deadline.
    #[error("it may have been done: {name} does not count yet; {last_error}")]
    NotVoterYet {
        /// The member's name.
        name: String,
        /// Why the last attempt to add it failed; empty where none did.
        last_error: String,
    },
}

impl CommandError {
    /// The program's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Call(CallError::Refused(_))
            | CommandError::StandardInput(_)
            | CommandError::NoValue(_)
            | CommandError::ReadFile { .. }
            | CommandError::ParseFile { .. } => EXIT_REFUSED,
            CommandError::Call(CallError::Unavailable(_))
            | CommandError::NoMemberReached
            | CommandError::NoMemberToWatch => EXIT_UNAVAILABLE,
            CommandError::Call(CallError::Unknown(_))
            | CommandError::UnexpectedReply(_)
            | CommandError::NotVoterYet { .. } => EXIT_UNKNOWN,
        }
    }
}
