//! The store's wire: RESP arrays. Operators and watchers send requests that are answered in order; members present
//! themselves and exchange messages of the consensus protocol; a watch is answered by a stream of lines.

mod answer;
mod decode;
mod encode;

pub use answer::{Answer, CallError, Reply};
pub use decode::{decode_request, decode_watch_event, DecodeError};
pub use encode::{
    encode_answer, encode_change, encode_hello, encode_message, encode_progress, encode_restart, encode_watch,
};

use crate::net::Time;
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::state_machine::{Command, KeyChange};
use dahliaspoke_raft::{Id, Index};

/// Values of one array.
pub const MAX_VALUES: usize = 8;

/// A member's identity, as it presents itself on each connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    /// The id that was drawn with its disk.
    pub id: Id,
    /// Its configured name.
    pub name: String,
    /// Where others reach it.
    pub address: String,
}

/// A request to a member.
#[derive(Debug)]
pub enum Request {
    /// Another member presents itself.
    Hello(Hello),
    /// A message of the consensus protocol.
    Raft(Box<Message>),
    /// A linearizable read.
    Read {
        /// The key.
        key: String,
        /// Whether the answer has the version in front of the value.
        with_version: bool,
    },
    /// A change.
    Change(Command),
    /// All changes after this version, as they are made.
    Watch(Index),
    /// The member's status.
    Status,
    /// Found a log of this one member.
    Init,
    /// Add the member of this name.
    AddMember(String),
    /// Remove the member of this name.
    RemoveMember(String),
    /// Transfer leadership to the member of this name.
    TransferLeadership(String),
    /// Replace the log's entries by a snapshot now.
    Snapshot,
}

/// How far a member has got, as it tells its watchers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchProgress {
    /// All changes up to this version were sent.
    pub version: Index,
    /// How long ago the member was in touch with a quorum or the leader (s).
    pub age: Time,
}

/// A line of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// A key has changed; after a restart, what it holds.
    Change(KeyChange),
    /// All changes up to there were sent.
    Progress(WatchProgress),
    /// What was sent before no longer holds; the values as of this version follow, then a [`WatchEvent::Progress`].
    Restart(Index),
}
