//! What happens next: events by time, those of one time in the order in which they were set.
//!
//! Two structures with one face. [`Heap`] is the plain one. [`Wheel`] is made for the job: nearly all events of
//! a run lie within some seconds from now, so they go into slots by time, and each slot is put in order only
//! when its time has come. `benches/queue.rs` measures both; [`Queue`] is the one that runs use.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The queue that runs use: see `docs/simulator.md` for the figures.
pub type Queue<T> = Wheel<T>;

struct Entry<T> {
    at: Micros,
    turn: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.turn) == (other.at, other.turn)
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.turn).cmp(&(other.at, other.turn))
    }
}

/// A binary heap.
pub struct Heap<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    turn: u64,
}

impl<T> Default for Heap<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), turn: 0 }
    }
}

impl<T> Heap<T> {
    /// Sets an event.
    pub fn push(&mut self, at: Micros, event: T) {
        self.turn += 1;
        self.heap.push(Reverse(Entry { at, turn: self.turn, event }));
    }

    /// The next event, and its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }

    /// Events that are set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Slots of the wheel.
const SLOTS: usize = 8192;
/// Width of a slot (us), as a power of two: the wheel spans 8 s.
const SHIFT: u32 = 10;

/// A timing wheel of one level, with a heap for what lies beyond its span.
pub struct Wheel<T> {
    slots: Vec<Vec<Entry<T>>>,
    /// The slot whose time has come, in order from its end.
    open: Vec<Entry<T>>,
    /// Number of the open slot, counted from the start of time.
    now: u64,
    /// Events in slots.
    held: usize,
    far: BinaryHeap<Reverse<Entry<T>>>,
    turn: u64,
}

impl<T> Default for Wheel<T> {
    fn default() -> Self {
        let slots = std::iter::repeat_with(Vec::new).take(SLOTS).collect();
        Self { slots, open: Vec::new(), now: 0, held: 0, far: BinaryHeap::new(), turn: 0 }
    }
}

impl<T> Wheel<T> {
    /// Sets an event. One for a time that has passed comes next.
    pub fn push(&mut self, at: Micros, event: T) {
        self.turn += 1;
        let entry = Entry { at, turn: self.turn, event };
        let slot = at >> SHIFT;
        if slot <= self.now {
            // Into the open slot, at its place: behind all that come before it.
            let place = self.open.partition_point(|held| *held > entry);
            self.open.insert(place, entry);
        } else if slot - self.now < SLOTS as u64 {
            self.slots[slot as usize % SLOTS].push(entry);
            self.held += 1;
        } else {
            self.far.push(Reverse(entry));
        }
    }

    /// The next event, and its time.
    pub fn pop(&mut self) -> Option<(Micros, T)> {
        while self.open.is_empty() {
            self.turn_on()?;
        }
        self.open.pop().map(|entry| (entry.at, entry.event))
    }

    /// Opens the next slot that may hold something.
    fn turn_on(&mut self) -> Option<()> {
        let far = self.far.peek().map(|Reverse(entry)| entry.at >> SHIFT);
        if self.held == 0 {
            self.now = far?; // nothing lies between
        } else {
            self.now += 1;
        }
        while self.far.peek().is_some_and(|Reverse(entry)| entry.at >> SHIFT <= self.now) {
            let Reverse(entry) = self.far.pop()?;
            self.open.push(entry);
        }
        let slot = &mut self.slots[self.now as usize % SLOTS];
        self.held -= slot.len();
        self.open.append(slot);
        self.open.sort_unstable_by(|a, b| b.cmp(a));
        Some(())
    }

    /// Events that are set.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len() + self.held + self.far.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
