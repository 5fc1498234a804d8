//! Where requests come from. A front decodes requests and encodes answers; it decides nothing.

pub mod http;
pub mod mysql;
pub mod server;
mod sql;
