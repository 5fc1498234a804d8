//! Fields of an engine's answer: progress, costs and the load report.

use crate::core::AttemptReport;
use crate::net::resp::Malformed;
use dahliaspoke::policy::{LoadReport, Progress};

/// The value of a wait for the engine's load; any other is a wait for memory.
const WAIT_FOR_LOAD: f64 = 2.0;

/// `name=value,name=value`, or `-` for none.
pub struct Fields<'a>(pub &'a str);

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        let named = |field: &'a str| field.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v);
        self.0.split(',').find_map(named)
    }

    /// A count or an index.
    ///
    /// # Errors
    /// Where it is absent or no such number.
    pub fn count(&self, name: &str) -> Result<usize, Malformed> {
        self.get(name).and_then(|value| value.parse().ok()).ok_or(Malformed)
    }

    /// What a running attempt reports of itself: field `n` is the kind (`p` progress, `s` spills, `w` waits), `datum` its value.
    /// `None` for kinds that are not known here.
    ///
    /// # Errors
    /// Where its value is absent or no finite number.
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

    /// What the engine reports with an attempt's end: field `elapsed` is the work (ms of one thread), `rss` the memory (MB).
    ///
    /// # Errors
    /// Where the load report cannot be read.
    pub fn attempt_report(&self) -> Result<AttemptReport, Malformed> {
        // The result counts, whatever is said of its cost: a figure that cannot be one is as good as none.
        let cost =
            |name| self.get(name).and_then(|value| finite_number(value).ok()).filter(|cost| *cost >= 0.0);
        Ok(AttemptReport { work: cost("elapsed"), memory: cost("rss"), load: self.load_report()? })
    }

    /// The engine's load: field `l`, which holds `name:value` pairs; unknown names are passed over.
    fn load_report(&self) -> Result<Option<LoadReport>, Malformed> {
        let Some(load) = self.get("l") else { return Ok(None) };
        let mut report = LoadReport::default();
        for item in load.split(';').filter(|item| !item.is_empty()) {
            let (name, value) = item.split_once(':').ok_or(Malformed)?;
            let place = match name {
                "util" | "busy" => &mut report.util,
                "queue" | "q" => &mut report.queue,
                "x0" => &mut report.memory,
                "x1" => &mut report.disk,
                _ => continue,
            };
            *place = Some(finite_number(value)?);
        }
        Ok(Some(report))
    }
}

fn finite_number(text: &str) -> Result<f64, Malformed> {
    text.parse::<f64>().ok().filter(|number| number.is_finite()).ok_or(Malformed)
}
