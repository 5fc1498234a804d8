//! An account of a run from the coordinators' own logs (`deploy/trace.toml`), aggregated over all
//! coordinators: work per engine relative to the mean, coordinators per engine, rejections by cause and
//! second, errors by engine and coordinator.
//!
//! Logs show what was sent, not what an engine could do; work is the declared estimate (ms of one thread),
//! counted in the second in which it was sent.

mod log;
mod table;

use crate::file_error::FileError;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// One engine, over all coordinators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineAccount {
    /// Work sent to it (ms).
    pub work: f64,
    /// Attempts sent to it.
    pub attempts: u64,
    /// Coordinators that sent work to it.
    pub coordinators: BTreeSet<usize>,
    /// Its attempts that ended in an error, a reset or a timeout, by coordinator.
    pub errors: BTreeMap<usize, u64>,
}

/// Requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassAccount {
    /// Accepted.
    pub accepted: u64,
    /// Served.
    pub served: u64,
    /// Rejected before any attempt.
    pub rejected_untried: u64,
    /// Rejected after attempts.
    pub rejected_tried: u64,
    /// Failed.
    pub failed: u64,
}

/// Sum and count of reported values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    /// Sum of the values.
    pub sum: f64,
    /// Number of values.
    pub count: u64,
}

impl Average {
    fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    /// The mean; 0 if nothing was reported.
    #[must_use]
    pub fn mean(self) -> f64 {
        if self.count > 0 {
            self.sum / self.count as f64
        } else {
            0.0
        }
    }
}

/// Number of progress reports about each problem.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProblemCounts {
    /// A query spilled.
    pub spills: u64,
    /// A query waited for memory.
    pub memory_waits: u64,
    /// A query waited for a load.
    pub load_waits: u64,
}

/// What coordinators reported about all of their engines together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolAccount {
    /// Bounds of the work in flight over all engines (ms).
    pub bounds: Average,
    /// Work in flight (ms).
    pub in_flight: Average,
}

/// One second, over all coordinators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SecondAccount {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Utilization of cores, memory and disks that engines reported (0 to 1).
    pub utilization: [Average; 3],
    /// Attempts that timed out or were cancelled.
    pub abandoned: u64,
    /// Problems in progress reports.
    pub problems: ProblemCounts,
    /// What coordinators reported about all of their engines together.
    pub pool: PoolAccount,
}

/// The aggregated logs. [`Display`](std::fmt::Display) prints them as tables.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// Engines by id.
    pub engines: BTreeMap<String, EngineAccount>,
    /// Classes by position in the settings.
    pub classes: BTreeMap<usize, ClassAccount>,
    /// Number of malformed lines among those with the word of a step.
    pub malformed_lines: u64,
    /// Work sent, by second and engine (ms).
    work: BTreeMap<i64, BTreeMap<String, f64>>,
    seconds: BTreeMap<i64, SecondAccount>,
    coordinators: usize,
}

impl Account {
    /// The seconds of the run, by the coordinators' clock.
    #[must_use]
    pub fn seconds(&self) -> &BTreeMap<i64, SecondAccount> {
        &self.seconds
    }

    /// The most work sent to one engine in a second, relative to the mean over all engines that were sent
    /// work in the run: quantiles 0.5, 0.95 and 1 over the seconds in which work was sent.
    pub fn peaks(&self) -> [f64; 3] {
        let engines = self.engines.len().max(1) as f64;
        let peak = |work: &BTreeMap<String, f64>| {
            let most = work.values().copied().fold(0.0, f64::max);
            let sum = work.values().fold(0.0, |sum, work| sum + work);
            most / (sum / engines).max(1e-9)
        };
        let mut peaks: Vec<f64> = self.work.values().map(peak).collect();
        peaks.sort_by(f64::total_cmp);
        let last = (peaks.len().max(1) - 1) as f64;
        [0.5, 0.95, 1.0].map(|quantile| peaks.get((last * quantile) as usize).copied().unwrap_or(0.0))
    }

    /// Reads the logs in a folder, one per coordinator.
    ///
    /// # Errors
    /// Returns an error if the folder or a file cannot be read.
    pub fn of_folder(folder: &Path) -> Result<Self, FileError> {
        let entries = std::fs::read_dir(folder).map_err(FileError::at(folder))?;
        let mut paths: Vec<_> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
        paths.retain(|path| path.is_file());
        paths.sort();
        let mut account = Self::default();
        for path in paths {
            let bytes = std::fs::read(&path).map_err(FileError::at(&path))?;
            account.read(&String::from_utf8_lossy(&bytes));
        }
        Ok(account)
    }
}
