//! The configuration that the log's entries make: texts by key, each with the version by which compare-and-set goes, a
//! history that watchers read on from, and what each session was told last, so that a call made again is done once.
//!
//! All members apply the same commands in the same order and come to the same state; nothing here depends on time.

use crate::message::{open, seal, DecodeError};
use crate::Index;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::sync::Arc;

/// Bytes of a key.
pub const MAX_KEY_BYTES: usize = 256;
/// Bytes of a value.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Keys.
pub const MAX_KEYS: usize = 4096;
/// Bytes of all keys and values.
pub const MAX_TOTAL_BYTES: usize = 8 << 20;
/// Changes that the history holds, and bytes of them.
pub const HISTORY: (usize, usize) = (1024, 4 << 20);
/// Sessions whose last outcome is remembered; beyond, the one that was quiet for longest is forgotten.
pub const MAX_SESSIONS: usize = 4096;
/// Parts of one command.
pub const MAX_OPS: usize = 64;

/// A part of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Op {
    /// Which key.
    pub key: String,
    /// What it holds from here on; nothing, and it is gone.
    pub value: Option<Arc<str>>,
    /// It must have this version (0: not be there), or all of the command is not done.
    pub expect: Option<Index>,
}

/// What is proposed: all of it is done or nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Whose it is: a number drawn by the caller. 0: it is not remembered, and done as often as it is said.
    pub session: u64,
    /// Counts up in a session; said again, it gets the same outcome and is done once.
    pub serial: u64,
    /// Its parts.
    pub ops: Vec<Op>,
}

impl Command {
    /// As an entry holds it.
    #[must_use]
    pub fn to_bytes(&self) -> Arc<Vec<u8>> {
        Arc::new(seal(self))
    }
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Done; what it wrote has this version.
    Done(Index),
    /// Not done: this key has another version (0: it is not there).
    Other(String, Index),
    /// Not done, for this reason.
    Refused(String),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Outcome::Done(version) => write!(f, "done at {version}"),
            Outcome::Other(key, version) => write!(f, "{key} has version {version}"),
            Outcome::Refused(why) => write!(f, "{why}"),
        }
    }
}

/// A value with its version: the entry that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Value {
    /// The entry that wrote it.
    pub version: Index,
    /// What it is.
    pub text: Arc<str>,
}

/// One key's change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyChange {
    /// The entry that made it.
    pub version: Index,
    /// Which key.
    pub key: String,
    /// What it holds since; nothing where it is gone.
    pub value: Option<Arc<str>>,
}

