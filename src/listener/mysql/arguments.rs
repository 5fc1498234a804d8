//! The arguments of executions.

use super::error::{CommandError, MysqlError};
use super::statement::Statement;
use crate::mysql::packet::{self, Malformed, Reader};
use std::fmt::Write as _;
use std::sync::Arc;

/// Bytes of a parameter's type.
const TYPE_BYTES: usize = 2;
/// Says that the types of the parameters follow.
const NEW_TYPES: u64 = 1;
/// Says that the types are those that were bound before.
const SAME_TYPES: u64 = 0;

/// Decodes an execution's arguments and returns them with their types: null bitmap, a 1, types, values. `is_sent_ahead` says
/// whether a parameter's value was sent ahead of the execution and is not among the values.
///
/// # Errors
/// The types were never bound, or the bytes are malformed.
pub fn decode(
    reader: &mut Reader,
    statement: &mut Statement,
    is_sent_ahead: impl Fn(usize) -> bool,
) -> Result<Vec<u8>, CommandError> {
    let count = statement.parameter_count;
    if count == 0 {
        return Ok(Vec::new());
    }
    let nulls = reader.read_bytes(bitmap_bytes(count))?;
    match reader.number(1)? {
        SAME_TYPES => {}
        NEW_TYPES => statement.types = reader.read_bytes(types_bytes(count))?.to_vec(),
        _ => return Err(CommandError::Malformed),
    }
    if statement.types.len() != types_bytes(count) {
        return Err(MysqlError::unbound_parameters().into());
    }
    let values = reader.0;
    for position in 0..count {
        if !is_null(nulls, position) && !is_sent_ahead(position) {
            packet::value(reader, type_at(&statement.types, position))?;
        }
    }
    if !reader.0.is_empty() {
        return Err(CommandError::Malformed);
    }
    Ok([&with_types(nulls, &statement.types), values].concat())
}

/// What stands ahead of the values: null bitmap, a 1, types.
pub fn with_types(nulls: &[u8], types: &[u8]) -> Vec<u8> {
    [nulls, &[NEW_TYPES as u8], types].concat()
}

/// The idempotency key in the argument at `wanted`; `None` if it is null or empty. `is_sent_ahead` is that of [`decode`].
///
/// # Errors
/// The arguments are malformed.
pub fn key_at(
    arguments: &[u8],
    statement: &Statement,
    wanted: usize,
    is_sent_ahead: impl Fn(usize) -> bool,
) -> Result<Option<Arc<str>>, Malformed> {
    let mut reader = Reader(arguments);
    let nulls = reader.read_bytes(bitmap_bytes(statement.parameter_count))?;
    reader.read_bytes(1 + types_bytes(statement.parameter_count))?;
    for position in 0..=wanted {
        let has_value = !is_null(nulls, position) && !is_sent_ahead(position);
        let value =
            if has_value { packet::value(&mut reader, type_at(&statement.types, position))? } else { &[] };
        if position == wanted && !value.is_empty() {
            return Ok(Some(key_text(value)));
        }
    }
    Ok(None)
}

/// A key as engines are sent it: plain text as it is, all else in hex.
pub fn key_text(value: &[u8]) -> Arc<str> {
    match std::str::from_utf8(value) {
        Ok(text) if text.chars().all(|character| character.is_ascii_graphic()) => text.into(),
        _ => hex(value).into(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}"); // a String takes all
        text
    })
}

/// Bytes of the bitmap that says which of so many parameters are null.
pub fn bitmap_bytes(count: usize) -> usize {
    count.div_ceil(8)
}

/// Bytes of the types of so many parameters.
pub fn types_bytes(count: usize) -> usize {
    TYPE_BYTES * count
}

/// Whether the bitmap says that the parameter is null.
pub fn is_null(nulls: &[u8], position: usize) -> bool {
    nulls[position / 8] >> (position % 8) & 1 == 1
}

/// The type of a parameter; its second byte says only whether it is signed.
pub fn type_at(types: &[u8], position: usize) -> u8 {
    types[TYPE_BYTES * position]
}

/// Whether the byte behind the null bitmap announces types.
pub fn announces_types(reader: &mut Reader) -> Result<bool, Malformed> {
    Ok(reader.number(1)? == NEW_TYPES)
}
