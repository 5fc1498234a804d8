//! The events of a run.

use dahliaspoke::policy::{EngineEntry, Lifecycle, Outcome, Progress};

/// One event of the model. Coordinators, engines, requests, submissions and attempts are identified by
/// position.
pub(super) enum ModelEvent {
    /// The next request of a coordinator's clients arrives.
    RequestArrives { coordinator: usize },
    /// A client submits its request, for the first time or as a retry.
    ClientSubmits { request: usize },
    /// An attempt reaches its engine.
    AttemptArrives { attempt: usize },
    /// The outcome of an attempt reaches its coordinator.
    AttemptEnds { attempt: usize, outcome: Outcome },
    /// A coordinator stops waiting for an attempt.
    AttemptTimesOut { attempt: usize },
    /// A cancellation reaches the engine.
    CancelArrives { attempt: usize },
    /// A changed priority reaches the engine.
    PriorityArrives { attempt: usize, priority: u8 },
    /// Queries may have finished on an engine; ignored if the engine has changed since `version`.
    EngineAdvances { engine: usize, version: u64 },
    /// All engines refresh their load reports.
    LoadReports,
    /// All engines report the progress of their queries.
    ProgressReports,
    /// Progress of an attempt reaches its coordinator.
    ProgressArrives { attempt: usize, progress: Progress },
    /// The state that the oracle policy sees is refreshed.
    OracleRefresh,
    /// A timer of a coordinator's policy expires.
    PolicyTimer { coordinator: usize, incarnation: u32, token: u64 },
    /// Discovery notifies a coordinator of a changed engine.
    EngineNotified { coordinator: usize, incarnation: u32, entry: Box<EngineEntry> },
    /// The deadline of a submission, with some slack, has passed.
    SubmissionExpires { submission: usize },
    /// A crashed coordinator restarts.
    CoordinatorRestarts { coordinator: usize },
    /// A fault of the scenario starts or ends.
    FaultChanges { fault: usize, begins: bool },
    /// The next step of a replacement: an engine starts to drain, is removed, or is ready again.
    ReplacementStep { engine: usize, lifecycle: Lifecycle },
}
