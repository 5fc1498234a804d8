//! Allocation of the storage's slots.

use crate::storage::Slot;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Allocates the lowest free slot first, so that the file stays short.
#[derive(Default)]
pub(super) struct SlotAllocator {
    /// Slots that were used before and are free now.
    free: BinaryHeap<Reverse<Slot>>,
    /// The lowest slot that was never used.
    next_unused: Slot,
}

impl SlotAllocator {
    pub(super) fn allocate(&mut self) -> Slot {
        if let Some(Reverse(slot)) = self.free.pop() {
            return slot;
        }
        self.next_unused += 1;
        self.next_unused - 1
    }

    pub(super) fn release(&mut self, slots: &[Slot]) {
        self.free.extend(slots.iter().copied().map(Reverse));
    }
}
