//! The files of the log: their names, and a segment's header.

use super::error::{OpenError, OpenErrorKind};
use crate::entry::LogPosition;

/// The format that is written. Format 1 is read too: its records had no marks and said nothing of syncs.
pub const FORMAT: u32 = 2;
/// A segment is followed by the next once it holds so many bytes beside its checkpoint.
pub const MAX_SEGMENT_BYTES: u64 = 8 << 20;

/// The first bytes of a segment.
const MAGIC: &[u8; 4] = b"DSPQ";
/// The magic and the format's number.
pub(super) const HEADER_BYTES: usize = 8;
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// A segment's file name.
pub(super) fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016x}")
}

/// The number of a segment, if the name is one of a segment.
pub(super) fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(SEGMENT_PREFIX)?;
    u64::from_str_radix(digits, 16).ok()
}

/// A snapshot's file name.
pub(super) fn snapshot_name(position: LogPosition) -> String {
    format!("{SNAPSHOT_PREFIX}{:016x}-{:016x}", position.index, position.term)
}

/// Whether the log has given a file this name, be the file finished or not.
pub(super) fn is_log_file(name: &str) -> bool {
    name.starts_with(SEGMENT_PREFIX) || name.starts_with(SNAPSHOT_PREFIX)
}

/// What a segment of the present format begins with.
pub(super) fn header() -> Vec<u8> {
    [&MAGIC[..], &FORMAT.to_le_bytes()].concat()
}

/// The format of a segment; none where it does not begin as one.
pub(super) fn read_format(name: &str, bytes: &[u8]) -> Result<Option<u32>, OpenError> {
    let Some((header, _)) = bytes.split_first_chunk::<HEADER_BYTES>() else { return Ok(None) };
    let Some(format) = header.strip_prefix(MAGIC) else { return Ok(None) };
    let format = u32::from_le_bytes(format.try_into().unwrap_or_default());
    if !(1..=FORMAT).contains(&format) {
        return Err(OpenErrorKind::UnknownFormat(format).of(name));
    }
    Ok(Some(format))
}
