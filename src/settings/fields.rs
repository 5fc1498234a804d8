//! Typed access to the fields of a JSON object. A field that is `null` is treated as absent.

use super::SettingsError;
use serde_json::{Map, Value};
use std::sync::LazyLock;

/// Returned in place of an absent object.
static EMPTY_OBJECT: LazyLock<Map<String, Value>> = LazyLock::new(Map::new);

/// The value of a field; `None` if it is absent or null.
#[must_use]
pub fn field<'a>(map: &'a Map<String, Value>, key: &str) -> Option<&'a Value> {
    map.get(key).filter(|value| !value.is_null())
}

/// A number, or `default` if it is absent.
///
/// # Errors
/// [`SettingsError::NotANumber`].
pub fn number(map: &Map<String, Value>, key: &str, default: f64) -> Result<f64, SettingsError> {
    let Some(value) = field(map, key) else { return Ok(default) };
    value.as_f64().ok_or_else(|| SettingsError::NotANumber { key: key.into() })
}

/// A boolean, or `false` if it is absent.
///
/// # Errors
/// [`SettingsError::NotABoolean`].
pub fn boolean(map: &Map<String, Value>, key: &str) -> Result<bool, SettingsError> {
    let Some(value) = field(map, key) else { return Ok(false) };
    value.as_bool().ok_or_else(|| SettingsError::NotABoolean { key: key.into() })
}

/// A string, or `default` if it is absent.
///
/// # Errors
/// [`SettingsError::NotAText`].
pub fn text<'a>(map: &'a Map<String, Value>, key: &str, default: &'a str) -> Result<&'a str, SettingsError> {
    let Some(value) = field(map, key) else { return Ok(default) };
    value.as_str().ok_or_else(|| SettingsError::NotAText { key: key.into() })
}

/// An array; an empty one if it is absent.
///
/// # Errors
/// [`SettingsError::NotAList`].
pub fn list<'a>(map: &'a Map<String, Value>, key: &str) -> Result<&'a [Value], SettingsError> {
    let Some(value) = field(map, key) else { return Ok(&[]) };
    value.as_array().map(Vec::as_slice).ok_or_else(|| SettingsError::NotAList { key: key.into() })
}

/// An array of strings; an empty one if it is absent.
///
/// # Errors
/// [`SettingsError::NotAList`] or [`SettingsError::ElementNotAText`].
pub fn texts(map: &Map<String, Value>, key: &str) -> Result<Vec<String>, SettingsError> {
    let text = |value: &Value| {
        value.as_str().map(String::from).ok_or_else(|| SettingsError::ElementNotAText { key: key.into() })
    };
    list(map, key)?.iter().map(text).collect()
}

/// An object; an empty one if it is absent.
///
/// # Errors
/// [`SettingsError::NotAnObject`].
pub fn object_field<'a>(
    map: &'a Map<String, Value>,
    key: &str,
) -> Result<&'a Map<String, Value>, SettingsError> {
    let Some(value) = field(map, key) else { return Ok(&EMPTY_OBJECT) };
    value.as_object().ok_or_else(|| SettingsError::NotAnObject { key: key.into() })
}

/// A value as an object; `what` names it in the error.
///
/// # Errors
/// [`SettingsError::ValueNotAnObject`].
pub fn object<'a>(value: &'a Value, what: &str) -> Result<&'a Map<String, Value>, SettingsError> {
    value.as_object().ok_or_else(|| SettingsError::ValueNotAnObject { what: what.into() })
}

/// The number at `position` of an array, or `default` if the array is absent or shorter.
///
/// # Errors
/// [`SettingsError::NotAList`] or [`SettingsError::ElementOfWrongType`].
pub fn number_at(
    map: &Map<String, Value>,
    key: &str,
    position: usize,
    default: f64,
) -> Result<f64, SettingsError> {
    let Some(value) = list(map, key)?.get(position) else { return Ok(default) };
    value.as_f64().ok_or_else(|| SettingsError::ElementOfWrongType { key: key.into() })
}

/// The boolean at `position` of an array, or `false` if the array is absent or shorter.
///
/// # Errors
/// [`SettingsError::NotAList`] or [`SettingsError::ElementOfWrongType`].
pub fn boolean_at(map: &Map<String, Value>, key: &str, position: usize) -> Result<bool, SettingsError> {
    let Some(value) = list(map, key)?.get(position) else { return Ok(false) };
    value.as_bool().ok_or_else(|| SettingsError::ElementOfWrongType { key: key.into() })
}
