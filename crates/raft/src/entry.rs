//! Contents of the log: entries, the membership that they define, and the snapshot that replaces the oldest ones.
//!
//! All of these types are stored or sent: the order and types of their fields and variants are the format.

use crate::codec::shared_bytes;
use crate::{Id, Index, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Approximate overhead of an entry or a member beyond its content (bytes).
const OVERHEAD_BYTES: usize = 32;

/// The index and term of an entry.
///
/// The derived order compares the index first. To decide which of two logs is more up to date, use
/// [`is_up_to_date_with`](Self::is_up_to_date_with).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// The entry's index; 0 before the first entry.
    pub index: Index,
    /// The entry's term; 0 before the first entry.
    pub term: Term,
}

impl LogPosition {
    /// Whether a log that ends here is at least as up to date as one that ends at `other` (Ongaro's thesis, 3.6.1).
    #[must_use]
    pub fn is_up_to_date_with(self, other: LogPosition) -> bool {
        (self.term, self.index) >= (other.term, other.index)
    }
}

/// A member, as recorded in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name, as shown to operators.
    pub name: String,
    /// The address that it listens on.
    pub address: String,
    /// Whether it is a voter and counts in quorums; otherwise it is a learner.
    pub votes: bool,
}

/// Members by id.
pub type Members = BTreeMap<Id, Member>;

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryKind {
    /// No content: a new leader's first entry.
    Empty,
    /// A command for the state machine.
    Data(#[serde(with = "shared_bytes")] Arc<Vec<u8>>),
    /// The membership, in effect from this entry on.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its position in the log.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub kind: EntryKind,
}

impl Entry {
    /// Its approximate size in memory (bytes).
    #[must_use]
    pub fn size(&self) -> usize {
        let content = match &self.kind {
            EntryKind::Empty => 0,
            EntryKind::Data(data) => data.len(),
            EntryKind::Members(members) => {
                members.values().map(|member| OVERHEAD_BYTES + member.name.len() + member.address.len()).sum()
            }
        };
        OVERHEAD_BYTES + content
    }

    /// Its index and term.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition { index: self.index, term: self.term }
    }
}

/// The state besides the log that must survive a restart (Ongaro's thesis, figure 3.1: persistent state).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The member's own id.
    pub id: Id,
    /// The id of the log, drawn when it is bootstrapped; 0 before the member has a log.
    pub cluster: u64,
    /// The latest term that the member has seen.
    pub term: Term,
    /// The candidate that it voted for in that term.
    pub vote: Option<Id>,
}

/// The state of the state machine after an entry; replaces the entries up to and including it (Ongaro's thesis,
/// chapter 5).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The members as of that entry.
    pub members: Members,
    /// The state machine's own encoding of its state.
    #[serde(with = "shared_bytes")]
    pub data: Arc<Vec<u8>>,
}

impl Snapshot {
    /// The index and term of the last entry that it covers.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition { index: self.index, term: self.term }
    }
}
