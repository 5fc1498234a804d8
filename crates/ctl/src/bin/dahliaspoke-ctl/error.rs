//! Why a command failed, and the exit code for each reason.

use dahliaspoke_ctl::{CallError, Reply};
use std::io;
use std::path::PathBuf;

/// The command was refused, its input cannot be read, or the key has no value.
const EXIT_REFUSED: u8 = 1;
/// No member leads or can be reached. The command was not carried out.
const EXIT_UNAVAILABLE: u8 = 3;
/// The outcome is unknown.
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
    #[error("{0} has no value")]
    NoValue(String),
    /// The file to import could not be read.
    #[error("{}: {error}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
    /// The file to import is not a file of the gossip store.
    #[error("{}: {error}", path.display())]
    ParseFile {
        /// The file.
        path: PathBuf,
        /// Why it could not be parsed.
        error: serde_json::Error,
    },
    /// No member answered.
    #[error("nothing was done: no member could be reached")]
    NoMemberReached,
    /// No member could be watched, or none reported progress for too long.
    #[error("nothing was done: no member could be watched, or none reported progress")]
    NoMemberToWatch,
    /// The reply does not match the request.
    #[error("it may have been done: unexpected reply: {0}")]
    UnexpectedReply(Reply),
    /// The member was not a voter by the deadline.
    #[error("it may have been done: {name} is not a voter yet; {last_error}")]
    NotVoterYet {
        /// The member's name.
        name: String,
        /// The error of the last failed attempt to add it; empty if none failed.
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
