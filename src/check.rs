//! `dahliaspoke check FILE`: checks whether the daemon would accept a file, without starting it.

use crate::body_store::BodyStoreFile;
use crate::config::{parse_toml, Config, ConfigError};
use crate::discovery::consul;
use crate::mysql::config::Mysql;
use crate::{core, log, store};
use serde::de::DeserializeOwned;
use std::io;
use std::path::Path;
use thiserror::Error;

/// The suffix of example files, which are checked as the file that they are an example of.
const EXAMPLE_SUFFIX: &str = ".example";

/// Why a file is rejected.
#[derive(Debug, Error)]
pub enum CheckError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The underlying error.
        source: io::Error,
    },
    /// The file is not JSON.
    #[error("{path}: not JSON: {source}")]
    NotJson {
        /// The file.
        path: String,
        /// The parser's error, with line and column.
        source: serde_json::Error,
    },
    /// The file's keys or values are invalid.
    #[error("{path}: {reason}")]
    Invalid {
        /// The file.
        path: String,
        /// The key, and what is wrong with it.
        reason: String,
    },
    /// The file's syntax or one of its keys is invalid; the message names file, line and key.
    #[error(transparent)]
    Unparsable(#[from] ConfigError),
    /// The daemon reads no file of this name.
    #[error("{path}: the daemon reads no file of this name")]
    UnknownName {
        /// The file.
        path: String,
    },
}

/// Checks the file at `path`; its name determines what it is checked as. Rules that depend on the settings
/// are checked only when the daemon starts.
///
/// # Errors
/// If the file is invalid.
pub fn check_file(path: &str) -> Result<(), CheckError> {
    let name = Path::new(path).file_name().and_then(|name| name.to_str()).unwrap_or_default();
    let text = std::fs::read_to_string(path)
        .map_err(|source| CheckError::Unreadable { path: path.into(), source })?;
    match name.strip_suffix(EXAMPLE_SUFFIX).unwrap_or(name) {
        "store.toml" => check_store(path, &text),
        "consul.toml" => parse::<consul::Config>(path, &text).map(drop),
        "log.toml" => parse::<log::Config>(path, &text).map(drop),
        "trace.toml" => parse::<core::Trace>(path, &text).map(drop),
        "bodies.toml" => parse::<BodyStoreFile>(path, &text).map(drop),
        "mysql.toml" => parse::<Mysql>(path, &text).map(drop),
        name if name.ends_with(".json") => check_configuration(path, &text),
        _ => Err(CheckError::UnknownName { path: path.into() }),
    }
}

fn parse<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, CheckError> {
    Ok(parse_toml(path, text)?)
}

fn check_store(path: &str, text: &str) -> Result<(), CheckError> {
    let config: store::Config = parse(path, text)?;
    config.check().map_err(|error| CheckError::Invalid { path: path.into(), reason: error.to_string() })
}

fn check_configuration(path: &str, text: &str) -> Result<(), CheckError> {
    let value =
        serde_json::from_str(text).map_err(|source| CheckError::NotJson { path: path.into(), source })?;
    match Config::from_json(&value) {
        Ok(_) => Ok(()),
        Err(error) => Err(CheckError::Invalid { path: path.into(), reason: error.to_string() }),
    }
}
