//! Fault schedules generated from a seed. A schedule prints as text, which can be parsed and replayed.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use thiserror::Error;

/// One change to a fleet or its links. Processes are identified by position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Cuts the links between two processes until they are healed.
    Cut(usize, usize),
    /// Stalls everything that the first sends to the second, both on its own connections and on those opened
    /// to it.
    Hold(usize, usize),
    /// Delays each byte that the first sends to the second (ms).
    Delay(usize, usize, u64),
    /// Limits the rate from the first to the second to this many bytes per millisecond.
    Trickle(usize, usize, usize),
    /// Resets the connections between them after this many more bytes from the first to the second.
    Reset(usize, usize, u64),
    /// Shuts down the direction from the first to the second; the other direction stays open.
    HalfClose(usize, usize),
    /// From the next connection on, the second receives everything from the first twice.
    Duplicate(usize, usize),
    /// Removes the faults of the links between two processes, in both directions.
    Heal(usize, usize),
    /// Removes the faults of all links.
    HealAll,
    /// Suspends a process with SIGSTOP.
    Suspend(usize),
    /// Resumes a process with SIGCONT.
    Resume(usize),
    /// Kills a process with SIGKILL.
    Kill(usize),
    /// Kills a process and starts it with this kill point.
    KillAt(usize, String),
    /// Starts a process unless it is running.
    Start(usize),
    /// Kills a process and starts it without its disk.
    StartEmpty(usize),
    /// Waits for the condition of this name, which the test defines.
    Await(String),
}

/// Why a line could not be parsed as a step.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseStepError {
    /// A number is missing.
    #[error("{line:?}: word {position} is missing")]
    MissingNumber {
        /// The line.
        line: String,
        /// The position of the missing word; the name of the step is at 0.
        position: usize,
    },
    /// A word is not a number.
    #[error("{line:?}: {word:?}: {source}")]
    NotANumber {
        /// The line.
        line: String,
        /// The word.
        word: String,
        /// The reason.
        source: ParseIntError,
    },
    /// The name of the kill point is missing.
    #[error("{line:?}: the kill point is missing")]
    MissingName {
        /// The line.
        line: String,
    },
    /// There is no step of this name.
    #[error("{line:?}: unknown step {name:?}")]
    UnknownStep {
        /// The line.
        line: String,
        /// The name.
        name: String,
    },
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Step::Cut(a, b) => write!(f, "cut {a} {b}"),
            Step::Hold(a, b) => write!(f, "hold {a} {b}"),
            Step::Delay(a, b, ms) => write!(f, "delay {a} {b} {ms}"),
            Step::Trickle(a, b, bytes) => write!(f, "trickle {a} {b} {bytes}"),
            Step::Reset(a, b, bytes) => write!(f, "reset {a} {b} {bytes}"),
            Step::HalfClose(a, b) => write!(f, "half-close {a} {b}"),
            Step::Duplicate(a, b) => write!(f, "double {a} {b}"),
            Step::Heal(a, b) => write!(f, "mend {a} {b}"),
            Step::HealAll => write!(f, "mend-all"),
            Step::Suspend(p) => write!(f, "stop {p}"),
            Step::Resume(p) => write!(f, "go-on {p}"),
            Step::Kill(p) => write!(f, "kill {p}"),
            Step::KillAt(p, point) => write!(f, "kill-at {p} {point}"),
            Step::Start(p) => write!(f, "start {p}"),
            Step::StartEmpty(p) => write!(f, "start-empty {p}"),
            Step::Await(what) => write!(f, "await {what}"),
        }
    }
}

/// The words of a line.
struct Words<'a> {
    line: &'a str,
    words: Vec<&'a str>,
}

impl<'a> Words<'a> {
    fn of(line: &'a str) -> Self {
        Self { line, words: line.split_whitespace().collect() }
    }

