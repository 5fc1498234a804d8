//! Encoding and decoding of RESP arrays of bulk strings, used by the engine protocol and the store's members.

/// The input is not an array of bulk strings, or the array is too large.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// Maximum length of a prefix: a type byte, a length and the line end. A longer one is malformed.
const MAX_PREFIX_BYTES: usize = 16;
const CRLF: &[u8] = b"\r\n";

/// Encodes an array.
pub fn array(values: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", values.len()).into_bytes();
    for value in values {
        bulk(&mut out, value);
    }
    out
}

/// Encodes the start of an array up to its last value, which is `length` bytes long. The caller sends that
/// value and a line end after it.
pub fn array_head(values: &[&[u8]], length: u64) -> Vec<u8> {
    let mut out = format!("*{}\r\n", values.len() + 1).into_bytes();
    for value in values {
        bulk(&mut out, value);
    }
    out.extend_from_slice(format!("${length}\r\n").as_bytes());
    out
}

/// Appends one bulk string.
pub fn bulk(out: &mut Vec<u8>, value: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
    out.extend_from_slice(value);
    out.extend_from_slice(CRLF);
}

/// Limits of a decoded array.
#[derive(Clone, Copy)]
pub struct ArrayLimits {
    /// Maximum number of values in the array.
    pub values: usize,
    /// Maximum size of one value (bytes).
    pub bytes: usize,
}

/// The values of an array, and its encoded length in bytes.
pub type Array<'a> = (Vec<&'a [u8]>, usize);

/// Decodes the array at the start of the input; `None` if it is still incomplete.
///
/// # Errors
/// If the input does not start with an array of bulk strings, or the array exceeds the limits.
pub fn decode_array(input: &[u8], limits: ArrayLimits) -> Result<Option<Array<'_>>, Malformed> {
    let Some(LengthPrefix { number: count, end: mut at }) = read_length(input, 0, b'*')? else {
        return Ok(None);
    };
    if count == 0 || count > limits.values {
        return Err(Malformed);
    }
    let mut values = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(LengthPrefix { number: length, end: start }) = read_length(input, at, b'$')? else {
            return Ok(None);
        };
        if length > limits.bytes {
            return Err(Malformed);
        }
        let end = start + length;
        match input.get(end..end + CRLF.len()) {
            Some(CRLF) => {}
            Some(_) => return Err(Malformed),
            None => return Ok(None),
        }
        values.push(&input[start..end]);
        at = end + CRLF.len();
    }
    Ok(Some((values, at)))
}

/// A decoded prefix: the count of an array or the length of a bulk string.
struct LengthPrefix {
    number: usize,
    /// Offset of the first byte after the prefix.
    end: usize,
}

/// Reads the prefix of type `kind` (`*` or `$`) at `start`; `None` if it is still incomplete.
fn read_length(input: &[u8], start: usize, kind: u8) -> Result<Option<LengthPrefix>, Malformed> {
    let rest = &input[start.min(input.len())..];
    let Some(first) = rest.first() else { return Ok(None) };
    if *first != kind {
        return Err(Malformed);
    }
    let window = &rest[..rest.len().min(MAX_PREFIX_BYTES)];
    let Some(length) = window.windows(CRLF.len()).position(|bytes| bytes == CRLF) else {
        return if rest.len() >= MAX_PREFIX_BYTES { Err(Malformed) } else { Ok(None) };
    };
    let digits = &window[1..length];
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Malformed);
    }
    let number = std::str::from_utf8(digits).ok().and_then(|digits| digits.parse().ok()).ok_or(Malformed)?;
    Ok(Some(LengthPrefix { number, end: start + length + CRLF.len() }))
}
