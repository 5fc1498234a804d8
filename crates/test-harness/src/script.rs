//! Faults from a seed. A script prints itself; the print plays again.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;
use std::str::FromStr;

/// One thing that is done to the fleet. Processes go by position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ends the link from the first to the second, and lets none come up.
    Cut(usize, usize),
    /// Holds what the first says to the second, both on the links that it opens and on those it was opened.
    Hold(usize, usize),
    /// Each byte comes so much later (ms).
    Delay(usize, usize, u64),
    /// So many bytes a millisecond.
    Trickle(usize, usize, usize),
    /// A reset after so many more bytes.
    Reset(usize, usize, u64),
    /// What the first says ends there; the other direction goes on.
    HalfClose(usize, usize),
    /// From the next connection on, all that the first says comes twice.
    Double(usize, usize),
    /// Takes the link's faults away, both directions.
    Mend(usize, usize),
    /// Takes the faults of all links away.
    MendAll,
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    GoOn(usize),
    /// SIGKILL.
    Kill(usize),
    /// SIGKILL, and a start at which it kills itself at that point.
    KillAt(usize, String),
    /// Starts it where it does not run.
    Start(usize),
    /// The same without its disk.
    StartEmpty(usize),
    /// Waits for a condition of that name; what it means is the test's to say.
    Await(String),
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
            Step::Double(a, b) => write!(f, "double {a} {b}"),
            Step::Mend(a, b) => write!(f, "mend {a} {b}"),
            Step::MendAll => write!(f, "mend-all"),
            Step::Stop(p) => write!(f, "stop {p}"),
            Step::GoOn(p) => write!(f, "go-on {p}"),
            Step::Kill(p) => write!(f, "kill {p}"),
            Step::KillAt(p, point) => write!(f, "kill-at {p} {point}"),
            Step::Start(p) => write!(f, "start {p}"),
            Step::StartEmpty(p) => write!(f, "start-empty {p}"),
            Step::Await(what) => write!(f, "await {what}"),
        }
    }
}

impl FromStr for Step {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let number = |at: usize| -> Result<u64, String> {
            let word = words.get(at).ok_or_else(|| format!("{line:?}: word {at} is missing"))?;
            word.parse().map_err(|e| format!("{line:?}: {word:?}: {e}"))
        };
        let n = |at: usize| number(at).map(|n| n as usize);
        let word = |at: usize| words.get(at).map(ToString::to_string).ok_or(format!("{line:?}: too short"));
        Ok(match words.first().copied().unwrap_or_default() {
            "cut" => Step::Cut(n(1)?, n(2)?),
            "hold" => Step::Hold(n(1)?, n(2)?),
            "delay" => Step::Delay(n(1)?, n(2)?, number(3)?),
            "trickle" => Step::Trickle(n(1)?, n(2)?, n(3)?),
            "reset" => Step::Reset(n(1)?, n(2)?, number(3)?),
            "half-close" => Step::HalfClose(n(1)?, n(2)?),
            "double" => Step::Double(n(1)?, n(2)?),
            "mend" => Step::Mend(n(1)?, n(2)?),
            "mend-all" => Step::MendAll,
            "stop" => Step::Stop(n(1)?),
            "go-on" => Step::GoOn(n(1)?),
            "kill" => Step::Kill(n(1)?),
            "kill-at" => Step::KillAt(n(1)?, word(2)?),
            "start" => Step::Start(n(1)?),
            "start-empty" => Step::StartEmpty(n(1)?),
            "await" => Step::Await(words[1..].join(" ")),
            other => return Err(format!("{line:?}: no step is called {other:?}")),
        })
    }
}

/// Steps, one a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script(pub Vec<Step>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.iter().try_for_each(|step| writeln!(f, "{step}"))
    }
}

impl FromStr for Script {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        text.lines()
            .filter(|line| !line.trim().is_empty())
            .map(str::parse)
            .collect::<Result<_, _>>()
            .map(Self)
    }
}

impl Script {
    /// Draws so many troubles among that many processes. At most one process is away and one link at fault at a time;
    /// between each and its end the condition is awaited, and so it is after.
    #[must_use]
    pub fn rotation(seed: u64, processes: usize, troubles: usize, condition: &str) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut below = |n: usize| (rng.next_u64() % n as u64) as usize;
        let mut steps = Vec::new();
        for turn in 0..troubles {
            let victim = turn % processes;
            let (a, b) = (below(processes), 1 + below(processes - 1));
            let b = (a + b) % processes;
            steps.push(match below(7) {
                0 => Step::Cut(a, b),
                1 => Step::Hold(a, b),
                2 => Step::Delay(a, b, 5 + below(40) as u64),
                3 => Step::Trickle(a, b, 1 + below(20)),
                4 => Step::Reset(a, b, below(2000) as u64),
                5 => Step::HalfClose(a, b),
                _ => Step::Double(a, b),
            });
            let stops = below(3) == 0;
            steps.push(if stops { Step::Stop(victim) } else { Step::Kill(victim) });
            steps.push(Step::Await(condition.into()));
            steps.push(if stops { Step::GoOn(victim) } else { Step::Start(victim) });
            steps.push(Step::MendAll);
            steps.push(Step::Await(condition.into()));
        }
        Self(steps)
    }
}
