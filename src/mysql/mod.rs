//! What both sides of the `MySQL` client/server protocol share: packets, values, authentication, the file
//! that switches the `MySQL` door on.

pub mod auth;
pub mod config;
pub mod packet;
pub mod payload;
