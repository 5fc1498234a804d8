//! The coordinators' replicated log: an entry is committed once a quorum of three to seven voters has it on disk.
//!
//! - [`raft`]: consensus as a pure state machine: events in, actions out; no I/O, no clock, no threads;
//! - [`entry`]: entries, members, snapshots; [`message`]: messages between members; [`codec`]: their encoding;
//! - [`disk`]: the log and snapshot files; [`writer`]: the thread that writes them;
//! - [`state_machine`]: the replicated configuration: keys with versions, compare-and-set, change history.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod codec;
pub mod disk;
pub mod entry;
pub mod message;
pub mod raft;
pub mod state_machine;
pub mod writer;

mod log;
mod progress;

/// A member's id, drawn when its log is created. A member that loses its disk draws a new id: it is another member.
pub type Id = u64;
/// A position in the log, starting at 1.
pub type Index = u64;
/// An election term, starting at 1. Each term has at most one leader.
pub type Term = u64;
/// A time on the caller's monotonic clock, or a duration (us).
pub type Micros = u64;
