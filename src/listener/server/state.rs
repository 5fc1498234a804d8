//! What the connections of one listener share, whatever protocol they speak.

use super::Uploads;
use crate::body_store;
use crate::core::{ListenerEvent, Request};
use crate::limits::Limits;
use crate::net::{Time, TimerQueue, Token};
use dahliaspoke::policy::RequestId;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// What the connections of one listener share, whatever protocol they speak.
pub struct ListenerState {
    /// The limits of the daemon.
    pub limits: Rc<Limits>,
    /// The number of the listener's route in requests.
    pub route: usize,
    /// Reports that the core has not taken yet.
    pub(super) events: VecDeque<ListenerEvent>,
    /// The connection of each open request.
    pub(super) open_requests: HashMap<RequestId, Token>,
    /// When connections are to be checked for their deadlines.
    pub(super) timers: TimerQueue<Token>,
    /// The process is about to end: each connection is closed with its next answer.
    pub shutting_down: bool,
    /// Another process accepts the connections from now on.
    pub handed_over: bool,
    /// Requests that were rejected because they could not be decoded, since the start.
    pub bad_requests: u64,
    /// Bodies that go into the body store.
    pub uploads: Uploads,
}

impl ListenerState {
    /// The state of a listener that was just opened. `route` is the number of its route.
    pub fn new(route: usize, limits: Rc<Limits>) -> Self {
        Self {
            limits,
            route,
            events: VecDeque::new(),
            open_requests: HashMap::new(),
            timers: TimerQueue::default(),
            shutting_down: false,
            handed_over: false,
            bad_requests: 0,
            uploads: Uploads::new(None),
        }
    }

    /// The same listener with uploads into this body store, where the deployment has one.
    #[must_use]
    pub fn with_body_store(self, store: Option<body_store::SharedBodyStore>) -> Self {
        Self { uploads: Uploads::new(store), ..self }
    }

    /// Whether a request of this id has no answer yet.
    pub fn is_open(&self, id: &RequestId) -> bool {
        self.open_requests.contains_key(id)
    }

    /// Reports a request to the core. `connection` is the one that it came by.
    pub fn submit(&mut self, connection: Token, request: Request) {
        self.open_requests.insert(request.id.clone(), connection);
        self.events.push_back(ListenerEvent::Request(request));
    }

    /// Reports that the client of an open request has gone.
    pub fn report_client_gone(&mut self, id: RequestId) {
        self.open_requests.remove(&id);
        self.events.push_back(ListenerEvent::ClientGone(id));
    }

    /// Reports that a call of the class at this position was rejected before it became a request.
    pub fn report_rejected(&mut self, class: usize) {
        self.events.push_back(ListenerEvent::Rejected(class));
    }

    /// A connection is being closed: the client has a while to read its answer. Returns the connection's deadline.
    pub fn begin_linger(&mut self, now: Time, connection: Token) -> Time {
        let deadline = now + self.limits.clients.linger_timeout;
        self.schedule_check(deadline, connection);
        deadline
    }

    /// Has the deadline of a connection checked at that time.
    pub fn schedule_check(&mut self, at: Time, connection: Token) {
        self.timers.set(at, connection);
    }
}
