//! `deploy/mysql.toml`, the file that enables the `MySQL` listener and its upstream.

use crate::config::{self, ConfigError};
use dahliaspoke::policy::Settings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use thiserror::Error;

/// Path of the file, relative to the daemon's working directory.
pub const FILE: &str = "deploy/mysql.toml";

/// Length of a stored hash (bytes); that of an account without a password is empty.
const HASH_BYTES: usize = 32;
const HEX_RADIX: u32 = 16;

/// Why the file was rejected.
#[derive(Debug, Error)]
pub enum MysqlConfigError {
    /// The file cannot be read or parsed.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The file names a class that does not exist in the settings.
    #[error("{FILE}: no class is called {name}")]
    UnknownClass {
        /// The name of the class.
        name: String,
    },
    /// The hash of an account's password is not hex, or has the wrong length.
    #[error("{FILE}: the hash of account {account} is not 64 hex digits")]
    InvalidHash {
        /// The name of the account.
        account: String,
    },
}

/// The content of the file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mysql {
    /// The address of the listener.
    pub listen: SocketAddr,
    /// How to connect to engines.
    pub engine: Engine,
    /// The hash of each account's password by account name: the double SHA-256 in hex, empty for no password.
    pub accounts: BTreeMap<String, String>,
    /// Rules that assign statements to classes; the first match applies.
    #[serde(rename = "statement")]
    pub statement_rules: Vec<Rule>,
    /// Defaults by class name.
    #[serde(default, rename = "class")]
    pub class_defaults: BTreeMap<String, Defaults>,
}

/// How to connect to engines.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The port, on the address that discovery reports.
    pub port: u16,
    /// The account on the engines.
    pub user: String,
    /// The account's password; empty for none.
    #[serde(default)]
    pub password: String,
    /// Addresses that override the discovered one, by engine id.
    #[serde(default)]
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// Assigns statements to a class by their first words and a text that they contain, ignoring case.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The first words.
    #[serde(rename = "starts")]
    pub prefix: String,
    /// A text that the statement must contain; empty matches any statement.
    #[serde(default, rename = "holds")]
    pub contains: String,
    /// The name of the class.
    pub class: String,
}

/// Values of a class that apply to statements without the corresponding hint.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Defaults {
    /// How long the client waits (ms).
    pub deadline_ms: Option<f64>,
    /// Estimated work (ms of one thread).
    pub estimate_ms: Option<f64>,
    /// Estimated memory (MB).
    pub memory_mb: Option<f64>,
}

impl Mysql {
    /// Reads the file; `None` if it is absent, which disables listener and upstream.
    ///
    /// # Errors
    /// The file cannot be read or parsed, or contains an unknown class or an invalid hash.
    pub fn from_file(settings: &Settings) -> Result<Option<Self>, MysqlConfigError> {
        let Some(mysql) = config::read_optional::<Self>(FILE)? else { return Ok(None) };
        mysql.check_classes(settings)?;
        mysql.check_hashes()?;
        Ok(Some(mysql))
    }

    fn check_classes(&self, settings: &Settings) -> Result<(), MysqlConfigError> {
        let is_known = |name: &String| settings.classes.iter().any(|class| class.name == *name);
        let rule_classes = self.statement_rules.iter().map(|rule| &rule.class);
        match rule_classes.chain(self.class_defaults.keys()).find(|name| !is_known(name)) {
            Some(name) => Err(MysqlConfigError::UnknownClass { name: name.clone() }),
            None => Ok(()),
        }
    }

    fn check_hashes(&self) -> Result<(), MysqlConfigError> {
        for (account, hash) in &self.accounts {
            if decode_hex(hash).is_none_or(|hash| ![0, HASH_BYTES].contains(&hash.len())) {
                return Err(MysqlConfigError::InvalidHash { account: account.clone() });
            }
        }
        Ok(())
    }

    /// The stored hash of an account, empty if it has no password; `None` if the account does not exist.
    pub fn account(&self, name: &str) -> Option<Vec<u8>> {
        self.accounts.get(name).and_then(|hash| decode_hex(hash))
    }
}

impl Engine {
    /// The address of an engine's `MySQL` port. `discovered` is the address that discovery reports.
    pub fn address(&self, id: &str, discovered: Option<IpAddr>) -> Option<SocketAddr> {
        self.addresses.get(id).copied().or(discovered.map(|ip| SocketAddr::new(ip, self.port)))
    }
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digit = |byte: u8| (byte as char).to_digit(HEX_RADIX).map(|digit| digit as u8);
    let digits = text.bytes().map(digit).collect::<Option<Vec<_>>>()?;
    let is_complete = digits.len() % 2 == 0;
    is_complete.then(|| digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}
