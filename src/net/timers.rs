//! A heap of absolute times. An alarm cannot be taken back: its owner looks whether it still matters.

use super::Time;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Entry<T> {
    at: Time,
    turn: u64,
    on_timer: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.turn.cmp(&other.turn))
    }
}

/// Alarms by time; those of one time in the order they were set.
pub struct TimerQueue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    turn: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), turn: 0 }
    }
}

impl<T> TimerQueue<T> {
    pub fn set(&mut self, at: Time, on_timer: T) {
        self.turn += 1;
        self.heap.push(Reverse(Entry { at, turn: self.turn, on_timer }));
    }

    /// When the nearest alarm is due.
    pub fn next_deadline(&self) -> Option<Time> {
        self.heap.peek().map(|entry| entry.0.at)
    }

    /// Takes out one alarm that is due.
    pub fn due(&mut self, now: Time) -> Option<T> {
        self.next_deadline().filter(|at| *at <= now)?;
        self.heap.pop().map(|entry| entry.0.on_timer)
    }
}
