//! The arguments in `COM_STMT_EXECUTE` commands.

use super::error::{CommandError, MysqlError};
use super::statement::Statement;
use crate::mysql::packet::{self, Malformed, Reader};
use std::fmt::Write as _;
use std::sync::Arc;

/// Size of a parameter's type (bytes).
const TYPE_BYTES: usize = 2;
/// Flag after the null bitmap: the parameters' types follow.
const TYPES_FOLLOW: u64 = 1;
/// Flag after the null bitmap: the types are those that were bound before.
const TYPES_UNCHANGED: u64 = 0;

/// Decodes an execution's arguments and returns them with their types: null bitmap, a 1, types, values.
/// `is_long_data` returns whether a parameter's value was sent ahead of the execution as long data, and so is
/// not among the values.
///
/// # Errors
/// The types were never bound, or the bytes are malformed.
pub fn decode(
    reader: &mut Reader,
    statement: &mut Statement,
    is_long_data: impl Fn(usize) -> bool,
) -> Result<Vec<u8>, CommandError> {
    let count = statement.parameter_count;
    if count == 0 {
        return Ok(Vec::new());
    }
    let nulls = reader.read_bytes(bitmap_bytes(count))?;
    match reader.number(1)? {
        TYPES_UNCHANGED => {}
        TYPES_FOLLOW => statement.types = reader.read_bytes(types_bytes(count))?.to_vec(),
        _ => return Err(CommandError::Malformed),
    }
    if statement.types.len() != types_bytes(count) {
        return Err(MysqlError::unbound_parameters().into());
    }
    let values = reader.0;
    for position in 0..count {
        if !is_null(nulls, position) && !is_long_data(position) {
            packet::value(reader, type_at(&statement.types, position))?;
        }
    }
    if !reader.0.is_empty() {
        return Err(CommandError::Malformed);
    }
    Ok([&encode_types(nulls, &statement.types), values].concat())
}

/// The part of the arguments that precedes the values: null bitmap, a 1, types.
pub fn encode_types(nulls: &[u8], types: &[u8]) -> Vec<u8> {
    [nulls, &[TYPES_FOLLOW as u8], types].concat()
}

/// The idempotency key in the argument at position `wanted`; `None` if it is null, empty or sent as long
/// data. `is_long_data` is as in [`decode`].
///
/// # Errors
/// The arguments are malformed.
pub fn key_at(
    arguments: &[u8],
    statement: &Statement,
    wanted: usize,
    is_long_data: impl Fn(usize) -> bool,
) -> Result<Option<Arc<str>>, Malformed> {
    let mut reader = Reader(arguments);
    let nulls = reader.read_bytes(bitmap_bytes(statement.parameter_count))?;
    reader.read_bytes(1 + types_bytes(statement.parameter_count))?;
    for position in 0..=wanted {
        let has_value = !is_null(nulls, position) && !is_long_data(position);
        let value =
            if has_value { packet::value(&mut reader, type_at(&statement.types, position))? } else { &[] };
        if position == wanted && !value.is_empty() {
            return Ok(Some(key_text(value)));
        }
    }
    Ok(None)
}

/// The form in which engines receive a key: graphic ASCII unchanged, anything else in hex.
pub fn key_text(value: &[u8]) -> Arc<str> {
    match std::str::from_utf8(value) {
        Ok(text) if text.chars().all(|character| character.is_ascii_graphic()) => text.into(),
        _ => hex(value).into(),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}"); // writing to a String cannot fail
        text
    })
}

/// Size of the null bitmap for `count` parameters (bytes).
pub fn bitmap_bytes(count: usize) -> usize {
    count.div_ceil(8)
}

/// Size of the types of `count` parameters (bytes).
pub fn types_bytes(count: usize) -> usize {
    TYPE_BYTES * count
}

/// Whether the parameter is null according to the bitmap.
pub fn is_null(nulls: &[u8], position: usize) -> bool {
    nulls[position / 8] >> (position % 8) & 1 == 1
}

/// The type of a parameter, without the second byte, which only states whether it is signed.
pub fn type_at(types: &[u8], position: usize) -> u8 {
    types[TYPE_BYTES * position]
}

/// Reads the flag after the null bitmap. Returns whether types follow.
pub fn types_follow(reader: &mut Reader) -> Result<bool, Malformed> {
    Ok(reader.number(1)? == TYPES_FOLLOW)
}
