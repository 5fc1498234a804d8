//! State of requests and their attempts, from arrival until the request is closed and nothing is in flight.

use super::{ClassSettings, DedupScope, EngineId, Idempotency, Query, RequestId};
use std::collections::BTreeMap;
use std::ops::Index;
use std::sync::Arc;

/// Number of a request: assigned sequentially from 1; also the token of the request's timer.
pub type RequestNumber = u64;

/// State of an attempt: what is known about whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// No outcome yet.
    InFlight,
    /// It ended, and its engine may have run it or may still be running it.
    MayHaveRun,
    /// It ended without having run.
    NeverRan,
}

/// Zone and cell of an engine, which define dedup scopes.
#[derive(Clone, Debug)]
pub struct EngineLocation {
    /// Zone of the engine.
    pub zone: Arc<str>,
    /// Cell inside the zone.
    pub cell: i64,
}

/// Starting point for the pace of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct ProgressMark {
    /// Time (seconds).
    pub at: f64,
    /// Share of the work done by then (0 to 1).
    pub share_done: f64,
}

/// One attempt of a request.
pub struct Attempt {
    /// Engine that it was sent to.
    pub engine: EngineId,
    /// Location of that engine at the time.
    pub location: EngineLocation,
    /// When it was sent (seconds).
    pub sent_at: f64,
    /// What is known about whether it ran.
    pub state: AttemptState,
    /// Expected delay (seconds).
    pub expected_delay: f64,
    /// Starting point for its pace; `None` while it is blocked.
    pub progress_since: Option<ProgressMark>,
    /// Whether it was cancelled for lack of memory or because of a load, which does not affect the engine's
    /// health.
    pub cancelled_for_resources: bool,
    /// Total delay projected from its pace at the last progress report (seconds).
    pub projected_delay: Option<f64>,
}

impl Attempt {
    /// Whether it may have run or may still run.
    pub fn may_have_run(&self) -> bool {
        self.state != AttemptState::NeverRan
    }
}

/// A request that is open or has attempts in flight.
#[derive(Default)]
pub struct Request {
    /// The query as it arrived.
    pub query: Query,
    /// When its client gives up (seconds).
    pub deadline: f64,
    /// Estimated cost (ms of work).
    pub cost: f64,
    /// Its attempts so far, by number.
    pub attempts: Vec<Attempt>,
    /// Whether the client has its final answer.
    pub finished: bool,
    /// Whether the answer has started to stream to the client.
    pub streaming: bool,
    /// Whether its body is no longer stored, so that no further attempt is possible.
    pub body_dropped: bool,
    /// Whether its tenant was over quota when it arrived.
    pub over_quota: bool,
    /// Memory that was granted to its last attempt (MB).
    pub granted_memory: Option<f64>,
    /// Memory that it needs (MB), once an attempt has spilled.
    pub required_memory: Option<f64>,
}

impl Request {
    /// Whether an attempt is in flight.
    pub fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether an attempt was sent to this engine.
    pub fn tried(&self, engine: &EngineId) -> bool {
        self.attempts.iter().any(|attempt| attempt.engine == *engine)
    }

    /// When it arrived (seconds).
    pub fn arrived_at(&self) -> f64 {
        self.deadline - self.query.time_left
    }

    /// Whether a further attempt may be sent at all: an answer is still possible, and attempts are left.
    pub fn may_be_sent(&self, now: f64, max_attempts: u32) -> bool {
        let is_answerable = !self.finished && !self.streaming && !self.body_dropped && now < self.deadline;
        is_answerable && (self.attempts.len() as u32) < max_attempts
    }

    /// Whether the client can be told that a retry is safe.
    pub fn is_retry_safe(&self, class: &ClassSettings) -> bool {
        let never_ran = !self.attempts.iter().any(Attempt::may_have_run);
        let deduplicated = class.idempotency == Idempotency::WithKey && class.dedup_scope == DedupScope::All;
        never_ran || class.idempotency == Idempotency::Always || deduplicated
    }
}

/// All requests that are open or have attempts in flight, by number and by identity.
pub struct RequestTable {
    next_number: RequestNumber,
    requests: BTreeMap<RequestNumber, Request>,
    numbers: BTreeMap<RequestId, RequestNumber>,
}

impl Default for RequestTable {
    fn default() -> Self {
        Self { next_number: 1, requests: BTreeMap::new(), numbers: BTreeMap::new() }
    }
}

impl RequestTable {
    /// Number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number for the next request.
    pub fn allocate_number(&mut self) -> RequestNumber {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Adds a request.
    pub fn insert(&mut self, number: RequestNumber, request: Request) {
        self.numbers.insert(request.query.id.clone(), number);
        self.requests.insert(number, request);
    }

    /// Removes a request.
    pub fn remove(&mut self, number: RequestNumber) {
        if let Some(request) = self.requests.remove(&number) {
            self.numbers.remove(&request.query.id);
        }
    }

    /// Number of the request with this identity.
    pub fn number_of(&self, id: &RequestId) -> Option<RequestNumber> {
        self.numbers.get(id).copied()
    }

    /// Numbers of all requests, in the order of arrival.
    pub fn numbers(&self) -> Vec<RequestNumber> {
        self.requests.keys().copied().collect()
    }

    /// The request with this number.
    pub fn get(&self, number: RequestNumber) -> Option<&Request> {
        self.requests.get(&number)
    }

    /// Mutable access to the request with this number.
    pub fn get_mut(&mut self, number: RequestNumber) -> Option<&mut Request> {
        self.requests.get_mut(&number)
    }

    /// Mutable access to the request with this identity.
    pub fn by_id_mut(&mut self, id: &RequestId) -> Option<&mut Request> {
        let number = self.numbers.get(id)?;
        self.requests.get_mut(number)
    }
}

/// Access to a request by a number that is known to be in the table; panics otherwise.
impl Index<RequestNumber> for RequestTable {
    type Output = Request;

    fn index(&self, number: RequestNumber) -> &Request {
        &self.requests[&number]
    }
}
