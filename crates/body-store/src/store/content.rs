//! The content of a body: a list of chunks, each in memory, being written to a slot of the storage,
//! or stored there. A checksum of each chunk stays in memory.

use super::event::Bytes;
use super::handle::ReaderId;
use crate::storage::{Slot, CHUNK_BYTES};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Where a chunk is stored.
pub(super) enum ChunkState {
    /// In memory.
    Memory(Bytes),
    /// In memory, and being written to a slot.
    Writing(Bytes),
    /// In memory and in the slot, while other chunks of a body that is being demoted are still
    /// being written.
    Written { bytes: Bytes, slot: Slot },
    /// In the slot.
    File(Slot),
    /// Passed through and dropped.
    Discarded,
}

/// A finished chunk. Its size is [`CHUNK_BYTES`], except that the last chunk of a body and the
/// chunks of bodies that are passed through may be shorter.
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

/// The content of a body, and its pending operations.
#[derive(Default)]
pub(super) struct Content {
    /// Its length, or its current reservation while the length is unknown (bytes).
    pub(super) length: u64,
    pub(super) length_unknown: bool,
    /// How much of it has been received (bytes).
    pub(super) received: u64,
    pub(super) chunks: Vec<Chunk>,
    /// The chunk that is being received.
    pub(super) partial: Vec<u8>,
    /// Chunks whose write has not completed.
    pub(super) pending_writes: usize,
    /// A write has failed or hangs: no more chunks are written to its file.
    pub(super) unwritable: bool,
    /// Its sender is waiting for capacity.
    pub(super) sender_waits: bool,
    /// Some of its chunks were discarded.
    pub(super) has_discarded_chunks: bool,
    /// It cannot be read any more, or its arrival cannot continue.
    pub(super) lost: bool,
    pub(super) readers: Vec<ReaderId>,
    pub(super) was_read: bool,
    /// Chunks that were read back from their slots, by index.
    pub(super) loaded: BTreeMap<usize, Bytes>,
    /// Chunks whose read has not completed.
    pub(super) loading: Vec<usize>,
}

impl Content {
    /// Whether the whole body has been received.
    pub(super) fn is_fully_received(&self) -> bool {
        !self.length_unknown && self.received == self.length
    }

    /// The part of its length, or of its reservation, that has not been received (bytes).
    pub(super) fn missing_bytes(&self) -> usize {
        (self.length - self.received) as usize
    }

    /// Its size in memory (bytes).
    pub(super) fn resident_bytes(&self) -> usize {
        let loaded: usize = self.loaded.values().map(|bytes| bytes.len()).sum();
        self.chunk_bytes() + self.partial.len() + loaded
    }

    /// The size in memory of the finished chunks (bytes).
    pub(super) fn chunk_bytes(&self) -> usize {
        self.chunks.iter().map(Chunk::resident_bytes).sum()
    }

    /// Appends to the partial chunk, up to its end. Returns the bytes that did not fit.
    pub(super) fn append<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        if self.partial.is_empty() {
            self.partial.reserve_exact(self.missing_bytes().min(CHUNK_BYTES));
        }
        let count = bytes.len().min(CHUNK_BYTES - self.partial.len());
        let (accepted, rest) = bytes.split_at(count);
        self.partial.extend_from_slice(accepted);
        self.received += count as u64;
        rest
    }

    /// Turns the partial chunk into a finished one. Returns its index; `None` if the partial chunk
    /// is empty.
    pub(super) fn finish_chunk(&mut self) -> Option<usize> {
        if self.partial.is_empty() {
            return None;
        }
        let bytes = Arc::new(std::mem::take(&mut self.partial));
        self.chunks.push(Chunk::new(bytes));
        Some(self.chunks.len() - 1)
    }
}
