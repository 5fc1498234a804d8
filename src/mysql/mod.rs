//! The parts of the `MySQL` client/server protocol that the listener and the upstream share: packets, values,
//! authentication, and the file that enables both.

pub mod auth;
pub mod config;
pub mod packet;
pub mod payload;
