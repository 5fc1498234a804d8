//! `dahliaspoke check FILE`: whether a file would be taken, without a start.

use crate::body_store::Bodies;
use crate::config::{parsed, Config};
use crate::discovery::consul;
use crate::mysql::config::Mysql;
use crate::{core, log, store};
use serde::de::DeserializeOwned;
use std::path::Path;

/// What is wrong with a file, by its name; a word on it where nothing is.
pub fn file(path: &str) -> Result<String, String> {
    let name = Path::new(path).file_name().and_then(|name| name.to_str()).unwrap_or_default();
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    // An example is checked as the file that it stands for.
    match name.strip_suffix(".example").unwrap_or(name) {
        "store.toml" => parsed::<store::Config>(path, &text)?.check().map_err(|e| format!("{path}: {e}"))?,
        "consul.toml" => reads::<consul::Config>(path, &text)?,
        "log.toml" => reads::<log::Config>(path, &text)?,
        "trace.toml" => reads::<core::Trace>(path, &text)?,
        "bodies.toml" => reads::<Bodies>(path, &text)?,
        "mysql.toml" => reads::<Mysql>(path, &text)?,
        name if name.ends_with(".json") => {
            let value = serde_json::from_str(&text).map_err(|e| format!("{path}: not JSON: {e}"))?;
            Config::read(&value).map_err(|e| format!("{path}: {e}"))?;
        }
        _ => return Err(format!("{path}: no file of ours has that name")),
    }
    // What hangs on the settings is checked at the start.
    Ok("it can be read".into())
}

fn reads<T: DeserializeOwned>(path: &str, text: &str) -> Result<(), String> {
    parsed::<T>(path, text).map(|_| ())
}
