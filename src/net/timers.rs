//! Timers, as a heap ordered by due time.

use super::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Timer<T> {
    at: Time,
    /// The order in which timers were set.
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Timer<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<T> Eq for Timer<T> {}
impl<T> PartialOrd for Timer<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Timer<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

/// A queue with fewer timers is never searched for stale ones.
const MIN_SEARCHED_TIMERS: usize = 1024;

/// Events ordered by due time; events with equal times are ordered as they were set. A timer cannot be
/// cancelled: when it is due, its owner checks whether it still applies. An owner whose timers are often stale
/// long before they are due calls [`discard_stale`](Self::discard_stale) as it sets them.
pub struct TimerQueue<T> {
    heap: BinaryHeap<Reverse<Timer<T>>>,
    last_sequence: u64,
    /// Number of timers from which on the queue is searched for stale ones.
    search_from: usize,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), last_sequence: 0, search_from: MIN_SEARCHED_TIMERS }
    }
}

impl<T> TimerQueue<T> {
    /// Schedules an event for the time `at`.
    pub fn set(&mut self, at: Time, event: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Timer { at, sequence: self.last_sequence, event }));
    }

    /// Removes the timers to which `applies` no longer applies, if the queue has doubled since the last time: at most
    /// half of it is stale, and a timer costs a constant number of checks on average.
    pub fn discard_stale(&mut self, mut applies: impl FnMut(&T) -> bool) {
        if self.heap.len() < self.search_from {
            return;
        }
        self.heap.retain(|timer| applies(&timer.0.event));
        self.heap.shrink_to(2 * self.heap.len());
        self.search_from = MIN_SEARCHED_TIMERS.max(2 * self.heap.len());
    }

    /// The time at which the next event is due; `None` if there is none.
    pub fn next_deadline(&self) -> Option<Time> {
        self.heap.peek().map(|timer| timer.0.at)
    }

    /// Removes and returns the next event if it is due.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        self.next_deadline().filter(|at| *at <= now)?;
        self.heap.pop().map(|timer| timer.0.event)
    }
}
