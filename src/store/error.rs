//! Why the store cannot be opened.

use super::config::ConfigError;
use super::replica::OpenError;
use super::CONFIG_FILE;
use std::io;
use std::net::SocketAddr;

/// Why the store cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The keys of the configuration file do not fit together.
    #[error("{file}: {0}", file = CONFIG_FILE)]
    Config(#[from] ConfigError),
    /// The member cannot listen where the file says.
    #[error("{file}: listen {address}: {error}", file = CONFIG_FILE)]
    Listen {
        /// The file's `listen`.
        address: SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// The member's log cannot be opened.
    #[error("{file}: folder {0}", file = CONFIG_FILE)]
    Replica(#[from] OpenError),
    /// The event loop cannot wait for the log's writer.
    #[error("epoll: {0}")]
    Poller(io::Error),
}
