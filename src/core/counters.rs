//! Counts of what came in, went out and was answered.

use dahliaspoke::policy::Outcome;
use std::fmt;

/// Answers to the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Counters {
    pub taken: u64,
    /// By class, as the settings have them.
    pub answers: Vec<Answers>,
    pub withdrawn: u64,
    pub bad: u64,
    pub sends: u64,
    pub notes: u64,
    pub ok: u64,
    pub error: u64,
    pub full: u64,
    pub timeout: u64,
    pub unreachable: u64,
    pub reset: u64,
    pub cancelled: u64,
    pub moot: u64,
    pub unsent: u64,
}

impl Counters {
    pub fn ended(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Ok => &mut self.ok,
            Outcome::Error => &mut self.error,
            Outcome::Full => &mut self.full,
            Outcome::Timeout => &mut self.timeout,
            Outcome::Unreachable => &mut self.unreachable,
            Outcome::Reset => &mut self.reset,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::Expired => &mut self.moot,
            Outcome::Unsent => &mut self.unsent,
        } += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let sum = |of: fn(&Answers) -> u64| self.answers.iter().map(of).sum::<u64>();
        write!(
            f,
            "taken={} served={} refused={} failed={} withdrawn={} bad={} sends={} notes={}",
            self.taken,
            sum(|a| a.served),
            sum(|a| a.refused),
            sum(|a| a.failed),
            self.withdrawn,
            self.bad,
            self.sends,
            self.notes
        )?;
        write!(
            f,
            " ok={} error={} full={} timeout={} unreachable={} reset={} cancelled={} moot={} unsent={}",
            self.ok,
            self.error,
            self.full,
            self.timeout,
            self.unreachable,
            self.reset,
            self.cancelled,
            self.moot,
            self.unsent
        )
    }
}
