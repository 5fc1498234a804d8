//! Listeners: they accept clients, decode requests and encode answers. They decide nothing.
//!
//! - [`http`] is the platform's listener, [`mysql`] that of clients that speak the `MySQL` protocol;
//! - [`server`] has what they share: accepting, timeouts, capacity, shutdown, and the requests that are open;
//! - [`sql`] reads from a statement what the decisions need.

pub mod http;
pub mod mysql;
pub mod server;
mod sql;
