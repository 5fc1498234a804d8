//! The state of requests and of their attempts, from a request's arrival until it is answered and its last
//! attempt has ended.

use super::{QueryPayload, Request};
use crate::net::Time;
use dahliaspoke::policy::RequestId;
use dahliaspoke_body_store::plan::BodyId;
use std::collections::HashMap;

/// The priority of a request before the policy sets one.
const DEFAULT_PRIORITY: u8 = 1;

/// Identifies an attempt.
#[derive(Clone, Debug)]
pub(super) struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub number: u32,
}

/// Whether a request still needs an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestStatus {
    /// It still needs an answer.
    Open,
    /// It has its final answer.
    Answered,
    /// Its client has disconnected.
    Withdrawn,
}

/// Whether an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptStatus {
    Running,
    Ended,
}

#[derive(Debug)]
struct AttemptState {
    status: AttemptStatus,
    priority: u8,
}

/// A request that is open or has a running attempt.
#[derive(Debug)]
pub(super) struct RequestState {
    /// The position of its route.
    pub route: usize,
    /// The position of its class in the settings.
    pub class: usize,
    /// The query to run.
    pub payload: QueryPayload,
    /// When the client gives up.
    pub deadline: Time,
    /// Memory granted to its attempts (MB).
    pub memory: Option<f64>,
    /// Priority of its attempts.
    pub priority: u8,
    status: RequestStatus,
    attempts: Vec<AttemptState>,
    /// Whether an attempt has ended in a way that does not prove that it never ran.
    pub may_have_run: bool,
}

impl RequestState {
    /// A request that has just arrived.
    pub(super) fn new(request: Request) -> Self {
        Self {
            route: request.route,
            class: request.class,
            payload: request.payload,
            deadline: request.deadline,
            memory: None,
            priority: DEFAULT_PRIORITY,
            status: RequestStatus::Open,
            attempts: Vec::new(),
            may_have_run: false,
        }
    }

    /// Whether it still needs an answer.
    pub(super) fn is_open(&self) -> bool {
        self.status == RequestStatus::Open
    }

    /// Adds a running attempt and returns its number.
    pub(super) fn add_running_attempt(&mut self) -> u32 {
        self.add_attempt(AttemptStatus::Running)
    }

    /// Adds an attempt that ended before it was sent and returns its number.
    pub(super) fn add_ended_attempt(&mut self) -> u32 {
        self.add_attempt(AttemptStatus::Ended)
    }

    fn add_attempt(&mut self, status: AttemptStatus) -> u32 {
        let number = self.attempts.len() as u32;
        self.attempts.push(AttemptState { status, priority: self.priority });
        number
    }

    /// Sets the memory and priority of its attempts from now on. Returns the numbers of the running attempts
    /// whose priority changed.
    pub(super) fn set_terms(&mut self, memory: Option<f64>, priority: u8) -> Vec<u32> {
        self.memory = memory;
        self.priority = priority;
        let mut changed = Vec::new();
        for (number, attempt) in self.attempts.iter_mut().enumerate() {
            if attempt.status == AttemptStatus::Running && attempt.priority != priority {
                attempt.priority = priority;
                changed.push(number as u32);
            }
        }
        changed
    }

    /// Whether it is closed and all of its attempts have ended.
    fn is_finished(&self) -> bool {
        !self.is_open() && self.attempts.iter().all(|attempt| attempt.status == AttemptStatus::Ended)
    }
}

/// All requests that are not finished.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, RequestState>,
    /// How many of them still need an answer.
    open_count: usize,
}

impl RequestTable {
    /// Number of requests that still need an answer.
    pub(super) fn open_count(&self) -> usize {
        self.open_count
    }

    /// Adds a request that has just arrived.
    pub(super) fn insert(&mut self, id: RequestId, request: RequestState) {
        self.requests.insert(id, request);
        self.open_count += 1;
    }

    /// The request with this id, if it is not finished.
    pub(super) fn get(&self, id: &RequestId) -> Option<&RequestState> {
        self.requests.get(id)
    }

    /// Mutable variant of [`Self::get`].
    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut RequestState> {
        self.requests.get_mut(id)
    }

    /// Whether the request still needs an answer.
    pub(super) fn is_open(&self, id: &RequestId) -> bool {
        self.get(id).is_some_and(RequestState::is_open)
    }

    /// Closes an open request with a status other than [`RequestStatus::Open`]. Returns the request; `None`
    /// if it was not open.
    pub(super) fn close(&mut self, id: &RequestId, status: RequestStatus) -> Option<&RequestState> {
        let request = self.requests.get_mut(id).filter(|request| request.is_open())?;
        request.status = status;
        self.open_count -= 1;
        Some(request)
    }

    /// Whether the attempt has not ended yet.
    pub(super) fn is_running(&self, id: &AttemptId) -> bool {
        let request = self.requests.get(&id.request);
        let attempt = request.and_then(|request| request.attempts.get(id.number as usize));
        attempt.is_some_and(|attempt| attempt.status == AttemptStatus::Running)
    }

    /// Marks an attempt as ended. Returns false if it was not running, so that a second end is ignored.
    pub(super) fn end_attempt(&mut self, id: &AttemptId) -> bool {
        let request = self.requests.get_mut(&id.request);
        let Some(attempt) = request.and_then(|request| request.attempts.get_mut(id.number as usize)) else {
            return false;
        };
        std::mem::replace(&mut attempt.status, AttemptStatus::Ended) == AttemptStatus::Running
    }

    /// Removes a request if it is finished, and returns it.
    pub(super) fn remove_finished(&mut self, id: &RequestId) -> Option<RequestState> {
        self.get(id).is_some_and(RequestState::is_finished).then(|| self.requests.remove(id))?
    }

    /// The request that the body belongs to.
    pub(super) fn find_by_body(&self, body: BodyId) -> Option<&RequestId> {
        let mut requests = self.requests.iter();
        requests.find(|(_, request)| request.payload.contains_body(body)).map(|(id, _)| id)
    }
}
