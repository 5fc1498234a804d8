//! Former names, and errors as texts, for callers that are not typed yet. All of it goes with the last of them.

use super::{line_number, read_optional, read_optional_with_text, ConfigError};
use serde::de::DeserializeOwned;

impl From<ConfigError> for String {
    fn from(error: ConfigError) -> Self {
        error.to_string()
    }
}

/// [`read_optional`] by its former name.
///
/// # Errors
/// As [`read_optional`].
pub fn optional<T: DeserializeOwned>(path: &str) -> Result<Option<T>, ConfigError> {
    read_optional(path)
}

/// [`read_optional_with_text`] by its former name, with a tuple of content and text.
///
/// # Errors
/// As [`read_optional_with_text`].
pub fn optional_with_text<T: DeserializeOwned>(path: &str) -> Result<Option<(T, String)>, ConfigError> {
    Ok(read_optional_with_text(path)?.map(|file| (file.content, file.text)))
}

/// [`line_number`] by its former name.
pub fn line_of(text: &str, offset: usize) -> usize {
    line_number(text, offset)
}
