//! The coordinators' replicated log: an entry is committed once a quorum of three to seven members has it on disk.
//!
//! - [`raft`]: consensus as a pure state machine: events in, actions out; no I/O, no clock, no threads;
//! - [`entry`]: entries, members, snapshots; [`message`]: what members send to each other; [`codec`]: both as bytes;
//! - [`disk`]: the log and the snapshots in files; [`writer`]: the same on a thread of its own;
//! - [`state_machine`]: the configuration that the log's entries make: keys with versions, compare-and-set, history.
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

/// A member's own number, drawn when its disk is made. One that has lost its disk is another member.
pub type Id = u64;
/// A position in the log, from 1.
pub type Index = u64;
/// A time in which there is at most one leader, from 1.
pub type Term = u64;
/// A point on the caller's monotonic clock (us).
pub type Micros = u64;
