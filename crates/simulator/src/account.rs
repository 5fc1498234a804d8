//! An account of a run from the coordinators' own logs (`deploy/trace.toml`): what the choices of many add up to. Work by
//! engine beside the mean, coordinators by engine, refusals by cause and second, errors by engine and coordinator.
//!
//! Logs say what was sent, not what an engine could do; work is the told estimate (ms of one thread), counted in the second
//! in which it was sent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::path::Path;

/// One engine, over all coordinators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// Work sent there (ms).
    pub work: f64,
    /// Attempts sent there.
    pub attempts: u64,
    /// Coordinators that sent something.
    pub coordinators: BTreeSet<usize>,
    /// Attempts that ended there in an error, a reset or a time-out, by coordinator.
    pub errors: BTreeMap<usize, u64>,
}

/// Requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// Taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused, and no engine had been tried.
    pub refused_untried: u64,
    /// Refused after attempts.
    pub refused_tried: u64,
    /// Failed.
    pub failed: u64,
}

/// One second, over all coordinators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Moment {
    /// Requests taken.
    pub taken: u64,
    /// Refused.
    pub refused: u64,
    /// Busy parts of cores, memory and disks that engines told, summed, and how often they told each.
    pub told: [(f64, u64); 3],
    /// Attempts that ended in a time-out, or were called off.
    pub given_up: u64,
    /// Notes of a spill, of a wait for memory, of a wait for a load.
    pub notes: [u64; 3],
    /// Bounds over all engines (ms), work in hand there (ms), each summed over those that told, and how many told.
    pub pool: (f64, f64, u64),
}

#[derive(Clone, Debug)]
struct Open {
    class: usize,
    estimate: f64,
    attempts: Vec<String>,
}

/// What logs came to.
#[derive(Clone, Debug, Default)]
pub struct Account {
    /// By id.
    pub engines: BTreeMap<String, Engine>,
    /// By position in the settings.
    pub classes: BTreeMap<usize, Class>,
    /// Work by second and engine (ms).
    seconds: BTreeMap<i64, BTreeMap<String, f64>>,
    /// By second.
    moments: BTreeMap<i64, Moment>,
    /// Lines that begin as steps of a request do, and are none.
    pub odd: u64,
    coordinators: usize,
}

impl Account {
    /// Takes the log of one more coordinator.
    pub fn read(&mut self, log: &str) {
        let own = self.coordinators;
        self.coordinators += 1;
        let mut open: HashMap<&str, Open> = HashMap::new();
        for line in log.lines() {
            let mut words: Vec<&str> = line.split_whitespace().collect();
            // Whoever kept the log may have put its own time in front.
            if words.get(1).is_some_and(|word| word.parse::<f64>().is_ok()) {
                words.remove(0);
            }
            let Some(at) = words.first().and_then(|at| at.parse::<f64>().ok()) else { continue };
            let steps = ["taken", "sent", "ended", "answered", "pool", "noted"];
            if !words.get(1).is_some_and(|word| steps.contains(word)) {
                continue;
            }
            if self.step(own, at, &words[1..], &mut open).is_none() {
                self.odd += 1;
            }
        }
    }

    fn step<'a>(
        &mut self,
        own: usize,
        at: f64,
        words: &[&'a str],
        open: &mut HashMap<&'a str, Open>,
    ) -> Option<()> {
        let second = at.floor() as i64;
        match words {
            ["taken", id, class, estimate, _] => {
                let (class, estimate) = (class.parse().ok()?, estimate.parse().ok()?);
                self.classes.entry(class).or_default().taken += 1;
                self.moments.entry(second).or_default().taken += 1;
                open.insert(id, Open { class, estimate, attempts: Vec::new() });
            }
            ["sent", id, _, engine] => {
                let request = open.get_mut(id)?;
                request.attempts.push(engine.to_string());
                let held = self.engines.entry(engine.to_string()).or_default();
                held.work += request.estimate;
                held.attempts += 1;
                held.coordinators.insert(own);
                *self.seconds.entry(second).or_default().entry(engine.to_string()).or_default() +=
                    request.estimate;
            }
            ["pool", bounds, held, _] => {
                let (bounds, held): (f64, f64) = (bounds.parse().ok()?, held.parse().ok()?);
                let pool = &mut self.moments.entry(second).or_default().pool;
                *pool = (pool.0 + bounds, pool.1 + held, pool.2 + 1);
            }
            ["noted", _, _, kind] => {
                let kinds = ["Spills", "WaitsForMemory", "WaitsForLoad"];
                if let Some(at) = kinds.iter().position(|k| kind.starts_with(k)) {
                    self.moments.entry(second).or_default().notes[at] += 1;
                }
            }
            ["ended", id, attempt, outcome, rest @ ..] => {
                let moment = self.moments.entry(second).or_default();
                for (word, told) in rest.iter().zip(&mut moment.told) {
                    if let Ok(part) = word.parse::<f64>() {
                        *told = (told.0 + part, told.1 + 1);
                    }
                }
                moment.given_up += u64::from(matches!(*outcome, "Timeout" | "Cancelled"));
                // A request may be over before its last attempt is.
                let Some(request) = open.get(id) else { return Some(()) };
                let engine = request.attempts.get(attempt.parse::<usize>().ok()?)?;
                if matches!(*outcome, "Error" | "Reset" | "Timeout") {
                    *self.engines.get_mut(engine)?.errors.entry(own).or_default() += 1;
                }
            }
            ["answered", id, word] => {
                let request = open.get(id)?;
                let (class, tried) = (request.class, !request.attempts.is_empty());
                let class = self.classes.entry(class).or_default();
                match *word {
                    "served" => class.served += 1,
                    "refused" => {
                        self.moments.entry(second).or_default().refused += 1;
                        *(if tried { &mut class.refused_tried } else { &mut class.refused_untried }) += 1;
                    }
                    _ => class.failed += 1,
                }
            }
            _ => return None,
        }
        Some(())
    }

