//! The coordinators' replicated log: what a majority of three to seven members has on disk counts, and nothing else.
//!
//! - [`raft`]: consensus, pure: events in, orders out; no I/O, no clock, no threads;
//! - [`message`]: what members say to each other, typed, versioned, with a sum;
//! - [`disk`]: the log and the snapshots in files; [`writer`]: the same on a thread of its own;
//! - [`state_machine`]: the configuration that the log's entries make: keys with versions, compare-and-set, history.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod disk;
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
