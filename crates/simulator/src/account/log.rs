//! Parses the trace lines of the daemon: `time step ...`, with or without a log collector's timestamp in
//! front.
//!
//! | line | fields |
//! | --- | --- |
//! | `taken` | request, class, estimated work (ms), deadline |
//! | `sent` | request, number of the attempt, engine |
//! | `noted` | request, number of the attempt, progress |
//! | `ended` | request, number of the attempt, outcome, utilization of cores, memory and disks |
//! | `answered` | request, answer |
//! | `pool` | bounds (ms), work in flight (ms), a third field that is not read |

use super::{Account, SecondAccount};
use std::collections::HashMap;

/// Steps that are parsed; lines without one of these words are ignored.
const STEPS: [&str; 6] = ["taken", "sent", "ended", "answered", "pool", "noted"];

/// A trace line without its time.
enum Step<'a> {
    Accepted { request: &'a str, class: usize, estimate: f64 },
    Sent { request: &'a str, engine: &'a str },
    Progress { kind: &'a str },
    Ended { request: &'a str, attempt: Option<usize>, outcome: &'a str, utilization: &'a [&'a str] },
    Answered { request: &'a str, answer: &'a str },
    Pool { bounds: f64, in_flight: f64 },
}

impl<'a> Step<'a> {
    /// `None` if the line is malformed.
    fn parse(words: &'a [&'a str]) -> Option<Self> {
        Some(match words {
            ["taken", request, class, estimate, _] => {
                Self::Accepted { request, class: class.parse().ok()?, estimate: estimate.parse().ok()? }
            }
            ["sent", request, _, engine] => Self::Sent { request, engine },
            ["noted", _, _, kind] => Self::Progress { kind },
            ["ended", request, attempt, outcome, utilization @ ..] => {
                Self::Ended { request, attempt: attempt.parse().ok(), outcome, utilization }
            }
            ["answered", request, answer] => Self::Answered { request, answer },
            ["pool", bounds, in_flight, _] => {
                Self::Pool { bounds: bounds.parse().ok()?, in_flight: in_flight.parse().ok()? }
            }
            _ => return None,
        })
    }
}

struct OpenRequest {
    class: usize,
    /// Estimated work (ms).
    estimate: f64,
    /// The engine of each attempt, in order.
    engines: Vec<String>,
}

/// Adds the log of one coordinator to an account.
struct LogReader<'a> {
    account: &'a mut Account,
    coordinator: usize,
    open: HashMap<String, OpenRequest>,
}

impl Account {
    /// Adds the log of another coordinator.
    pub fn read(&mut self, log: &str) {
        let coordinator = self.coordinators;
        self.coordinators += 1;
        let mut reader = LogReader { account: self, coordinator, open: HashMap::new() };
        for line in log.lines() {
            reader.read_line(line);
        }
    }
}

impl LogReader<'_> {
    fn read_line(&mut self, line: &str) {
        let mut words: Vec<&str> = line.split_whitespace().collect();
        // A log collector may have put its own timestamp in front.
        if words.get(1).is_some_and(|word| word.parse::<f64>().is_ok()) {
            words.remove(0);
        }
        let Some(at) = words.first().and_then(|at| at.parse::<f64>().ok()) else { return };
        if !words.get(1).is_some_and(|word| STEPS.contains(word)) {
            return;
        }
        let second = at.floor() as i64;
        let added = Step::parse(&words[1..]).and_then(|step| self.add(second, step));
        if added.is_none() {
            self.account.malformed_lines += 1;
        }
    }

    /// `None` if the step does not match the earlier ones.
    fn add(&mut self, second: i64, step: Step) -> Option<()> {
        match step {
            Step::Accepted { request, class, estimate } => {
                self.account.classes.entry(class).or_default().accepted += 1;
                self.second(second).accepted += 1;
                let state = OpenRequest { class, estimate, engines: Vec::new() };
                self.open.insert(request.to_string(), state);
                Some(())
            }
            Step::Sent { request, engine } => self.add_sent(second, request, engine),
            Step::Progress { kind } => {
                self.add_progress(second, kind);
                Some(())
            }
            Step::Ended { request, attempt, outcome, utilization } => {
                self.add_utilization(second, outcome, utilization);
                self.add_ended(request, attempt, outcome)
            }
            Step::Answered { request, answer } => self.add_answered(second, request, answer),
            Step::Pool { bounds, in_flight } => {
                let pool = &mut self.second(second).pool;
                pool.bounds.add(bounds);
                pool.in_flight.add(in_flight);
                Some(())
            }
        }
    }

    fn second(&mut self, second: i64) -> &mut SecondAccount {
        self.account.seconds.entry(second).or_default()
    }

    fn add_sent(&mut self, second: i64, request: &str, engine: &str) -> Option<()> {
        let request = self.open.get_mut(request)?;
        request.engines.push(engine.to_string());
        let account = self.account.engines.entry(engine.to_string()).or_default();
        account.work += request.estimate;
        account.attempts += 1;
        account.coordinators.insert(self.coordinator);
        let work = self.account.work.entry(second).or_default();
        *work.entry(engine.to_string()).or_default() += request.estimate;
        Some(())
    }

    fn add_progress(&mut self, second: i64, kind: &str) {
        let problems = &mut self.second(second).problems;
        if kind.starts_with("Spills") {
            problems.spills += 1;
        } else if kind.starts_with("WaitsForMemory") {
            problems.memory_waits += 1;
        } else if kind.starts_with("WaitsForLoad") {
            problems.load_waits += 1;
        }
    }

    fn add_utilization(&mut self, second: i64, outcome: &str, words: &[&str]) {
        let second = self.second(second);
        for (word, average) in words.iter().zip(&mut second.utilization) {
            if let Ok(utilization) = word.parse::<f64>() {
                average.add(utilization);
            }
        }
        second.abandoned += u64::from(matches!(outcome, "Timeout" | "Cancelled"));
    }

    fn add_ended(&mut self, request: &str, attempt: Option<usize>, outcome: &str) -> Option<()> {
        // A request may end before its last attempt does.
        let Some(request) = self.open.get(request) else { return Some(()) };
        let engine = request.engines.get(attempt?)?;
        if matches!(outcome, "Error" | "Reset" | "Timeout") {
            let account = self.account.engines.get_mut(engine)?;
            *account.errors.entry(self.coordinator).or_default() += 1;
        }
        Some(())
    }

    fn add_answered(&mut self, second: i64, request: &str, answer: &str) -> Option<()> {
        let request = self.open.get(request)?;
        let was_tried = !request.engines.is_empty();
        let class = self.account.classes.entry(request.class).or_default();
        match answer {
            "served" => class.served += 1,
            "refused" => {
                *(if was_tried { &mut class.rejected_tried } else { &mut class.rejected_untried }) += 1;
                self.second(second).rejected += 1;
            }
            _ => class.failed += 1,
        }
        Some(())
    }
}
