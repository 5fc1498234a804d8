//! What the log holds: entries, the membership that they define, and the snapshot that replaces the first of them.
//!
//! All of these types are stored or sent: the order and kind of their fields and variants is the format.

use crate::codec::shared_bytes;
use crate::{Id, Index, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Bytes that an entry or a member takes beside its content, about.
const OVERHEAD_BYTES: usize = 32;

/// A place in the log together with the term of the entry there.
///
/// The derived order is that of the fields. Which of two logs is more up to date is decided by
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

/// A member as the log knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name, as operators call it.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// It counts in quorums. A member that does not is a learner.
    pub votes: bool,
}

/// The members by id.
pub type Members = BTreeMap<Id, Member>;

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryKind {
    /// Nothing: the first entry of a leader.
    Empty,
    /// A command of the state machine.
    Data(#[serde(with = "shared_bytes")] Arc<Vec<u8>>),
    /// From this entry on these are the members.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub kind: EntryKind,
}

impl Entry {
    /// Bytes that it takes in memory, about.
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

/// What a member must not forget, beside the log (Ongaro's thesis, figure 3.1: persistent state).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The member's own id.
    pub id: Id,
    /// Which log this is, drawn at its bootstrap; 0 before the member has one.
    pub cluster: u64,
    /// The latest term that it has seen.
    pub term: Term,
    /// To whom it has given its vote in that term.
    pub vote: Option<Id>,
}

/// The state machine as it was at an entry, in place of the entries up to there (Ongaro's thesis, chapter 5).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The members at that entry.
    pub members: Members,
    /// The state machine, encoded by itself.
    #[serde(with = "shared_bytes")]
    pub data: Arc<Vec<u8>>,
}

impl Snapshot {
    /// Index and term of the last entry that it covers.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        LogPosition { index: self.index, term: self.term }
    }
}
