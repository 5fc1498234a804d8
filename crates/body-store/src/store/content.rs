//! The content of a body: a row of chunks, each in memory, on its way to a slot of the storage, or there with its checksum.

use super::event::Bytes;
use super::handle::ReaderId;
use crate::storage::{Slot, CHUNK_BYTES};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Where a chunk is.
pub(super) enum ChunkState {
    /// In memory.
    Memory(Bytes),
    /// In memory, and on its way to a slot.
    Writing(Bytes),
    /// In memory and in the slot, while other chunks of a body that is being demoted are on their way.
    Written { bytes: Bytes, slot: Slot },
    /// In the slot.
    File(Slot),
    /// Passed through and not kept.
    Discarded,
}

/// A chunk that has ended: of [`CHUNK_BYTES`], the last one of a body and those of bodies that are passed on of any length.
pub(super) struct Chunk {
    pub(super) length: usize,
    /// CRC-32 of its bytes.
    pub(super) checksum: u32,
    pub(super) state: ChunkState,
}

impl Chunk {
    pub(super) fn new(bytes: Bytes) -> Self {
        let (length, checksum) = (bytes.len(), crc32fast::hash(&bytes));
        Self { length, checksum, state: ChunkState::Memory(bytes) }
    }

    /// Its bytes, if they are in memory.
    pub(super) fn bytes(&self) -> Option<&Bytes> {
        match &self.state {
            ChunkState::Memory(bytes) | ChunkState::Writing(bytes) | ChunkState::Written { bytes, .. } => {
                Some(bytes)
            }
            ChunkState::File(_) | ChunkState::Discarded => None,
        }
    }

    /// Its slot, once it is written.
    pub(super) fn slot(&self) -> Option<Slot> {
        match self.state {
            ChunkState::Written { slot, .. } | ChunkState::File(slot) => Some(slot),
            ChunkState::Memory(_) | ChunkState::Writing(_) | ChunkState::Discarded => None,
        }
    }

    /// Its size in memory (bytes).
    pub(super) fn resident_bytes(&self) -> usize {
        self.bytes().map_or(0, |bytes| bytes.len())
    }
}

/// The content of a body, and what is under way with it.
#[derive(Default)]
pub(super) struct Content {
    /// Its length; while that is unknown, what is reserved for it (bytes).
    pub(super) length: u64,
    pub(super) length_unknown: bool,
    /// What has arrived of it (bytes).
    pub(super) received: u64,
    pub(super) chunks: Vec<Chunk>,
    /// What has arrived of the chunk that has not ended.
    pub(super) partial: Vec<u8>,
    /// Chunks whose write has not completed.
    pub(super) pending_writes: usize,
    /// A write has failed or hangs: nothing more goes to its file.
    pub(super) unwritable: bool,
    /// Its sender has to wait until there is capacity.
    pub(super) sender_waits: bool,
    /// Some of its chunks are discarded.
    pub(super) has_discarded: bool,
    /// It cannot be read any more, or cannot be taken.
    pub(super) lost: bool,
    pub(super) readers: Vec<ReaderId>,
    pub(super) was_read: bool,
    /// Chunks that were read back from their slots, by index.
    pub(super) loaded: BTreeMap<usize, Bytes>,
    /// Chunks whose read has not completed.
    pub(super) loading: Vec<usize>,
}

impl Content {
    /// Whether all of it has arrived.
    pub(super) fn has_arrived(&self) -> bool {
        !self.length_unknown && self.received == self.length
    }

    /// What has not arrived of its length, or of what is reserved for it (bytes).
    pub(super) fn missing_bytes(&self) -> usize {
        (self.length - self.received) as usize
    }

    /// Its size in memory (bytes).
    pub(super) fn resident_bytes(&self) -> usize {
        let loaded: usize = self.loaded.values().map(|bytes| bytes.len()).sum();
        self.chunk_bytes() + self.partial.len() + loaded
    }

    /// The size in memory of the chunks that have ended (bytes).
    pub(super) fn chunk_bytes(&self) -> usize {
        self.chunks.iter().map(Chunk::resident_bytes).sum()
    }

    /// Adds bytes to the chunk that has not ended, as many as it takes. Returns the rest.
    pub(super) fn append<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        if self.partial.is_empty() {
            self.partial.reserve_exact(self.missing_bytes().min(CHUNK_BYTES));
        }
        let count = bytes.len().min(CHUNK_BYTES - self.partial.len());
        let (taken, rest) = bytes.split_at(count);
        self.partial.extend_from_slice(taken);
        self.received += count as u64;
        rest
    }

    /// Ends the chunk that has not ended. Returns its index; `None` where nothing has arrived of it.
    pub(super) fn end_chunk(&mut self) -> Option<usize> {
        if self.partial.is_empty() {
            return None;
        }
        let bytes = Arc::new(std::mem::take(&mut self.partial));
        self.chunks.push(Chunk::new(bytes));
        Some(self.chunks.len() - 1)
    }
}
