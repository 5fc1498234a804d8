//! All limits on the daemon's sizes, counts and times, computed once at startup from the platform's
//! configuration and passed down read-only.
//!
//! Sizes are bytes and times are seconds unless stated otherwise. Values that the configuration does not
//! specify are constants of these modules.

mod clients;
mod discovery;
mod engines;
mod machine;
mod shutdown;

pub use clients::{BodyLimits, ClientLimits, HttpLimits, MysqlLimits};
pub use discovery::DiscoveryLimits;
pub use engines::{EngineLimits, ResultLimits};
pub use shutdown::ShutdownLimits;

use dahliaspoke::settings::{object, object_field, SettingsError};
use machine::Machine;
use serde_json::Value;

/// Maximum number of operators' connections to the admin interface.
const ADMIN_CONNECTIONS: usize = 8;
/// Maximum memory of the buffers of these connections (bytes).
const MAX_ADMIN_BUFFER_BYTES: usize = 4 << 20;

/// All limits of the daemon, by concern.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections of all listeners.
    pub clients: ClientLimits,
    /// Messages that are read into memory as a whole.
    pub http: HttpLimits,
    /// Bodies that are received into the body store.
    pub bodies: BodyLimits,
    /// The `MySQL` listener.
    pub mysql: MysqlLimits,
    /// Results of engines.
    pub results: ResultLimits,
    /// Connections to engines.
    pub engines: EngineLimits,
    /// Sources of the endpoint set.
    pub discovery: DiscoveryLimits,
    /// The replicated store.
    pub store: StoreLimits,
    /// The admin interface.
    pub admin: AdminLimits,
    /// The event loop.
    pub event_loop: EventLoopLimits,
    /// Graceful shutdown.
    pub shutdown: ShutdownLimits,
}

impl Limits {
    /// Computes the limits from the platform's configuration. `shares_listener`: the listening socket is
    /// inherited from the platform, and an upgrade runs two processes that share it.
    ///
    /// # Errors
    /// Names the setting that has the wrong type.
    pub fn from_config(config: &Value, shares_listener: bool) -> Result<Self, SettingsError> {
        let config = object(config, "the configuration")?;
        let settings = object_field(config, "settings")?;
        let machine = Machine::from_config(config, shares_listener)?;
        Ok(Self {
            clients: ClientLimits::new(&machine),
            http: HttpLimits::new(&machine),
            bodies: BodyLimits::without_store(),
            mysql: MysqlLimits::new(&machine),
            results: ResultLimits::new(),
            engines: EngineLimits::from_settings(settings, &machine)?,
            discovery: DiscoveryLimits::new(),
            store: StoreLimits { max_connections: 32 },
            admin: AdminLimits {
                max_connections: ADMIN_CONNECTIONS,
                max_buffered_bytes: MAX_ADMIN_BUFFER_BYTES,
            },
            event_loop: EventLoopLimits { suspend_threshold: 0.5, catch_up_timeout: 0.1 },
            shutdown: ShutdownLimits::from_settings(settings, shares_listener)?,
        })
    }

    /// Divides the descriptors that the enabled listeners do not need among the upstreams' connections.
    /// `mysql` and `store`: whether the `MySQL` listener and the replicated store are enabled.
    pub fn reserve_descriptors(&mut self, mysql: bool, store: bool) {
        let sessions = if mysql { self.mysql.max_sessions } else { 0 };
        let members = if store { self.store.max_connections } else { 0 };
        let upstreams = if mysql { 2 } else { 1 };
        self.engines.max_connections =
            self.engines.max_connections.saturating_sub(sessions + members) / upstreams;
    }
}

/// Limits of the replicated store.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    /// Maximum number of connections of members, operators and watchers, if the store's file does not specify
    /// it.
    pub max_connections: usize,
}

/// Limits of the admin interface.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum memory of the buffers of all connections; the statistics of 3,200 engines fit.
    pub max_buffered_bytes: usize,
}

/// Limits of the event loop.
#[derive(Clone, Debug)]
pub struct EventLoopLimits {
    /// If the loop is later than this, the process is considered to have been suspended.
    pub suspend_threshold: f64,
    /// After a suspension the loop waits at most this long for the directory before it admits anything.
    pub catch_up_timeout: f64,
}
