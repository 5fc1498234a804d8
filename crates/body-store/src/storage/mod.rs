//! Where chunks of bodies are stored on disk. Nothing of it outlives the process: files have no name once they are open, and
//! what a crash in between has left is removed at the next start, under a lock.

mod folder;
mod segment;

pub use folder::StorageFolder;
pub use segment::SegmentFile;

use crate::plan::BodyId;
use std::io;

/// Size of a slot, which holds one chunk (bytes).
pub const CHUNK_BYTES: usize = 64 << 10;

/// Number of a slot.
pub type Slot = u32;

/// Stores chunks in slots. It is called on I/O threads, by several at a time, each with a slot of its own.
pub trait ChunkStorage: Send + Sync {
    /// Writes a chunk of a body to a slot: at most [`CHUNK_BYTES`].
    ///
    /// # Errors
    /// Where not all of it was written.
    fn write(&self, body: BodyId, slot: Slot, bytes: &[u8]) -> io::Result<()>;

    /// Reads a chunk of a body from a slot; fills all of `buffer`.
    ///
    /// # Errors
    /// Where it could not be filled.
    fn read(&self, body: BodyId, slot: Slot, buffer: &mut [u8]) -> io::Result<()>;

    /// Releases slots of a body, in the order of its chunks. They are not used again before this has returned.
    fn release(&self, body: BodyId, slots: &[Slot]);
}

/// Where a slot begins in a file that holds all of them (bytes).
#[must_use]
pub fn slot_offset(slot: Slot) -> u64 {
    u64::from(slot) * CHUNK_BYTES as u64
}
