//! The lab: a model of coordinators, engines, clients and halls in virtual time. It hosts the real decision
//! module, plain policies beside it, and an auditor that checks the platform's rules on all of them alike.
//!
//! One scenario and one seed give one run, bit for bit: time is counted in whole microseconds, every draw comes
//! from the seed, and events of one time go in the order in which they were set.
//!
//! - [`queue`]: what happens next;
//! - [`engine`]: cores, disks, memory, sessions, warm data and loads of one engine;
//! - [`policy`]: who decides: the module, or one of the plain policies;
//! - [`world`]: clients, coordinators, the network, the list, troubles;
//! - [`audit`]: the rules; [`scenario`]: what is played; [`report`]: what it came to;
//! - [`account`]: what many coordinators' logs add up to;
//! - [`experiment`]: many runs, compared;
//! - [`standin`]: engines and the directory on sockets; [`trial`]: all of it at once;
//! - [`arrivals`], [`load`] and [`sockets`]: the load tool, for real coordinators on loopback.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod account;
pub mod arrivals;
pub mod audit;
pub mod engine;
pub mod experiment;
pub mod load;
pub mod policy;
pub mod queue;
pub mod report;
pub mod scenario;
pub mod sockets;
pub mod standin;
pub mod subsets;
pub mod trial;
pub mod world;

/// A point in virtual time, or a span of it (us).
pub type Micros = u64;

/// Reads a TOML text.
///
/// # Errors
/// Where it is none of that kind, in one line that names the line at fault.
pub fn from_toml<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, String> {
    toml::from_str(text).map_err(|e| {
        let at = e.span().map_or(0, |span| span.start);
        let line = 1 + text.bytes().take(at).filter(|b| *b == b'\n').count();
        format!("line {line}: {}", e.message().split('\n').next().unwrap_or_default())
    })
}

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
