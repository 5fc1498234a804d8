//! The encoding of messages, snapshots and commands: a version byte, a CRC-32 of the body (little-endian), and the
//! body encoded by `postcard`. Fields are positional: their order and types are the format, their names are not.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The only encoding version that this program reads and writes; the first byte of every encoded value.
pub const VERSION: u8 = 1;
/// Version and checksum before the body (bytes).
const HEADER_BYTES: usize = 5;

/// Why bytes cannot be decoded. The state machine stores these texts in outcomes: they are part of its format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The encoding version is not supported.
    #[error("a message of version {0}; this program speaks {version}", version = VERSION)]
    Version(u8),
    /// The checksum does not match.
    #[error("a message whose sum is wrong")]
    Corrupt,
    /// The bytes are shorter than the header, or the body is not a value of the expected type.
    #[error("no message")]
    Malformed,
}

/// Encodes a value, preceded by version and checksum.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization into memory cannot fail for these types.
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut encoded = Vec::with_capacity(HEADER_BYTES + body.len());
    encoded.push(VERSION);
    encoded.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    encoded.extend_from_slice(&body);
    encoded
}

/// Decodes a value.
///
/// # Errors
/// If the bytes have another version, are corrupt, or are not a value of this type.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (header, body) = bytes.split_at_checked(HEADER_BYTES).ok_or(DecodeError::Malformed)?;
    if header[0] != VERSION {
        return Err(DecodeError::Version(header[0]));
    }
    if header[1..] != crc32fast::hash(body).to_le_bytes() {
        return Err(DecodeError::Corrupt);
    }
    postcard::from_bytes(body).map_err(|_| DecodeError::Malformed)
}

/// Serializes shared bytes as one byte string, for `#[serde(with = "shared_bytes")]`.
pub(crate) mod shared_bytes {
    use serde::{Deserializer, Serializer};
    use std::sync::Arc;

    /// Serializes the bytes as a byte string.
    pub fn serialize<S: Serializer>(bytes: &Arc<Vec<u8>>, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    /// Deserializes a byte string.
    pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Arc<Vec<u8>>, D::Error> {
        serde_bytes::deserialize(deserializer).map(Arc::new)
    }
}
