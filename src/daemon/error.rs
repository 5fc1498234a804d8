//! Why the daemon could not start, or could not go on.

use crate::body_store::BodyStoreError;
use crate::config::ConfigError;
use crate::mysql::config::MysqlConfigError;
use crate::store::StoreError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// A failure of the daemon's start or of its event loop. Each is told in one line, and the process exits.
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
        /// Where the configuration wants it.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The admin interface could not be opened.
    #[error("console {address}: {source}")]
    AdminInterface {
        /// Where the configuration wants it.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The directory cannot be queried.
    #[error("directory {address}: {source}")]
    Directory {
        /// The directory's address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The configuration, or a value of the store that stands in for it, is wrong.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The file of the `MySQL` listener is wrong.
    #[error(transparent)]
    Mysql(#[from] MysqlConfigError),
    /// The file of the body store is wrong, or the body store could not be opened.
    #[error(transparent)]
    BodyStore(#[from] BodyStoreError),
    /// The replicated store could not be opened.
    #[error(transparent)]
    Store(#[from] StoreError),
}
