//! The configuration that the platform passes to the daemon at startup: a JSON file named by an environment
//! variable. Files in `deploy/` enable further components; [`read_optional`] reads them.

mod error;
mod toml_file;

pub use error::ConfigError;
pub use toml_file::{line_number, parse_toml, read_optional, read_optional_with_text};

use crate::discovery::endpoint_json::{self, InitialEndpoints};
use crate::limits::Limits;
use dahliaspoke::policy::Settings;
use dahliaspoke::settings::{object, object_field, parse_settings, text};
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";
/// The environment variable with the admin interface's address, which is used if the file has none.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_CONSOLE";
/// The environment variable with the descriptor of the listening socket that this process inherits.
const INHERITED_LISTENER_VARIABLE: &str = "NODE_INHERITED_FD";
/// The base in which the value of `seed` is written.
const SEED_RADIX: u32 = 16;

/// The validated configuration.
pub struct Config {
    /// The name of this coordinator.
    pub name: String,
    /// The address of the HTTP listener.
    pub listen_address: SocketAddr,
    /// The descriptor of the HTTP listener's socket, if this process inherits it.
    pub inherited_listener: Option<RawFd>,
    /// The address of the admin interface, if it is enabled.
    pub admin_address: Option<SocketAddr>,
    /// Seed of the random numbers for decisions.
    pub seed: u64,
    /// The address of the directory that answers DNS queries.
    pub directory: SocketAddr,
    /// The endpoints known at the start, and the number of the last event that they include.
    pub initial_endpoints: InitialEndpoints,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Limits that follow from the configuration.
    pub limits: Limits,
}

impl Config {
    /// Reads the file that the environment names.
    ///
    /// # Errors
    /// [`ConfigError::Environment`], or the error in the file with its path.
    pub fn load() -> Result<Self, ConfigError> {
        let path = std::env::var(CONFIG_VARIABLE)
            .map_err(|source| ConfigError::Environment { variable: CONFIG_VARIABLE, source })?;
        let bytes =
            std::fs::read(&path).map_err(|source| ConfigError::Read { path: path.clone(), source })?;
        let value = serde_json::from_slice(&bytes)
            .map_err(|source| ConfigError::NotJson { path: path.clone(), source })?;
        Self::from_json(&value).map_err(|error| error.in_file(&path))
    }

    /// Reads the configuration and the environment variables that complete it.
    ///
    /// # Errors
    /// The first invalid key, in the order in which the keys are read.
    pub fn from_json(value: &Value) -> Result<Self, ConfigError> {
        let map = object(value, "the configuration")?;
        let admin_address = admin_address(map)?;
        let inherited_listener = inherited_listener()?;
        let seed = text(map, "seed", "0")?;
        Ok(Self {
            name: text(map, "name", "node")?.into(),
            listen_address: address(map, "listen")?,
            inherited_listener,
            admin_address,
            seed: parse_seed(seed)?,
            directory: address(map, "names")?,
            initial_endpoints: endpoint_json::from_config(map).map_err(ConfigError::Endpoints)?,
            settings: parse_settings(object_field(map, "settings")?)?,
            limits: Limits::from_config(value, inherited_listener.is_some())?,
        })
    }

    /// Applies the values in the replicated store: its settings replace those of the file, and its engines
    /// are used if the file has none.
    ///
    /// # Errors
    /// If a stored value is invalid.
    pub fn apply_stored(&mut self, settings: Option<&str>, engines: Option<&str>) -> Result<(), ConfigError> {
        if let Some(text) = settings {
            let value: Value = serde_json::from_str(text).map_err(ConfigError::StoredSettings)?;
            self.settings = parse_settings(object(&value, "stored settings")?)?;
        }
        if let (true, Some(text)) = (self.initial_endpoints.endpoints.is_empty(), engines) {
            self.initial_endpoints.endpoints =
                endpoint_json::from_json(text).map_err(ConfigError::StoredEngines)?;
        }
        Ok(())
    }
}

/// The address of the admin interface: from the file, else from the environment.
fn admin_address(map: &Map<String, Value>) -> Result<Option<SocketAddr>, ConfigError> {
    if !text(map, "console", "")?.is_empty() {
        return address(map, "console").map(Some);
    }
    let Ok(text) = std::env::var(ADMIN_ADDRESS_VARIABLE) else { return Ok(None) };
    parse_address(ADMIN_ADDRESS_VARIABLE, &text).map(Some)
}

/// The descriptor of the listening socket that this process inherits; `None` if it inherits none.
fn inherited_listener() -> Result<Option<RawFd>, ConfigError> {
    let Ok(text) = std::env::var(INHERITED_LISTENER_VARIABLE) else { return Ok(None) };
    let number = text.parse();
    number.map(Some).map_err(|source| ConfigError::Number { name: INHERITED_LISTENER_VARIABLE, text, source })
}

/// The address at `key`. An absent address is an error, since an empty text cannot be parsed.
fn address(map: &Map<String, Value>, key: &'static str) -> Result<SocketAddr, ConfigError> {
    parse_address(key, text(map, key, "")?)
}

fn parse_address(name: &'static str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|source| ConfigError::Address { name, text: text.into(), source })
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    let number = u64::from_str_radix(text, SEED_RADIX);
    number.map_err(|source| ConfigError::Number { name: "seed", text: text.into(), source })
}
