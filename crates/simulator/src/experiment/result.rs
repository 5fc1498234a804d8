//! The result of an experiment as a table with verdicts.

use super::rows::{cells, Cell, CellKey, Row};
use super::statistics::{Difference, MeanInterval};
use super::Experiment;
use std::fmt::Write as _;

impl Experiment {
    /// The text of `result.md`.
    pub(super) fn result(&self, rows: &[Row]) -> String {
        let Self { title, seeds, baseline, .. } = self;
        let key = &self.vary.key;
        let mut text = format!("# {title}\n\nGoal by {key}; {seeds} seeds each.\n\n");
        // Writing to a String cannot fail.
        let _ = writeln!(
            text,
            "| {key} | policy | goal | against {baseline:?} | verdict | plays | rules broken |"
        );
        text += "| --- | --- | --- | --- | --- | --- | --- |\n";
        let cells = cells(rows);
        for cell in cells.values() {
            let baseline = cells.get(&CellKey::new(cell.value, self.baseline));
            let _ = writeln!(text, "{}", self.result_line(cell, baseline, rows));
        }
        text
    }

    fn result_line(&self, cell: &Cell, baseline: Option<&Cell>, rows: &[Row]) -> String {
        let Cell { value, policy, goals } = cell;
        let MeanInterval { mean, half_width } = MeanInterval::of(goals);
        let in_cell = |row: &&Row| row.policy == *policy && row.value == *value;
        let violations: u64 = rows.iter().filter(in_cell).map(|row| row.violations).sum();
        let baseline_goals = baseline.map_or(&[][..], |baseline| &baseline.goals);
        let pairs: Vec<(f64, f64)> = baseline_goals.iter().copied().zip(goals.iter().copied()).collect();
        let difference = Difference::of(&pairs);
        let (against, verdict) = if *policy == self.baseline {
            (String::new(), "")
        } else {
            let MeanInterval { mean, half_width } = difference.interval;
            (format!("{mean:+.3} ± {half_width:.3}"), difference.verdict())
        };
        let runs = difference.runs;
        format!(
            "| {value} | {policy:?} | {mean:.3} ± {half_width:.3} | {against} | {verdict} | {runs} | {violations} |"
        )
    }
}
