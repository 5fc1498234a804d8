//! Former names, and errors as texts, for callers that are not typed yet. All of it goes with the last of them.

use super::{line_number, parse_toml, read_optional, read_optional_with_text, Config, ConfigError};
use serde::de::DeserializeOwned;

impl From<ConfigError> for String {
    fn from(error: ConfigError) -> Self {
        error.to_string()
    }
}

impl Config {
    /// [`Config::load`] with a text for an error.
    ///
    /// # Errors
    /// As [`Config::load`].
    pub fn from_env() -> Result<Self, String> {
        Ok(Self::load()?)
    }

    /// [`Config::from_json`] by its former name.
    ///
    /// # Errors
    /// As [`Config::from_json`].
    pub fn read(value: &serde_json::Value) -> Result<Self, ConfigError> {
        Self::from_json(value)
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

/// [`parse_toml`] with a text for an error.
///
/// # Errors
/// As [`parse_toml`].
pub fn parsed<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, String> {
    Ok(parse_toml(path, text)?)
}

/// [`line_number`] by its former name.
pub fn line_of(text: &str, offset: usize) -> usize {
    line_number(text, offset)
}
