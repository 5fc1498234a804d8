//! What the platform tells the daemon at its start.

use crate::discovery::{endpoint_json, EndpointSet};
use crate::limits::Limits;
use dahliaspoke::policy::Settings;
use dahliaspoke::settings::{object, part, settings, word, Res};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// The environment variable that names the configuration file.
const FILE: &str = "NODE_CONFIG";

/// The one that names the operators' address, where the file does not.
const CONSOLE: &str = "NODE_CONSOLE";
/// The one that names the descriptor on which this process listens.
const INHERITED: &str = "NODE_INHERITED_FD";

/// A file of ours that may be absent: what it switches on is off then.
pub fn optional<T: DeserializeOwned>(path: &str) -> Res<Option<T>> {
    Ok(optional_with_text(path)?.map(|(file, _)| file))
}

/// The same with its text, for what is checked afterwards.
pub fn optional_with_text<T: DeserializeOwned>(path: &str) -> Res<Option<(T, String)>> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(format!("{path}: {e}")),
    };
    parsed(path, &text).map(|file| Some((file, text)))
}

/// A file's content; what is wrong with it comes in one line, with path, line and key.
pub fn parsed<T: DeserializeOwned>(path: &str, text: &str) -> Res<T> {
    toml::from_str(text).map_err(|e| {
        let at = e.span().map_or(0, |span| span.start);
        let line = line_of(text, at);
        let key = text.lines().nth(line - 1).and_then(|l| l.split('=').next()).unwrap_or_default();
        // The parser's own report has several lines.
        let plain = e.message().split_whitespace().collect::<Vec<_>>().join(" ");
        format!("{path}: line {line}, {:?}: {plain}", key.trim())
    })
}

/// The line, from 1, in which this byte of a text stands.
pub fn line_of(text: &str, at: usize) -> usize {
    1 + text.bytes().take(at).filter(|b| *b == b'\n').count()
}

/// The configuration, checked.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The listening socket, where the platform holds it: its number in this process.
    pub inherited: Option<RawFd>,
    /// Where operators call, if they may.
    pub console: Option<SocketAddr>,
    pub seed: u64,
    pub names: SocketAddr,
    pub known: (u32, EndpointSet),
    pub settings: Settings,
    pub limits: Limits,
}

impl Config {
    /// Reads the file that the environment names.
    pub fn from_env() -> Res<Self> {
        let path = std::env::var(FILE).map_err(|e| format!("{FILE}: {e}"))?;
        let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        let value = serde_json::from_slice(&text).map_err(|e| format!("{path}: not JSON: {e}"))?;
        Self::read(&value).map_err(|e| format!("{path}: {e}"))
    }

    /// Takes what the store holds: its settings in place of the platform's, its engines where none are known.
    pub fn take_stored(&mut self, stored: Option<&str>, engines: Option<&str>) -> Res<()> {
        if let Some(text) = stored {
            let value: Value = serde_json::from_str(text).map_err(|e| format!("stored settings: {e}"))?;
            self.settings = settings(object(&value, "stored settings")?)?;
        }
        if let (true, Some(text)) = (self.known.1.all().is_empty(), engines) {
            self.known.1 = endpoint_json::servers(text).map_err(|e| format!("stored engines: {e}"))?;
        }
        Ok(())
    }

    pub fn read(value: &Value) -> Res<Self> {
        let map = object(value, "the configuration")?;
        let address = |key: &str| -> Res<SocketAddr> {
            let text = word(map, key, "")?;
            text.parse().map_err(|e| format!("{key} {text:?}: {e}"))
        };
        let console = match (word(map, "console", "")?, std::env::var(CONSOLE)) {
            ("", Err(_)) => None,
            ("", Ok(text)) => Some(text.parse().map_err(|e| format!("{CONSOLE} {text:?}: {e}"))?),
            _ => Some(address("console")?),
        };
        let inherited = match std::env::var(INHERITED) {
            Ok(text) => Some(text.parse().map_err(|e| format!("{INHERITED} {text:?}: {e}"))?),
            Err(_) => None,
        };
        let seed = word(map, "seed", "0")?;
        let none = serde_json::Map::new();
        Ok(Self {
            name: word(map, "name", "node")?.into(),
            listen: address("listen")?,
            inherited,
            console,
            seed: u64::from_str_radix(seed, 16).map_err(|e| format!("seed {seed:?}: {e}"))?,
            names: address("names")?,
            known: endpoint_json::read(map)?,
            settings: settings(part(map, "settings", &none)?)?,
            limits: Limits::from_config(value, inherited.is_some())?,
        })
    }
}
