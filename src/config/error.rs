//! Errors in the configuration.

use crate::discovery::endpoint_json::EndpointJsonError;
use dahliaspoke::settings::SettingsError;
use std::env::VarError;
use std::net::AddrParseError;
use std::num::ParseIntError;
use thiserror::Error;

/// Why the configuration or a file in `deploy/` was rejected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is absent or not Unicode.
    #[error("{variable}: {source}")]
    Environment {
        /// The variable.
        variable: &'static str,
        /// The reason.
        source: VarError,
    },
    /// A file could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The file.
        path: String,
        /// The reason.
        source: std::io::Error,
    },
    /// A file is not JSON.
    #[error("{path}: not JSON: {source}")]
    NotJson {
        /// The file.
        path: String,
        /// The reason, with line and column.
        source: serde_json::Error,
    },
    /// A TOML file cannot be parsed, or has an unknown key or a value of the wrong type.
    #[error("{path}: line {line}, {key:?}: {message}")]
    Toml {
        /// The file.
        path: String,
        /// The line number, from 1.
        line: usize,
        /// The text before the first `=` in this line.
        key: String,
        /// The parser's message in one line.
        message: String,
        /// The parser's error.
        source: Box<toml::de::Error>,
    },
    /// The content of a file is invalid.
    #[error("{path}: {source}")]
    InFile {
        /// The file.
        path: String,
        /// What is wrong.
        source: Box<ConfigError>,
    },
    /// An address cannot be parsed.
    #[error("{name} {text:?}: {source}")]
    Address {
        /// The key or the environment variable.
        name: &'static str,
        /// Its value.
        text: String,
        /// The reason.
        source: AddrParseError,
    },
    /// A whole number cannot be parsed.
    #[error("{name} {text:?}: {source}")]
    Number {
        /// The key or the environment variable.
        name: &'static str,
        /// Its value.
        text: String,
        /// The reason.
        source: ParseIntError,
    },
    /// A key or a setting has the wrong type or an unknown value.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The endpoints in the configuration are invalid.
    #[error(transparent)]
    Endpoints(EndpointJsonError),
    /// The settings in the replicated store are not JSON.
    #[error("stored settings: {0}")]
    StoredSettings(#[source] serde_json::Error),
    /// The engines in the replicated store are invalid.
    #[error("stored engines: {0}")]
    StoredEngines(#[source] EndpointJsonError),
}

impl ConfigError {
    /// Adds the path of the file in which the error was found.
    pub fn in_file(self, path: &str) -> Self {
        Self::InFile { path: path.into(), source: Box::new(self) }
    }
}
