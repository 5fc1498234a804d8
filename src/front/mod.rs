//! Where requests come from. A front decodes requests and encodes answers; it decides nothing.

mod hall;
pub mod mysql;
pub mod platform;
mod sql;