impl KeyChange {
    fn size(&self) -> usize {
        64 + self.key.len() + self.value.as_ref().map_or(0, |v| v.len())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Session {
    serial: u64,
    outcome: Outcome,
    /// The entry by which it was last heard of.
    at: Index,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StateMachine {
    values: BTreeMap<String, Value>,
    bytes: usize,
    history: VecDeque<KeyChange>,
    history_bytes: usize,
    /// Changes up to there are not in the history any more.
    forgotten: Index,
    sessions: BTreeMap<u64, Session>,
    applied: Index,
}

impl StateMachine {
    /// From a snapshot.
    ///
    /// # Errors
    /// Where it is none.
    pub fn restore(data: &[u8]) -> Result<Self, DecodeError> {
        if data.is_empty() {
            return Ok(Self::default());
        }
        open(data)
    }

    /// For a snapshot.
    #[must_use]
    pub fn save(&self) -> Arc<Vec<u8>> {
        Arc::new(seal(self))
    }

    /// The last entry that was applied.
    #[must_use]
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// What a key holds.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key)
    }

    /// All keys that begin so.
    pub fn all<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Value)> {
        self.values.range(prefix.to_string()..).take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// The changes after that version, oldest first; `None` where some of them are forgotten: then one starts anew.
    #[must_use]
    pub fn since(&self, version: Index) -> Option<impl Iterator<Item = &KeyChange>> {
        let from = self.history.partition_point(|changed| changed.version <= version);
        (version >= self.forgotten).then(|| self.history.range(from..))
    }

    /// Whether a command may be proposed at all.
    ///
    /// # Errors
    /// With key and reason.
    pub fn check(command: &Command) -> Result<(), String> {
        if command.ops.is_empty() || command.ops.len() > MAX_OPS {
            return Err(format!("a command has 1 to {MAX_OPS} parts, not {}", command.ops.len()));
        }
        let keys: BTreeSet<&String> = command.ops.iter().map(|op| &op.key).collect();
        if keys.len() < command.ops.len() {
            return Err("a command names each key once".into());
        }
        for Op { key, value, .. } in &command.ops {
            let plain = !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.chars().all(|c| !c.is_control());
            if !plain {
                let shown: String = key.chars().filter(|c| !c.is_control()).take(40).collect();
                return Err(format!(
                    "{shown}: a key has 1 to {MAX_KEY_BYTES} bytes and no control characters"
                ));
            }
            if let Some(value) = value.as_ref().filter(|value| value.len() > MAX_VALUE_BYTES) {
                return Err(format!(
                    "{key}: a value has {MAX_VALUE_BYTES} bytes at the most, not {}",
                    value.len()
                ));
            }
        }
        Ok(())
    }

    /// An entry that says nothing to the machine was applied.
    pub fn pass(&mut self, index: Index) {
        self.applied = index;
    }

    /// Applies the command of an entry.
    pub fn apply(&mut self, index: Index, data: &[u8]) -> Outcome {
        self.applied = index;
        let command = match open::<Command>(data) {
            Ok(command) => command,
            // Every member reads the same bytes: all refuse alike.
            Err(why) => return Outcome::Refused(why.to_string()),
        };
        if command.session == 0 {
            return self.carry_out(index, &command);
        }
        if let Some(session) = self.sessions.get_mut(&command.session) {
            session.at = index;
            if command.serial == session.serial {
                return session.outcome.clone();
            }
            if command.serial < session.serial {
                return Outcome::Refused("a later call of this session was answered".into());
            }
        } else if command.serial > 1 {
            return Outcome::Refused("this session is not known any more: it may have been done".into());
        }
        let outcome = self.carry_out(index, &command);
        let session = Session { serial: command.serial, outcome: outcome.clone(), at: index };
        self.sessions.insert(command.session, session);
        if self.sessions.len() > MAX_SESSIONS {
            let oldest = self.sessions.iter().min_by_key(|(_, s)| s.at).map(|(id, _)| *id);
            oldest.map(|id| self.sessions.remove(&id));
        }
        outcome
    }

    fn carry_out(&mut self, index: Index, command: &Command) -> Outcome {
        if let Err(why) = Self::check(command) {
            return Outcome::Refused(why);
        }
        for Op { key, expect, .. } in &command.ops {
            let version = self.values.get(key).map_or(0, |value| value.version);
            if expect.is_some_and(|expect| expect != version) {
                return Outcome::Other(key.clone(), version);
            }
        }
        let (mut keys, mut bytes) = (self.values.len(), self.bytes);
        for Op { key, value, .. } in &command.ops {
            let held = self.values.get(key);
            bytes -= held.map_or(0, |held| key.len() + held.text.len());
            bytes += value.as_ref().map_or(0, |value| key.len() + value.len());
            keys += usize::from(held.is_none() && value.is_some());
        }
        let grows = bytes > self.bytes || keys > self.values.len();
        if grows && (keys > MAX_KEYS || bytes > MAX_TOTAL_BYTES) {
            return Outcome::Refused(format!(
                "the store is full: {MAX_KEYS} keys and {MAX_TOTAL_BYTES} bytes at the most"
            ));
        }
        for Op { key, value, .. } in &command.ops {
            let old = match value {
                Some(text) => {
                    self.bytes += key.len() + text.len();
                    self.values.insert(key.clone(), Value { version: index, text: text.clone() })
                }
                None => self.values.remove(key),
            };
            self.bytes -= old.map_or(0, |old| key.len() + old.text.len());
            self.remember(KeyChange { version: index, key: key.clone(), value: value.clone() });
        }
        Outcome::Done(index)
    }

    fn remember(&mut self, changed: KeyChange) {
        self.history_bytes += changed.size();
        self.history.push_back(changed);
        let (most, bytes) = HISTORY;
        while self.history.len() > most || self.history_bytes > bytes {
            let Some(old) = self.history.pop_front() else { break };
            self.history_bytes -= old.size();
            self.forgotten = old.version;
        }
    }
}
