//! The endpoints that the coordinator may forward to: which there are, in which state, and for how long that is believed.
//!
//! Pure: no I/O and no clock. The daemon's `discovery` module passes in what the sources report.
//!
//! - [`set`]: endpoints by engine id;
//! - [`lease`]: how long the endpoint set may be believed;
//! - [`state`]: the life of one engine, and what an entry of a list makes of it;
//! - `tracked`: the states of all engines, as the accepted lists change them;
//! - [`tracker`]: which lists are accepted, and in which order.

pub mod lease;
pub mod set;
pub mod state;
mod tracked;
pub mod tracker;

pub use lease::Lease;
pub use set::{Endpoint, EndpointSet};
pub use tracker::EndpointTracker;
