//! Incremental UTF-8 validation.

/// The text is not UTF-8.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidUtf8;

/// Validates text that arrives in pieces as UTF-8.
#[derive(Default)]
pub struct Utf8Checker {
    /// The bytes of a character that is not complete yet.
    incomplete: Vec<u8>,
}

impl Utf8Checker {
    /// Validates the next piece.
    ///
    /// # Errors
    /// The text is not UTF-8, regardless of what follows.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), InvalidUtf8> {
        while let (false, Some((first, rest))) = (self.incomplete.is_empty(), bytes.split_first()) {
            self.incomplete.push(*first);
            bytes = rest;
            match std::str::from_utf8(&self.incomplete) {
                Ok(_) => self.incomplete.clear(),
                Err(error) if error.error_len().is_some() => return Err(InvalidUtf8),
                Err(_) => {}
            }
        }
        match std::str::from_utf8(bytes) {
            Ok(_) => Ok(()),
            Err(error) if error.error_len().is_some() => Err(InvalidUtf8),
            Err(error) => {
                self.incomplete.extend_from_slice(&bytes[error.valid_up_to()..]);
                Ok(())
            }
        }
    }

    /// Whether the text so far ends at a character boundary.
    pub fn is_complete(&self) -> bool {
        self.incomplete.is_empty()
    }
}
