//! What the module is told and what it may ask for. Types only: nothing here decides anything.
//!
//! Times are seconds on the caller's clock, work is milliseconds of one thread, memory is megabytes.

use std::sync::Arc;

/// A request's identity, opaque and never reused while an instance lives.
pub type RequestId = Arc<str>;
/// An engine's identity, opaque; it survives a restart of the engine's process.
pub type EngineId = Arc<str>;

/// How far a class may be repeated once an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Always,
    /// Repeats are dropped inside a group of engines, for a while.
    WithKey,
    /// Must never run twice.
    Never,
}

/// The engines that drop a keyed request's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines together.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Full worth is earned within this many seconds plus `objective_stretch` times work over threads.
    pub latency_objective: f64,
    /// See `latency_objective`.
    pub objective_stretch: f64,
    /// Seconds that a client waits in all.
    pub client_timeout: f64,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth still earned after the aim.
    pub late_weight: f64,
    /// How it may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: who drops repeats.
    pub dedup_scope: DedupScope,
    /// For keyed classes: how long repeats are dropped, from the first send that may have run (seconds).
    pub dedup_window: f64,
    /// Requests with one key run one at a time, in order.
    pub ordered: bool,
    /// The answer is a stream.
    pub stream: bool,
    /// The only zones it may go to, if it is bound.
    pub zones: Option<Vec<String>>,
    /// The only kinds of engine it may go to, if it is bound.
    pub kinds: Option<Vec<String>>,
    /// Threads that one query runs on.
    pub threads: f64,
    /// It holds its table group on its engine while it runs.
    pub is_load: bool,
    /// It stands still while a load holds its table group there.
    pub yields_to_loads: bool,
}

/// One kind of engine.
#[derive(Clone, Debug)]
pub struct KindSettings {
    /// Its name.
    pub name: String,
    /// Cores of one engine.
    pub cores: f64,
    /// Memory of one engine (MB); 0 where it is not told.
    pub memory: f64,
}

/// A tenant with a right to a share of the service.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// Its name.
    pub name: String,
    /// Requests a second over all gateways that count as within its share.
    pub quota_per_s: f64,
}

/// A budget for attempts beyond each request's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Attempts that are always allowed in a window.
    pub min_attempts: f64,
    /// Attempts allowed per request taken in the window.
    pub attempts_per_request: f64,
    /// The window (seconds).
    pub window: f64,
}

/// All that a gateway is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes; a query names its class by position here.
    pub classes: Vec<ClassSettings>,
    /// Kinds of engine.
    pub kinds: Vec<KindSettings>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// How many gateways share the engines.
    pub gateways: f64,
    /// The number of this gateway among them, from 0.
    pub index: f64,
    /// The zone of this gateway.
    pub zone: String,
    /// Points that a send to another zone costs, in requests served.
    pub cross_zone_cost: f64,
    /// The same for a new connection to an engine.
    pub handshake_cost: f64,
    /// The list must be subscribed to.
    pub must_subscribe: bool,
    /// Attempts may be cancelled, which frees what they held.
    pub may_cancel: bool,
    /// Two attempts of one request may be out together.
    pub may_hedge: bool,
    /// Refusals may carry a come-back time, of so many seconds at most.
    pub retry_after: Option<f64>,
    /// Priorities are heeded.
    pub priorities: bool,
    /// The memory that a query is granted may be set.
    pub grants: bool,
    /// Successful outcomes tell the work and memory that the query needed.
    pub reports_cost: bool,
    /// Attempts that one request may have.
    pub max_attempts: u32,
    /// Shortest time between two batches of events (seconds).
    pub tick: f64,
    /// A starting engine has at least this share of its capacity.
    pub initial_capacity_share: f64,
    /// A starting engine is warm after so many seconds.
    pub warmup_time: f64,
    /// More than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for so many seconds pushes a cold engine over.
    pub overload_window: f64,
    /// Rest of a key after an attempt that may still run (seconds).
    pub order_settle: f64,
    /// Budget for further attempts, if there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// Life cycle of an engine as the list tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Takes queries.
    #[default]
    Ready,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// One engine in the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineEntry {
    /// Identity.
    pub id: EngineId,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its kind.
    pub kind: Arc<str>,
    /// Its cell.
    pub cell: i64,
    /// Life cycle.
    pub lifecycle: Lifecycle,
    /// Clock time of its last start, if not long ago.
    pub started: Option<f64>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list that this instance held before its restart; may be stale.
    Restored,
}

