//! The results of runs, as lines of JSON and as CSV.

use super::Run;
use crate::policy::PolicyKind;
use crate::report::Report;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

/// The result of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Identifies the program that executed it and the scenario with its varied value: rows of another
    /// program or scenario are not reused.
    #[serde(rename = "play")]
    pub run_id: u64,
    /// The varied value.
    pub value: f64,
    /// The policy.
    pub policy: PolicyKind,
    /// The seed.
    pub seed: u64,
    /// The goal.
    pub goal: f64,
    /// Share of the priority weight that was served.
    pub served: f64,
    /// Share of the priority weight that was served in the worst ten seconds.
    #[serde(rename = "window")]
    pub worst_window: f64,
    /// Share of the priority weight that was served in the worst class.
    #[serde(rename = "class")]
    pub worst_class: f64,
    /// Attempts per request.
    pub attempts: f64,
    /// Number of violations.
    #[serde(rename = "broken")]
    pub violations: u64,
}

impl Row {
    pub(super) fn new(run: &Run, report: &Report) -> Self {
        Self {
            run_id: run.id,
            value: run.value,
            policy: run.policy,
            seed: run.seed,
            goal: report.goal,
            served: report.served.total,
            worst_window: report.served.worst_window,
            worst_class: report.served.worst_class,
            attempts: report.attempts,
            violations: report.violation_count,
        }
    }

    pub(super) fn belongs_to(&self, run: &Run) -> bool {
        (self.run_id, self.policy, self.seed) == (run.id, run.policy, run.seed)
    }

    pub(super) fn write(&self, file: &mut File) -> io::Result<()> {
        let mut line = serde_json::to_string(self).map_err(io::Error::other)?;
        line.push('\n');
        file.write_all(line.as_bytes())
    }
}

/// Writes a file that contains only these rows.
pub(super) fn write_rows(path: &Path, rows: &[Row]) -> io::Result<()> {
    let mut file = File::create(path)?;
    rows.iter().try_for_each(|row| row.write(&mut file))
}

/// Rows from an earlier execution of the experiment; incomplete lines are skipped.
pub(super) fn read_rows(path: &Path) -> Vec<Row> {
    let Ok(file) = File::open(path) else { return Vec::new() };
    let lines = BufReader::new(file).lines().map_while(Result::ok);
    lines.filter_map(|line| serde_json::from_str(&line).ok()).collect()
}

/// Sorts by value, policy and seed.
pub(super) fn sort_rows(rows: &mut [Row]) {
    let key = |row: &Row| (row.policy as u8, row.seed);
    rows.sort_by(|a, b| a.value.total_cmp(&b.value).then(key(a).cmp(&key(b))));
}

pub(super) fn csv(rows: &[Row]) -> String {
    let mut text = String::from("value,policy,seed,goal,served,window,class,attempts,broken\n");
    for row in rows {
        let Row { value, policy, seed, goal, served, worst_window, worst_class, attempts, .. } = row;
        let violations = row.violations;
        // Writing to a String cannot fail.
        let _ = write!(text, "{value},{policy:?},{seed},{goal:.6},{served:.6},");
        let _ = writeln!(text, "{worst_window:.6},{worst_class:.6},{attempts:.4},{violations}");
    }
    text
}

/// Identifies a cell; ordered as in tables. Values are not negative, so their bits sort like the values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CellKey {
    value_bits: u64,
    policy: u8,
}

impl CellKey {
    pub(super) fn new(value: f64, policy: PolicyKind) -> Self {
        Self { value_bits: value.to_bits(), policy: policy as u8 }
    }
}

/// All runs of one policy at one value.
pub(super) struct Cell {
    /// The varied value.
    pub value: f64,
    /// The policy.
    pub policy: PolicyKind,
    /// Goals in the order of the seeds.
    pub goals: Vec<f64>,
}

pub(super) fn cells(rows: &[Row]) -> BTreeMap<CellKey, Cell> {
    let mut cells: BTreeMap<CellKey, Cell> = BTreeMap::new();
    for row in rows {
        let empty = || Cell { value: row.value, policy: row.policy, goals: Vec::new() };
        cells.entry(CellKey::new(row.value, row.policy)).or_insert_with(empty).goals.push(row.goal);
    }
    cells
}
