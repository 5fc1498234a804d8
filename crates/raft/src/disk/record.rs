//! A record of a segment: a mark, the body's length, a checksum, how much of the segment had been synced when the
//! record was written, and the body encoded by `postcard`. All numbers are little-endian.
//!
//! The order and types of the variants and fields of [`Record`] are the format of the log on disk.

use crate::entry::{Entry, HardState, LogPosition};
use crate::Index;
use serde::{Deserialize, Serialize};

/// Precedes each record, so that the records after a corrupt one can be found.
const MARK: [u8; 2] = [0xd5, 0x6b];
/// Length and checksum: the whole header in format 1, a part of it since.
const LENGTH_AND_CHECKSUM_BYTES: usize = 4 + 4;
/// Mark, length, checksum and synced length.
const HEADER_BYTES: usize = MARK.len() + LENGTH_AND_CHECKSUM_BYTES + 8;
/// The longest body of a record.
const MAX_BODY_BYTES: usize = 64 << 20;

/// The content of a record.
#[derive(Serialize, Deserialize)]
pub(super) enum Record {
    /// The complete state, with the snapshot's position only; the first record of a segment.
    Checkpoint { hard_state: HardState, snapshot: LogPosition, base: LogPosition, entries: Vec<Entry> },
    /// A write batch.
    Batch {
        hard_state: Option<HardState>,
        snapshot: Option<LogPosition>,
        reset: bool,
        truncate: Option<Index>,
        entries: Vec<Entry>,
        compact: Option<Index>,
    },
}

/// A decoded record.
pub(super) struct DecodedRecord {
    pub record: Record,
    /// Bytes of the segment that had been synced when the record was written; 0 in format 1.
    pub synced: u64,
    /// The offset of the next record (bytes).
    pub end: usize,
}

/// A record's header.
struct Header {
    length: usize,
    checksum: u32,
    /// Synced bytes of the segment; `None` in format 1.
    synced: Option<u64>,
    /// The offset of the body (bytes).
    body: usize,
}

impl Header {
    fn read(bytes: &[u8], offset: usize, format: u32) -> Option<Self> {
        let marked = format > 1;
        let offset = if marked { offset + MARK.len() } else { offset };
        if marked && bytes.get(offset - MARK.len()..offset)? != MARK {
            return None;
        }
        let length = u32::from_le_bytes(array_at(bytes, offset)?) as usize;
        let checksum = u32::from_le_bytes(array_at(bytes, offset + 4)?);
        let end = offset + LENGTH_AND_CHECKSUM_BYTES;
        if !marked {
            return Some(Self { length, checksum, synced: None, body: end });
        }
        let synced = u64::from_le_bytes(array_at(bytes, end)?);
        Some(Self { length, checksum, synced: Some(synced), body: end + 8 })
    }

    fn matches(&self, body: &[u8]) -> bool {
        let checksum = match self.synced {
            Some(synced) => checksum(body, synced),
            None => crc32fast::hash(body),
        };
        checksum == self.checksum
    }
}

fn array_at<const N: usize>(bytes: &[u8], offset: usize) -> Option<[u8; N]> {
    bytes.get(offset..offset + N)?.try_into().ok()
}

fn checksum(body: &[u8], synced: u64) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&synced.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Encodes a record in the current format. `synced` bytes of its segment are on disk.
pub(super) fn encode_record(record: &Record, synced: u64) -> Vec<u8> {
    // Serialization into memory cannot fail for these types.
    let body = postcard::to_stdvec(record).unwrap_or_default();
    let mut encoded = Vec::with_capacity(HEADER_BYTES + body.len());
    encoded.extend_from_slice(&MARK);
    encoded.extend_from_slice(&(body.len() as u32).to_le_bytes());
    encoded.extend_from_slice(&checksum(&body, synced).to_le_bytes());
    encoded.extend_from_slice(&synced.to_le_bytes());
    encoded.extend_from_slice(&body);
    encoded
}

/// Decodes the record at `offset`; returns `None` if it is incomplete or corrupt.
pub(super) fn decode_record(bytes: &[u8], offset: usize, format: u32) -> Option<DecodedRecord> {
    let header = Header::read(bytes, offset, format)?;
    if header.length > MAX_BODY_BYTES {
        return None;
    }
    let end = header.body.checked_add(header.length)?;
    let body = bytes.get(header.body..end)?;
    if !header.matches(body) {
        return None;
    }
    let record = postcard::from_bytes(body).ok()?;
    Some(DecodedRecord { record, synced: header.synced.unwrap_or_default(), end })
}