/// An engine's load report; a field that is not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the cores in use.
    pub util: Option<f64>,
    /// Queries that wait for memory.
    pub queue: Option<f64>,
    /// Share of memory granted.
    pub memory: Option<f64>,
    /// Share of the disks that is busy.
    pub disk: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The engine returned an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No timely answer; it may run on.
    Timeout,
    /// Its machine refused the connection, or no connection was to be had.
    Unreachable,
    /// No byte of it went out in time: no connection came up, or none took it. Its process may be as it was.
    Unsent,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Expired,
}

impl Outcome {
    /// Whether it proves that the attempt never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Unsent | Outcome::Expired)
    }
}

/// A query taken from a client.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Identity.
    pub id: RequestId,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: Option<usize>,
    /// Key of classes that run in order.
    pub key: Option<Arc<str>>,
    /// Seconds until the client gives up.
    pub time_left: f64,
    /// Estimated work (ms of one thread), if told.
    pub work: Option<f64>,
    /// Estimated memory (MB), if told.
    pub memory: Option<f64>,
    /// Group of tables that it reads or writes.
    pub tables: i64,
    /// Its body is passed on as it comes from the client: how long an attempt takes says nothing of an
    /// engine.
    pub uploading: bool,
}

/// How an attempt ended, and what came along.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Nothing is owed for the request any more.
    pub finished: bool,
    /// Work that the query needed (ms of one thread), where told.
    pub work: Option<f64>,
    /// Memory that the query needed (MB), where told.
    pub memory: Option<f64>,
    /// The engine's load report, where one came along.
    pub report: Option<LoadReport>,
}

/// News of an attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The share done, roughly.
    Done(f64),
    /// It spills to disk: so many MB are missing.
    Spills(f64),
    /// It stands in the engine's line for memory.
    WaitsForMemory,
    /// It waits for a load to end.
    WaitsForLoad,
}

/// What the gateway is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the engine list.
    EngineList(ListScope, Vec<EngineEntry>),
    /// A call to the list failed, or the subscription broke.
    DiscoveryFailed,
    /// A client's query; it is owed one final answer.
    Query(Query),
    /// A stream has started; from here it is the client's.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// The request's body is gone: no further attempt can be sent.
    BodyDropped {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// News of an attempt that is out.
    Progress {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// What is told.
        progress: Progress,
    },
    /// The client has gone; nothing is owed any more.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer has come due.
    Timer(u64),
    /// The gateway ends before its requests do: none may stay without an answer.
    Shutdown,
    /// Other settings count from here on, with the same classes in the same order. What was learnt stays,
    /// and so do
    /// the deadlines of what is open.
    Settings(Box<Settings>),
}

/// What the gateway asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        engine: EngineId,
        /// Time-out in seconds; `None`: until the client gives up.
        timeout: Option<f64>,
        /// Seconds within which its first byte has to go out, or it is not sent at all; `None`: as the
        /// time-out.
        within: Option<f64>,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: not served, and asking again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Seconds after which the client should come back.
        retry_after: Option<f64>,
    },
    /// Final answer: not served, nothing promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Memory and priority of the request's attempts from here on.
    SetTerms {
        /// The request.
        id: RequestId,
        /// Memory to grant (MB); `None` leaves it to the engine.
        memory: Option<f64>,
        /// Priority, 0 to 3; 3 is the most urgent.
        rank: u8,
    },
    /// Ask for a `Timer` event.
    SetTimer {
        /// Seconds from now.
        after: f64,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to the engine list.
    Subscribe,
    /// A line for the operator.
    Log(String),
}
