//! Attempts, their outcomes, and the interface between the core and upstreams.

use super::request::{QueryPayload, ResultParts};
use crate::net::Time;
use dahliaspoke::policy::{EngineId, LoadReport, Outcome, Progress, RequestId};

/// An attempt for an upstream to run.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// The engine to run it on.
    pub engine: EngineId,
    /// When the core times it out.
    pub deadline: Time,
    /// Latest time for its first byte to be sent; after that, the attempt is not sent at all.
    pub send_deadline: Time,
    /// Memory granted (MB); `None` leaves it to the engine.
    pub memory: Option<f64>,
    /// Priority, 0 to 3; 3 is the most urgent.
    pub priority: u8,
    /// The query to run.
    pub payload: QueryPayload,
}

/// The outcome of an attempt, as seen by the upstream.
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
    /// None of its bytes were sent in time.
    Unsent,
    /// The connection broke after at least one of its bytes was sent.
    Reset,
    /// The engine reported that its time had run out before it could run.
    Expired,
}

impl AttemptOutcome {
    /// The corresponding policy outcome, without the result.
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

/// What an engine reported at the end of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptReport {
    /// Work that the query needed (ms of one thread, at least 0).
    pub work: Option<f64>,
    /// Memory that the query needed (MB, at least 0).
    pub memory: Option<f64>,
    /// The engine's load.
    pub load: Option<LoadReport>,
}

/// An event that an upstream reports to the core.
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
    /// A running attempt reported its progress.
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
    /// The end of an attempt without a report from the engine.
    pub fn ended(id: &RequestId, attempt: u32, outcome: AttemptOutcome) -> Self {
        Self::AttemptEnd { id: id.clone(), attempt, outcome, report: AttemptReport::default() }
    }
}

/// Runs attempts on engines. All methods are called by the core.
pub trait Upstream {
    /// Starts an attempt that the policy decided to send. Its end is reported exactly once, by
    /// [`UpstreamEvent::AttemptEnd`], unless it is abandoned.
    fn start(&mut self, now: Time, attempt: Attempt);

    /// Abandons a running attempt that timed out or that the policy cancelled; nothing more is reported about
    /// it. Returns whether none of its bytes were sent.
    fn abandon(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool;

    /// Changes the priority of a running attempt, after the policy changed that of its request.
    fn set_priority(&mut self, now: Time, id: &RequestId, attempt: u32, priority: u8);

    /// Number of attempts that were sent completely since the start, for statistics.
    fn sent_attempts(&self) -> u64;
}
