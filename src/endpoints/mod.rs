//! The endpoints that the coordinator may forward to: which there are, in which state, and for how long that is believed.
//!
//! Pure: no I/O and no clock. The daemon's `discovery` module feeds it with what the sources answer.

pub mod lease;
pub mod tracker;

pub use lease::Lease;
