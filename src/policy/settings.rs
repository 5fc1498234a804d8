//! The settings of one coordinator: request classes, engine kinds, tenants and limits.
//!
//! Times are in seconds, work in milliseconds of one thread, memory in megabytes.

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Always,
    /// Engines of the dedup scope drop repeats within the dedup window.
    WithKey,
    /// The request must never run twice.
    Never,
}

/// The engines among which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell of a zone.
    Cell,
}

/// A class of requests: latency objective, weight, and rules on attempts.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// Name of the class.
    pub name: String,
    /// Constant part of the latency objective (seconds). The objective is this plus `objective_stretch`
    /// times the service time, which is the time that a request takes on an otherwise idle engine. A
    /// request served within the objective earns its full weight.
    pub latency_objective: f64,
    /// Part of the latency objective that grows with the service time (ratio).
    pub objective_stretch: f64,
    /// How long a client waits in total (seconds).
    pub client_timeout: f64,
    /// What a request is worth when served within the latency objective (points).
    pub priority_weight: f64,
    /// Share of the priority weight that a request earns when served after the latency objective (0 to 1).
    pub late_weight: f64,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// For [`Idempotency::WithKey`]: the engines that drop repeats.
    pub dedup_scope: DedupScope,
    /// For [`Idempotency::WithKey`]: how long repeats are dropped, from the first attempt that may have run
    /// (seconds).
    pub dedup_window: f64,
    /// Whether requests with the same key run one at a time, in the order of arrival.
    pub ordered: bool,
    /// Whether the answer is a stream.
    pub stream: bool,
    /// The only zones that may run it; `None`: all.
    pub zones: Option<Vec<String>>,
    /// The only kinds of engine that may run it; `None`: all.
    pub kinds: Option<Vec<String>>,
    /// Threads that one request runs on.
    pub threads: f64,
    /// Whether its requests are loads, which lock their table group on their engine while they run.
    pub is_load: bool,
    /// Whether its requests stall while a load locks their table group on the same engine.
    pub yields_to_loads: bool,
}

/// A kind of engine.
#[derive(Clone, Debug)]
pub struct KindSettings {
    /// Name of the kind.
    pub name: String,
    /// Cores of one engine.
    pub cores: f64,
    /// Memory of one engine (MB); 0 if unknown.
    pub memory: f64,
}

/// A tenant with a quota.
#[derive(Clone, Debug)]
pub struct TenantSettings {
    /// Name of the tenant.
    pub name: String,
    /// Quota over all coordinators together (requests per second).
    pub quota_per_s: f64,
}

/// Limit on retries and hedged requests over a sliding window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Number of retries that are always allowed in a window.
    pub min_attempts: f64,
    /// Number of further retries allowed per request accepted in the window.
    pub attempts_per_request: f64,
    /// Length of the window (seconds).
    pub window: f64,
}

/// The configuration of a coordinator.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Request classes; a query names its class by position here.
    pub classes: Vec<ClassSettings>,
    /// Kinds of engine.
    pub kinds: Vec<KindSettings>,
    /// Tenants with a quota; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Number of coordinators that share the engines.
    pub coordinators: f64,
    /// Index of this coordinator among them, from 0.
    pub index: f64,
    /// Zone of this coordinator.
    pub zone: String,
    /// Cost of an attempt in another zone (in requests served).
    pub cross_zone_cost: f64,
    /// Cost of a new connection to an engine (in requests served).
    pub handshake_cost: f64,
    /// Whether the endpoint set must be subscribed to.
    pub must_subscribe: bool,
    /// Whether attempts may be cancelled, which frees the resources that they use.
    pub may_cancel: bool,
    /// Whether several attempts of one request may be in flight at the same time (hedged requests).
    pub may_hedge: bool,
    /// Longest retry-after that a rejection may carry (seconds); `None`: rejections carry none.
    pub retry_after: Option<f64>,
    /// Whether engines heed priorities.
    pub priorities: bool,
    /// Whether the memory granted to an attempt can be set.
    pub memory_grants: bool,
    /// Whether successful outcomes report the work and memory that the query needed.
    pub reports_cost: bool,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Shortest time between two batches of events (seconds): the resolution of the clock.
    pub tick: f64,
    /// Share of its capacity that an engine has when it starts (0 to 1).
    pub initial_capacity_share: f64,
    /// How long an engine warms up after its start (seconds).
    pub warmup_time: f64,
    /// A warming engine breaks down under more work in `overload_window` than this multiple of its current
    /// capacity (ratio).
    pub overload_multiple: f64,
    /// Length of the window in which a warming engine's work is limited (seconds).
    pub overload_window: f64,
    /// Pause of an order key after an attempt that may still be running (seconds).
    pub order_settle: f64,
    /// Limit on retries; `None`: limited by `max_attempts` only.
    pub retry_budget: Option<RetryBudget>,
}
