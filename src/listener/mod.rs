//! Listeners accept clients, decode requests and encode responses. They make no policy decisions.
//!
//! - [`http`] serves the platform over HTTP/1.1, [`mysql`] serves clients of the `MySQL` protocol;
//! - [`server`] implements what both share: accepting, timeouts, capacity, shutdown and open requests;
//! - [`sql`] extracts from a statement what the policy needs.

pub mod http;
pub mod mysql;
pub mod server;
mod sql;
