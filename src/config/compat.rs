//! Former names, and errors as texts, for callers that are not typed yet. All of it goes with the last of them.

use super::{parse_toml, read_optional, Config, ConfigError};
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

/// [`parse_toml`] with a text for an error.
///
/// # Errors
/// As [`parse_toml`].
pub fn parsed<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, String> {
    Ok(parse_toml(path, text)?)
}
