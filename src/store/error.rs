//! Why the store cannot be opened.

use super::config::ConfigError;
use super::replica::OpenError;
use super::CONFIG_FILE;
use std::io;
use std::net::SocketAddr;

/// Why the store cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The configuration file is inconsistent.
    #[error("{file}: {0}", file = CONFIG_FILE)]
    Config(#[from] ConfigError),
    /// The member cannot listen on the configured address.
    #[error("{file}: listen {address}: {error}", file = CONFIG_FILE)]
    Listen {
        /// The address configured as `listen`.
        address: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// The member's log cannot be opened.
    #[error("{file}: folder {0}", file = CONFIG_FILE)]
    Replica(#[from] OpenError),
    /// The log writer's waker cannot be registered with the event loop's poller.
    #[error("epoll: {0}")]
    Poller(io::Error),
}
