//! What the listener and the upstream of the `MySQL` client/server protocol share: packets, values, authentication, and the
//! file that switches both on.

pub mod auth;
pub mod config;
pub mod packet;
pub mod payload;
