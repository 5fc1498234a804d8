//! Locks of order keys: acquired when a request arrives, and released by an action of the policy.

use super::{Core, Route, TimerEvent};
use crate::net::Time;
use dahliaspoke::policy::{Event, OrderLock, Query, RequestId};

/// Interval between two checks whether other processes have released the keys that requests wait for (s).
const POLL_INTERVAL: Time = 0.01;

impl Core {
    /// Whether an attempt of an ordered request may still be running, so that its key must stay locked.
    pub fn holds_order_locks(&self) -> bool {
        !self.order_locks.is_unused()
    }

    /// Queues a query for the lock of its key, if it is ordered. Returns the state of the lock.
    pub(super) fn acquire_order_lock(&mut self, now: Time, query: &Query) -> OrderLock {
        let Some(lock_time) = self.policy.order_lock_time(query) else { return OrderLock::NotShared };
        let Some(key) = &query.key else { return OrderLock::NotShared };
        let lock = self.order_locks.acquire(&query.id, key, lock_time);
        if lock == OrderLock::Waiting {
            tracing::info!(at = now, "request {} waits for another process to release its key", query.id);
            self.schedule_order_lock_poll(now);
        }
        lock
    }

    /// Passes the locks that requests have acquired since the last call to the policy.
    pub(super) fn poll_order_locks(&mut self, now: Time, routes: &mut [Route]) {
        self.polls_order_locks = false;
        for id in self.order_locks.poll() {
            tracing::info!(at = now, "request {id} has the lock of its key");
            self.feed(now, Event::OrderLockAcquired { id }, routes);
        }
        if self.order_locks.is_waiting() {
            self.schedule_order_lock_poll(now);
        }
    }

    fn schedule_order_lock_poll(&mut self, now: Time) {
        if !self.polls_order_locks {
            self.polls_order_locks = true;
            self.timers.set(now + POLL_INTERVAL, TimerEvent::OrderLockPoll);
        }
    }

    /// Releases a request's lock, or its place in the queue for it, at `not_before` at the earliest.
    pub(super) fn release_order_lock(&mut self, now: Time, id: &RequestId, not_before: Time) {
        let Some(ticket) = self.order_locks.remove(id) else { return };
        if not_before > now {
            self.timers.set(not_before, TimerEvent::OrderLockRelease(ticket));
        } else {
            self.order_locks.release(ticket);
        }
    }
}
