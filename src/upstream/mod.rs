//! Upstreams: connections to engines, on which attempts run. Each reports to the core how its attempts end.
//!
//! What the upstreams of all protocols have in common stands here: the engines and their drain deadlines (`engines`), the
//! pool of connections (`pool`), the events that wait for the core (`events`) and the readers of large request bodies
//! (`body_readers`). What a protocol decides for itself stands in its module: `RESP` runs many attempts on a connection and
//! moves those that were not sent, `MySQL` runs one and ends the connection with it.

mod body_readers;
mod engines;
mod events;
pub mod mysql;
mod pool;
pub mod resp;
