//! Storage of body chunks on disk. Nothing outlives the process: files are unnamed once they are
//! open, and files that a crash left behind before they were unlinked are removed at the next
//! start, under a lock.

mod folder;
mod segment;

pub use folder::StorageFolder;
pub use segment::SegmentFile;

use crate::plan::BodyId;
use std::io;

/// Size of a slot, which stores one chunk (bytes).
pub const CHUNK_BYTES: usize = 64 << 10;

/// Index of a slot.
pub type Slot = u32;

/// Stores chunks in slots. It is called from several I/O threads concurrently, each for a different
/// slot.
pub trait ChunkStorage: Send + Sync {
    /// Writes a chunk of a body, of at most [`CHUNK_BYTES`], to a slot.
    ///
    /// # Errors
    /// If the chunk was not written completely.
    fn write(&self, body: BodyId, slot: Slot, bytes: &[u8]) -> io::Result<()>;

    /// Reads a chunk of a body from a slot; fills all of `buffer`.
    ///
    /// # Errors
    /// If the buffer could not be filled.
    fn read(&self, body: BodyId, slot: Slot, buffer: &mut [u8]) -> io::Result<()>;

    /// Releases slots of a body, in the order of its chunks. They are not reused before this call
    /// has returned.
    fn release(&self, body: BodyId, slots: &[Slot]);
}

/// Offset of a slot in a file that contains all slots (bytes).
#[must_use]
pub fn slot_offset(slot: Slot) -> u64 {
    u64::from(slot) * CHUNK_BYTES as u64
}
