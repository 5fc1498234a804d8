//! Counts of requests, attempts and answers since the start.

use super::Answer;
use dahliaspoke::policy::Outcome;
use std::fmt;

/// Answers to the requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    /// Served.
    pub served: u64,
    /// Rejected: nothing ran; printed as `refused`.
    pub rejected: u64,
    /// Failed: it may have run.
    pub failed: u64,
}

impl Answers {
    pub(super) fn count(&mut self, answer: &Answer) {
        *match answer {
            Answer::Served(_) => &mut self.served,
            Answer::Rejected(_) => &mut self.rejected,
            Answer::Failed => &mut self.failed,
        } += 1;
    }
}

/// All counts, printed under the names that the operators' tools read.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Requests received, and calls rejected before they became requests; printed as `taken`.
    pub received: u64,
    /// By class, in the order of the settings.
    pub answers: Vec<Answers>,
    /// Requests whose client disconnected before they were answered.
    pub withdrawn: u64,
    /// Calls that could not be decoded.
    pub bad: u64,
    /// Attempts that upstreams were asked to start.
    pub sends: u64,
    /// Progress reports of running attempts; printed as `notes`.
    pub progress_reports: u64,
    /// Attempts that were served.
    pub ok: u64,
    /// Attempts that the engine reported as failed.
    pub error: u64,
    /// Attempts that were rejected before they ran.
    pub full: u64,
    /// Attempts that were not answered in time.
    pub timeout: u64,
    /// Attempts whose connection was refused.
    pub unreachable: u64,
    /// Attempts whose connection broke.
    pub reset: u64,
    /// Attempts that the policy cancelled.
    pub cancelled: u64,
    /// Attempts that expired before they could run, or whose request was already closed; printed as `moot`.
    pub expired: u64,
    /// Attempts of which no byte was sent in time.
    pub unsent: u64,
}

impl Counters {
    pub(super) fn count_attempt(&mut self, outcome: Outcome) {
        *match outcome {
            Outcome::Ok => &mut self.ok,
            Outcome::Error => &mut self.error,
            Outcome::Full => &mut self.full,
            Outcome::Timeout => &mut self.timeout,
            Outcome::Unreachable => &mut self.unreachable,
            Outcome::Reset => &mut self.reset,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::Expired => &mut self.expired,
            Outcome::Unsent => &mut self.unsent,
        } += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let sum = |count: fn(&Answers) -> u64| self.answers.iter().map(count).sum::<u64>();
        write!(
            f,
            "taken={} served={} refused={} failed={} withdrawn={} bad={} sends={} notes={}",
            self.received,
            sum(|answers| answers.served),
            sum(|answers| answers.rejected),
            sum(|answers| answers.failed),
            self.withdrawn,
            self.bad,
            self.sends,
            self.progress_reports
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
            self.expired,
            self.unsent
        )
    }
}
