//! The daemon: one thread with an event loop that connects listeners, core, upstreams, discovery, the stores
//! and the admin interface.
//!
//! - [`startup`] builds the components, [`handlers`] registers those with descriptors or timers,
//!   [`event_loop`] runs them;
//! - [`dispatch`] forwards events between listeners, core and upstreams, which [`routes`] groups;
//! - [`endpoint_updates`], [`store_updates`], [`maintenance`], [`reload`] and [`signals`] apply external
//!   changes; [`store_sync`] makes attempts wait for the store after a start;
//! - [`admin_commands`] and [`statistics`] answer operators; [`shutdown`] stops the daemon.
//!
//! One iteration of the event loop:
//!
//! 1. the timers of all handlers, then what the handlers received for the daemon itself: signals, discovery,
//!    the lease, the store, operators' commands, in this order;
//! 2. the daemon's own timers: maintenance, a reload to be retried, the core's timers, the next step of a
//!    shutdown;
//! 3. forwarding of events until none is left: of the body store, else of a listener, else of an upstream;
//! 4. the check whether the process may exit;
//! 5. the wait, until the earliest of all deadlines;
//! 6. the ready descriptors, by [`handlers::Priority`], each followed by steps 1 (without timers) and 3.
//!
//! A suspension of the process is detected before step 1 and after step 5; the loop then catches up with
//! discovery first.

mod admin_commands;
mod dispatch;
mod endpoint_updates;
mod error;
mod event_loop;
mod handlers;
mod maintenance;
mod reload;
mod routes;
mod shutdown;
mod signals;
mod startup;
mod statistics;
mod store_sync;
mod store_updates;

pub use error::DaemonError;

use crate::core::Core;
use crate::limits::Limits;
use crate::net::{Clock, Poller, SuspendDetector};
use endpoint_updates::KnownEndpoints;
use handlers::Handlers;
use maintenance::Maintenance;
use reload::ReloadState;
use shutdown::ShutdownState;
use std::rc::Rc;
use std::sync::Arc;
use store_sync::StoreSync;

/// The coordinator process: all of its components, and the state that belongs to none of them.
pub struct Daemon {
    clock: Clock,
    suspend_detector: SuspendDetector,
    poller: Rc<Poller>,
    limits: Rc<Limits>,
    core: Core,
    /// Indexed by position in the settings.
    class_names: Vec<Arc<str>>,
    handlers: Handlers,
    endpoints: KnownEndpoints,
    maintenance: Maintenance,
    store_sync: StoreSync,
    reload: ReloadState,
    /// The listening socket for clients is inherited from the platform, and an upgrade runs two processes
    /// that share it.
    shares_listener: bool,
    shutdown: ShutdownState,
}
