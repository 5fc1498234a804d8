//! Attempts, their outcomes, and what upstreams and the core report to each other.

use super::request::{QueryPayload, ResultParts};
use crate::net::Time;
use dahliaspoke::policy::{EngineId, LoadReport, Outcome, Progress, RequestId};

/// An attempt that an upstream is to run.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The engine that is to run it.
    pub engine: EngineId,
    /// When the core stops waiting for its end.
    pub deadline: Time,
    /// When its first byte must have gone out, or it is not sent at all.
    pub send_deadline: Time,
    /// Memory granted (MB); `None` leaves it to the engine.
    pub memory: Option<f64>,
    /// Priority, 0 to 3; 3 is the most urgent.
    pub priority: u8,
    /// What the engine is to run.
    pub payload: QueryPayload,
}

/// How an upstream saw an attempt end.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// Served, with the result.
    Served(ResultParts),
    /// The engine reported that it failed.
    Error,
    /// The engine rejected it before it ran, or there was no connection left for it.
    Full,
    /// The engine's machine refused the connection.
    ConnectionRefused,
    /// No byte of it went out in time.
    Unsent,
    /// The connection broke after a byte of it went out.
    Reset,
    /// The engine reports that its time was over before it could run.
    Expired,
}

impl AttemptOutcome {
    /// The outcome as the policy knows it, without the result.
    pub(super) fn for_policy(&self) -> Outcome {
        match self {
            Self::Served(_) => Outcome::Ok,
            Self::Error => Outcome::Error,
            Self::Full => Outcome::Full,
            Self::ConnectionRefused => Outcome::Unreachable,
            Self::Unsent => Outcome::Unsent,
            Self::Reset => Outcome::Reset,
            Self::Expired => Outcome::Expired,
        }
    }
}

/// What an engine reported with an attempt's end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptReport {
    /// Work that the query needed (ms of one thread, at least 0).
    pub work: Option<f64>,
    /// Memory that the query needed (MB, at least 0).
    pub memory: Option<f64>,
    /// The engine's load.
    pub load: Option<LoadReport>,
}

/// What upstreams report to the core.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// An attempt has ended.
    AttemptEnd {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: AttemptOutcome,
        /// What the engine reported with it.
        report: AttemptReport,
    },
    /// A running attempt reported of itself.
    Progress {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// What it reported.
        progress: Progress,
    },
}

impl UpstreamEvent {
    /// The end of an attempt of which the engine reported nothing.
    pub fn ended(id: &RequestId, attempt: u32, outcome: AttemptOutcome) -> Self {
        Self::AttemptEnd { id: id.clone(), attempt, outcome, report: AttemptReport::default() }
    }
}

/// Runs attempts on engines. The core calls all of it.
pub trait Upstream {
    /// Starts an attempt, when the policy asks to send one. Its end is reported once, by [`UpstreamEvent::AttemptEnd`],
    /// unless it is abandoned.
    fn start(&mut self, now: Time, attempt: Attempt);

    /// Gives a running attempt up, when it timed out or the policy cancels it; nothing more is reported of it. Returns
    /// whether no byte of it has gone out.
    fn abandon(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool;

    /// Changes the priority of a running attempt, when the policy sets another for its request.
    fn set_priority(&mut self, now: Time, id: &RequestId, attempt: u32, priority: u8);

    /// How many attempts have gone out complete since the start, for statistics.
    fn sent_attempts(&self) -> u64;
}
