//! Reads the fields of a DNS message.

use super::DecodeError;

/// Maximum compression pointers followed in one name, which bounds pointer loops.
const MAX_POINTERS: usize = 32;
/// Maximum characters of a name, including dots (RFC 1035, 2.3.4).
const MAX_NAME_LENGTH: usize = 255;

/// The two high bits of a label's length (RFC 1035, 4.1.4): a plain label, or a pointer to the rest of the
/// name.
const LABEL_TYPE_MASK: u8 = 0xc0;
const LABEL_PLAIN: u8 = 0x00;
const LABEL_POINTER: u8 = 0xc0;

/// A position in a message, from which the next field is read.
pub struct Reader<'a> {
    message: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// Starts at the beginning of the message.
    pub fn new(message: &'a [u8]) -> Self {
        Self { message, position: 0 }
    }

    /// The offset (bytes) of the next field.
    pub fn position(&self) -> usize {
        self.position
    }

    /// The length of the message (bytes).
    pub fn message_length(&self) -> usize {
        self.message.len()
    }

    /// Continues at this offset (bytes).
    pub fn seek(&mut self, position: usize) {
        self.position = position;
    }

    /// The next `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let end = self.position + count;
        let bytes = self.message.get(self.position..end).ok_or(DecodeError::UnexpectedEnd)?;
        self.position = end;
        Ok(bytes)
    }

    /// The next `COUNT` bytes.
    pub fn array<const COUNT: usize>(&mut self) -> Result<[u8; COUNT], DecodeError> {
        self.bytes(COUNT)?.try_into().map_err(|_| DecodeError::UnexpectedEnd)
    }

    /// The next byte.
    pub fn u8(&mut self) -> Result<u8, DecodeError> {
        self.array().map(u8::from_be_bytes)
    }

    /// The next two bytes, in network order.
    pub fn u16(&mut self) -> Result<u16, DecodeError> {
        self.array().map(u16::from_be_bytes)
    }

    /// The next four bytes, in network order.
    pub fn u32(&mut self) -> Result<u32, DecodeError> {
        self.array().map(u32::from_be_bytes)
    }

    /// The next `length` bytes as text.
    pub fn text(&mut self, length: usize) -> Result<&'a str, DecodeError> {
        std::str::from_utf8(self.bytes(length)?).map_err(|_| DecodeError::NotUtf8)
    }

    /// A length-prefixed text (a character string of RFC 1035, 3.3).
    pub fn character_string(&mut self) -> Result<&'a str, DecodeError> {
        let length = self.u8()?;
        self.text(usize::from(length))
    }

    /// A decompressed name in lower case, with its labels separated by dots.
    pub fn name(&mut self) -> Result<String, DecodeError> {
        let mut name = String::new();
        let mut pointers = 0;
        let mut end_of_name = None;
        loop {
            let length = self.u8()?;
            match length & LABEL_TYPE_MASK {
                LABEL_PLAIN if length == 0 => break,
                LABEL_PLAIN => self.append_label(&mut name, usize::from(length))?,
                LABEL_POINTER => {
                    let offset = u16::from_be_bytes([length & !LABEL_TYPE_MASK, self.u8()?]);
                    pointers += 1;
                    if pointers > MAX_POINTERS {
                        return Err(DecodeError::TooManyPointers);
                    }
                    end_of_name.get_or_insert(self.position);
                    self.position = usize::from(offset);
                }
                _ => return Err(DecodeError::ReservedLabel),
            }
        }
        self.position = end_of_name.unwrap_or(self.position);
        Ok(name)
    }

    fn append_label(&mut self, name: &mut String, length: usize) -> Result<(), DecodeError> {
        if !name.is_empty() {
            name.push('.');
        }
        name.push_str(&self.text(length)?.to_ascii_lowercase());
        if name.len() > MAX_NAME_LENGTH {
            return Err(DecodeError::NameTooLong);
        }
        Ok(())
    }
}
