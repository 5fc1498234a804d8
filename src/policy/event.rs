//! Events: the inputs of a [`Policy`](super::Policy).
//!
//! Times are in seconds on the caller's clock, work in milliseconds of one thread, memory in megabytes.

use super::Settings;
use std::sync::Arc;

/// Identity of a request: opaque, never reused during the lifetime of a coordinator's process.
pub type RequestId = Arc<str>;
/// Identity of an engine: opaque, the same after a restart of the engine's process.
pub type EngineId = Arc<str>;

/// Lifecycle state of an engine as reported by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its requests and accepts no more.
    Draining,
    /// Removed.
    Gone,
}

/// An engine as reported by discovery.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Identity of the engine.
    pub id: EngineId,
    /// Zone of the engine.
    pub zone: Arc<str>,
    /// Kind of the engine, by name.
    pub kind: Arc<str>,
    /// Cell of the engine inside its zone.
    pub cell: i64,
    /// Lifecycle state.
    pub lifecycle: Lifecycle,
    /// Time of its last start, if recent (seconds on the caller's clock).
    pub started: Option<f64>,
}

/// Which part of the engine list the entries of an [`Event::EngineList`] are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list as known to this coordinator before its restart; may be stale.
    Restored,
}

/// Load as reported by an engine; values that are not reported are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the cores in use (0 to 1).
    pub util: Option<f64>,
    /// Number of requests that wait for memory.
    pub queue: Option<f64>,
    /// Share of the memory that is granted (0 to 1).
    pub memory: Option<f64>,
    /// Share of the disks that is busy (0 to 1).
    pub disk: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served.
    Ok,
    /// The engine returned an error; the attempt may have run.
    Error,
    /// The engine was full and refused the attempt without processing it.
    Full,
    /// No answer in time; the attempt may still be running.
    Timeout,
    /// The engine's machine refused the connection, or no connection could be opened.
    Unreachable,
    /// No byte was sent in time: no connection was established, or none accepted the attempt. This does not
    /// show whether the engine's process is running.
    Unsent,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent: no time was left.
    Expired,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Unsent | Outcome::Expired)
    }
}

/// State of the lock that a request needs on its key among the processes that serve the same clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OrderLock {
    /// No other process serves the same clients, or the request is not ordered.
    #[default]
    NotShared,
    /// Requests in other processes come first.
    Waiting,
    /// The request may run as far as other processes are concerned.
    Held,
}

/// A query of a client.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Identity of the request.
    pub id: RequestId,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: Option<usize>,
    /// Key of requests that run in order.
    pub key: Option<Arc<str>>,
    /// State of the lock on its key.
    pub order_lock: OrderLock,
    /// Time until the client gives up (seconds).
    pub time_left: f64,
    /// Estimated work (ms of one thread), if known.
    pub work: Option<f64>,
    /// Estimated memory (MB), if known.
    pub memory: Option<f64>,
    /// Group of tables that it reads or writes.
    pub tables: i64,
    /// Whether its body is passed through, that is, forwarded while the client is still sending it: the delay
    /// of an attempt is then no measure of the engine.
    pub uploading: bool,
}

/// The end of an attempt and the values reported with it.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the client has its final answer.
    pub finished: bool,
    /// Work that the query needed (ms of one thread), where reported.
    pub work: Option<f64>,
    /// Memory that the query needed (MB), where reported.
    pub memory: Option<f64>,
    /// Load of the engine, where reported.
    pub report: Option<LoadReport>,
}

/// Progress that an attempt in flight reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Share of the work that is done (0 to 1, roughly).
    Done(f64),
    /// It spills to disk for lack of memory; the value is the missing amount (MB).
    Spills(f64),
    /// It waits in the engine's queue for memory.
    WaitsForMemory,
    /// It waits for a load that locks its tables.
    WaitsForLoad,
}

/// An input to a policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// The set of engines, or changes to it.
    EngineList(ListScope, Vec<EngineEntry>),
    /// A call to discovery failed, or the subscription broke.
    DiscoveryFailed,
    /// A query of a client, which must get exactly one final answer.
    Query(Query),
    /// The answer has started to stream to the client: no further attempt is possible.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// The body of the request is no longer stored: no further attempt is possible.
    BodyDropped {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// An attempt in flight reported its progress.
    Progress {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// What it reported.
        progress: Progress,
    },
    /// A request that waited for the lock on its key holds it now.
    OrderLockAcquired {
        /// The request.
        id: RequestId,
    },
    /// The client has disconnected: no answer is needed any more.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer has expired; the value is its token.
    Timer(u64),
    /// The coordinator is shutting down: every open request gets its final answer now.
    Shutdown,
    /// New settings, with the same classes in the same order. Learned statistics and the deadlines of open
    /// requests are kept.
    Settings(Box<Settings>),
}
