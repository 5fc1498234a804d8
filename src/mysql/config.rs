//! The file that switches the `MySQL` door on: `deploy/mysql.toml`.

use crate::config;
use dahliaspoke::policy::Settings;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// Where the file is, from the folder that the daemon is started in.
pub const FILE: &str = "deploy/mysql.toml";

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mysql {
    /// Where sessions connect.
    pub listen: SocketAddr,
    pub engine: Engine,
    /// Hex of the double SHA-256 of each account's password; empty for none.
    pub accounts: BTreeMap<String, String>,
    /// Statements by their first words; the first line that fits counts.
    pub statement: Vec<Rule>,
    /// Defaults by class.
    #[serde(default)]
    pub class: BTreeMap<String, Defaults>,
}

/// How engines are reached.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The port on the address that the list of engines tells.
    pub port: u16,
    pub user: String,
    #[serde(default)]
    pub password: String,
    /// Addresses of engines that are reached otherwise, by id.
    #[serde(default)]
    pub addresses: BTreeMap<String, SocketAddr>,
}

/// Statements that begin with these words, and hold that text, are of this class.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    pub starts: String,
    #[serde(default)]
    pub holds: String,
    pub class: String,
}

/// What a statement of a class has without hints.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Defaults {
    pub deadline_ms: Option<f64>,
    pub estimate_ms: Option<f64>,
    pub memory_mb: Option<f64>,
}

impl Mysql {
    /// The file's content; `None` where there is no file.
    pub fn from_file(settings: &Settings) -> Result<Option<Self>, String> {
        let Some(mysql) = config::optional::<Self>(FILE)? else { return Ok(None) };
        let known = |name: &String| settings.classes.iter().any(|c| c.name == *name);
        let named = mysql.statement.iter().map(|rule| &rule.class).chain(mysql.class.keys());
        if let Some(name) = named.into_iter().find(|name| !known(name)) {
            return Err(format!("{FILE}: no class is called {name}"));
        }
        for (account, hash) in &mysql.accounts {
            if unhex(hash).is_none_or(|hash| ![0, 32].contains(&hash.len())) {
                return Err(format!("{FILE}: the hash of account {account} is not 64 hex digits"));
            }
        }
        Ok(Some(mysql))
    }

    /// The stored hash of an account.
    pub fn account(&self, name: &str) -> Option<Vec<u8>> {
        self.accounts.get(name).and_then(|hash| unhex(hash))
    }
}

impl Engine {
    /// Where an engine's `MySQL` port is.
    pub fn address(&self, id: &str, told: Option<IpAddr>) -> Option<SocketAddr> {
        self.addresses.get(id).copied().or(told.map(|ip| SocketAddr::new(ip, self.port)))
    }
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    let digits =
        text.bytes().map(|b| (b as char).to_digit(16).map(|d| d as u8)).collect::<Option<Vec<_>>>()?;
    (digits.len() % 2 == 0).then(|| digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}
