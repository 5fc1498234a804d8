//! Reads the log when a member starts: replays the latest segment that starts with a complete checkpoint.
//!
//! A corrupt record within a part known to be synced is damage, and the member refuses to start. One after all such
//! parts is a torn write, and is dropped.

use super::error::{OpenError, OpenErrorKind};
use super::folder::Disk;
use super::record::{decode_record, DecodedRecord, Record};
use super::segment::{read_format, segment_number, snapshot_name, HEADER_BYTES};
use crate::codec::decode;
use crate::entry::{LogPosition, Snapshot};
use crate::raft::{PersistentState, WriteBatch};
use crate::Index;
use std::sync::Arc;

/// The state recovered from the folder.
pub(super) struct Recovered {
    /// The number of the segment that it was read from.
    pub segment: u64,
    pub state: PersistentState,
    /// Length of the segment up to the end of its last complete record (bytes).
    pub length: u64,
    /// The segment's format.
    pub format: u32,
}

/// A segment file in the folder, ordered by number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SegmentFile {
    number: u64,
    name: String,
}

/// Recovers the state on disk; returns `None` for a new member, which has no segment or an incomplete first one.
pub(super) fn recover(disk: &mut dyn Disk) -> Result<Option<Recovered>, OpenError> {
    let names = disk.list().map_err(|error| OpenErrorKind::Io(error).in_file("the folder"))?;
    let numbered = |name: String| segment_number(&name).map(|number| SegmentFile { number, name });
    let mut segments: Vec<SegmentFile> = names.into_iter().filter_map(numbered).collect();
    segments.sort_unstable();
    // Find the latest segment with a complete checkpoint. Any later one was still being written when the program ended.
    while let Some(SegmentFile { number, name }) = segments.pop() {
        let bytes = disk.read(&name).map_err(|error| OpenErrorKind::Io(error).in_file(&name))?;
        if let Some(replayed) = replay(disk, &name, &bytes)? {
            let Replayed { state, length, format } = replayed;
            return Ok(Some(Recovered { segment: number, state, length, format }));
        }
        if segments.is_empty() && number > 1 {
            return Err(OpenErrorKind::NoCheckpoint.in_file(&name));
        }
    }
    Ok(None)
}

/// The replayed content of a segment.
struct Replayed {
    state: PersistentState,
    length: u64,
    format: u32,
}

/// Replays a segment; returns `None` if it does not start with a complete checkpoint.
fn replay(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> Result<Option<Replayed>, OpenError> {
    let Some(format) = read_format(name, bytes)? else { return Ok(None) };
    let Some(DecodedRecord { record, end, .. }) = decode_record(bytes, HEADER_BYTES, format) else {
        return Ok(None);
    };
    let Record::Checkpoint { hard_state, snapshot: mut snapshot_position, base, entries } = record else {
        return Ok(None);
    };
    let mut state = PersistentState {
        hard_state,
        snapshot: Arc::default(),
        base,
        entries,
        commit: LogPosition::default(),
    };
    let mut offset = end;
    while offset < bytes.len() {
        let Some(decoded) = decode_record(bytes, offset, format) else {
            check_tail(name, bytes, offset, format)?;
            break;
        };
        offset = decoded.end;
        let Some(batch) = record_to_batch(decoded.record) else {
            return Err(OpenErrorKind::MisplacedCheckpoint(offset).in_file(name));
        };
        snapshot_position = batch.snapshot.as_deref().map_or(snapshot_position, Snapshot::position);
        state.apply(&batch);
    }
    if snapshot_position != LogPosition::default() {
        state.snapshot = Arc::new(read_snapshot(disk, snapshot_position)?);
    }
    if !is_contiguous(&state) {
        return Err(OpenErrorKind::MissingEntries.in_file(name));
    }
    Ok(Some(Replayed { state, length: offset as u64, format }))
}

/// Converts a record to its write batch, whose snapshot has a position only; returns `None` for a checkpoint.
fn record_to_batch(record: Record) -> Option<WriteBatch> {
    let Record::Batch { hard_state, snapshot, reset, truncate, entries, compact } = record else {
        return None;
    };
    let without_content =
        |LogPosition { index, term }| Arc::new(Snapshot { index, term, ..Snapshot::default() });
    let snapshot = snapshot.map(without_content);
    Some(WriteBatch { number: 0, hard_state, snapshot, reset, truncate, entries, compact })
}

/// Checks the rest of a segment from `offset`, where there is no complete record: this is a torn write, unless a later
/// record shows that these bytes had been synced.
fn check_tail(name: &str, bytes: &[u8], offset: usize, format: u32) -> Result<(), OpenError> {
    let mut later = (offset + 1..bytes.len()).filter_map(|at| decode_record(bytes, at, format));
    if format > 1 && later.any(|record| record.synced > offset as u64) {
        return Err(OpenErrorKind::CorruptRecord(offset).in_file(name));
    }
    Ok(())
}

fn read_snapshot(disk: &mut dyn Disk, position: LogPosition) -> Result<Snapshot, OpenError> {
    let name = snapshot_name(position);
    let bytes = disk.read(&name).map_err(|error| OpenErrorKind::Io(error).in_file(&name))?;
    let snapshot: Snapshot = decode(&bytes).map_err(|error| OpenErrorKind::Snapshot(error).in_file(&name))?;
    if snapshot.position() != position {
        return Err(OpenErrorKind::WrongSnapshot.in_file(&name));
    }
    Ok(snapshot)
}

/// Whether the entries are contiguous, starting after the base.
fn is_contiguous(state: &PersistentState) -> bool {
    let first = state.base.index + 1;
    state.entries.iter().zip(first..).all(|(entry, index): (_, Index)| entry.index == index)
}
