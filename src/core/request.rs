//! Requests, their final answers, and what listeners and the core report to each other.

use crate::net::Time;
use dahliaspoke::policy::RequestId;
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::Body;
use std::sync::Arc;

/// What an engine is to run, as the listener decoded it and the upstream sends it; opaque to the core.
#[derive(Clone, Debug, Default)]
pub struct QueryPayload {
    /// The name of the request's class.
    pub class_name: Arc<str>,
    /// The statement; empty if it is in the body store.
    pub statement: Arc<[u8]>,
    /// Arguments of a prepared statement.
    pub arguments: Option<Arc<[u8]>>,
    /// What the body store has: the statement, or what follows `arguments` where there are any.
    pub body: Option<Body>,
    /// Parameters whose values came ahead of the execution, in the order of their positions.
    pub long_parameters: Vec<LongParameter>,
    /// The client's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
}

/// A parameter of a prepared statement whose value came ahead of the execution.
#[derive(Clone, Debug)]
pub struct LongParameter {
    /// Its position among the statement's parameters, from 0.
    pub position: u16,
    /// Its value.
    pub value: ParameterValue,
}

/// Where a parameter's value is.
#[derive(Clone, Debug)]
pub enum ParameterValue {
    /// In memory.
    Inline(Arc<[u8]>),
    /// In the body store.
    Stored(Body),
}

impl ParameterValue {
    /// The value's body, if the body store has it.
    pub fn stored_body(&self) -> Option<&Body> {
        match self {
            Self::Inline(_) => None,
            Self::Stored(body) => Some(body),
        }
    }
}

impl QueryPayload {
    /// All bodies that the body store has of the payload: the statement's, then those of the parameters.
    pub fn stored_bodies(&self) -> impl Iterator<Item = &Body> {
        let parameters = self.long_parameters.iter().filter_map(|parameter| parameter.value.stored_body());
        self.body.iter().chain(parameters)
    }

    /// Whether that body is a part of the payload.
    pub(super) fn contains_body(&self, id: BodyId) -> bool {
        self.stored_bodies().any(|body| body.id() == id)
    }
}

/// A request that a listener has received.
#[derive(Clone, Debug)]
pub struct Request {
    /// The position of the route that it came in by.
    pub route: usize,
    /// The client's id; engines are sent it as it is.
    pub id: RequestId,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings, where it belongs to one.
    pub tenant: Option<usize>,
    /// Requests of an ordered class run one at a time if they have the same key.
    pub order_key: Option<Arc<str>>,
    /// When the client gives up.
    pub deadline: Time,
    /// Estimated work (ms of one thread).
    pub estimated_work: Option<f64>,
    /// Estimated memory (MB).
    pub estimated_memory: Option<f64>,
    /// Group of tables that it reads or writes; -1 if it is not known.
    pub table_group: i64,
    /// Its body is passed on as it arrives and not kept: it must not run twice, whatever its class.
    pub uploading: bool,
    /// What an engine is to run.
    pub payload: QueryPayload,
}

/// A result's parts in order, as the upstream received them.
pub type ResultParts = Vec<Vec<u8>>;

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Served, with the result.
    Served(ResultParts),
    /// Not served, and nothing ran: a retry is harmless, after so many seconds.
    Rejected(Option<f64>),
    /// Not served; it may have run.
    Failed,
}

/// What listeners report to the core.
#[derive(Debug)]
pub enum ListenerEvent {
    /// A request came in; it is owed one final answer.
    Request(Request),
    /// The client of a request has gone; no answer is owed any more.
    ClientGone(RequestId),
    /// A call of the class at this position was rejected, with an answer, before it was a request.
    Rejected(usize),
}

/// Accepts requests and delivers answers.
pub trait Listener {
    /// Delivers the final answer to a request. The core calls it once for a request, and not at all once the listener has
    /// reported that its client has gone. A request whose client has gone meanwhile is passed over.
    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer);

    /// Whether the request's client still waits for its answer, by the state of its connection at this moment. The core
    /// calls it before each attempt: a report of the client's end may not be read yet.
    fn is_client_waiting(&mut self, id: &RequestId) -> bool;
}
