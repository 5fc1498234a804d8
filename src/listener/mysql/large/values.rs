//! Incremental check of an execution's values.

use crate::listener::mysql::arguments::key_text;
use crate::mysql::packet::{value_type, Malformed, ValueExtent};
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum length of an idempotency key in an argument (bytes). A longer value is not used as a key.
const MAX_KEY_BYTES: usize = 256;

/// A value that has yet to arrive.
pub struct ExpectedValue {
    /// The parameter's position, from 0.
    pub position: usize,
    /// Its type.
    pub value_type: u8,
}

/// Scans an execution's values as they arrive: checks that they are well formed, and extracts the idempotency
/// key.
pub struct ValueScanner {
    /// Values of which no byte has arrived, except perhaps part of the first one's length prefix.
    expected: VecDeque<ExpectedValue>,
    /// The part of the next value's length that has arrived.
    length_prefix: Vec<u8>,
    /// Bytes of the current value that have not arrived.
    remaining: usize,
    /// Position of the parameter that contains the idempotency key.
    key_position: Option<usize>,
    key: Vec<u8>,
    /// Whether the current value is the key.
    is_key: bool,
}

impl ValueScanner {
    /// Creates a scanner for these values. `key_position` is the position of the parameter that contains the
    /// idempotency key.
    pub fn new(expected: VecDeque<ExpectedValue>, key_position: Option<usize>) -> Self {
        Self {
            expected,
            length_prefix: Vec::new(),
            remaining: 0,
            key_position,
            key: Vec::new(),
            is_key: false,
        }
    }

    /// Scans the next bytes.
    ///
    /// # Errors
    /// The bytes are not values of the expected types.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), Malformed> {
        while !bytes.is_empty() {
            let consumed = if self.remaining > 0 { self.push_value(bytes) } else { self.push_length(bytes)? };
            bytes = &bytes[consumed..];
        }
        Ok(())
    }

    /// Scans bytes of the current value. Returns how many.
    fn push_value(&mut self, bytes: &[u8]) -> usize {
        let count = self.remaining.min(bytes.len());
        if self.is_key && self.key.len() <= MAX_KEY_BYTES {
            self.key.extend_from_slice(&bytes[..count]);
        }
        self.remaining -= count;
        count
    }

    /// Scans a byte of the next value's length, unless its type implies the length. Returns how many bytes
    /// were scanned.
    fn push_length(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        let next = self.expected.front().ok_or(Malformed)?;
        let (position, value_type) = (next.position, next.value_type);
        if let Some(ValueExtent { prefix: 0, length }) = ValueExtent::decode(&self.length_prefix, value_type)?
        {
            self.begin_value(position, length);
            return Ok(0);
        }
        self.length_prefix.push(bytes[0]);
        if let Some(ValueExtent { length, .. }) = ValueExtent::decode(&self.length_prefix, value_type)? {
            self.begin_value(position, length);
        }
        Ok(1)
    }

    fn begin_value(&mut self, position: usize, length: usize) {
        self.expected.pop_front();
        self.length_prefix.clear();
        self.remaining = length;
        self.is_key = self.key_position == Some(position);
    }

    /// Whether all values have arrived. Values of type NULL occupy no bytes.
    pub fn is_complete(&mut self) -> bool {
        let is_null = |value: &ExpectedValue| value.value_type == value_type::NULL;
        while self.remaining == 0 && self.expected.front().is_some_and(is_null) {
            self.expected.pop_front();
        }
        self.remaining == 0 && self.length_prefix.is_empty() && self.expected.is_empty()
    }

    /// The idempotency key, if one of the values is a usable one.
    pub fn key(&self) -> Option<Arc<str>> {
        let is_key = (1..=MAX_KEY_BYTES).contains(&self.key.len());
        is_key.then(|| key_text(&self.key))
    }
}
