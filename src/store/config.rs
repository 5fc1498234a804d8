//! The store's configuration file.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The content of the configuration file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The address that a member listens on.
    pub listen: Option<SocketAddr>,
    /// The folder of a member's log; if it is not set, this daemon is a watcher.
    pub folder: Option<PathBuf>,
    /// The address at which other members reach this one; by default, the one it listens on.
    pub address: Option<String>,
    /// The members' addresses, as reachable from this daemon, by name.
    #[serde(default)]
    pub peers: BTreeMap<String, SocketAddr>,
    /// Maximum number of open connections from members, operators and watchers.
    pub connections: Option<usize>,
}

/// Why a configuration file is inconsistent.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A member has no address to listen on.
    #[error("listen: a member (`folder` is set) needs an address to listen on")]
    MemberWithoutListen,
    /// A watcher has no member to watch.
    #[error("peers: a watcher (no `folder`) needs at least one member to watch")]
    WatcherWithoutPeers,
}

impl Config {
    /// Checks that the configuration is consistent.
    ///
    /// # Errors
    /// Names the missing key.
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
