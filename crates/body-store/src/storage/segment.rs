//! Storage of all bodies in one file, indexed by slot.

use super::{slot_offset, ChunkStorage, Slot, StorageFolder, CHUNK_BYTES};
use crate::plan::BodyId;
use rustix::fs::{fallocate, FallocateFlags};
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;

/// Stores the chunks of all bodies in one file.
pub struct SegmentFile {
    file: File,
    /// Keeps the folder locked; `None` for a file from elsewhere.
    _folder: Option<StorageFolder>,
}

impl SegmentFile {
    /// Creates the file in a folder.
    ///
    /// # Errors
    /// If no file can be created there.
    pub fn open(folder: StorageFolder) -> io::Result<Self> {
        Ok(Self { file: folder.create_file()?, _folder: Some(folder) })
    }

    /// Uses a file that is already open, for example `/dev/full`, where every write fails.
    #[must_use]
    pub fn from_file(file: File) -> Self {
        Self { file, _folder: None }
    }
}

impl ChunkStorage for SegmentFile {
    fn write(&self, _: BodyId, slot: Slot, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all_at(bytes, slot_offset(slot))
    }

    fn read(&self, _: BodyId, slot: Slot, buffer: &mut [u8]) -> io::Result<()> {
        self.file.read_exact_at(buffer, slot_offset(slot))
    }

    fn release(&self, _: BodyId, slots: &[Slot]) {
        let flags = FallocateFlags::PUNCH_HOLE | FallocateFlags::KEEP_SIZE;
        for run in slots.chunk_by(|slot, next| slot + 1 == *next) {
            let length = (run.len() * CHUNK_BYTES) as u64;
            // Returns the space to the file system. If that is not supported, the slots can be
            // reused all the same.
            let _ = fallocate(&self.file, flags, slot_offset(run[0]), length);
        }
    }
}
