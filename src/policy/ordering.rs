//! Request ordering: requests with the same key run one at a time, in the order of arrival.
//!
//! After an attempt that may still be running, its key is paused, so that the next request cannot overtake
//! the attempt on an engine.

use super::request_state::{Request, RequestNumber};
use super::ClassSettings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Requests of one key in the order of arrival; only the first may run.
#[derive(Default)]
pub struct OrderQueue {
    /// Requests of the key that are open or have attempts in flight.
    requests: VecDeque<RequestNumber>,
    /// Time until which no further request may start (seconds).
    paused_until: f64,
}

impl OrderQueue {
    /// Whether a request may run now: it is the first of its key, and the key is not paused. A pause does not
    /// prevent retries of a request that has started.
    pub fn admits(&self, now: f64, number: RequestNumber, has_started: bool) -> bool {
        self.requests.front() == Some(&number) && (now >= self.paused_until || has_started)
    }

    /// Number of requests ahead of the given one.
    pub fn ahead_of(&self, number: RequestNumber) -> usize {
        self.requests.iter().take_while(|other| **other != number).count()
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

    /// Removes a request from the queue of its key.
    pub fn remove(&mut self, request: &Request, number: RequestNumber) {
        if let Some(queue) = request.query.key.as_ref().and_then(|key| self.by_key.get_mut(key)) {
            queue.requests.retain(|other| *other != number); // `drop_idle` removes empty queues
        }
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
