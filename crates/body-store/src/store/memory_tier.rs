//! Demotion of bodies from memory to files while memory is short. A body stays in memory until all
//! of its chunks are written.

use super::content::{ChunkState, Content};
use super::BodyStore;
use crate::plan::BodyId;
use crate::storage::Slot;

impl Content {
    /// Ends a demotion. If it succeeded, the chunks are now stored in their slots; otherwise they
    /// stay in memory, and the slots already written are returned for release.
    fn finish_demotion(&mut self, succeeded: bool) -> Vec<Slot> {
        let mut unused_slots = Vec::new();
        for chunk in &mut self.chunks {
            let ChunkState::Written { bytes, slot } = &chunk.state else { continue };
            let slot = *slot;
            if succeeded {
                chunk.state = ChunkState::File(slot);
            } else {
                unused_slots.push(slot);
                chunk.state = ChunkState::Memory(bytes.clone());
            }
        }
        unused_slots
    }
}

impl BodyStore {
    /// Starts demotions as long as memory is short.
    pub(super) fn demote(&mut self, now: f64) {
        while let Some(id) = self.plan.start_demotion(now) {
            let chunks = self.contents.get(&id).map_or(0, |content| content.chunks.len());
            for chunk in 0..chunks {
                self.write_chunk(now, id, chunk);
            }
        }
    }

    /// Ends a demotion whose writes have all completed. If one of them failed, or a reader was
    /// opened meanwhile, the body stays in memory.
    pub(super) fn finish_demotion(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id) else { return };
        let failed = std::mem::take(&mut content.unwritable);
        let succeeded = !failed && content.readers.is_empty();
        let unused_slots = content.finish_demotion(succeeded);
        self.plan.finish_demotion(id, succeeded);
        self.release_slots(now, id, unused_slots);
    }
}