    /// By second of the coordinators' clock.
    #[must_use]
    pub fn moments(&self) -> &BTreeMap<i64, Moment> {
        &self.moments
    }

    /// Over the seconds in which something was sent: the most that one engine was sent beside the mean of all that were
    /// sent anything in the run, as quantiles 0.5, 0.95 and 1.
    pub fn peaks(&self) -> [f64; 3] {
        let engines = self.engines.len().max(1) as f64;
        let peak = |work: &BTreeMap<String, f64>| {
            let (most, sum) = work.values().fold((0.0f64, 0.0), |(most, sum), w| (most.max(*w), sum + w));
            most / (sum / engines).max(1e-9)
        };
        let mut peaks: Vec<f64> = self.seconds.values().map(peak).collect();
        peaks.sort_by(f64::total_cmp);
        let at =
            |part: f64| peaks.get(((peaks.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or(0.0);
        [at(0.5), at(0.95), at(1.0)]
    }

    /// The logs in a folder, one a coordinator.
    ///
    /// # Errors
    /// Where the folder or a file cannot be read.
    pub fn of_folder(folder: &Path) -> Result<Self, String> {
        let wrong = |path: &Path, e: std::io::Error| format!("{}: {e}", path.display());
        let entries = std::fs::read_dir(folder).map_err(|e| wrong(folder, e))?;
        let mut paths: Vec<_> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
        paths.retain(|path| path.is_file());
        paths.sort();
        let mut account = Self::default();
        for path in paths {
            let bytes = std::fs::read(&path).map_err(|e| wrong(&path, e))?;
            account.read(&String::from_utf8_lossy(&bytes));
        }
        Ok(account)
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let count = self.engines.len().max(1) as f64;
        let mean = self.engines.values().map(|e| e.work).sum::<f64>() / count;
        let [half, most, peak] = self.peaks();
        writeln!(f, "{} coordinators, {} engines", self.coordinators, self.engines.len())?;
        writeln!(
            f,
            "most work at one engine over the mean, by second: half {half:.2}, 95% {most:.2}, peak {peak:.2}"
        )?;
        writeln!(
            f,
            "{:<20}{:>10}{:>8}{:>14}{:>8}{:>12}",
            "engine", "work s", "/mean", "coordinators", "errors", "met by"
        )?;
        for (id, engine) in &self.engines {
            let errors: u64 = engine.errors.values().sum();
            writeln!(
                f,
                "{id:<20}{:>10.1}{:>8.2}{:>14}{errors:>8}{:>12}",
                engine.work / 1000.0,
                engine.work / mean.max(1e-9),
                engine.coordinators.len(),
                engine.errors.len()
            )?;
        }
        writeln!(
            f,
            "{:<8}{:>9}{:>9}{:>17}{:>15}{:>8}",
            "class", "taken", "served", "refused untried", "refused tried", "failed"
        )?;
        for (class, c) in &self.classes {
            writeln!(
                f,
                "{class:<8}{:>9}{:>9}{:>17}{:>15}{:>8}",
                c.taken, c.served, c.refused_untried, c.refused_tried, c.failed
            )?;
        }
        let first = self.seconds.keys().next().copied().unwrap_or_default();
        writeln!(
            f,
            "{:<7}{:>7}{:>8}{:>9}{:>7}{:>7}{:>7}{:>8}{:>8}{:>8}{:>10}{:>8}",
            "second",
            "taken",
            "refused",
            "given up",
            "cores",
            "memory",
            "disks",
            "spills",
            "w mem",
            "w load",
            "bounds ms",
            "held ms"
        )?;
        let mean = |(sum, count): (f64, u64)| if count > 0 { sum / count as f64 } else { 0.0 };
        for (second, m) in &self.moments {
            let (told, notes, pool) = (m.told.map(mean), m.notes, m.pool);
            writeln!(
                f,
                "{:<7}{:>7}{:>8}{:>9}{:>7.2}{:>7.2}{:>7.2}{:>8}{:>8}{:>8}{:>10.0}{:>8.0}",
                second - first,
                m.taken,
                m.refused,
                m.given_up,
                told[0],
                told[1],
                told[2],
                notes[0],
                notes[1],
                notes[2],
                mean((pool.0, pool.2)),
                mean((pool.1, pool.2))
            )?;
        }
        if self.odd > 0 {
            writeln!(f, "{} lines were odd", self.odd)?;
        }
        Ok(())
    }
}
