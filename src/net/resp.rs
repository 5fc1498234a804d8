//! RESP arrays of bulk strings, as engines and the store's members speak them.

/// The bytes are no array of bulk strings, or one that is too large.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// Bytes of a type, a length and their line end; a longer prefix holds no length.
const MAX_PREFIX_BYTES: usize = 16;
const CRLF: &[u8] = b"\r\n";

/// An array, encoded.
pub fn array(values: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", values.len()).into_bytes();
    for value in values {
        bulk(&mut out, value);
    }
    out
}

/// The beginning of an array whose last value, of that length (bytes), is still to come; a line end goes behind it.
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

/// Bounds of an array that is read.
#[derive(Clone, Copy)]
pub struct ArrayLimits {
    /// Values of the array.
    pub values: usize,
    /// Bytes of one value.
    pub bytes: usize,
}

/// The values of an array, and the bytes it took.
pub type Array<'a> = (Vec<&'a [u8]>, usize);

/// The array at the start of the input and the bytes it took, once all of it is here.
///
/// # Errors
/// Where the input begins with no array of bulk strings, or with one beyond the bounds.
pub fn decode_array(input: &[u8], bounds: ArrayLimits) -> Result<Option<Array<'_>>, Malformed> {
    let Some(LengthPrefix { number: count, end: mut at }) = read_length(input, 0, b'*')? else {
        return Ok(None);
    };
    if count == 0 || count > bounds.values {
        return Err(Malformed);
    }
    let mut values = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(LengthPrefix { number: length, end: start }) = read_length(input, at, b'$')? else {
            return Ok(None);
        };
        if length > bounds.bytes {
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

/// A type and a length, which go ahead of what they announce.
struct LengthPrefix {
    number: usize,
    /// Where what it announces starts.
    end: usize,
}

/// The prefix of that type (`*` or `$`) at `start`, once all of it is here.
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
