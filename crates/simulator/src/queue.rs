//! The event queue: events ordered by time, and events with equal times in the order in which they were
//! scheduled.
//!
//! Two implementations with the same interface. [`Heap`] is a plain binary heap. [`Wheel`] suits this
//! workload: nearly all events of a run are due within a few seconds, so they are put into slots by time, and
//! each slot is sorted only when it is opened. `benches/queue.rs` compares the two; runs use [`Queue`].

use crate::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// The queue that runs use: see `docs/simulator.md` for the figures.
pub type Queue<T> = Wheel<T>;

/// An event with its time, ordered by time and then by order of scheduling.
struct Entry<T> {
    at: Micros,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A binary heap.
pub struct Heap<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    /// Number of events scheduled so far.
    scheduled: u64,
}

impl<T> Default for Heap<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<T> Heap<T> {
    /// Schedules an event.
    pub fn push(&mut self, at: Micros, event: T) {
        self.scheduled += 1;
        self.heap.push(Reverse(Entry { at, sequence: self.scheduled, event }));
    }

    /// The next event, and its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }

    /// Number of events in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no event is scheduled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Number of slots of the wheel.
const SLOTS: usize = 8192;
/// Width of a slot (us), as a power of two: the wheel spans 8 s.
const SLOT_SHIFT: u32 = 10;

/// A timing wheel of one level, with a heap for events beyond its span.
pub struct Wheel<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// The events of the open slot, the next one last.
    open: Vec<Entry<T>>,
    /// Number of the open slot, counted from time 0.
    open_slot: u64,
    /// Number of events in `slots`.
    in_slots: usize,
    /// Events beyond the span of the wheel.
    far: BinaryHeap<Reverse<Entry<T>>>,
    /// Number of events scheduled so far.
    scheduled: u64,
}

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        let slots = std::iter::repeat_with(Vec::new).take(SLOTS).collect();
        Self { slots, open: Vec::new(), open_slot: 0, in_slots: 0, far: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<T> Wheel<T> {
    /// Schedules an event. An event whose time has passed is popped next.
    pub fn push(&mut self, at: Micros, event: T) {
        self.scheduled += 1;
        let entry = Entry { at, sequence: self.scheduled, event };
        let slot = at >> SLOT_SHIFT;
        if slot <= self.open_slot {
            // Inserted behind all later events, which keeps the open slot in descending order.
            let index = self.open.partition_point(|other| *other > entry);
            self.open.insert(index, entry);
        } else if slot - self.open_slot < SLOTS as u64 {
            self.slots[slot as usize % SLOTS].push(entry);
            self.in_slots += 1;
        } else {
            self.far.push(Reverse(entry));
        }
    }

    /// The next event, and its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        while self.open.is_empty() {
            self.open_next_slot()?;
        }
        self.open.pop().map(|entry| (entry.at, entry.event))
    }

    /// Opens the next slot that may contain an event; `None` if the queue is empty.
    fn open_next_slot(&mut self) -> Option<()> {
        let far = self.far.peek().map(|Reverse(entry)| entry.at >> SLOT_SHIFT);
        if self.in_slots == 0 {
            self.open_slot = far?; // the slots in between are empty
        } else {
            self.open_slot += 1;
        }
        while self.far.peek().is_some_and(|Reverse(entry)| entry.at >> SLOT_SHIFT <= self.open_slot) {
            let Reverse(entry) = self.far.pop()?;
            self.open.push(entry);
        }
        let slot = &mut self.slots[self.open_slot as usize % SLOTS];
        self.in_slots -= slot.len();
        self.open.append(slot);
        self.open.sort_unstable_by(|a, b| b.cmp(a));
        Some(())
    }

    /// Number of events in the queue.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len() + self.in_slots + self.far.len()
    }

    /// Whether no event is scheduled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
