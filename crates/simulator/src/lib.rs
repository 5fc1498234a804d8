//! A simulator: a model of coordinators, engines, clients and zones in virtual time. It hosts the real decision module,
//! plain policies beside it, and an auditor that checks the platform's rules on all of them alike.
//!
//! One scenario and one seed give one run, bit for bit: time is counted in whole microseconds, every draw comes from the
//! seed, and events of one time are played in the order in which they were scheduled.
//!
//! - [`scenario`]: sizes, traffic, network and faults of a run; [`toml_file`] and [`file_error`]: files and their errors;
//! - [`world`]: a run, with clients, coordinators, the network, discovery and faults; [`queue`]: its event queue;
//! - [`engine`]: cores, disks, memory, sessions, cached data and loads of one engine;
//! - [`policy`]: the decision module, or one of the plain policies;
//! - [`audit`]: the rules; [`report`]: the figures of a run;
//! - [`experiment`]: many runs, compared;
//! - [`account`]: what the logs of many coordinators add up to; [`subsets`]: ways to choose subsets, compared;
//! - [`standin`]: engines and the directory on sockets; [`trial`]: a trial of the real program between them;
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
