//! The names of the log's files, and the header of a segment.

use super::error::{OpenError, OpenErrorKind};
use crate::entry::LogPosition;

/// The segment format that is written. Format 1 can still be read: its records have no marks and no synced length.
pub const FORMAT: u32 = 2;
/// A new segment is started once the current one has more than this many bytes beyond its checkpoint.
pub const MAX_SEGMENT_BYTES: u64 = 8 << 20;

/// The first bytes of every segment.
const MAGIC: &[u8; 4] = b"DSPQ";
/// Length of a segment's header: the magic and the format number.
pub(super) const HEADER_BYTES: usize = 8;
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// The file name of a segment.
pub(super) fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016x}")
}

/// The segment number in a file name; `None` if the file is not a segment.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(SEGMENT_PREFIX)?;
    u64::from_str_radix(digits, 16).ok()
}

/// The file name of a snapshot.
pub(super) fn snapshot_name(position: LogPosition) -> String {
    format!("{SNAPSHOT_PREFIX}{:016x}-{:016x}", position.index, position.term)
}

/// Whether this is the name of a segment or snapshot file, complete or incomplete.
pub(super) fn is_log_file(name: &str) -> bool {
    name.starts_with(SEGMENT_PREFIX) || name.starts_with(SNAPSHOT_PREFIX)
}

/// The header of a segment in the current format.
pub(super) fn header() -> Vec<u8> {
    [&MAGIC[..], &FORMAT.to_le_bytes()].concat()
}

/// Reads the format from a segment's header; returns `None` if there is no complete, valid header.
pub(super) fn read_format(name: &str, bytes: &[u8]) -> Result<Option<u32>, OpenError> {
    let Some((header, _)) = bytes.split_first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let Some(format) = header.strip_prefix(MAGIC) else { return Ok(None) };
    let format = u32::from_le_bytes(format.try_into().unwrap_or_default());
    if !(1..=FORMAT).contains(&format) {
        return Err(OpenErrorKind::UnknownFormat(format).in_file(name));
    }
    Ok(Some(format))
}
