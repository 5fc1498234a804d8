//! Prints the outcome of a trial as a table.

use super::TrialOutcome;
use crate::load::{ClassSummary, Summary};
use std::fmt;

/// Names of the latency quantiles of a summary.
const QUANTILES: [&str; 5] = ["half within", "90% within", "99% within", "99.9% within", "the longest"];

impl fmt::Display for TrialOutcome {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write_totals(f, &self.summary)?;
        for class in &self.summary.classes {
            write_class(f, class)?;
        }
        for engine in &self.served {
            writeln!(f, "{:<28}{:>8}", format!("answered by {}", engine.id), engine.queries)?;
        }
        if self.summary.void {
            let Summary { late, late_ms, .. } = self.summary;
            writeln!(f, "void: the tool was late for {late} requests, by {late_ms:.0} ms at the most")?;
        }
        Ok(())
    }
}

fn write_totals(f: &mut fmt::Formatter, summary: &Summary) -> fmt::Result {
    let percent = |count: usize| 100.0 * count as f64 / summary.due.max(1) as f64;
    let outcomes =
        [("served", summary.served), ("turned away", summary.rejected), ("failed", summary.failed)];
    writeln!(f, "{:<28}{:>8}", "requests that were due", summary.due)?;
    for (name, count) in outcomes {
        writeln!(f, "{name:<28}{count:>8}  {:>5.1}%", percent(count))?;
    }
    writeln!(f, "{:<28}{:>8}", "tries", summary.tries)?;
    for (name, millis) in QUANTILES.iter().zip(summary.millis) {
        writeln!(f, "{name:<28}{millis:>8.0}  ms, from when they were due")?;
    }
    Ok(())
}

fn write_class(f: &mut fmt::Formatter, class: &ClassSummary) -> fmt::Result {
    let [half, _, most, ..] = class.millis;
    writeln!(
        f,
        "{:<28}{:>8}  served {}, turned away {}, failed {}; half within {half:.0} ms, 99% within {most:.0} ms",
        format!("of them {}", class.name),
        class.due,
        class.served,
        class.rejected,
        class.failed
    )
}
