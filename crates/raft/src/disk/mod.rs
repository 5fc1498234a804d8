//! The log on disk: one segment at a time, made of records with length and checksum; snapshots are separate files.
//!
//! A segment starts with a checkpoint of the complete state, followed by the write batches since then. Once it is long
//! enough, the next one is started and the old one removed. Nothing is reported as persisted before it is synced.
//!
//! Each record states how much of its segment had been synced when it was written. A corrupt record within a part known
//! to be synced is damage, and the member refuses to start; one after all such parts is a torn write, and is dropped.

mod commit_file;
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
    /// The number of the current segment.
    segment: u64,
    /// The length of the current segment (bytes).
    length: u64,
    /// The length of the current segment's header and checkpoint (bytes).
    checkpoint_bytes: u64,
    /// A write or a sync has failed: what is on disk is unknown, so nothing more is written.
    failed: bool,
}

impl DiskLog {
    /// Recovers the log from the folder; a new member gets its id from `new_id`. Removes incomplete and obsolete files.
    ///
    /// # Errors
    /// If a file cannot be read, has an unsupported format, or is damaged.
    pub fn open(mut disk: Box<dyn Disk>, new_id: impl FnOnce() -> Id) -> Result<Self, OpenError> {
        let recovered = recover(&mut *disk)?;
        let is_current = recovered.as_ref().is_some_and(|recovered| recovered.format == FORMAT);
        let Recovered { segment, state, length, .. } = recovered.unwrap_or_else(|| {
            let hard_state = HardState { id: new_id().max(1), ..HardState::default() };
            let state = PersistentState { hard_state, ..PersistentState::default() };
            Recovered { segment: 0, state, length: 0, format: FORMAT }
        });
        let mut log = Self { disk, state, segment, length, checkpoint_bytes: 0, failed: false };
        log.state.commit = commit_file::read(&mut *log.disk, &log.state.hard_state);
        if is_current {
            // Bytes after the last complete record are not part of the log.
            let name = segment_name(segment);
            log.disk.truncate(&name, length).map_err(|error| OpenErrorKind::Io(error).in_file("the log"))?;
        } else {
            log.start_segment().map_err(|error| OpenErrorKind::Io(error).in_file("the log"))?;
        }
        log.remove_old_files().map_err(|error| OpenErrorKind::Io(error).in_file("the folder"))?;
        Ok(log)
    }

    /// The state on disk.
    #[must_use]
    pub fn state(&self) -> &PersistentState {
        &self.state
    }

    /// Writes the batches in order, with a single sync. After a failure nothing more is written, because it is unknown
    /// what a failed sync left on the disk.
    ///
    /// # Errors
    /// The error of the operating system. None of the batches may be assumed to be on disk then.
    pub fn write(&mut self, batches: &[WriteBatch]) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("an earlier write failed; the state on disk is unknown"));
        }
        let result = self.write_and_sync(batches);
        self.failed = result.is_err();
        result
    }

    /// Records how far the log is known to be committed. This is not synced, and an error changes nothing: the former
    /// record stays.
    pub fn record_commit(&mut self, commit: LogPosition) {
        if !self.failed && commit_file::write(&mut *self.disk, &self.state.hard_state, commit).is_ok() {
            self.state.commit = commit;
        }
    }

    fn write_and_sync(&mut self, batches: &[WriteBatch]) -> io::Result<()> {
        for snapshot in batches.iter().filter_map(|batch| batch.snapshot.as_ref()) {
            self.put_file(&snapshot_name(snapshot.position()), &encode(&**snapshot))?;
        }
        let mut bytes = Vec::new();
        for batch in batches {
            bytes.extend_from_slice(&encode_record(&batch_to_record(batch), self.length));
        }
        let name = segment_name(self.segment);
        self.disk.append(&name, &bytes)?;
        self.disk.sync(&name)?;
        self.length += bytes.len() as u64;
        for batch in batches {
            self.state.apply(batch);
        }
        // The checkpoint is not counted: one above the limit would start a new segment at every write.
        let is_full = self.length > MAX_SEGMENT_BYTES + self.checkpoint_bytes;
        if is_full {
            self.start_segment()?;
        }
        if is_full || batches.iter().any(|batch| batch.snapshot.is_some()) {
            self.remove_old_files()?;
        }
        Ok(())
    }

    /// Writes a file atomically: under a temporary name, which is then changed to `name`.
    fn put_file(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let part_name = format!("{name}.part");
        match self.disk.remove(&part_name) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        self.disk.append(&part_name, bytes)?;
        self.disk.sync(&part_name)?;
        self.disk.rename(&part_name, name)?;
        self.disk.sync_names()
    }

    /// Starts the next segment, with a checkpoint.
    fn start_segment(&mut self) -> io::Result<()> {
        let next = self.segment + 1;
        let PersistentState { hard_state, snapshot, base, entries, .. } = self.state.clone();
        let checkpoint = Record::Checkpoint { hard_state, snapshot: snapshot.position(), base, entries };
        let mut bytes = header();
        bytes.extend_from_slice(&encode_record(&checkpoint, 0));
        self.put_file(&segment_name(next), &bytes)?;
        self.segment = next;
        self.length = bytes.len() as u64;
        self.checkpoint_bytes = self.length;
        Ok(())
    }

    /// Removes all log files except the current segment and its snapshot.
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

fn batch_to_record(batch: &WriteBatch) -> Record {
    Record::Batch {
        hard_state: batch.hard_state.clone(),
        snapshot: batch.snapshot.as_deref().map(Snapshot::position),
        reset: batch.reset,
        truncate: batch.truncate,
        entries: batch.entries.clone(),
        compact: batch.compact,
    }
}
