//! Why a log cannot be opened.

use super::segment::FORMAT;
use crate::codec::DecodeError;
use std::io;
use thiserror::Error;

/// An error in a file of the log. Its text is one line.
#[derive(Debug, Error)]
#[error("{file}: {kind}")]
pub struct OpenError {
    /// The file's name, or a description such as `the folder` if no single file is concerned.
    pub file: String,
    /// The error.
    pub kind: OpenErrorKind,
}

/// The kinds of errors in a file of the log.
#[derive(Debug, Error)]
pub enum OpenErrorKind {
    /// The operating system could not read or write it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The snapshot cannot be decoded.
    #[error(transparent)]
    Snapshot(#[from] DecodeError),
    /// The segment's format is not supported.
    #[error("unsupported segment format {0}; this program reads formats 1 to {newest}", newest = FORMAT)]
    UnknownFormat(u32),
    /// The segment does not start with a checkpoint.
    #[error("damaged: it does not begin with a checkpoint")]
    NoCheckpoint,
    /// A checkpoint is not the first record of its segment; its end is at this byte offset.
    #[error("a checkpoint in the middle, before byte {0}")]
    MisplacedCheckpoint(usize),
    /// The record at this byte offset is corrupt although it had been synced.
    #[error("damaged at byte {0}, which a later record marks as synced")]
    CorruptRecord(usize),
    /// The snapshot in the file is not the one that the file name indicates.
    #[error("the snapshot in it does not match its file name")]
    WrongSnapshot,
    /// The segment's entries are not contiguous.
    #[error("damaged: entries are missing")]
    MissingEntries,
}

impl OpenErrorKind {
    /// Adds the name of the file that the error is about.
    pub(super) fn in_file(self, file: &str) -> OpenError {
        OpenError { file: file.into(), kind: self }
    }
}
