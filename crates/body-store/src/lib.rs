//! Keeps the bodies of requests, so that a further attempt has them again: in memory, then in files, then not
//! at all.
//!
//! - [`plan`] decides where a body is kept and what gives way: pure, without I/O or clock.
//! - [`spool`] carries that out: chunks in memory, files on threads of their own, readers that replay. The
//!   caller's loop never waits for a disk: it asks, and is woken.
//! - [`store`] is the disk: one segment file for all bodies, or a file a body.
//!
//! Who owns a body holds a [`spool::Body`]; it is kept until the last copy of that is dropped.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod plan;
pub mod spool;
pub mod store;
