//! The endpoints that the coordinator may forward to: their addresses, their states, and how long they are
//! valid.
//!
//! Pure: no I/O and no clock. The daemon's `discovery` module passes in what the sources report.
//!
//! - [`set`]: endpoints by engine id;
//! - [`lease`]: how long the endpoint set is valid;
//! - [`state`]: the state machine of one engine, driven by the entries of the accepted lists;
//! - `tracked`: the states of all engines, updated by the accepted lists;
//! - [`tracker`]: which lists are accepted, and in which order.

pub mod lease;
pub mod set;
pub mod state;
mod tracked;
pub mod tracker;

pub use lease::Lease;
pub use set::{Endpoint, EndpointSet};
pub use tracker::EndpointTracker;
