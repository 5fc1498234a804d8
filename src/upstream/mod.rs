//! Upstreams: the connections to engines on which attempts run. Each upstream reports the outcomes of its
//! attempts to the core.
//!
//! This module contains what all protocols share: the engines and their drain deadlines (`engines`), the
//! connection pool (`pool`), the events queued for the core (`events`) and the readers of large request
//! bodies (`body_readers`). Each protocol has a module with its own rules: `RESP` runs many attempts on a
//! connection and moves the unsent ones when the connection ends; `MySQL` runs one at a time and closes the
//! connection to abandon an attempt.

mod body_readers;
mod engines;
mod events;
pub mod mysql;
mod pool;
pub mod resp;
