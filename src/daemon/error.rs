//! Why the daemon could not start or keep running.

use crate::body_store::BodyStoreError;
use crate::config::ConfigError;
use crate::mysql::config::MysqlConfigError;
use crate::store::StoreError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A failure at startup or in the event loop. It is reported in one line, and the process exits.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// epoll failed.
    #[error("epoll: {0}")]
    Poll(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// A listener for clients could not be opened.
    #[error("listen {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The admin interface could not be opened.
    #[error("console {address}: {source}")]
    AdminInterface {
        /// The configured address.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The directory cannot be queried.
    #[error("directory {address}: {source}")]
    Directory {
        /// The directory's address.
        address: SocketAddr,
        /// The underlying error.
        source: io::Error,
    },
    /// The configuration, or a stored value that replaces part of it, is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The `MySQL` listener's configuration file is invalid.
    #[error(transparent)]
    Mysql(#[from] MysqlConfigError),
    /// The body store's configuration file is invalid, or the body store could not be opened.
    #[error(transparent)]
    BodyStore(#[from] BodyStoreError),
    /// The replicated store could not be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
}
