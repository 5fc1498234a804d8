//! Every size, count and time that bounds the daemon, computed once at start from the platform's configuration and handed
//! down read-only.
//!
//! Sizes are bytes and times are seconds unless a field says otherwise. Values that the configuration does not name are
//! constants of these modules.

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

/// Connections of operators to the admin interface.
const ADMIN_CONNECTIONS: usize = 8;

/// All limits of the daemon, by concern.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections of all listeners.
    pub clients: ClientLimits,
    /// Messages that are read whole into memory.
    pub http: HttpLimits,
    /// Bodies that go through the body store.
    pub bodies: BodyLimits,
    /// The `MySQL` listener.
    pub mysql: MysqlLimits,
    /// Results of engines.
    pub results: ResultLimits,
    /// Connections to engines.
    pub engines: EngineLimits,
    /// Sources of the endpoint list.
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
    /// Computes the limits from the platform's configuration. `in_pairs`: an upgrade runs two processes side by side.
    ///
    /// # Errors
    /// Names the setting that has a wrong type.
    pub fn from_config(config: &Value, in_pairs: bool) -> Result<Self, SettingsError> {
        let config = object(config, "the configuration")?;
        let settings = object_field(config, "settings")?;
        let machine = Machine::from_config(config, in_pairs)?;
        Ok(Self {
            clients: ClientLimits::new(&machine),
            http: HttpLimits::new(&machine),
            bodies: BodyLimits::without_store(),
            mysql: MysqlLimits::new(&machine),
            results: ResultLimits::new(),
            engines: EngineLimits::from_settings(settings, &machine)?,
            discovery: DiscoveryLimits::new(),
            store: StoreLimits { max_connections: 32 },
            admin: AdminLimits { max_connections: ADMIN_CONNECTIONS },
            event_loop: EventLoopLimits { suspend_threshold: 0.5, catch_up_timeout: 0.1 },
            shutdown: ShutdownLimits::from_settings(settings, in_pairs)?,
        })
    }

    /// Leaves to each upstream's connections the descriptors that the listeners that are open do not need. `mysql` and
    /// `store` say whether the `MySQL` listener and the replicated store are there.
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
    /// Connections of members, operators and watchers, where the store's file does not say.
    pub max_connections: usize,
}

/// Limits of the admin interface.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Connections open at once.
    pub max_connections: usize,
}

/// Limits of the event loop.
#[derive(Clone, Debug)]
pub struct EventLoopLimits {
    /// A loop that is later than this was suspended.
    pub suspend_threshold: f64,
    /// After a suspension the loop waits for the directory before it admits anything, for so long at the most.
    pub catch_up_timeout: f64,
}
