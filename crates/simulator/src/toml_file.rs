//! TOML files, with one-line errors.

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why a TOML text could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {message}")]
pub struct TomlError {
    /// The line with the error, counted from 1.
    pub line: usize,
    /// The first line of the parser's message.
    pub message: String,
}

/// Parses a TOML text.
///
/// # Errors
/// Returns an error if the text is not TOML or does not match the fields of the type.
pub fn from_toml<T: DeserializeOwned>(text: &str) -> Result<T, TomlError> {
    toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        let line = 1 + text.bytes().take(offset).filter(|byte| *byte == b'\n').count();
        let message = error.message().split('\n').next().unwrap_or_default().to_string();
        TomlError { line, message }
    })
}
