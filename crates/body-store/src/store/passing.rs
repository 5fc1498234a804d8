//! Bodies that are passed on as they arrive: their windows, and what gives way in them.

use super::content::{Chunk, ChunkState, Content};
use super::replay::ReaderState;
use super::{BodyEvent, BodyStore, ReaderId};
use crate::plan::{BodyId, BodyState, Tier};
use crate::storage::CHUNK_BYTES;
use std::collections::HashMap;

/// What the ended chunks of a body that is passed on may hold in memory (bytes); one more chunk is being filled.
fn window_bytes(body: &BodyState) -> usize {
    body.window_chunks.saturating_sub(1) * CHUNK_BYTES
}

impl Content {
    /// What a body that is passed on takes now (bytes). What its reader has had can give way.
    pub(super) fn passing_capacity(
        &self,
        body: &BodyState,
        readers: &HashMap<ReaderId, ReaderState>,
    ) -> usize {
        let first_unread = self.first_unread_chunk(readers);
        let unread_chunks: usize = self.chunks[first_unread..].iter().map(Chunk::resident_bytes).sum();
        window_bytes(body).saturating_sub(unread_chunks + self.partial.len())
    }

    /// Index of the first chunk that a reader has not had; 0 without readers.
    fn first_unread_chunk(&self, readers: &HashMap<ReaderId, ReaderState>) -> usize {
        let positions = self.readers.iter().filter_map(|id| readers.get(id)).map(|reader| reader.next_chunk);
        positions.min().unwrap_or(0)
    }
}

impl BodyStore {
    pub(super) fn is_passed(&self, id: BodyId) -> bool {
        self.plan.body(id).is_some_and(|body| body.tier == Tier::PassThrough)
    }

    /// Discards chunks of a body that is passed on, as far as its window is exceeded: those that its reader has had, the oldest
    /// first.
    pub(super) fn discard_read_chunks(&mut self, id: BodyId) {
        let Some((content, body)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else { return };
        let first_unread = content.first_unread_chunk(&self.readers);
        let mut resident = content.chunk_bytes();
        let mut discarded = false;
        for chunk in &mut content.chunks[..first_unread] {
            if resident <= window_bytes(body) {
                break;
            }
            resident -= chunk.resident_bytes();
            if matches!(chunk.state, ChunkState::Memory(_)) {
                chunk.state = ChunkState::Discarded;
                discarded = true;
            }
        }
        if discarded && !content.has_discarded {
            content.has_discarded = true;
            self.events.push_back(BodyEvent::BytesDropped(id));
        }
    }

    /// The file of an arriving body cannot be written, and no write is under way: the body is passed on from here, or lost.
    pub(super) fn leave_file(&mut self, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id) else { return };
        if !self.plan.fall_back_to_pass_through(id) {
            content.lost = true;
            self.events.push_back(BodyEvent::Lost(id));
            return;
        }
        self.events.push_back(BodyEvent::PassedThrough(id));
        if content.has_arrived() {
            self.plan.mark_complete(id);
        }
    }
}
