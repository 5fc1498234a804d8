//! The log on disk: one segment at a time, records with lengths and checksums, snapshots in files of their own.
//!
//! A segment begins with a checkpoint, which is all that counts, and goes on with the write batches since. Once it is long,
//! the next one is begun and the old one removed. Nothing is reported to be on disk before the sync that covers it.
//!
//! A record says how much of its segment was synced before it was written. A corrupt record before such a point is damage,
//! and the member does not start; one behind all of them is a write that was cut off, and is dropped.

mod error;
mod folder;
mod record;
mod recovery;
mod segment;

pub use error::{OpenError, OpenErrorKind};
pub use folder::{Disk, Folder};
pub use segment::{FORMAT, MAX_SEGMENT_BYTES};

use crate::codec::encode;
use crate::entry::{HardState, LogPosition, Snapshot};
use crate::raft::{PersistentState, WriteBatch};
use crate::Id;
use record::{encode_record, Record};
use recovery::{recover, Recovered};
use segment::{header, is_log_file, segment_name, snapshot_name};
use std::io::{self, ErrorKind};

/// The log of one member.
pub struct DiskLog {
    disk: Box<dyn Disk>,
    state: PersistentState,
    /// The number of the present segment.
    segment: u64,
    /// Bytes of the present segment.
    length: u64,
    /// Bytes of the checkpoint that the present segment begins with.
    checkpoint_bytes: u64,
    /// A write or a sync has failed: what is on disk is not known any more, and nothing is written.
    failed: bool,
}

impl DiskLog {
    /// Reads what is there; a new member gets an id from `new_id`. Files that were not finished are removed.
    ///
    /// # Errors
    /// Where a file cannot be read, is of a format that this program does not know, or is damaged.
    pub fn open(mut disk: Box<dyn Disk>, new_id: impl FnOnce() -> Id) -> Result<Self, OpenError> {
        let recovered = recover(&mut *disk)?;
        let is_current = recovered.as_ref().is_some_and(|recovered| recovered.format == FORMAT);
        let Recovered { segment, state, length, .. } = recovered.unwrap_or_else(|| {
            let hard_state = HardState { id: new_id().max(1), ..HardState::default() };
            let state = PersistentState { hard_state, ..PersistentState::default() };
            Recovered { segment: 0, state, length: 0, format: FORMAT }
        });
        let mut log = Self { disk, state, segment, length, checkpoint_bytes: 0, failed: false };
        if is_current {
            // What follows the last complete record is not part of the log.
            let name = segment_name(segment);
            log.disk.truncate(&name, length).map_err(|error| OpenErrorKind::Io(error).of("the log"))?;
        } else {
            log.begin_segment().map_err(|error| OpenErrorKind::Io(error).of("the log"))?;
        }
        log.remove_old_files().map_err(|error| OpenErrorKind::Io(error).of("the folder"))?;
        Ok(log)
    }

    /// What is on disk.
    #[must_use]
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// Writes these in order, and syncs once. Once this has failed, nothing more is written: what a failed sync left on
    /// the disk nobody knows.
    ///
    /// # Errors
    /// Of the system. None of it may be taken to be on disk then.
    pub fn write(&mut self, batches: &[WriteBatch]) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("an earlier write has failed; what is on disk is not known"));
        }
        let result = self.write_and_sync(batches);
        self.failed = result.is_err();
        result
    }

    fn write_and_sync(&mut self, batches: &[WriteBatch]) -> io::Result<()> {
        for snapshot in batches.iter().filter_map(|batch| batch.snapshot.as_ref()) {
            self.put_file(&snapshot_name(snapshot.position()), &encode(&**snapshot))?;
        }
        let mut bytes = Vec::new();
        for batch in batches {
            bytes.extend_from_slice(&encode_record(&batch_record(batch), self.length));
        }
        let name = segment_name(self.segment);
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        self.length += bytes.len() as u64;
        for batch in batches {
            self.state.apply(batch);
        }
        // A segment that is nearly all checkpoint is not followed by another yet.
        let is_long = self.length > MAX_SEGMENT_BYTES + self.checkpoint_bytes;
        if is_long {
            self.begin_segment()?;
        }
        if is_long || batches.iter().any(|batch| batch.snapshot.is_some()) {
            self.remove_old_files()?;
        }
        Ok(())
    }

    /// Writes a file atomically: under another name first, then renamed.
    fn put_file(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let part = format!("{name}.part");
        match self.disk.remove(&part) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        self.disk.append(&part, bytes)?;
        self.disk.sync(&part)?;
        self.disk.rename(&part, name)?;
        self.disk.sync_names()
    }

    /// Begins the next segment with a checkpoint.
    fn begin_segment(&mut self) -> io::Result<()> {
        let next = self.segment + 1;
        let PersistentState { hard_state, snapshot, base, entries } = self.state.clone();
        let checkpoint = Record::Checkpoint { hard_state, snapshot: snapshot.position(), base, entries };
        let mut bytes = header();
        bytes.extend_from_slice(&encode_record(&checkpoint, 0));
        self.put_file(&segment_name(next), &bytes)?;
        self.segment = next;
        self.length = bytes.len() as u64;
        self.checkpoint_bytes = self.length;
        Ok(())
    }

    /// Removes the files that the present segment does not need.
    fn remove_old_files(&mut self) -> io::Result<()> {
        let position = self.state.snapshot.position();
        let segment = segment_name(self.segment);
        let snapshot = (position != LogPosition::default()).then(|| snapshot_name(position));
        for name in self.disk.list()? {
            let is_needed = name == segment || Some(&name) == snapshot.as_ref();
            if is_log_file(&name) && !is_needed {
                self.disk.remove(&name)?;
            }
        }
        Ok(())
    }
}

fn batch_record(batch: &WriteBatch) -> Record {
    Record::Batch {
        hard_state: batch.hard_state.clone(),
        snapshot: batch.snapshot.as_deref().map(Snapshot::position),
        reset: batch.reset,
        truncate: batch.truncate,
        entries: batch.entries.clone(),
        compact: batch.compact,
    }
}
