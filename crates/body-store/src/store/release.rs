//! Release of bodies and readers whose handles were dropped.

use super::content::Chunk;
use super::handle::{Dropped, ReaderId};
use super::BodyStore;
use crate::plan::BodyId;

impl BodyStore {
    /// Releases bodies and readers whose last handle was dropped, and gives the freed windows to
    /// waiting readers.
    pub(super) fn release_dropped(&mut self, now: f64) {
        let dropped = std::mem::take(&mut *self.dropped.borrow_mut());
        for handle in dropped {
            match handle {
                Dropped::Reader(id) => self.release_reader(id),
                Dropped::Body(id) => self.release_body(now, id),
            }
        }
        self.start_waiting_readers();
    }

    fn release_reader(&mut self, id: ReaderId) {
        let Some(reader) = self.readers.remove(&id) else { return };
        self.waiting_readers.retain(|waiting| *waiting != id);
        if !reader.waits_for_window {
            self.plan.end_read(reader.body, reader.has_window);
        }
        if let Some(content) = self.contents.get_mut(&reader.body) {
            content.readers.retain(|other| *other != id);
            if content.readers.is_empty() {
                content.loaded.clear();
            }
        }
        self.unload(reader.body);
    }

    /// Releases a body. Slots with a pending write are released when the write has completed.
    fn release_body(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.remove(&id) else { return };
        self.plan.release(id);
        let slots = content.chunks.iter().filter_map(Chunk::slot).collect();
        self.release_slots(now, id, slots);
    }
}
