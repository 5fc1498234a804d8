//! Bodies that move from memory to files while memory is short. One stays in memory as a whole until all of it is written.

use super::content::{ChunkState, Content};
use super::BodyStore;
use crate::plan::BodyId;
use crate::storage::Slot;

impl Content {
    /// Ends a move to a file. If it succeeded, the chunks are in their slots from now on; if not, they stay in memory, and the
    /// slots that were written are returned to be released.
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
    /// Begins to move bodies to files, as long as memory is short.
    pub(super) fn demote(&mut self, now: f64) {
        while let Some(id) = self.plan.start_demotion(now) {
            let chunks = self.contents.get(&id).map_or(0, |content| content.chunks.len());
            for chunk in 0..chunks {
                self.write_chunk(now, id, chunk);
            }
        }
    }

    /// All writes of a move to a file have completed. If one failed, or a reader has begun meanwhile, the body stays in memory.
    pub(super) fn finish_demotion(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id) else { return };
        let failed = std::mem::take(&mut content.unwritable);
        let succeeded = !failed && content.readers.is_empty();
        let unused_slots = content.finish_demotion(succeeded);
        self.plan.finish_demotion(id, succeeded);
        self.release_slots(now, id, unused_slots);
    }
}
