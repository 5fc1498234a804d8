//! Keeps the bodies of requests, so that a retry can send them again: in memory, in files, or not at all.
//!
//! - [`plan`] decides where a body is kept and which one moves when capacity runs short. Pure, without I/O or clock.
//! - [`store`] carries that out: chunks in memory and in files, readers that replay them. [`BodyStore`] is the way in. The
//!   event loop never waits for a disk.
//! - `io_threads` are the threads that call the disk, and their tasks.
//! - [`storage`] is the disk: slots for chunks in a file without a name.
//!
//! Who owns a body holds a [`Body`]; it is kept until the last clone of that is dropped.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod io_threads;
pub mod plan;
pub mod storage;
pub mod store;

pub use store::{Body, BodyEvent, BodyStore, Bytes, ReadOutcome, Reader, ReaderId, Timing};
