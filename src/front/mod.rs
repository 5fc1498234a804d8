//! Where requests come from. A front decodes requests and encodes answers; it decides nothing.

pub mod mysql;
pub mod platform;
mod sql;
