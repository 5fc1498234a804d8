//! The state of coordinators, requests and attempts in a run.

use crate::policy::Policy;
use crate::Micros;

/// Connections of a coordinator to one engine.
#[derive(Clone, Copy, Default)]
pub(super) struct Connections {
    /// Number of open connections.
    pub open: u32,
    /// Number of open connections with an attempt in flight.
    pub in_use: u32,
}

/// A coordinator.
pub(super) struct Coordinator {
    /// Its zone, by number.
    pub zone: usize,
    /// The policy that makes its decisions.
    pub policy: Box<dyn Policy>,
    /// Number of crashes so far; events for an earlier incarnation are ignored.
    pub incarnation: u32,
    /// Whether it is running.
    pub up: bool,
    /// Request rate of its clients (1/s).
    pub rate: f64,
    /// Factor on the rate; above 1 during a burst.
    pub burst: f64,
    /// Its connections, by engine.
    pub connections: Vec<Connections>,
    /// Submissions that it has accepted in this incarnation.
    pub submissions: Vec<usize>,
}

/// A request of a client, which may submit it several times.
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
    /// Work that its client declares (ms).
    pub estimate: f64,
    /// The group of tables that it reads or loads.
    pub table_group: i64,
    /// Number of submissions.
    pub submissions: u32,
    /// Whether it has ended.
    pub ended: bool,
    /// The coordinator that its client prefers.
    pub home: usize,
    /// Whether its client honours Retry-After.
    pub honours_retry_after: bool,
}

/// One submission of a request to one coordinator.
pub(super) struct Submission {
    /// The request.
    pub request: usize,
    /// The coordinator.
    pub coordinator: usize,
    /// The incarnation of the coordinator that accepted it.
    pub incarnation: u32,
    /// Time by which it must be answered.
    pub deadline: Micros,
    /// Whether it has its final answer or no longer needs one.
    pub ended: bool,
    /// Memory that its attempts are granted (MB).
    pub memory_grant: Option<f64>,
    /// Priority of its attempts, 0 to 3.
    pub priority: u8,
    /// Its attempts, in the order in which they were sent.
    pub attempts: Vec<usize>,
}

/// One attempt to run a submission on one engine.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// The submission.
    pub submission: usize,
    /// Its number among the attempts of the submission, from 0.
    pub number: u32,
    /// The engine.
    pub engine: usize,
    /// Whether its coordinator still waits for its outcome.
    pub in_flight: bool,
}
