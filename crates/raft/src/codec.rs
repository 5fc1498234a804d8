//! The encoding of messages, snapshots and commands: a version byte, a CRC-32 of the body (little-endian), and the body
//! in `postcard`'s form. Fields are positional there: their order and kind is the format, their names are free.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version that this program writes, and the only one that it reads. It is the first byte of a message.
pub const VERSION: u8 = 1;
/// Version and checksum in front of the body (bytes).
const HEADER_BYTES: usize = 5;

/// Why bytes cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Of a version that this program does not know.
    #[error("a message of version {0}; this program speaks {version}", version = VERSION)]
    Version(u8),
    /// The checksum does not match.
    #[error("a message whose sum is wrong")]
    Corrupt,
    /// The checksum matches, and the body is no such value.
    #[error("no message")]
    Malformed,
}

/// A value with version and checksum in front.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // These types have no form that cannot be written.
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut encoded = Vec::with_capacity(HEADER_BYTES + body.len());
    encoded.push(VERSION);
    encoded.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    encoded.extend_from_slice(&body);
    encoded
}

/// The value in these bytes.
///
/// # Errors
/// Where they are of another version, corrupt, or no such value.
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

/// Shared bytes as one byte string, for `#[serde(with = "shared_bytes")]`.
pub(crate) mod shared_bytes {
    use serde::{Deserializer, Serializer};
    use std::sync::Arc;

    /// For `serde`.
    pub fn serialize<S: Serializer>(bytes: &Arc<Vec<u8>>, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    /// For `serde`.
    pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<Arc<Vec<u8>>, D::Error> {
        serde_bytes::deserialize(deserializer).map(Arc::new)
    }
}
