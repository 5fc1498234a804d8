//! Commands of the state machine, their limits and their outcomes.
//!
//! Commands are stored in log entries and outcomes in snapshots: the order and types of fields and variants are the
//! format. The texts of rejections are stored in outcomes, and all members must store the same ones.

use super::{MAX_KEYS, MAX_KEY_BYTES, MAX_OPS, MAX_TOTAL_BYTES, MAX_VALUE_BYTES};
use crate::codec::{encode, DecodeError};
use crate::Index;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// The number of characters of an invalid key that are shown in an error.
const MAX_SHOWN_CHARACTERS: usize = 40;

/// An operation of a command: sets or removes one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Op {
    /// The key.
    pub key: String,
    /// The new value; `None` removes the key.
    pub value: Option<Arc<str>>,
    /// The version that the key must have (0: it must not exist); otherwise the whole command is not executed.
    pub expect: Option<Index>,
}

/// A command that can be proposed; executed atomically, either completely or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The caller's session id, drawn by the caller. With 0, the command is executed each time that it is proposed.
    pub session: u64,
    /// Increases within a session. A command that is proposed again is executed once and gets the same outcome.
    pub serial: u64,
    /// The operations.
    pub ops: Vec<Op>,
}

/// Why a command is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The command has no operations, or too many; with their number.
    #[error("a command has 1 to {max} parts, not {0}", max = MAX_OPS)]
    OpCount(usize),
    /// Two operations have the same key.
    #[error("a command names each key once")]
    DuplicateKey,
    /// A key is empty, too long or has control characters; with the first printable characters of the key.
    #[error("{0}: a key has 1 to {max} bytes and no control characters", max = MAX_KEY_BYTES)]
    InvalidKey(String),
    /// A value is too long.
    #[error("{key}: a value has {max} bytes at the most, not {bytes}", max = MAX_VALUE_BYTES)]
    ValueTooLong {
        /// The value's key.
        key: String,
        /// The value's length (bytes).
        bytes: usize,
    },
}

impl Command {
    /// Encodes the command for a log entry.
    #[must_use]
    pub fn to_bytes(&self) -> Arc<Vec<u8>> {
        Arc::new(encode(self))
    }

    /// Checks that the command is valid and may be proposed.
    ///
    /// # Errors
    /// The reason why it is not valid, with the key concerned.
    pub fn validate(&self) -> Result<(), CommandError> {
        if self.ops.is_empty() || self.ops.len() > MAX_OPS {
            return Err(CommandError::OpCount(self.ops.len()));
        }
        let keys: BTreeSet<&String> = self.ops.iter().map(|op| &op.key).collect();
        if keys.len() < self.ops.len() {
            return Err(CommandError::DuplicateKey);
        }
        self.ops.iter().try_for_each(Op::validate)
    }
}

impl Op {
    fn validate(&self) -> Result<(), CommandError> {
        let has_control = self.key.chars().any(char::is_control);
        if self.key.is_empty() || self.key.len() > MAX_KEY_BYTES || has_control {
            let printable = self.key.chars().filter(|c| !c.is_control());
            return Err(CommandError::InvalidKey(printable.take(MAX_SHOWN_CHARACTERS).collect()));
        }
        let bytes = self.value.as_ref().map_or(0, |value| value.len());
        if bytes > MAX_VALUE_BYTES {
            return Err(CommandError::ValueTooLong { key: self.key.clone(), bytes });
        }
        Ok(())
    }
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Executed; the values that it wrote have this version.
    Done(Index),
    /// Not executed: a key has another version than the command expects.
    VersionMismatch {
        /// The key.
        key: String,
        /// Its version (0: it does not exist).
        version: Index,
    },
    /// Not executed, for this reason. The text is stored in snapshots, so it is part of the format.
    Rejected(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Outcome::Done(version) => write!(f, "done at {version}"),
            Outcome::VersionMismatch { key, version } => write!(f, "{key} has version {version}"),
            Outcome::Rejected(reason) => write!(f, "{reason}"),
        }
    }
}

/// Why the command of an entry is not executed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum RejectReason {
    /// The entry's data is not a command.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    /// The command is not valid.
    #[error(transparent)]
    Invalid(#[from] CommandError),
    /// A command of the session with a later serial has been applied.
    #[error("a later call of this session was answered")]
    OutdatedSerial,
    /// The session is unknown or was evicted, so it is not known whether the command has been executed.
    #[error("this session is not known any more: it may have been done")]
    UnknownSession,
    /// The command would exceed the limit on keys or bytes.
    #[error("the store is full: {keys} keys and {bytes} bytes at the most", keys = MAX_KEYS, bytes = MAX_TOTAL_BYTES)]
    StoreFull,
}

impl From<RejectReason> for Outcome {
    fn from(reason: RejectReason) -> Self {
        Outcome::Rejected(reason.to_string())
    }
}
