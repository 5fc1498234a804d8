//! The configuration that the log's entries make: texts by key, each with the version by which compare-and-set goes, a
//! history that watchers read on from, and the last outcome of each session, so that a command proposed again is done once
//! (Ongaro's thesis, 6.3).
//!
//! All members apply the same commands in the same order and come to the same state; nothing here depends on time.

mod command;

pub use command::{Command, CommandError, Op, Outcome};

use crate::codec::{decode, encode, DecodeError};
use crate::Index;
use command::RejectReason;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Bytes of a key.
pub const MAX_KEY_BYTES: usize = 256;
/// Bytes of a value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Keys.
pub const MAX_KEYS: usize = 4096;
/// Bytes of all keys and values.
pub const MAX_TOTAL_BYTES: usize = 8 << 20;
/// Changes in the history.
pub const MAX_HISTORY_CHANGES: usize = 1024;
/// Bytes of the changes in the history, about.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;
/// Sessions whose last outcome is remembered; beyond, the one that was quiet for longest is forgotten.
pub const MAX_SESSIONS: usize = 4096;
/// Parts of one command.
pub const MAX_OPS: usize = 64;

/// Bytes that a change takes in the history beside key and value, about.
const CHANGE_OVERHEAD_BYTES: usize = 64;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    /// The entry that wrote it.
    pub version: Index,
    /// The text.
    pub text: Arc<str>,
}

/// One key's change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyChange {
    /// The entry that made it.
    pub version: Index,
    /// The key.
    pub key: String,
    /// Its value since; none where it was removed.
    pub value: Option<Arc<str>>,
}

impl KeyChange {
    fn size(&self) -> usize {
        CHANGE_OVERHEAD_BYTES + self.key.len() + self.value.as_ref().map_or(0, |value| value.len())
    }
}

/// The last command of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Session {
    serial: u64,
    outcome: Outcome,
    /// The last entry of the session.
    last_used: Index,
}

/// The state. The order and kind of its fields is the format of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateMachine {
    values: BTreeMap<String, Value>,
    /// Bytes of all keys and values.
    bytes: usize,
    /// The latest changes, oldest first.
    history: VecDeque<KeyChange>,
    history_bytes: usize,
    /// The version of the latest change that is not in the history any more.
    forgotten: Index,
    sessions: BTreeMap<u64, Session>,
    applied: Index,
}

impl StateMachine {
    /// From a snapshot's data; empty data is the empty state.
    ///
    /// # Errors
    /// Where it is none.
    pub fn restore(data: &[u8]) -> Result<Self, DecodeError> {
        if data.is_empty() {
            return Ok(Self::default());
        }
        decode(data)
    }

    /// The data of a snapshot.
    #[must_use]
    pub fn save(&self) -> Arc<Vec<u8>> {
        Arc::new(encode(self))
    }

    /// The last entry that was applied.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// The keys with this prefix, in order.
    pub fn all<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        self.values.range(prefix.to_string()..).take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// The changes after that version, oldest first; `None` where some of them are forgotten: then one starts anew.
    #[must_use]
    pub fn changes_since(&self, version: Index) -> Option<impl Iterator<Item = &KeyChange>> {
        let from = self.history.partition_point(|change| change.version <= version);
        (version >= self.forgotten).then(|| self.history.range(from..))
    }

    /// An entry without a command was applied.
    pub fn skip(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies the command of an entry.
    pub fn apply(&mut self, index: Index, data: &[u8]) -> Outcome {
        self.applied = index;
        // Every member reads the same bytes: where they are no command, all reject alike.
        let command = match decode::<Command>(data) {
            Ok(command) => command,
            Err(error) => return RejectReason::Malformed(error).into(),
        };
        if command.session == 0 {
            return self.execute(index, &command);
        }
        if let Some(answer) = self.answer_of_session(index, &command) {
            return answer;
        }
        let outcome = self.execute(index, &command);
        self.remember_outcome(index, &command, outcome.clone());
        outcome
    }

    /// The outcome that a session already has for a command, or may not have; none where the command is to be done.
    fn answer_of_session(&mut self, index: Index, command: &Command) -> Option<Outcome> {
        let Some(session) = self.sessions.get_mut(&command.session) else {
            return (command.serial > 1).then(|| RejectReason::UnknownSession.into());
        };
        session.last_used = index;
        if command.serial == session.serial {
            return Some(session.outcome.clone());
        }
        (command.serial < session.serial).then(|| RejectReason::OutdatedSerial.into())
    }

    fn remember_outcome(&mut self, index: Index, command: &Command, outcome: Outcome) {
        let session = Session { serial: command.serial, outcome, last_used: index };
        self.sessions.insert(command.session, session);
        if self.sessions.len() > MAX_SESSIONS {
            let oldest = self.sessions.iter().min_by_key(|(_, session)| session.last_used);
            if let Some(id) = oldest.map(|(id, _)| *id) {
                self.sessions.remove(&id);
            }
        }
    }

    /// Does all of a command, or nothing.
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

    /// The first key that has another version than the command expects.
    fn version_mismatch(&self, command: &Command) -> Option<Outcome> {
        command.ops.iter().find_map(|Op { key, expect, .. }| {
            let version = self.values.get(key).map_or(0, |value| value.version);
            let mismatch = expect.is_some_and(|expected| expected != version);
            mismatch.then(|| Outcome::VersionMismatch { key: key.clone(), version })
        })
    }

    /// Whether keys and bytes stay within the limits, or do not grow.
    fn fits_limits(&self, command: &Command) -> bool {
        let (mut keys, mut bytes) = (self.values.len(), self.bytes);
        for Op { key, value, .. } in &command.ops {
            let present = self.values.get(key);
            bytes -= present.map_or(0, |present| key.len() + present.text.len());
            bytes += value.as_ref().map_or(0, |value| key.len() + value.len());
            keys += usize::from(present.is_none() && value.is_some());
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
        self.remember_change(KeyChange { version: index, key: key.clone(), value: value.clone() });
    }

    fn remember_change(&mut self, change: KeyChange) {
        self.history_bytes += change.size();
        self.history.push_back(change);
        while self.history.len() > MAX_HISTORY_CHANGES || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.history.pop_front() else { break };
            self.history_bytes -= oldest.size();
            self.forgotten = oldest.version;
        }
    }
}
