//! Histories of calls and answers, and a check that they are linearizable: Wing and Gong's search with Lowe's
//! memoization of configurations that were already tried (Testing for linearizability, 2017).

mod register;
mod search;

pub use search::is_linearizable;

use std::time::Instant;

/// The content of a register: the version of the last write, and its value. `None` if it was never written.
pub type RegisterValue = Option<(u64, String)>;

/// A call on one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Reads it.
    Read,
    /// Writes it.
    Write(String),
    /// Writes it if it has this version (0: if it is empty).
    CompareAndSwap(u64, String),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// What a read returned.
    Value(RegisterValue),
    /// A write succeeded and gave the register this version.
    Written(u64),
    /// The compare-and-swap failed: the register has a version other than the expected one.
    VersionMismatch,
}

/// One call of one client. All times are read from the same clock.
#[derive(Clone, Debug)]
pub struct Operation {
    /// When it was called.
    pub called: u64,
    /// When it was answered, and the answer; `None` if it is unknown whether it was executed.
    pub answered: Option<(u64, Answer)>,
    /// The call.
    pub call: Call,
}

impl Operation {
    /// When it was answered; `u64::MAX` if it has no answer.
    fn answered_at(&self) -> u64 {
        self.answered.as_ref().map_or(u64::MAX, |(at, _)| *at)
    }

    fn answer(&self) -> Option<&Answer> {
        self.answered.as_ref().map(|(_, answer)| answer)
    }
}

/// A clock for the times of a history, shared by all clients.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Self(Instant::now())
    }
}

impl Clock {
    /// Nanoseconds since its start.
    #[must_use]
    pub fn now(&self) -> u64 {
        self.0.elapsed().as_nanos() as u64
    }
}
