//! Request ordering: requests with the same key run one at a time, in the order of arrival.
//!
//! After an attempt that may still be running, its key is paused, so that the next request cannot overtake
//! the attempt on an engine.
//!
//! Where several processes serve the same clients, a request also needs the lock of its key among them. The
//! caller acquires it; it is released when the request has ended and its key is no longer paused.

use super::request_state::{Request, RequestNumber};
use super::{Action, ClassSettings, OrderLock, Policy, Query, RequestId, Settings};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Ticks that an order key is paused beyond the settle time: events of one tick arrive in any order.
const SETTLE_TICKS: f64 = 2.0;
/// How long an ordered request may need the lock of its key beyond its deadline and the pause of its key
/// (seconds): a late timer, and the time until its engine stops working on it.
const ORDER_LOCK_MARGIN_S: f64 = 0.5;

/// Requests of one key in the order of arrival; only the first may run.
#[derive(Default)]
pub struct OrderQueue {
    /// Requests of the key that are open or have attempts in flight.
    requests: VecDeque<RequestNumber>,
    /// Time until which no further request may start (seconds).
    paused_until: f64,
}

impl OrderQueue {
    /// Whether a request may run now: it is the first of its key, and its key is neither locked by another
    /// process nor paused. A pause does not prevent retries of a request that has started.
    pub fn admits(&self, now: f64, number: RequestNumber, request: &Request) -> bool {
        let has_started = !request.attempts.is_empty();
        self.requests.front() == Some(&number)
            && request.query.order_lock != OrderLock::Waiting
            && (now >= self.paused_until || has_started)
    }

    /// Number of requests ahead of the given one, at least; of those in other processes one counts.
    pub fn ahead_of(&self, number: RequestNumber, lock: OrderLock) -> usize {
        let in_this_process = self.requests.iter().take_while(|other| **other != number).count();
        in_this_process + usize::from(lock == OrderLock::Waiting)
    }
}

/// The queues of all keys, and the requests that wait in them.
#[derive(Default)]
pub struct OrderQueues {
    by_key: BTreeMap<Arc<str>, OrderQueue>,
    waiting: BTreeSet<RequestNumber>,
}

impl OrderQueues {
    /// Number of keys with a queue.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Appends a request to the queue of its key.
    pub fn enqueue(&mut self, key: Arc<str>, number: RequestNumber) {
        self.by_key.entry(key).or_default().requests.push_back(number);
    }

    /// The queue of a request, if its class is ordered.
    pub fn queue_of(&self, request: &Request, class: &ClassSettings) -> Option<&OrderQueue> {
        request.query.key.as_ref().filter(|_| class.ordered).and_then(|key| self.by_key.get(key))
    }

    /// Pauses the key of a request until the given time (seconds).
    pub fn pause(&mut self, request: &Request, until: f64) {
        if let Some(queue) = request.query.key.as_ref().and_then(|key| self.by_key.get_mut(key)) {
            queue.paused_until = until;
        }
    }

    /// Removes a request from the queue of its key. Returns when its lock on the key may be released
    /// (seconds).
    pub fn remove(&mut self, request: &Request, number: RequestNumber) -> f64 {
        let queue = request.query.key.as_ref().and_then(|key| self.by_key.get_mut(key));
        let Some(queue) = queue else { return 0.0 };
        queue.requests.retain(|other| *other != number); // `drop_idle` removes empty queues
        queue.paused_until
    }

    /// Removes the queues of keys that have no requests and are not paused.
    pub fn drop_idle(&mut self, now: f64) {
        self.by_key.retain(|_, queue| !queue.requests.is_empty() || now < queue.paused_until);
    }

    /// Records that a request waits for its key.
    pub fn add_waiting(&mut self, number: RequestNumber) {
        self.waiting.insert(number);
    }

    /// Records that a request no longer waits for its key.
    pub fn remove_waiting(&mut self, number: RequestNumber) {
        self.waiting.remove(&number);
    }

    /// Requests that wait for their key, in the order of arrival.
    pub fn waiting(&self) -> Vec<RequestNumber> {
        self.waiting.iter().copied().collect()
    }
}

/// How long a key is paused after an attempt that may still be running (seconds).
fn pause_time(settings: &Settings) -> f64 {
    settings.order_settle + SETTLE_TICKS * settings.tick
}

impl Policy {
    /// How long a query may need the lock of its key (seconds); `None` if it is not ordered.
    #[must_use]
    pub fn order_lock_time(&self, query: &Query) -> Option<f64> {
        let is_ordered = self.settings.classes[query.class].ordered && query.key.is_some();
        is_ordered.then_some(query.time_left + pause_time(&self.settings) + ORDER_LOCK_MARGIN_S)
    }

    /// Pauses the key of a request whose attempt may still be running.
    pub(super) fn pause_key(&mut self, now: f64, number: RequestNumber) {
        let until = now + pause_time(&self.settings);
        self.order.pause(&self.requests[number], until);
    }

    /// A request has acquired the lock of its key. The process that held it before may have ended during an
    /// attempt, which then may still be running.
    pub(super) fn on_order_lock_acquired(&mut self, now: f64, id: &RequestId) {
        let Some(number) = self.requests.number_of(id) else { return };
        if let Some(request) = self.requests.get_mut(number) {
            request.query.order_lock = OrderLock::Held;
        }
        self.pause_key(now, number);
    }

    /// Ends the place of a request in the queue of its key.
    pub(super) fn leave_order(&mut self, number: RequestNumber, out: &mut Vec<Action>) {
        let request = &self.requests[number];
        let not_before = self.order.remove(request, number);
        if request.query.order_lock != OrderLock::NotShared {
            out.push(Action::ReleaseOrderLock { id: request.query.id.clone(), not_before });
        }
    }
}
