//! Former names, and errors as texts, for callers that are not typed yet. All of it goes with the last of them.

use super::{boolean, field, number, object_field, parse_settings, text, texts, SettingsError};
use crate::policy::Settings;
use serde_json::{Map, Value};

/// A result whose error is a text.
pub type Res<T> = Result<T, String>;

/// [`parse_settings`] with a text for an error.
///
/// # Errors
/// As [`parse_settings`].
pub fn settings(conf: &Map<String, Value>) -> Res<Settings> {
    Ok(parse_settings(conf)?)
}

/// [`number`] by its former name.
///
/// # Errors
/// As [`number`].
pub fn num(map: &Map<String, Value>, key: &str, default: f64) -> Result<f64, SettingsError> {
    number(map, key, default)
}

/// [`boolean`] by its former name.
///
/// # Errors
/// As [`boolean`].
pub fn flag(map: &Map<String, Value>, key: &str) -> Result<bool, SettingsError> {
    boolean(map, key)
}

/// [`text`] by its former name.
///
/// # Errors
/// As [`text`].
pub fn word<'a>(map: &'a Map<String, Value>, key: &str, default: &'a str) -> Result<&'a str, SettingsError> {
    text(map, key, default)
}

/// [`texts`] by its former name.
///
/// # Errors
/// As [`texts`].
pub fn words(map: &Map<String, Value>, key: &str) -> Result<Vec<String>, SettingsError> {
    texts(map, key)
}

/// [`object_field`] by its former name, with `none` in place of an object that is absent.
///
/// # Errors
/// As [`object_field`].
pub fn part<'a>(
    map: &'a Map<String, Value>,
    key: &str,
    none: &'a Map<String, Value>,
) -> Result<&'a Map<String, Value>, SettingsError> {
    match field(map, key) {
        None => Ok(none),
        Some(_) => object_field(map, key),
    }
}

impl From<SettingsError> for String {
    fn from(error: SettingsError) -> Self {
        error.to_string()
    }
}
