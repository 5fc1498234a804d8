//! Errors in a settings object.

use thiserror::Error;

/// Why a settings object was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// A setting that must be a number is not.
    #[error("setting {key} is not a number")]
    NotANumber {
        /// The setting.
        key: String,
    },
    /// A setting that must be a boolean is not.
    #[error("setting {key} is not true or false")]
    NotABoolean {
        /// The setting.
        key: String,
    },
    /// A setting that must be a string is not.
    #[error("setting {key} is not a text")]
    NotAText {
        /// The setting.
        key: String,
    },
    /// A setting that must be an array is not.
    #[error("setting {key} is not a list")]
    NotAList {
        /// The setting.
        key: String,
    },
    /// A setting that must be an object is not.
    #[error("setting {key} is not an object")]
    NotAnObject {
        /// The setting.
        key: String,
    },
    /// An array of strings has an element that is not a string.
    #[error("setting {key} has an element that is not a text")]
    ElementNotAText {
        /// The setting.
        key: String,
    },
    /// An array in the order of classes or kinds has an element of the wrong type.
    #[error("setting {key} has an element of the wrong type")]
    ElementOfWrongType {
        /// The setting.
        key: String,
    },
    /// A value that is not a setting itself, such as an element of `classes`, is not an object.
    #[error("{what} is not an object")]
    ValueNotAnObject {
        /// What the value represents, such as `a class`.
        what: String,
    },
    /// A setting with a fixed set of values has a value outside it.
    #[error("setting {key}: unknown {value}")]
    UnknownValue {
        /// The setting.
        key: String,
        /// The rejected value.
        value: String,
    },
    /// A class without a name, or with a name that is not a string.
    #[error("a class has no name")]
    MissingClassName,
}
