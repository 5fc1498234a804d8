//! What members say to each other. A message is decoded once into these types; the form has a version, a length and a
//! sum, so that processes of two versions may meet and a spoilt one is refused whole.

use crate::{Id, Index, Term};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The version that this program writes. It reads this one alone; the first byte of a message says which it is.
pub const VERSION: u8 = 1;

/// Bytes that are shared, written in one go and not one by one.
mod shared {
    use serde::{Deserializer, Serializer};
    use std::sync::Arc;

    pub fn serialize<S: Serializer>(bytes: &Arc<Vec<u8>>, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_bytes(bytes)
    }

    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<Arc<Vec<u8>>, D::Error> {
        serde_bytes::deserialize(from).map(Arc::new)
    }
}

/// A member as the log knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name, as operators call it.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// It counts in majorities. One that does not is a learner.
    pub votes: bool,
}

/// Who the members are.
pub type Members = BTreeMap<Id, Member>;

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryKind {
    /// Nothing: a leader's first.
    Empty,
    /// A command of the machine's.
    Data(#[serde(with = "shared")] Arc<Vec<u8>>),
    /// From here on these are the members.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term in which a leader took it.
    pub term: Term,
    /// What it says.
    pub kind: EntryKind,
}

impl Entry {
    /// Bytes that it holds, about.
    #[must_use]
    pub fn size(&self) -> usize {
        32 + match &self.kind {
            EntryKind::Empty => 0,
            EntryKind::Data(data) => data.len(),
            EntryKind::Members(members) => {
                members.values().map(|m| 32 + m.name.len() + m.address.len()).sum()
            }
        }
    }
}

/// What a member must not forget, beside the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Its own number.
    pub id: Id,
    /// Which log this is, drawn when it was founded; 0 before.
    pub cluster: u64,
    /// The latest term that it has heard of.
    pub term: Term,
    /// Whom it has its vote given in that term.
    pub vote: Option<Id>,
}

/// The machine as it was at an entry, in place of the entries up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry in it.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The members at that entry.
    pub members: Members,
    /// The machine's own form.
    #[serde(with = "shared")]
    pub data: Arc<Vec<u8>>,
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MessageBody {
    /// Would you vote for me in this term? Nothing is promised.
    PreVote {
        /// The asker's last entry.
        last: Index,
        /// Its term.
        last_term: Term,
    },
    /// The answer; granted ones carry the term that was asked for.
    PreVoteReply(bool),
    /// Vote for me in this term.
    Vote {
        /// The asker's last entry.
        last: Index,
        /// Its term.
        last_term: Term,
        /// The leader itself hands over: a leader that is well is no reason to refuse.
        handed: bool,
    },
    /// The answer.
    VoteReply(bool),
    /// The leader's entries after `prev`; none is a heartbeat.
    Append {
        /// The entry before the first.
        prev: Index,
        /// Its term.
        prev_term: Term,
        /// Entries up to here count.
        commit: Index,
        /// Which round of the leader's this is.
        round: u64,
        /// The entries, in order, without gaps.
        entries: Vec<WireEntry>,
    },
    /// They are on disk, or do not fit.
    AppendReply {
        /// They fit.
        fits: bool,
        /// The last entry that is the same as the leader's; where they do not fit, the `prev` that was said.
        index: Index,
        /// Where they do not fit: the last entry that may.
        hint: Index,
        /// The round that this answers.
        round: u64,
    },
    /// A piece of a snapshot.
    Piece {
        /// The last entry in it.
        index: Index,
        /// Its term.
        term: Term,
        /// Bytes of the whole snapshot, encoded.
        whole: u64,
        /// Where this piece begins.
        at: u64,
        /// The piece.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
        /// Which round of the leader's this is.
        round: u64,
    },
    /// Pieces up to `have` are here; all of it, once that is the whole, is on disk.
    PieceReply {
        /// Of which snapshot.
        index: Index,
        /// Bytes that are here.
        have: u64,
        /// The round that this answers.
        round: u64,
    },
    /// Stand for election now: the leader hands over.
    TimeoutNow,
}

/// An entry in a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WireEntry(pub Entry);

impl PartialOrd for WireEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for WireEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0.index, self.0.term).cmp(&(other.0.index, other.0.term))
    }
}

/// A message with its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Message {
    /// Which log it is about.
    pub cluster: u64,
    /// Who says it.
    pub from: Id,
    /// To whom.
    pub to: Id,
    /// The sender's term; of a pre-vote the one that it would stand in.
    pub term: Term,
    /// What it says.
    pub body: MessageBody,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Of a version that this program does not speak.
    Version(u8),
    /// The sum is another.
    Corrupt,
    /// The sum is right, and it is no message.
    Malformed,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            DecodeError::Version(version) => {
                write!(f, "a message of version {version}; this program speaks {VERSION}")
            }
            DecodeError::Corrupt => write!(f, "a message whose sum is wrong"),
            DecodeError::Malformed => write!(f, "no message"),
        }
    }
}

/// A value with version and sum in front.
pub fn seal<T: Serialize>(value: &T) -> Vec<u8> {
    // These types have no form that cannot be written.
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut out = Vec::with_capacity(body.len() + 5);
    out.push(VERSION);
    out.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    out.extend_from_slice(&body);
    out
}

/// The value in these bytes.
///
/// # Errors
/// Where they are of another version, spoilt, or no such value.
pub fn open<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (head, body) = bytes.split_at_checked(5).ok_or(DecodeError::Malformed)?;
    if head[0] != VERSION {
        return Err(DecodeError::Version(head[0]));
    }
    if head[1..] != crc32fast::hash(body).to_le_bytes() {
        return Err(DecodeError::Corrupt);
    }
    postcard::from_bytes(body).map_err(|_| DecodeError::Malformed)
}
