//! The fields of an engine's reply: progress, costs and the load report.

use crate::core::AttemptReport;
use crate::net::resp::Malformed;
use dahliaspoke::policy::{LoadReport, Progress};

/// Value of a wait report that means waiting for the engine's load; any other value means waiting for memory.
const WAIT_FOR_LOAD: f64 = 2.0;

/// Encoded as `name=value,name=value`, or `-` if there are none.
pub struct Fields<'a>(pub &'a str);

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        let named = |field: &'a str| field.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v);
        self.0.split(',').find_map(named)
    }

    /// A count or an index.
    ///
    /// # Errors
    /// If it is absent or not such a number.
    pub fn count(&self, name: &str) -> Result<usize, Malformed> {
        self.get(name).and_then(|value| value.parse().ok()).ok_or(Malformed)
    }

    /// A running attempt's progress report: field `n` is the kind (`p` progress, `s` spills, `w` waits),
    /// `datum` its value. `None` if the kind is absent or unknown.
    ///
    /// # Errors
    /// If the value is absent or not a finite number.
    pub fn progress(&self) -> Result<Option<Progress>, Malformed> {
        let Some(kind) = self.get("n") else { return Ok(None) };
        let value = finite_number(self.get("datum").ok_or(Malformed)?)?;
        Ok(match kind {
            "p" => Some(Progress::Done(value)),
            "s" => Some(Progress::Spills(value)),
            "w" if value == WAIT_FOR_LOAD => Some(Progress::WaitsForLoad),
            "w" => Some(Progress::WaitsForMemory),
            _ => None,
        })
    }

    /// The engine's report at the end of an attempt: field `elapsed` is the work (ms of one thread), `rss`
    /// the memory (MB).
    ///
    /// # Errors
    /// If the load report is malformed.
    pub fn attempt_report(&self) -> Result<AttemptReport, Malformed> {
        // A malformed cost does not invalidate the result and is treated as absent.
        let cost =
            |name| self.get(name).and_then(|value| finite_number(value).ok()).filter(|cost| *cost >= 0.0);
        Ok(AttemptReport { work: cost("elapsed"), memory: cost("rss"), load: self.load_report()? })
    }

    /// The engine's load: field `l` with `name:value` pairs; unknown names are ignored.
    fn load_report(&self) -> Result<Option<LoadReport>, Malformed> {
        let Some(load) = self.get("l") else { return Ok(None) };
        let mut report = LoadReport::default();
        for item in load.split(';').filter(|item| !item.is_empty()) {
            let (name, value) = item.split_once(':').ok_or(Malformed)?;
            let figure = match name {
                "util" | "busy" => &mut report.util,
                "queue" | "q" => &mut report.queue,
                "x0" => &mut report.memory,
                "x1" => &mut report.disk,
                _ => continue,
            };
            *figure = Some(finite_number(value)?);
        }
        Ok(Some(report))
    }
}

fn finite_number(text: &str) -> Result<f64, Malformed> {
    text.parse::<f64>().ok().filter(|number| number.is_finite()).ok_or(Malformed)
}
