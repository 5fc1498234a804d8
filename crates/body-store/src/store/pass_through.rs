//! Bodies that are passed through as they arrive: their windows, and which chunks are discarded
//! from them.

use super::content::{Chunk, ChunkState, Content};
use super::replay::ReaderState;
use super::{BodyEvent, BodyStore, ReaderId};
use crate::plan::{BodyId, BodyState, Tier};
use crate::storage::CHUNK_BYTES;
use std::collections::HashMap;

/// Limit on the finished chunks in memory of a body that is passed through (bytes); the window has
/// one more chunk, the partial one.
fn window_bytes(body: &BodyState) -> usize {
    body.window_chunks.saturating_sub(1) * CHUNK_BYTES
}

impl Content {
    /// Capacity of a body that is passed through (bytes). Chunks that its reader has read do not
    /// use capacity, since they can be discarded.
    pub(super) fn pass_through_capacity(
        &self,
        body: &BodyState,
        readers: &HashMap<ReaderId, ReaderState>,
    ) -> usize {
        let first_unread = self.first_unread_chunk(readers);
        let unread_chunks: usize = self.chunks[first_unread..].iter().map(Chunk::resident_bytes).sum();
        window_bytes(body).saturating_sub(unread_chunks + self.partial.len())
    }

    /// Index of the first chunk that some reader has not read; 0 without readers.
    fn first_unread_chunk(&self, readers: &HashMap<ReaderId, ReaderState>) -> usize {
        let positions = self.readers.iter().filter_map(|id| readers.get(id)).map(|reader| reader.next_chunk);
        positions.min().unwrap_or(0)
    }
}

impl BodyStore {
    pub(super) fn is_passed_through(&self, id: BodyId) -> bool {
        self.plan.body(id).is_some_and(|body| body.tier == Tier::PassThrough)
    }

    /// Discards chunks of a body that is passed through while it exceeds its window: only chunks
    /// that its reader has read, the oldest first.
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
        if discarded && !content.has_discarded_chunks {
            content.has_discarded_chunks = true;
            self.events.push_back(BodyEvent::BytesDropped(id));
        }
    }

    /// Gives up the file of an arriving body after a failed write, once no write is pending: the
    /// body is passed through from now on, or lost.
    pub(super) fn abandon_file(&mut self, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id) else { return };
        if !self.plan.fall_back_to_pass_through(id) {
            content.lost = true;
            self.events.push_back(BodyEvent::Lost(id));
            return;
        }
        self.events.push_back(BodyEvent::FellBackToPassThrough(id));
        if content.is_fully_received() {
            self.plan.mark_complete(id);
        }
    }
}
