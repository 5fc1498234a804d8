//! Client of the coordinators' replicated store: connections to single members, and calls to the current leader.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod connection;
mod error;
mod reply;
mod session;

pub use client::{Client, MemberReply};
pub use connection::Connection;
pub use error::CallError;
pub use reply::Reply;
