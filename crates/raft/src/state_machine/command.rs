//! Commands of the state machine, their limits and their outcomes.
//!
//! Commands are entries of the log and outcomes are part of snapshots: the order and kind of fields is the format.

use super::{MAX_KEYS, MAX_KEY_BYTES, MAX_OPS, MAX_TOTAL_BYTES, MAX_VALUE_BYTES};
use crate::codec::{encode, DecodeError};
use crate::Index;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;
use thiserror::Error;

/// Characters of an invalid key that an error shows.
const MAX_SHOWN_CHARACTERS: usize = 40;

/// A part of a command: sets or removes one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Op {
    /// The key.
    pub key: String,
    /// Its new value; none removes it.
    pub value: Option<Arc<str>>,
    /// The version that it must have (0: the key must not exist), or the whole command is not done.
    pub expect: Option<Index>,
}

/// What is proposed: all of it is done or nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// The caller's session: a number drawn by it. 0: the command is done as often as it is proposed.
    pub session: u64,
    /// Counts up in a session. A command that is proposed again is done once and has the same outcome.
    pub serial: u64,
    /// Its parts.
    pub ops: Vec<Op>,
}

/// Why a command is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// Without parts, or with too many; says how many.
    #[error("a command has 1 to {max} parts, not {0}", max = MAX_OPS)]
    OpCount(usize),
    /// Two parts have the same key.
    #[error("a command names each key once")]
    DuplicateKey,
    /// A key that is empty, too long or not printable; says its printable beginning.
    #[error("{0}: a key has 1 to {max} bytes and no control characters", max = MAX_KEY_BYTES)]
    InvalidKey(String),
    /// A value that is too long.
    #[error("{key}: a value has {max} bytes at the most, not {bytes}", max = MAX_VALUE_BYTES)]
    ValueTooLong {
        /// The value's key.
        key: String,
        /// The value's length (bytes).
        bytes: usize,
    },
}

impl Command {
    /// As an entry holds it.
    #[must_use]
    pub fn to_bytes(&self) -> Arc<Vec<u8>> {
        Arc::new(encode(self))
    }

    /// Checks that the command may be proposed.
    ///
    /// # Errors
    /// With key and reason.
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

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Done; what it wrote has this version.
    Done(Index),
    /// Not done: a key has another version than the command expects.
    VersionMismatch {
        /// The key.
        key: String,
        /// Its version (0: it does not exist).
        version: Index,
    },
    /// Not done, for this reason, which is part of the format: it is remembered as text.
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

/// Why a command of an entry is not done.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum RejectReason {
    /// The entry holds no command.
    #[error(transparent)]
    Malformed(#[from] DecodeError),
    /// The command is not valid.
    #[error(transparent)]
    Invalid(#[from] CommandError),
    /// A command with a later serial was applied.
    #[error("a later call of this session was answered")]
    OutdatedSerial,
    /// The session was forgotten, and with it whether the command was done.
    #[error("this session is not known any more: it may have been done")]
    UnknownSession,
    /// Keys or bytes would be too many.
    #[error("the store is full: {keys} keys and {bytes} bytes at the most", keys = MAX_KEYS, bytes = MAX_TOTAL_BYTES)]
    StoreFull,
}

impl From<RejectReason> for Outcome {
    fn from(reason: RejectReason) -> Self {
        Outcome::Rejected(reason.to_string())
    }
}
