//! Requests, their final answers, and the interface between the core and listeners.

use crate::net::Time;
use dahliaspoke::policy::RequestId;
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::Body;
use std::sync::Arc;

/// The query for an engine, as the listener decoded it and the upstream sends it; opaque to the core.
#[derive(Clone, Debug, Default)]
pub struct QueryPayload {
    /// The name of the request's class.
    pub class_name: Arc<str>,
    /// The statement; empty if it is in the body store.
    pub statement: Arc<[u8]>,
    /// Arguments of a prepared statement.
    pub arguments: Option<Arc<[u8]>>,
    /// The part that is in the body store: the statement or, if there are `arguments`, what follows them.
    pub body: Option<Body>,
    /// Parameters whose values were sent ahead of the execution, in the order of their positions.
    pub long_parameters: Vec<LongParameter>,
    /// The client's idempotency key.
    pub idempotency_key: Option<Arc<str>>,
}

/// A parameter of a prepared statement whose value was sent ahead of the execution.
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
    /// The value's body, if it is in the body store.
    pub fn stored_body(&self) -> Option<&Body> {
        match self {
            Self::Inline(_) => None,
            Self::Stored(body) => Some(body),
        }
    }
}

impl QueryPayload {
    /// All bodies of the payload that are in the body store: the statement's, then those of the parameters.
    pub fn stored_bodies(&self) -> impl Iterator<Item = &Body> {
        let parameters = self.long_parameters.iter().filter_map(|parameter| parameter.value.stored_body());
        self.body.iter().chain(parameters)
    }

    /// Whether the body with this id is part of the payload.
    pub(super) fn contains_body(&self, id: BodyId) -> bool {
        self.stored_bodies().any(|body| body.id() == id)
    }
}

/// A request that a listener has received.
#[derive(Clone, Debug)]
pub struct Request {
    /// Position of the route that it arrived on.
    pub route: usize,
    /// The client's id, which is sent to engines unchanged.
    pub id: RequestId,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings, if it has one.
    pub tenant: Option<usize>,
    /// The key for ordering: requests of an ordered class with the same key run one at a time.
    pub order_key: Option<Arc<str>>,
    /// When the client gives up.
    pub deadline: Time,
    /// Estimated work (ms of one thread).
    pub estimated_work: Option<f64>,
    /// Estimated memory (MB).
    pub estimated_memory: Option<f64>,
    /// Group of tables that it reads or writes; -1 if unknown.
    pub table_group: i64,
    /// Whether its body is in the body store's pass-through tier: forwarded to the engine as it arrives and
    /// not retained. The request must then not run twice, whatever its class.
    pub uploading: bool,
    /// The query to run.
    pub payload: QueryPayload,
}

/// A result's parts in order, as the upstream received them.
pub type ResultParts = Vec<Vec<u8>>;

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Served, with the result.
    Served(ResultParts),
    /// Not served, and nothing ran: it is safe to retry, after this many seconds if given.
    Rejected(Option<f64>),
    /// Not served; it may have run.
    Failed,
}

/// An event that a listener reports to the core.
#[derive(Debug)]
pub enum ListenerEvent {
    /// A request arrived; it must get one final answer.
    Request(Request),
    /// The client of a request has disconnected; no answer is needed any more.
    ClientGone(RequestId),
    /// A call of the class at this position was rejected, and answered, before it became a request.
    Rejected(usize),
}

/// Accepts requests and delivers answers.
pub trait Listener {
    /// Delivers the final answer to a request. The core calls it once per request, and not at all after the
    /// listener has reported that the client has disconnected. If the client has disconnected since, the
    /// answer is dropped.
    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer);

    /// Whether the request's client is still waiting for its answer, according to the current state of its
    /// connection. The core calls it before each attempt, because a disconnect may not have been read yet.
    fn is_client_waiting(&mut self, id: &RequestId) -> bool;
}
