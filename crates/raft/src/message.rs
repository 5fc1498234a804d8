//! Messages between members. [`codec`](crate::codec) encodes them with a version and a checksum.
//!
//! The order and types of fields and variants are the wire format, which members of different versions share.

use crate::entry::{Entry, LogPosition};
use crate::{Id, Index, Term};
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Message {
    /// The id of the log that it belongs to.
    pub cluster: u64,
    /// The sender.
    pub from: Id,
    /// The receiver.
    pub to: Id,
    /// The sender's term; in a pre-vote, the term that the sender would be a candidate in.
    pub term: Term,
    /// The content.
    pub body: MessageBody,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender; the answer is not binding (Ongaro's thesis, 9.6).
    PreVote {
        /// The end of the sender's log.
        last: LogPosition,
    },
    /// Answers a pre-vote. If granted, the message carries the term of the pre-vote.
    PreVoteReply {
        /// Whether the receiver of the pre-vote would vote for its sender.
        granted: bool,
    },
    /// Requests a vote in the sender's term (Ongaro's thesis, 3.4).
    Vote {
        /// The end of the sender's log.
        last: LogPosition,
        /// Whether the leader has requested the election to transfer its leadership: a live leader is no reason to reject.
        leadership_transfer: bool,
    },
    /// Answers a [`Vote`](Self::Vote).
    VoteReply {
        /// Whether the vote is granted; a granted vote is on the sender's disk.
        granted: bool,
    },
    /// Entries from the leader; a heartbeat if there are none.
    Append(AppendEntries),
    /// Answers an [`Append`](Self::Append).
    AppendReply(AppendReply),
    /// A chunk of the leader's snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Answers a [`SnapshotChunk`](Self::SnapshotChunk).
    SnapshotChunkReply(SnapshotChunkReply),
    /// Makes the receiver start an election at once: the leader transfers its leadership (Ongaro's thesis, 3.10).
    TimeoutNow,
}

impl MessageBody {
    /// Whether only the leader of the message's term sends this kind of message.
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
    /// The leader's read round, which the reply confirms.
    pub round: u64,
    /// The entries, contiguous and in order.
    pub entries: Vec<WireEntry>,
}

/// The result of an [`AppendEntries`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AppendReply {
    /// Whether the entries matched the log and are on the sender's disk.
    pub accepted: bool,
    /// If accepted, the last entry known to match the leader's log; if rejected, the index of the request's `previous`.
    pub index: Index,
    /// If rejected, the last entry that may match; otherwise 0.
    pub hint: Index,
    /// The read round of the request that this answers.
    pub round: u64,
}

/// A chunk of an encoded snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The last entry that the snapshot covers.
    pub position: LogPosition,
    /// The size of the whole encoded snapshot (bytes).
    pub total_bytes: u64,
    /// The offset of this chunk in the encoded snapshot (bytes).
    pub offset: u64,
    /// The bytes of this chunk.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
    /// The leader's read round, which the reply confirms.
    pub round: u64,
}

/// How much of a snapshot has arrived. Once it is complete, it is on the sender's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SnapshotChunkReply {
    /// The last entry that the snapshot covers.
    pub index: Index,
    /// Contiguous bytes received, from the start of the snapshot.
    pub received_bytes: u64,
    /// The read round of the request that this answers.
    pub round: u64,
}

/// An entry in a message; the order compares index and term only.
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
