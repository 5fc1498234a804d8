//! A simulator: a model of coordinators, engines, clients and zones in virtual time. It runs the real
//! decision module or a baseline policy, and an auditor checks the platform's rules on every policy.
//!
//! A scenario and a seed determine a run bit for bit: time is counted in whole microseconds, all random
//! numbers are derived from the seed, and events with equal times are processed in the order in which they
//! were scheduled.
//!
//! - [`scenario`]: sizes, traffic, network and faults of a run; [`toml_file`] and [`file_error`]: reading
//!   files, and their errors;
//! - [`world`]: a run, with clients, coordinators, the network, discovery and faults; [`queue`]: its event
//!   queue;
//! - [`engine`]: cores, disks, memory, sessions, cached data and loads of one engine;
//! - [`policy`]: the decision module and the baseline policies;
//! - [`audit`]: checks of the platform's rules; [`report`]: the figures of a run;
//! - [`experiment`]: comparisons of many runs;
//! - [`account`]: the aggregated logs of many coordinators; [`subsets`]: a comparison of algorithms that
//!   choose subsets;
//! - [`standin`]: engines and the directory on sockets; [`trial`]: a trial of the real program against them;
//! - [`arrivals`], [`load`] and [`sockets`]: the load generator, for real coordinators on loopback.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod account;
pub mod arrivals;
pub mod audit;
pub mod engine;
pub mod experiment;
pub mod file_error;
pub mod load;
pub mod policy;
pub mod queue;
pub mod report;
pub mod scenario;
pub mod sockets;
pub mod standin;
pub mod subsets;
pub mod toml_file;
pub mod trial;
pub mod world;

/// A point in virtual time, or a span of it (us).
pub type Micros = u64;

/// Seconds as microseconds.
#[must_use]
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * 1e6).round() as Micros
}

/// Microseconds as seconds.
#[must_use]
pub fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}
