//! Histories of calls and answers, and whether one order of all calls explains the answers: linearizability, by Wing and
//! Gong's search with Lowe's memory of what was tried (Testing for linearizability, 2017).

mod register;
mod search;

pub use search::is_linearizable;

use std::time::Instant;

/// What a register holds: the version of the last write, and a value.
pub type RegisterValue = Option<(u64, String)>;

/// A call on one register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Call {
    /// Read it.
    Read,
    /// Write it.
    Write(String),
    /// Write it if it still has that version (0: if it holds nothing).
    CompareAndSwap(u64, String),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// What a read returned.
    Value(RegisterValue),
    /// A write succeeded; the register has this version now.
    Written(u64),
    /// The register has another version than the expected one.
    VersionMismatch,
}

/// One call of one client. Times are on one clock.
#[derive(Clone, Debug)]
pub struct Operation {
    /// When it was called.
    pub called: u64,
    /// When it was answered, and how; `None` where it is not known whether it was executed.
    pub answered: Option<(u64, Answer)>,
    /// The call.
    pub call: Call,
}

impl Operation {
    /// When it was answered; never, for one without an answer.
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
