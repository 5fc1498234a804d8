//! Stores request bodies so that a retry can send them again: in memory, in files, or not at all.
//!
//! - [`plan`] decides which tier a body is stored in and which body moves when capacity runs short.
//!   It is pure: no I/O, no clock.
//! - [`store`] carries out these decisions: it keeps chunks in memory and in files, and replays
//!   them to readers. [`BodyStore`] is the entry point. The event loop never blocks on a disk.
//! - `io_threads` runs the threads that do the blocking disk I/O, and their tasks.
//! - [`storage`] is the storage on disk: slots for chunks in an unnamed file.
//!
//! A [`Body`] is the owning handle of a stored body, which is released when the last clone of the
//! handle is dropped.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod io_threads;
pub mod plan;
pub mod storage;
pub mod store;

pub use store::{Body, BodyEvent, BodyStore, Bytes, ReadOutcome, Reader, ReaderId, Timing};
