//! Why a log cannot be opened.

use super::segment::FORMAT;
use crate::codec::DecodeError;
use std::io;
use thiserror::Error;

/// What is wrong with a file of the log. Its text is one line.
#[derive(Debug, Error)]
#[error("{file}: {kind}")]
pub struct OpenError {
    /// The file's name, or what else could not be used.
    pub file: String,
    /// What is wrong with it.
    pub kind: OpenErrorKind,
}

/// What is wrong with a file of the log.
#[derive(Debug, Error)]
pub enum OpenErrorKind {
    /// The system could not read or write it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It is no snapshot that this program can read.
    #[error(transparent)]
    Snapshot(#[from] DecodeError),
    /// A segment of a format that this program does not know.
    #[error("form {0}; this program knows 1 to {newest}", newest = FORMAT)]
    UnknownFormat(u32),
    /// A segment without the checkpoint that each begins with.
    #[error("damaged: it does not begin with a checkpoint")]
    NoCheckpoint,
    /// A checkpoint behind a segment's beginning; the record after it begins at that byte.
    #[error("a checkpoint in the middle, before byte {0}")]
    MisplacedCheckpoint(usize),
    /// A record at that byte is corrupt, though it had been synced.
    #[error("damaged at byte {0}, before what was synced later")]
    CorruptRecord(usize),
    /// A snapshot file whose name is that of another snapshot.
    #[error("it holds another snapshot than its name says")]
    WrongSnapshot,
    /// A segment whose entries do not follow each other.
    #[error("damaged: entries are missing")]
    MissingEntries,
}

impl OpenErrorKind {
    /// The error of that file.
    pub(super) fn of(self, file: &str) -> OpenError {
        OpenError { file: file.into(), kind: self }
    }
}
