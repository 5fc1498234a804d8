//! The replicated configuration: text values by key, each with a version for compare-and-set; a history of changes, from
//! which watchers resume; and the last outcome of each session, so that a command proposed again is executed once
//! (Ongaro's thesis, 6.3).
//!
//! All members apply the same commands in the same order and reach the same state; nothing here depends on time.

mod command;

pub use command::{Command, CommandError, Op, Outcome};

use crate::codec::{decode, encode, DecodeError};
use crate::Index;
use command::RejectReason;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum length of a key (bytes).
pub const MAX_KEY_BYTES: usize = 256;
/// Maximum length of a value (bytes).
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum number of keys.
pub const MAX_KEYS: usize = 4096;
/// Maximum total length of all keys and values (bytes).
pub const MAX_TOTAL_BYTES: usize = 8 << 20;
/// Maximum number of changes in the history.
pub const MAX_HISTORY_CHANGES: usize = 1024;
/// Maximum approximate size of the changes in the history (bytes).
pub const MAX_HISTORY_BYTES: usize = 4 << 20;
/// Maximum number of sessions whose last outcome is stored; beyond it, the least recently used one is evicted.
pub const MAX_SESSIONS: usize = 4096;
/// Maximum number of operations of a command.
pub const MAX_OPS: usize = 64;

/// Approximate overhead of a change in the history beyond its key and value (bytes).
const CHANGE_OVERHEAD_BYTES: usize = 64;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    /// The index of the entry that wrote it.
    pub version: Index,
    /// The text.
    pub text: Arc<str>,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyChange {
    /// The index of the entry that made it.
    pub version: Index,
    /// The key.
    pub key: String,
    /// The new value; `None` if the key was removed.
    pub value: Option<Arc<str>>,
}

impl KeyChange {
    fn size(&self) -> usize {
        CHANGE_OVERHEAD_BYTES + self.key.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

/// A session's last command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Session {
    serial: u64,
    outcome: Outcome,
    /// The index of the session's last entry.
    last_used: Index,
}

/// The state machine. The order and types of its fields are the format of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateMachine {
    values: BTreeMap<String, Value>,
    /// Total length of all keys and values (bytes).
    bytes: usize,
    /// The latest changes, oldest first.
    history: VecDeque<KeyChange>,
    history_bytes: usize,
    /// The version of the latest change that was removed from the history; 0 if none was.
    forgotten: Index,
    sessions: BTreeMap<u64, Session>,
    applied: Index,
}

impl StateMachine {
    /// Restores the state from a snapshot's data; empty data gives the empty state.
    ///
    /// # Errors
    /// If the data cannot be decoded.
    pub fn restore(data: &[u8]) -> Result<Self, DecodeError> {
        if data.is_empty() {
            return Ok(Self::default());
        }
        decode(data)
    }

    /// Encodes the state as a snapshot's data.
    #[must_use]
    pub fn save(&self) -> Arc<Vec<u8>> {
        Arc::new(encode(self))
    }

    /// The index of the last applied entry.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// The keys with this prefix and their values, in order of the keys.
    pub fn all<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        self.values.range(prefix.to_string()..).take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// The changes after a version, oldest first; `None` if some of them are no longer in the history, so that the
    /// caller has to start over from all values.
    #[must_use]
    pub fn changes_since(&self, version: Index) -> Option<impl Iterator<Item = &KeyChange>> {
        let from = self.history.partition_point(|change| change.version <= version);
        (version >= self.forgotten).then(|| self.history.range(from..))
    }

    /// Records that an entry without a command was applied.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies the command of an entry.
    pub fn apply(&mut self, index: Index, data: &[u8]) -> Outcome {
        self.applied = index;
        // Every member decodes the same bytes, so all of them reject malformed data alike.
        let command = match decode::<Command>(data) {
            Ok(command) => command,
            Err(error) => return RejectReason::Malformed(error).into(),
        };
        if command.session == 0 {
            return self.execute(index, &command);
        }
        if let Some(answer) = self.session_outcome(index, &command) {
            return answer;
        }
        let outcome = self.execute(index, &command);
        self.store_outcome(index, &command, outcome.clone());
        outcome
    }

    /// The outcome of a command that must not be executed: the stored one if the session's last command is repeated, or
    /// a rejection. `None` if the command is to be executed.
    fn session_outcome(&mut self, index: Index, command: &Command) -> Option<Outcome> {
        let Some(session) = self.sessions.get_mut(&command.session) else {
            return (command.serial > 1).then(|| RejectReason::UnknownSession.into());
        };
        session.last_used = index;
        if command.serial == session.serial {
            return Some(session.outcome.clone());
        }
        (command.serial < session.serial).then(|| RejectReason::OutdatedSerial.into())
    }

    fn store_outcome(&mut self, index: Index, command: &Command, outcome: Outcome) {
        let session = Session { serial: command.serial, outcome, last_used: index };
        self.sessions.insert(command.session, session);
        if self.sessions.len() > MAX_SESSIONS {
            let oldest = self.sessions.iter().min_by_key(|(_, session)| session.last_used);
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.sessions.remove(&id);
            }
        }
    }

    /// Executes a command completely or not at all.
    fn execute(&mut self, index: Index, command: &Command) -> Outcome {
        if let Err(error) = command.validate() {
            return RejectReason::Invalid(error).into();
        }
        if let Some(mismatch) = self.version_mismatch(command) {
            return mismatch;
        }
        if !self.fits_limits(command) {
            return RejectReason::StoreFull.into();
        }
        for op in &command.ops {
            self.execute_op(index, op);
        }
        Outcome::Done(index)
    }

    /// The mismatch of the first key that has another version than the command expects.
    fn version_mismatch(&self, command: &Command) -> Option<Outcome> {
        command.ops.iter().find_map(|Op { key, expect, .. }| {
            let version = self.values.get(key).map_or(0, |value| value.version);
            let mismatch = expect.is_some_and(|expected| expected != version);
            mismatch.then(|| Outcome::VersionMismatch { key: key.clone(), version })
        })
    }

    /// Whether the numbers of keys and bytes stay within the limits, or at least neither of them grows.
    fn fits_limits(&self, command: &Command) -> bool {
        let (mut keys, mut bytes) = (self.values.len(), self.bytes);
        for Op { key, value, .. } in &command.ops {
            let existing = self.values.get(key);
            bytes -= existing.map_or(0, |existing| key.len() + existing.text.len());
            bytes += value.as_ref().map_or(0, |value| key.len() + value.len());
            keys += usize::from(existing.is_none() && value.is_some());
        }
        let grows = bytes > self.bytes || keys > self.values.len();
        !grows || (keys <= MAX_KEYS && bytes <= MAX_TOTAL_BYTES)
    }

    fn execute_op(&mut self, index: Index, op: &Op) {
        let Op { key, value, .. } = op;
        let previous = match value {
            Some(text) => {
                self.bytes += key.len() + text.len();
                self.values.insert(key.clone(), Value { version: index, text: text.clone() })
            }
            None => self.values.remove(key),
        };
        self.bytes -= previous.map_or(0, |previous| key.len() + previous.text.len());
        self.append_to_history(KeyChange { version: index, key: key.clone(), value: value.clone() });
    }

    fn append_to_history(&mut self, change: KeyChange) {
        self.history_bytes += change.size();
        self.history.push_back(change);
        while self.history.len() > MAX_HISTORY_CHANGES || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else { break };
            self.history_bytes -= oldest.size();
            self.forgotten = oldest.version;
        }
    }
}
