//! The state of coordinators, requests and attempts in a run.

use crate::policy::Policy;
use crate::Micros;

/// Connections of a coordinator to one engine.
#[derive(Clone, Copy, Default)]
pub(super) struct Connections {
    /// Connections that are open.
    pub open: u32,
    /// Those of them that carry an attempt.
    pub in_use: u32,
}

/// A coordinator.
pub(super) struct Coordinator {
    /// Its zone, by number.
    pub zone: usize,
    /// What decides for it.
    pub policy: Box<dyn Policy>,
    /// How often it has crashed: events of an earlier incarnation are void.
    pub incarnation: u32,
    /// Whether it runs.
    pub up: bool,
    /// Requests of its clients (1/s).
    pub rate: f64,
    /// Factor on the rate, during a burst.
    pub burst: f64,
    /// Its connections, by engine.
    pub connections: Vec<Connections>,
    /// Submissions that it has accepted in this incarnation.
    pub submissions: Vec<usize>,
}

/// What a client wants, however often it submits it.
pub(super) struct Request {
    /// Position of its class in the scenario.
    pub class: usize,
    /// When it arrived.
    pub arrived: Micros,
    /// When its client gives up for good.
    pub deadline: Micros,
    /// Work (ms of one thread).
    pub work: f64,
    /// Memory that it needs (MB).
    pub memory: f64,
    /// What its client declares of the work (ms).
    pub estimate: f64,
    /// The group of tables that it reads or loads.
    pub table_group: i64,
    /// How often it was submitted.
    pub submissions: u32,
    /// Whether it has ended.
    pub over: bool,
    /// The coordinator that its client prefers.
    pub home: usize,
    /// Whether its client honours Retry-After.
    pub honours_retry_after: bool,
}

/// A request as it was submitted once to one coordinator.
pub(super) struct Submission {
    /// The request.
    pub request: usize,
    /// The coordinator.
    pub coordinator: usize,
    /// The incarnation of the coordinator that accepted it.
    pub incarnation: u32,
    /// By when it must be answered.
    pub deadline: Micros,
    /// Whether it has its final answer, or needs none any more.
    pub over: bool,
    /// Memory that its attempts are granted (MB).
    pub memory_grant: Option<f64>,
    /// Priority of its attempts, 0 to 3.
    pub priority: u8,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<usize>,
}

/// One try to run a submission on one engine.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// The submission.
    pub submission: usize,
    /// Its number among the attempts of the submission, from 0.
    pub number: u32,
    /// The engine.
    pub engine: usize,
    /// Whether its coordinator still waits for its end.
    pub out: bool,
}
