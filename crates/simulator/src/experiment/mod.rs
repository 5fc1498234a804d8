//! Experiments: scenarios, policies and seeds in one file; parallel runs; paired differences with confidence
//! intervals, and a verdict.
//!
//! Runs are paired by value and seed: the same traffic under two policies. A difference is called better or
//! worse only if the confidence interval of its mean does not contain 0.

mod plot;
mod result;
mod rows;
mod statistics;

pub use rows::Row;
pub use statistics::{Difference, MeanInterval};

use crate::file_error::FileError;
use crate::policy::PolicyKind;
use crate::scenario::{Scenario, ScenarioError};
use crate::toml_file::{from_toml, TomlError};
use crate::world;
use rows::{csv, read_rows, sort_rows, write_rows};
use serde::Deserialize;
use std::fs::OpenOptions;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Sender};
use thiserror::Error;

/// Why an experiment could not be read or run.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file is not TOML, or has a key or a type that experiments do not have.
    #[error(transparent)]
    Toml(#[from] TomlError),
    /// The baseline is not one of the policies.
    #[error("baseline: it is not among the policies")]
    UnknownBaseline,
    /// A varied value is not a number.
    #[error("vary: {0} is not a number")]
    NotANumber(toml::Value),
    /// The scenario is not valid with one of the values.
    #[error("scenario, {key} = {value}: {source}")]
    Scenario {
        /// The varied key.
        key: String,
        /// Its value.
        value: toml::Value,
        /// What is wrong.
        source: ScenarioError,
    },
    /// The folder for the results cannot be written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The plot cannot be drawn.
    #[error("plot: {0}")]
    Plot(String),
}

/// An experiment. The keys are those of experiment files (TOML).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The question it answers, in one sentence; used as the title of its plot.
    pub title: String,
    /// Number of seeds; runs use seeds 1 to this.
    pub seeds: u64,
    /// The policies to compare.
    pub policies: Vec<PolicyKind>,
    /// The policy that the others are compared with.
    pub baseline: PolicyKind,
    /// The varied key and its values.
    pub vary: Vary,
    /// The scenario, without the varied key.
    pub scenario: toml::Table,
}

/// The key of the scenario that is varied.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vary {
    /// The key.
    pub key: String,
    /// Its values.
    pub values: Vec<toml::Value>,
}

/// One run of an experiment.
struct Run {
    scenario: Scenario,
    /// Identifies the program and the scenario.
    id: u64,
    /// The varied value.
    value: f64,
    policy: PolicyKind,
    seed: u64,
}

impl Run {
    fn play(&self) -> Row {
        Row::new(self, &world::play(&self.scenario, self.policy, self.seed))
    }
}

impl Experiment {
    /// Parses the text of an experiment file.
    ///
    /// # Errors
    /// Returns an error if the text is not an experiment or one of its scenarios is not valid.
    pub fn read(text: &str) -> Result<Self, ExperimentError> {
        let experiment: Self = from_toml(text)?;
        experiment.runs(0)?; // only to validate them
        if !experiment.policies.contains(&experiment.baseline) {
            return Err(ExperimentError::UnknownBaseline);
        }
        Ok(experiment)
    }

    /// All runs, identified by the hash of the program that executes them.
    fn runs(&self, program: u64) -> Result<Vec<Run>, ExperimentError> {
        let mut runs = Vec::new();
        for value in &self.vary.values {
            let number = match value {
                toml::Value::Integer(number) => *number as f64,
                toml::Value::Float(number) => *number,
                _ => return Err(ExperimentError::NotANumber(value.clone())),
            };
            let mut table = self.scenario.clone();
            table.insert(self.vary.key.clone(), value.clone());
            let text = table.to_string();
            let id = program ^ fnv1a(text.as_bytes());
            let scenario = Scenario::read(&text).map_err(|source| ExperimentError::Scenario {
                key: self.vary.key.clone(),
                value: value.clone(),
                source,
            })?;
            for policy in self.policies.iter().copied() {
                let run = |seed| Run { scenario: scenario.clone(), id, value: number, policy, seed };
                runs.extend((1..=self.seeds).map(run));
            }
        }
        Ok(runs)
    }

    /// Executes the missing runs, `jobs` at a time, and writes all results into the folder: `rows.jsonl` as
    /// runs end, then `rows.csv`, `plot.svg` and `result.md`. `progress` is called with the number of
    /// completed runs and the number of runs that were missing. Returns the text of `result.md`.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be written or the plot cannot be drawn.
    pub fn run(
        &self,
        folder: &Path,
        jobs: usize,
        progress: impl Fn(usize, usize) + Sync,
    ) -> Result<String, ExperimentError> {
        let file_error = FileError::at(folder);
        std::fs::create_dir_all(folder).map_err(file_error)?;
        let path = folder.join("rows.jsonl");
        let runs = self.runs(program_hash())?;
        let mut rows = read_rows(&path);
        rows.retain(|row| runs.iter().any(|run| row.belongs_to(run)));
        let is_missing = |run: &&Run| !rows.iter().any(|row| row.belongs_to(run));
        let missing: Vec<&Run> = runs.iter().filter(is_missing).collect();
        // Drops incomplete lines and rows of other experiments.
        write_rows(&path, &rows).map_err(file_error)?;
        let mut file = OpenOptions::new().append(true).open(&path).map_err(file_error)?;
        play_all(&missing, jobs, progress, |row| {
            row.write(&mut file).map_err(file_error)?;
            rows.push(row);
            Ok(())
        })?;
        sort_rows(&mut rows);
        write_rows(&path, &rows).map_err(file_error)?;
        std::fs::write(folder.join("rows.csv"), csv(&rows)).map_err(file_error)?;
        let plot = self.plot(&folder.join("plot.svg"), &rows);
        plot.map_err(|error| ExperimentError::Plot(error.to_string()))?;
        let text = self.result(&rows);
        std::fs::write(folder.join("result.md"), &text).map_err(file_error)?;
        Ok(text)
    }
}

/// Executes runs on `jobs` threads; `on_row` is called with each row as its run ends, on the calling thread.
fn play_all(
    runs: &[&Run],
    jobs: usize,
    progress: impl Fn(usize, usize) + Sync,
    mut on_row: impl FnMut(Row) -> Result<(), FileError>,
) -> Result<(), FileError> {
    let (next, done) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let report_progress = || progress(done.fetch_add(1, Ordering::SeqCst) + 1, runs.len());
    let (sender, rows) = channel();
    std::thread::scope(|scope| {
        for _ in 0..jobs.clamp(1, runs.len().max(1)) {
            let (sender, next, report_progress) = (sender.clone(), &next, &report_progress);
            scope.spawn(move || play_from(runs, next, report_progress, &sender));
        }
        drop(sender);
        rows.into_iter().try_for_each(&mut on_row)
    })
}

/// Executes the runs that no other thread has claimed.
fn play_from(runs: &[&Run], next: &AtomicUsize, report_progress: impl Fn(), rows: &Sender<Row>) {
    while let Some(run) = runs.get(next.fetch_add(1, Ordering::SeqCst)) {
        let row = run.play();
        report_progress();
        if rows.send(row).is_err() {
            return;
        }
    }
}

/// A hash of bytes (FNV-1a).
fn fnv1a(bytes: &[u8]) -> u64 {
    let mix = |sum: u64, byte: &u8| (sum ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// A hash of this program: another build may run the same scenario differently.
fn program_hash() -> u64 {
    let program = std::env::current_exe().and_then(std::fs::read);
    program.map_or(0, |bytes| fnv1a(&bytes))
}
