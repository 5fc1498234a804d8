//! The store's wire protocol, made of RESP arrays. Operators and watchers send requests, which are answered in order;
//! members identify themselves and exchange messages of the consensus protocol; a watch is answered with a stream of
//! watch events.

mod answer;
mod decode;
mod encode;

pub use answer::{Answer, CallError, Reply};
pub use decode::{decode_request, decode_watch_event, DecodeError};
pub use encode::{
    encode_answer, encode_change, encode_hello, encode_message, encode_progress, encode_resync, encode_store,
    encode_watch,
};

use crate::net::Time;
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::state_machine::{Command, KeyChange};
use dahliaspoke_raft::{Id, Index};

/// Maximum number of values in one array.
pub const MAX_VALUES: usize = 8;

/// A member's identity, which it sends on each connection to another member.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    /// The random id that was stored on its disk when its log was created.
    pub id: Id,
    /// Its configured name.
    pub name: String,
    /// The address at which other members reach it.
    pub address: String,
}

/// A request to a member.
#[derive(Debug)]
pub enum Request {
    /// Another member identifies itself.
    Hello(Hello),
    /// A message of the consensus protocol.
    Raft(Box<Message>),
    /// A linearizable read.
    Read {
        /// The key.
        key: String,
        /// Whether the answer includes the version, before the value.
        with_version: bool,
    },
    /// A change.
    Change(Command),
    /// Watch all changes after this version.
    Watch {
        /// The version up to which the watcher has all changes.
        version: Index,
        /// The store that the version belongs to, 0 if the watcher knows none; `None` from watchers that do not tell.
        store: Option<StoreId>,
    },
    /// Report the member's status.
    Status,
    /// Bootstrap a log with this member as the only one.
    Init,
    /// Add the member with this name.
    AddMember(String),
    /// Remove the member with this name.
    RemoveMember(String),
    /// Transfer leadership to the member with this name.
    TransferLeadership(String),
    /// Replace the log's entries with a snapshot now.
    Snapshot,
}

/// A member's progress, as reported to its watchers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchProgress {
    /// All changes up to this version were sent.
    pub version: Index,
    /// Time since the member's last contact with a quorum or the leader (s).
    pub age: Time,
}

/// The id of a store, drawn when it was initialized: versions of different stores cannot be compared.
pub type StoreId = u64;

/// An event of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// A change of a key or, during a resync, its current value.
    Change(KeyChange),
    /// The store that the events that follow are about; the first event for watchers that have named theirs.
    Store(StoreId),
    /// All changes up to the reported version were sent.
    Progress(WatchProgress),
    /// Everything sent before is invalid; all values as of this version follow, then a [`WatchEvent::Progress`].
    Resync(Index),
}
