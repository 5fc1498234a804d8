//! The store's configuration file.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The content of the configuration file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Where a member listens.
    pub listen: Option<SocketAddr>,
    /// The folder of a member's log; without it this daemon is a watcher.
    pub folder: Option<PathBuf>,
    /// Where others reach this member; without it, where it listens.
    pub address: Option<String>,
    /// The members, by name, and where they are reached from here.
    #[serde(default)]
    pub peers: BTreeMap<String, SocketAddr>,
    /// How many connections of members, operators and watchers may be open at once.
    pub connections: Option<usize>,
}

/// Why the keys of a configuration file do not fit together.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A member has nowhere to listen.
    #[error("listen: a member with a folder needs it")]
    MemberWithoutListen,
    /// A watcher has no member to watch.
    #[error("peers: one that watches needs a member to watch")]
    WatcherWithoutPeers,
}

impl Config {
    /// Checks the keys against each other.
    ///
    /// # Errors
    /// With the key that is missing.
    pub fn check(&self) -> Result<(), ConfigError> {
        if self.folder.is_some() && self.listen.is_none() {
            return Err(ConfigError::MemberWithoutListen);
        }
        if self.folder.is_none() && self.peers.is_empty() {
            return Err(ConfigError::WatcherWithoutPeers);
        }
        Ok(())
    }
}
