//! The messages between members. [`codec`](crate::codec) encodes them with a version and a checksum.
//!
//! The order and kind of fields and variants is the format that members of two versions share.

use crate::entry::{Entry, LogPosition};
use crate::{Id, Index, Term};
use serde::{Deserialize, Serialize};

/// A message with its addresses.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Message {
    /// Which log it is about.
    pub cluster: u64,
    /// The sender.
    pub from: Id,
    /// The receiver.
    pub to: Id,
    /// The sender's term; of a pre-vote the term that it would be a candidate in.
    pub term: Term,
    /// The content.
    pub body: MessageBody,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MessageBody {
    /// Would the receiver vote for the sender? Nothing is promised (Ongaro's thesis, 9.6).
    PreVote {
        /// The end of the sender's log.
        last: LogPosition,
    },
    /// Answers a pre-vote. A granted one carries the term that was asked for.
    PreVoteReply {
        /// The receiver of the pre-vote would vote for its sender.
        granted: bool,
    },
    /// Requests a vote in the sender's term (Ongaro's thesis, 3.4).
    Vote {
        /// The end of the sender's log.
        last: LogPosition,
        /// The leader itself transfers its leadership: a live leader is no reason to reject.
        leadership_transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// The vote is given, and stored.
        granted: bool,
    },
    /// Entries of the leader; without any it is a heartbeat.
    Append(AppendEntries),
    /// Answers an [`Append`](Self::Append).
    AppendReply(AppendReply),
    /// A part of the leader's snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answers a [`SnapshotChunk`](Self::SnapshotChunk).
    SnapshotChunkReply(SnapshotChunkReply),
    /// Start an election now: the leader transfers its leadership (Ongaro's thesis, 3.10).
    TimeoutNow,
}

impl MessageBody {
    /// Whether only the leader of the message's term sends this.
    #[must_use]
    pub fn is_from_leader(&self) -> bool {
        matches!(self, MessageBody::Append(_) | MessageBody::SnapshotChunk(_))
    }
}

/// Replicates entries (Ongaro's thesis, 3.5).
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The entry before the first of `entries`.
    pub previous: LogPosition,
    /// Entries up to this index are committed.
    pub commit: Index,
    /// The leader's read round that an answer confirms.
    pub round: u64,
    /// The entries, in order and without gaps.
    pub entries: Vec<WireEntry>,
}

/// Whether the entries are on the sender's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AppendReply {
    /// The entries matched the log and are on disk.
    pub accepted: bool,
    /// Accepted: the last entry that is known to match the leader's. Rejected: the index of `previous` in the request.
    pub index: Index,
    /// Rejected: the last entry that may match. Otherwise 0.
    pub hint: Index,
    /// The read round that this answers.
    pub round: u64,
}

/// A part of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The last entry that the snapshot covers.
    pub position: LogPosition,
    /// The encoded snapshot's size (bytes).
    pub total_bytes: u64,
    /// Where this part begins (bytes).
    pub offset: u64,
    /// The part.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
    /// The leader's read round that an answer confirms.
    pub round: u64,
}

/// How much of a snapshot has arrived. A complete one is on the sender's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SnapshotChunkReply {
    /// The last entry that the snapshot covers.
    pub index: Index,
    /// Bytes that have arrived, from the beginning and without gaps.
    pub received_bytes: u64,
    /// The read round that this answers.
    pub round: u64,
}

/// An entry in a message, ordered by index and term.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WireEntry(pub Entry);

impl PartialOrd for WireEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for WireEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.position().cmp(&other.0.position())
    }
}
