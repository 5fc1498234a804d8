//! Order of requests: those of one key run one at a time, in the order of arrival.
//!
//! After an attempt that may still run, a key pauses, so that the next request cannot overtake it on an
//! engine.

use super::request_state::{Request, RequestNumber};
use super::ClassSettings;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Requests of one key in the order of arrival; the first may run.
#[derive(Default)]
pub struct OrderQueue {
    /// Requests of the key that are not forgotten yet.
    requests: VecDeque<RequestNumber>,
    /// Until when no further request may begin (seconds).
    paused_until: f64,
}

impl OrderQueue {
    /// Whether a request may run now: it is the first of its key, and the key is not paused. A pause does not
    /// stop the retries of a request that has begun.
    pub fn admits(&self, now: f64, number: RequestNumber, has_begun: bool) -> bool {
        self.requests.front() == Some(&number) && (now >= self.paused_until || has_begun)
    }

    /// How many requests are ahead of one.
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
    /// How many keys have a queue.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Appends a request to the queue of its key.
    pub fn enqueue(&mut self, key: Arc<str>, number: RequestNumber) {
        self.by_key.entry(key).or_default().requests.push_back(number);
    }

    /// The queue that a request stands in, if its class runs in order.
    pub fn queue_of(&self, request: &Request, class: &ClassSettings) -> Option<&OrderQueue> {
        request.query.key.as_ref().filter(|_| class.ordered).and_then(|key| self.by_key.get(key))
    }

    /// Pauses the key of a request until a point in time (seconds).
    pub fn pause(&mut self, request: &Request, until: f64) {
        if let Some(queue) = request.query.key.as_ref().and_then(|key| self.by_key.get_mut(key)) {
            queue.paused_until = until;
        }
    }

    /// Takes a request out of the queue of its key.
    pub fn remove(&mut self, request: &Request, number: RequestNumber) {
        if let Some(queue) = request.query.key.as_ref().and_then(|key| self.by_key.get_mut(key)) {
            queue.requests.retain(|other| *other != number); // empty queues go with `drop_idle`
        }
    }

    /// Forgets keys without requests whose pause is over.
    pub fn drop_idle(&mut self, now: f64) {
        self.by_key.retain(|_, queue| !queue.requests.is_empty() || now < queue.paused_until);
    }

    /// Notes that a request waits for its key.
    pub fn hold(&mut self, number: RequestNumber) {
        self.waiting.insert(number);
    }

    /// Notes that a request no longer waits.
    pub fn release(&mut self, number: RequestNumber) {
        self.waiting.remove(&number);
    }

    /// Requests that wait for their key, in the order of arrival.
    pub fn waiting(&self) -> Vec<RequestNumber> {
        self.waiting.iter().copied().collect()
    }
}
