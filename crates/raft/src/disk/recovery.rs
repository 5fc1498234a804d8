//! Reads the log when a member starts: the latest segment that begins with a complete checkpoint, record by record.
//!
//! A corrupt record before a point that was synced is damage, and the member does not start. One behind all such points is
//! a write that was cut off, and is dropped.

use super::error::{OpenError, OpenErrorKind};
use super::folder::Disk;
use super::record::{decode_record, DecodedRecord, Record};
use super::segment::{read_format, segment_number, snapshot_name, HEADER_BYTES};
use crate::codec::decode;
use crate::entry::{LogPosition, Snapshot};
use crate::raft::{PersistentState, WriteBatch};
use crate::Index;
use std::sync::Arc;

/// What was found in the folder.
pub(super) struct Recovered {
    /// The number of the segment that it was found in.
    pub segment: u64,
    pub state: PersistentState,
    /// Bytes of the segment that are complete records.
    pub length: u64,
    /// The segment's format.
    pub format: u32,
}

/// A segment in the folder, ordered by number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SegmentFile {
    number: u64,
    name: String,
}

/// The state on disk; none in a folder without a segment that begins with a complete checkpoint.
pub(super) fn recover(disk: &mut dyn Disk) -> Result<Option<Recovered>, OpenError> {
    let names = disk.list().map_err(|error| OpenErrorKind::Io(error).of("the folder"))?;
    let numbered = |name: String| segment_number(&name).map(|number| SegmentFile { number, name });
    let mut segments: Vec<SegmentFile> = names.into_iter().filter_map(numbered).collect();
    segments.sort_unstable();
    // The latest that begins with a complete checkpoint. One that does not was being written when the program ended.
    while let Some(SegmentFile { number, name }) = segments.pop() {
        let bytes = disk.read(&name).map_err(|error| OpenErrorKind::Io(error).of(&name))?;
        if let Some(replayed) = replay(disk, &name, &bytes)? {
            let Replayed { state, length, format } = replayed;
            return Ok(Some(Recovered { segment: number, state, length, format }));
        }
        if segments.is_empty() && number > 1 {
            return Err(OpenErrorKind::NoCheckpoint.of(&name));
        }
    }
    Ok(None)
}

/// A segment's content.
struct Replayed {
    state: PersistentState,
    length: u64,
    format: u32,
}

/// Reads a segment; none where it does not begin with a complete checkpoint.
fn replay(disk: &mut dyn Disk, name: &str, bytes: &[u8]) -> Result<Option<Replayed>, OpenError> {
    let Some(format) = read_format(name, bytes)? else { return Ok(None) };
    let Some(DecodedRecord { record, end, .. }) = decode_record(bytes, HEADER_BYTES, format) else {
        return Ok(None);
    };
    let Record::Checkpoint { hard_state, snapshot: mut snapshot_position, base, entries } = record else {
        return Ok(None);
    };
    let mut state = PersistentState { hard_state, snapshot: Arc::default(), base, entries };
    let mut offset = end;
    while offset < bytes.len() {
        let Some(decoded) = decode_record(bytes, offset, format) else {
            check_tail(name, bytes, offset, format)?;
            break;
        };
        offset = decoded.end;
        let Some(batch) = batch_of(decoded.record) else {
            return Err(OpenErrorKind::MisplacedCheckpoint(offset).of(name));
        };
        snapshot_position = batch.snapshot.as_deref().map_or(snapshot_position, Snapshot::position);
        state.apply(&batch);
    }
    if snapshot_position != LogPosition::default() {
        state.snapshot = Arc::new(read_snapshot(disk, snapshot_position)?);
    }
    if !is_contiguous(&state) {
        return Err(OpenErrorKind::MissingEntries.of(name));
    }
    Ok(Some(Replayed { state, length: offset as u64, format }))
}

/// The write batch of a record, its snapshot without members and data; none of a checkpoint.
fn batch_of(record: Record) -> Option<WriteBatch> {
    let Record::Batch { hard_state, snapshot, reset, truncate, entries, compact } = record else {
        return None;
    };
    let without_content =
        |LogPosition { index, term }| Arc::new(Snapshot { index, term, ..Snapshot::default() });
    let snapshot = snapshot.map(without_content);
    Some(WriteBatch { number: 0, hard_state, snapshot, reset, truncate, entries, compact })
}

/// What begins at `offset` is no complete record: cut off, unless a later record says that it was synced.
fn check_tail(name: &str, bytes: &[u8], offset: usize, format: u32) -> Result<(), OpenError> {
    let mut later = (offset + 1..bytes.len()).filter_map(|at| decode_record(bytes, at, format));
    if format > 1 && later.any(|record| record.synced > offset as u64) {
        return Err(OpenErrorKind::CorruptRecord(offset).of(name));
    }
    Ok(())
}

fn read_snapshot(disk: &mut dyn Disk, position: LogPosition) -> Result<Snapshot, OpenError> {
    let name = snapshot_name(position);
    let bytes = disk.read(&name).map_err(|error| OpenErrorKind::Io(error).of(&name))?;
    let snapshot: Snapshot = decode(&bytes).map_err(|error| OpenErrorKind::Snapshot(error).of(&name))?;
    if snapshot.position() != position {
        return Err(OpenErrorKind::WrongSnapshot.of(&name));
    }
    Ok(snapshot)
}

/// Whether the entries follow each other from the base on.
fn is_contiguous(state: &PersistentState) -> bool {
    let first = state.base.index + 1;
    state.entries.iter().zip(first..).all(|(entry, index): (_, Index)| entry.index == index)
}
