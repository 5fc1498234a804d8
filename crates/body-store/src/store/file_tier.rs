//! Writes of chunks to files, failed and hanging writes, and the release of slots.

use super::content::{ChunkState, Content};
use super::{BodyEvent, BodyStore};
use crate::io_threads::{ChunkWrite, IoTask};
use crate::plan::{BodyId, Tier, FILE_WINDOW_CHUNKS};
use crate::storage::{Slot, CHUNK_BYTES};

impl Content {
    /// Capacity of an arriving body in a file (bytes): the part of its window that is not used by
    /// its partial chunk and pending writes.
    pub(super) fn file_capacity(&self) -> usize {
        if self.unwritable {
            return 0;
        }
        let in_window = self.pending_writes * CHUNK_BYTES + self.partial.len();
        (FILE_WINDOW_CHUNKS * CHUNK_BYTES).saturating_sub(in_window)
    }

    /// Handles the end of a chunk's write. The chunks of a body that is being demoted stay in
    /// memory until all of them are written.
    fn finish_write(&mut self, write: ChunkWrite, succeeded: bool, demoting: bool) {
        self.pending_writes -= 1;
        self.unwritable |= !succeeded;
        let chunk = &mut self.chunks[write.chunk];
        let ChunkState::Writing(bytes) = &chunk.state else { return };
        let (bytes, slot) = (bytes.clone(), write.slot);
        chunk.state = match (succeeded, demoting) {
            (true, true) => ChunkState::Written { bytes, slot },
            (true, false) => ChunkState::File(slot),
            (false, _) => ChunkState::Memory(bytes),
        };
    }
}

impl BodyStore {
    /// Starts to write a chunk that is in memory.
    pub(super) fn write_chunk(&mut self, now: f64, body: BodyId, chunk: usize) {
        let Some((io, content)) = self.io.as_mut().zip(self.contents.get_mut(&body)) else { return };
        let Some(written) = content.chunks.get_mut(chunk) else { return };
        let ChunkState::Memory(bytes) = &written.state else { return };
        let bytes = bytes.clone();
        written.state = ChunkState::Writing(bytes.clone());
        content.pending_writes += 1;
        let write = ChunkWrite { body, chunk, slot: io.allocate_slot() };
        io.submit(now, IoTask::Write { write, bytes });
    }

    /// Handles the end of a write.
    pub(super) fn on_written(&mut self, now: f64, write: ChunkWrite, succeeded: bool) {
        let id = write.body;
        if !succeeded {
            self.plan.suspend_files(now + self.timing.file_retry_delay);
        }
        let Some((content, body)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else {
            self.release_slots(now, id, vec![write.slot]);
            return;
        };
        let demoting = body.demoting;
        content.finish_write(write, succeeded, demoting);
        let is_last = content.pending_writes == 0;
        if !succeeded {
            self.release_slots(now, id, vec![write.slot]);
        }
        if !demoting {
            self.continue_arrival(now, id);
        } else if is_last {
            self.finish_demotion(now, id);
        }
    }

    /// After a write, continues a body that may still be arriving: it accepts more bytes, becomes
    /// complete, or abandons its file.
    fn continue_arrival(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.get(&id) else { return };
        if content.lost || !self.is_arriving_in_file(id) {
            return;
        }
        if content.unwritable {
            // The chunks written so far stay readable: the body is passed through once no write is
            // pending.
            if content.pending_writes == 0 {
                self.abandon_file(id);
            }
        } else if content.is_fully_received() {
            self.complete_if_received(now, id);
        } else {
            self.notify_sender(id);
        }
    }

    /// When the oldest pending write times out, ignoring bodies that are marked unwritable already.
    pub(super) fn next_write_timeout(&self) -> Option<f64> {
        let is_watched = |body| self.contents.get(&body).is_some_and(|content| !content.unwritable);
        let oldest = self.io.as_ref()?.pending_writes().find(|write| is_watched(write.body))?;
        Some(oldest.submitted_at + self.timing.write_timeout)
    }

    /// Gives up all pending writes if one of them hangs: whether a hanging write will ever reach
    /// the file is unknown.
    pub(super) fn give_up_hanging_writes(&mut self, now: f64) {
        while self.next_write_timeout().is_some_and(|timeout| timeout <= now) {
            self.plan.suspend_files(now + self.timing.file_retry_delay);
            let written = self.contents.iter().filter(|(_, content)| content.pending_writes > 0);
            let ids: Vec<BodyId> = written.map(|(id, _)| *id).collect();
            for id in ids {
                self.give_up_writes(id);
            }
        }
    }

    fn give_up_writes(&mut self, id: BodyId) {
        let arriving = self.is_arriving_in_file(id);
        let Some(content) = self.contents.get_mut(&id) else { return };
        content.unwritable = true;
        if arriving {
            content.lost = true;
            self.events.push_back(BodyEvent::Lost(id));
        }
    }

    fn is_arriving_in_file(&self, id: BodyId) -> bool {
        self.plan.body(id).is_some_and(|body| body.tier == Tier::File && !body.complete)
    }

    /// Queues the release of slots, if there are any.
    pub(super) fn release_slots(&mut self, now: f64, body: BodyId, slots: Vec<Slot>) {
        if slots.is_empty() {
            return;
        }
        if let Some(io) = &mut self.io {
            io.submit(now, IoTask::Release { body, slots });
        }
    }
}
