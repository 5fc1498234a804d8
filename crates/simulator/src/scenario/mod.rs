//! Scenarios: sizes, traffic, network and faults of a run. Every value has a default, so a file needs to list
//! only the differences.

mod classes;
mod faults;
mod settings;

pub use classes::{Class, Idempotency};
pub use faults::{Fault, FaultKind};

use crate::engine::EngineSpec;
use crate::toml_file::{from_toml, TomlError};
use classes::default_classes;
use serde::Deserialize;
use thiserror::Error;

/// Why a scenario is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScenarioError {
    /// The file is not TOML, or has a key or a type that scenarios do not have.
    #[error(transparent)]
    Toml(#[from] TomlError),
    /// A value is too small or too large.
    #[error("{key} is {value}, not between {least} and {most}")]
    OutOfRange {
        /// The key in the file.
        key: &'static str,
        /// Its value.
        value: f64,
        /// The smallest allowed value.
        least: f64,
        /// The largest allowed value.
        most: f64,
    },
    /// The list of classes is empty.
    #[error("class: at least one is required")]
    NoClass,
}

/// A scenario. The keys are those of scenario files (TOML).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// How long requests arrive (s).
    pub seconds: f64,
    /// Number of coordinators.
    pub coordinators: usize,
    /// Number of engines.
    pub engines: usize,
    /// Work that clients request, relative to the capacity of all cores.
    pub load: f64,
    /// Coefficient of variation of the coordinators' shares of the requests.
    #[serde(rename = "uneven")]
    pub traffic_cv: f64,
    /// Number of zones; coordinators and engines are assigned to them in turn.
    #[serde(rename = "halls")]
    pub zones: usize,
    /// Mean one-way network delay within a zone (ms).
    #[serde(rename = "same_ms")]
    pub same_zone_ms: f64,
    /// Mean one-way network delay between zones (ms).
    #[serde(rename = "cross_ms")]
    pub cross_zone_ms: f64,
    /// Additional delay for opening a connection (ms).
    pub handshake_ms: f64,
    /// Timeout of a connect that is not answered (ms).
    pub connect_ms: f64,
    /// Mean time from a change of an engine until discovery notifies a coordinator (ms).
    #[serde(rename = "list_ms")]
    pub discovery_ms: f64,
    /// Time from the silent failure of an engine until discovery notices it (s). Accepted in files, but not
    /// used by the model.
    pub silent_s: f64,
    /// Interval of the load reports of engines (ms).
    pub report_ms: f64,
    /// Interval of the progress reports of running queries (ms).
    #[serde(rename = "note_ms")]
    pub progress_ms: f64,
    /// Number of table groups; 0 means two per engine.
    #[serde(rename = "groups")]
    pub table_groups: u64,
    /// Skew of the use of table groups: the exponent of Zipf's law.
    pub zipf: f64,
    /// Error of the declared work: coefficient of variation of its log-normal factor.
    pub estimate_noise: f64,
    /// Coefficient of variation of the speed of engines.
    pub speed_cv: f64,
    /// Maximum number of retries of a client.
    pub retries: u32,
    /// A client's delay before a retry if it does not honour Retry-After (ms).
    pub backoff_ms: f64,
    /// Share of clients that honour Retry-After.
    #[serde(rename = "honour")]
    pub retry_after_honoured: f64,
    /// Mean time until a crashed coordinator is up again (s).
    pub restart_s: f64,
    /// The longest time until a client notices that its coordinator crashed (s).
    pub notice_s: f64,
    /// How long attempts may still be sent to an engine that drains (s).
    pub grace_s: f64,
    /// The parameters of engines.
    pub engine: EngineSpec,
    /// Classes of requests; the default has look-ups, reports and loads.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The faults to inject.
    #[serde(rename = "trouble")]
    pub faults: Vec<Fault>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seconds: 40.0,
            coordinators: 3,
            engines: 6,
            load: 0.7,
            traffic_cv: 0.2,
            zones: 2,
            same_zone_ms: 0.2,
            cross_zone_ms: 2.0,
            handshake_ms: 1.0,
            connect_ms: 250.0,
            discovery_ms: 500.0,
            silent_s: 6.0,
            report_ms: 400.0,
            progress_ms: 500.0,
            table_groups: 0,
            zipf: 0.75,
            estimate_noise: 0.3,
            speed_cv: 0.1,
            retries: 1,
            backoff_ms: 200.0,
            retry_after_honoured: 0.6,
            restart_s: 1.0,
            notice_s: 2.0,
            grace_s: 1.0,
            engine: EngineSpec::default(),
            classes: default_classes(),
            faults: Vec::new(),
        }
    }
}

impl Scenario {
    /// Parses the text of a scenario file.
    ///
    /// # Errors
    /// Returns an error if the text is not a scenario or a value is out of range.
    pub fn read(text: &str) -> Result<Self, ScenarioError> {
        let scenario: Self = from_toml(text)?;
        scenario.validate()?;
        Ok(scenario)
    }

    fn validate(&self) -> Result<(), ScenarioError> {
        check_range("seconds", self.seconds, 0.1, 1e5)?;
        check_range("coordinators", self.coordinators as f64, 1.0, 1000.0)?;
        check_range("engines", self.engines as f64, 1.0, 200.0)?;
        check_range("load", self.load, 0.001, 10.0)?;
        check_range("halls", self.zones as f64, 1.0, 16.0)?;
        check_range("honour", self.retry_after_honoured, 0.0, 1.0)?;
        check_range("report_ms", self.report_ms, 1.0, 1e5)?;
        check_range("note_ms", self.progress_ms, 1.0, 1e5)?;
        if self.classes.is_empty() {
            return Err(ScenarioError::NoClass);
        }
        self.faults.iter().try_for_each(|fault| check_range("trouble part", fault.share, 0.0, 1.0))
    }

    /// Number of table groups: two per engine unless the scenario sets it.
    #[must_use]
    pub fn table_group_count(&self) -> u64 {
        if self.table_groups > 0 {
            self.table_groups
        } else {
            2 * self.engines as u64
        }
    }
}

fn check_range(key: &'static str, value: f64, least: f64, most: f64) -> Result<(), ScenarioError> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(ScenarioError::OutOfRange { key, value, least, most })
    }
}

/// Name of a zone, by its number.
#[must_use]
pub fn zone_name(number: usize) -> String {
    format!("hall-{number}")
}
