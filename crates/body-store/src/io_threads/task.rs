//! Tasks of the I/O threads, and their completions.

use crate::plan::BodyId;
use crate::storage::{ChunkStorage, Slot};
use crate::store::Bytes;
use std::io;

/// Identifies the write of a chunk.
#[derive(Clone, Copy)]
pub struct ChunkWrite {
    /// The body.
    pub body: BodyId,
    /// Index of the chunk in it.
    pub chunk: usize,
    /// The slot to write to.
    pub slot: Slot,
}

/// Identifies the read of a chunk.
#[derive(Clone, Copy)]
pub struct ChunkRead {
    /// The body.
    pub body: BodyId,
    /// Index of the chunk in it.
    pub chunk: usize,
    /// The slot to read from.
    pub slot: Slot,
}

/// A task for an I/O thread.
pub enum IoTask {
    /// Writes a chunk to its slot.
    Write {
        /// Identifies the chunk.
        write: ChunkWrite,
        /// Its content.
        bytes: Bytes,
    },
    /// Reads a chunk from its slot.
    Read {
        /// Identifies the chunk.
        read: ChunkRead,
        /// As long as the chunk.
        buffer: Vec<u8>,
    },
    /// Releases slots of a body.
    Release {
        /// The body.
        body: BodyId,
        /// The slots, in the order of its chunks.
        slots: Vec<Slot>,
    },
}

/// The result of a task.
pub enum Completion {
    /// The write of a chunk succeeded or failed.
    Written {
        /// Identifies the chunk.
        write: ChunkWrite,
        /// What the storage returned.
        result: io::Result<()>,
    },
    /// The read of a chunk succeeded or failed.
    Read {
        /// Identifies the chunk.
        read: ChunkRead,
        /// Its content, not verified against its checksum yet.
        result: io::Result<Vec<u8>>,
    },
    /// Slots were released.
    Released {
        /// The slots.
        slots: Vec<Slot>,
    },
}

impl IoTask {
    /// The body, if this is a write.
    pub(super) fn written_body(&self) -> Option<BodyId> {
        match self {
            Self::Write { write, .. } => Some(write.body),
            Self::Read { .. } | Self::Release { .. } => None,
        }
    }

    /// Calls the storage; blocks until the call returns.
    pub(super) fn run(self, storage: &dyn ChunkStorage) -> Completion {
        match self {
            Self::Write { write, bytes } => {
                let result = storage.write(write.body, write.slot, &bytes);
                Completion::Written { write, result }
            }
            Self::Read { read, mut buffer } => {
                let result = storage.read(read.body, read.slot, &mut buffer).map(|()| buffer);
                Completion::Read { read, result }
            }
            Self::Release { body, slots } => {
                storage.release(body, &slots);
                Completion::Released { slots }
            }
        }
    }
}