    fn name(&self) -> &'a str {
        self.words.first().copied().unwrap_or_default()
    }

    fn number<T: FromStr<Err = ParseIntError>>(&self, position: usize) -> Result<T, ParseStepError> {
        let line = || self.line.to_string();
        let Some(word) = self.words.get(position) else {
            return Err(ParseStepError::MissingNumber { line: line(), position });
        };
        word.parse().map_err(|source| ParseStepError::NotANumber {
            line: line(),
            word: word.to_string(),
            source,
        })
    }

    fn text(&self, position: usize) -> Result<String, ParseStepError> {
        let word = self.words.get(position).map(ToString::to_string);
        word.ok_or_else(|| ParseStepError::MissingName { line: self.line.to_string() })
    }
}

impl FromStr for Step {
    type Err = ParseStepError;

    fn from_str(line: &str) -> Result<Self, ParseStepError> {
        let words = Words::of(line);
        Ok(match words.name() {
            "cut" => Step::Cut(words.number(1)?, words.number(2)?),
            "hold" => Step::Hold(words.number(1)?, words.number(2)?),
            "delay" => Step::Delay(words.number(1)?, words.number(2)?, words.number(3)?),
            "trickle" => Step::Trickle(words.number(1)?, words.number(2)?, words.number(3)?),
            "reset" => Step::Reset(words.number(1)?, words.number(2)?, words.number(3)?),
            "half-close" => Step::HalfClose(words.number(1)?, words.number(2)?),
            "double" => Step::Duplicate(words.number(1)?, words.number(2)?),
            "mend" => Step::Heal(words.number(1)?, words.number(2)?),
            "mend-all" => Step::HealAll,
            "stop" => Step::Suspend(words.number(1)?),
            "go-on" => Step::Resume(words.number(1)?),
            "kill" => Step::Kill(words.number(1)?),
            "kill-at" => Step::KillAt(words.number(1)?, words.text(2)?),
            "start" => Step::Start(words.number(1)?),
            "start-empty" => Step::StartEmpty(words.number(1)?),
            "await" => Step::Await(words.words[1..].join(" ")),
            name => {
                return Err(ParseStepError::UnknownStep { line: line.to_string(), name: name.to_string() })
            }
        })
    }
}

/// A fault schedule. It prints as one step per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script(pub Vec<Step>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

impl FromStr for Script {
    type Err = ParseStepError;

    fn from_str(text: &str) -> Result<Self, ParseStepError> {
        text.lines()
            .filter(|line| !line.trim().is_empty())
            .map(str::parse)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

impl Script {
    /// Generates a schedule of `faults` rounds; the processes are disrupted in turn. Each round adds a random
    /// link fault and suspends or kills one process, awaits the condition, undoes both, and awaits the
    /// condition again. So at most one process is down and one link is faulty at a time.
    #[must_use]
    pub fn rotation(seed: u64, processes: usize, faults: usize, condition: &str) -> Self {
        let mut generator = FaultGenerator(Pcg64Mcg::seed_from_u64(seed));
        let mut steps = Vec::new();
        for number in 0..faults {
            let process = number % processes;
            steps.push(generator.link_fault(processes));
            let suspends = generator.below(3) == 0;
            steps.push(if suspends { Step::Suspend(process) } else { Step::Kill(process) });
            steps.push(Step::Await(condition.into()));
            steps.push(if suspends { Step::Resume(process) } else { Step::Start(process) });
            steps.push(Step::HealAll);
            steps.push(Step::Await(condition.into()));
        }
        Self(steps)
    }
}

/// Generates random faults.
struct FaultGenerator(Pcg64Mcg);

impl FaultGenerator {
    /// A random number below `limit`.
    fn below(&mut self, limit: usize) -> usize {
        (self.0.next_u64() % limit as u64) as usize
    }

    /// A random fault of a link between two different processes.
    fn link_fault(&mut self, processes: usize) -> Step {
        let from = self.below(processes);
        let distance = 1 + self.below(processes - 1);
        let to = (from + distance) % processes;
        match self.below(7) {
            0 => Step::Cut(from, to),
            1 => Step::Hold(from, to),
            2 => Step::Delay(from, to, 5 + self.below(40) as u64),
            3 => Step::Trickle(from, to, 1 + self.below(20)),
            4 => Step::Reset(from, to, self.below(2000) as u64),
            5 => Step::HalfClose(from, to),
            _ => Step::Duplicate(from, to),
        }
    }
}
