//! State shared by the connections of one listener, independent of the protocol.

use super::{RunQueue, Uploads};
use crate::body_store;
use crate::core::{ListenerEvent, Request};
use crate::limits::Limits;
use crate::net::{Time, TimerQueue, Token};
use dahliaspoke::policy::RequestId;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// State shared by the connections of one listener, independent of the protocol.
pub struct ListenerState {
    /// The daemon's limits.
    pub limits: Rc<Limits>,
    /// Index of the listener's route, set in each request.
    pub route: usize,
    /// Events that the core has not fetched yet.
    pub(super) events: VecDeque<ListenerEvent>,
    /// The connection of each open request.
    pub(super) open_requests: HashMap<RequestId, Token>,
    /// Connections that are scheduled to handle a buffered request.
    pub(super) run_queue: RunQueue,
    /// When the deadlines of connections are to be checked.
    pub(super) timers: TimerQueue<Token>,
    /// Whether each connection is closed after its next answer, because the process is about to end.
    pub shutting_down: bool,
    /// Whether another process accepts all new connections.
    pub handed_over: bool,
    /// Number of requests rejected since the start because they were malformed or not acceptable.
    pub bad_requests: u64,
    /// Bodies that are received into the body store.
    pub uploads: Uploads,
}

impl ListenerState {
    /// The state of a newly opened listener. `route` is the index of its route.
    pub fn new(route: usize, limits: Rc<Limits>) -> Self {
        Self {
            limits,
            route,
            events: VecDeque::new(),
            open_requests: HashMap::new(),
            run_queue: RunQueue::default(),
            timers: TimerQueue::default(),
            shutting_down: false,
            handed_over: false,
            bad_requests: 0,
            uploads: Uploads::new(None),
        }
    }

    /// Receives uploads into `store`, if the deployment has one.
    #[must_use]
    pub fn with_body_store(self, store: Option<body_store::SharedBodyStore>) -> Self {
        Self { uploads: Uploads::new(store), ..self }
    }

    /// Whether a request with this id has no answer yet.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.open_requests.contains_key(id)
    }

    /// Submits a request that was received on `connection` to the core.
    pub fn submit(&mut self, connection: Token, request: Request) {
        self.open_requests.insert(request.id.clone(), connection);
        self.events.push_back(ListenerEvent::Request(request));
    }

    /// Reports to the core that an open request no longer has a client.
    pub fn report_client_gone(&mut self, id: RequestId) {
        self.open_requests.remove(&id);
        self.events.push_back(ListenerEvent::ClientGone(id));
    }

    /// Reports to the core that a request of a class was rejected before it was submitted.
    pub fn report_rejected(&mut self, class: usize) {
        self.events.push_back(ListenerEvent::Rejected(class));
    }

    /// Lets a connection continue with its buffered requests in the next iteration of the event loop, by
    /// [`ClientConnection::on_scheduled`](super::ClientConnection::on_scheduled).
    pub fn schedule(&mut self, now: Time, connection: Token) {
        self.run_queue.push(now, connection);
    }

    /// Gives a connection that is being closed `linger_timeout` for its client to read the answer. Returns
    /// the connection's deadline.
    pub fn begin_linger(&mut self, now: Time, connection: Token) -> Time {
        let deadline = now + self.limits.clients.linger_timeout;
        self.schedule_check(deadline, connection);
        deadline
    }

    /// Schedules a check of a connection's deadline.
    pub fn schedule_check(&mut self, at: Time, connection: Token) {
        self.timers.set(at, connection);
    }
}
