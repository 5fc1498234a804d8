//! Startup: builds the components of the daemon, each from those built before it.
//!
//! The order matters. The store is opened before everything that depends on the configuration, since its
//! settings replace the configuration's, and its endpoints do if the configuration has none. The HTTP
//! listener is opened before discovery, which may register its address.

use super::endpoint_updates::KnownEndpoints;
use super::handlers::{Handlers, Owner};
use super::maintenance::Maintenance;
use super::reload::ReloadState;
use super::routes::{MysqlRoute, Routes, HTTP_ROUTE, MYSQL_ROUTE};
use super::shutdown::ShutdownState;
use super::signals::Signals;
use super::store_sync::StoreSync;
use super::{Daemon, DaemonError};
use crate::admin::AdminInterface;
use crate::body_store::{self, BodyStoreFile};
use crate::config::{read_optional, Config};
use crate::core::{Core, SharedLocks, Trace};
use crate::discovery::consul::{self, ConsulConfig, ConsulDiscovery};
use crate::discovery::dns::{DnsConfig, DnsDiscovery};
use crate::discovery::endpoint_json::InitialEndpoints;
use crate::discovery::{Discovery, Endpoint, EndpointChanges};
use crate::limits::Limits;
use crate::listener::http::{HttpListener, HttpListenerOptions, Names};
use crate::listener::mysql::{MysqlListener, MysqlListenerOptions};
use crate::mysql::{self, config::Mysql};
use crate::net::{inherited_listener, Clock, Poller, SuspendDetector, Time, Token};
use crate::store::{self, LoopContext, Store};
use crate::upstream::mysql::MysqlUpstream;
use crate::upstream::resp::RespUpstream;
use dahliaspoke::policy::{ListScope, Settings};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;

/// What all event handlers are built from.
struct Resources {
    now: Time,
    poller: Rc<Poller>,
    limits: Rc<Limits>,
    /// The store of large request bodies, if the deployment has one.
    body_store: Option<body_store::SharedBodyStore>,
}

/// The HTTP listener and the address that it is bound to: the configuration may leave the port to the system.
struct OpenHttpListener {
    listener: HttpListener,
    address: SocketAddr,
}

/// All event handlers, and the address of the HTTP listener.
struct OpenHandlers {
    handlers: Handlers,
    address: SocketAddr,
}

impl Resources {
    /// Opens the body store, then the other resources that all handlers share.
    fn open(now: Time, config: &mut Config) -> Result<Self, DaemonError> {
        let body_store = open_body_store(config)?;
        let poller = Poller::new().map_err(DaemonError::Poll)?;
        Ok(Self { now, poller: Rc::new(poller), limits: Rc::new(config.limits.clone()), body_store })
    }

    fn open_handlers(&self, config: &mut Config) -> Result<OpenHandlers, DaemonError> {
        let signals = Signals::open(&self.poller).map_err(DaemonError::Signals)?;
        let store = self.open_store(config)?;
        let OpenHttpListener { listener: http, address } = self.open_http_listener(config)?;
        let discovery = self.open_discovery(config, address)?;
        let mysql = self.open_mysql_route(config)?;
        let admin = self.open_admin_interface(config)?;
        self.watch_body_store().map_err(DaemonError::Poll)?;
        let routes = Routes { http, resp: self.open_resp_upstream(), mysql };
        let body_store = self.body_store.clone();
        Ok(OpenHandlers {
            handlers: Handlers { signals, discovery, routes, body_store, store, admin },
            address,
        })
    }

    /// Opens the replicated store, if the deployment has one, and applies its settings and endpoints to the
    /// configuration.
    fn open_store(&self, config: &mut Config) -> Result<Option<Store>, DaemonError> {
        let Some(file) = read_optional(store::CONFIG_FILE)? else { return Ok(None) };
        let context = LoopContext::new(
            Owner::StoreMember.number(),
            Owner::StoreWatcher.number(),
            self.now,
            &self.poller,
            &self.limits,
        );
        let store = Store::open(file, &config.name, context)?;
        config.apply_stored(store.get(store::SETTINGS_KEY), store.get(store::ENDPOINTS_KEY))?;
        if let Some(address) = store.address() {
            tracing::info!("{} stores on {address}", config.name);
        }
        Ok(Some(store))
    }

    fn open_http_listener(&self, config: &Config) -> Result<OpenHttpListener, DaemonError> {
        let listen_error = |source| DaemonError::Listen { address: config.listen_address, source };
        let bind = || TcpListener::bind(config.listen_address);
        let socket = config.inherited_listener.map_or_else(bind, inherited_listener);
        let listener = HttpListener::open(HttpListenerOptions {
            owner: Owner::HttpListener.number(),
            route: HTTP_ROUTE,
            socket: socket.map_err(listen_error)?,
            names: request_names(&config.settings),
            body_store: self.body_store.clone(),
            poller: self.poller.clone(),
            limits: self.limits.clone(),
        });
        let listener = listener.map_err(listen_error)?;
        let address = listener.address().map_err(listen_error)?;
        Ok(OpenHttpListener { listener, address })
    }

    /// Opens Consul discovery if the deployment has its file, else DNS. `address` is that of this
    /// coordinator's HTTP listener.
    fn open_discovery(
        &self,
        config: &Config,
        address: SocketAddr,
    ) -> Result<Box<dyn Discovery>, DaemonError> {
        match read_optional(consul::FILE)? {
            None => Ok(Box::new(self.open_dns(config)?)),
            Some(file) => Ok(Box::new(self.open_consul(config, file, address))),
        }
    }

    fn open_dns(&self, config: &Config) -> Result<DnsDiscovery, DaemonError> {
        let directory = config.directory;
        let InitialEndpoints { list_number, endpoints } = config.initial_endpoints.clone();
        let dns = DnsConfig {
            owner: Owner::Discovery.number(),
            directory,
            list_number,
            endpoints,
            seed: config.seed,
        };
        let discovery = DnsDiscovery::open(self.now, dns, self.poller.clone(), self.limits.clone());
        discovery.map_err(|source| DaemonError::Directory { address: directory, source })
    }

    fn open_consul(&self, config: &Config, file: consul::Config, address: SocketAddr) -> ConsulDiscovery {
        let consul = ConsulConfig {
            owner: Owner::Discovery.number(),
            file,
            name: config.name.clone(),
            address,
            endpoints: config.initial_endpoints.endpoints.clone(),
        };
        ConsulDiscovery::open(self.now, consul, self.poller.clone(), self.limits.clone())
    }

    fn open_mysql_route(&self, config: &Config) -> Result<Option<MysqlRoute>, DaemonError> {
        let file = Mysql::from_file(&config.settings)?;
        let Some(file) = file.map(Rc::new) else { return Ok(None) };
        let listen_error = |source| DaemonError::Listen { address: file.listen, source };
        let upstream = MysqlUpstream::new(
            Owner::MysqlUpstream.number(),
            file.clone(),
            self.body_store.clone(),
            self.poller.clone(),
            self.limits.clone(),
        );
        let listener = MysqlListener::open(MysqlListenerOptions {
            owner: Owner::MysqlListener.number(),
            route: MYSQL_ROUTE,
            config: file.clone(),
            settings: &config.settings,
            body_store: self.body_store.clone(),
            poller: self.poller.clone(),
            limits: self.limits.clone(),
        });
        let listener = listener.map_err(listen_error)?;
        let address = listener.address().map_err(listen_error)?;
        tracing::info!("{} speaks MySQL on {address}", config.name);
        Ok(Some(MysqlRoute { listener, upstream }))
    }

    fn open_admin_interface(&self, config: &Config) -> Result<Option<AdminInterface>, DaemonError> {
        let Some(address) = config.admin_address else { return Ok(None) };
        let admin_error = |source| DaemonError::AdminInterface { address, source };
        let socket = TcpListener::bind(address).map_err(admin_error)?;
        let (poller, limits) = (self.poller.clone(), self.limits.clone());
        let admin = AdminInterface::open(Owner::AdminInterface.number(), socket, poller, limits);
        let admin = admin.map_err(admin_error)?;
        let address = admin.address().map_err(admin_error)?;
        tracing::info!("{} hears operators on {address}", config.name);
        Ok(Some(admin))
    }

    /// Has the poller watch the descriptor by which the body store's I/O threads wake the loop.
    fn watch_body_store(&self) -> io::Result<()> {
        let Some(body_store) = &self.body_store else { return Ok(()) };
        self.poller.add(body_store.borrow().waker(), Token::new(Owner::BodyStore.number(), 0, 0), false)
    }

    fn open_resp_upstream(&self) -> RespUpstream {
        let (body_store, poller) = (self.body_store.clone(), self.poller.clone());
        RespUpstream::new(Owner::RespUpstream.number(), body_store, poller, self.limits.clone())
    }
}

/// Opens the body store, if the deployment has its file, and sets the limits that follow from it.
fn open_body_store(config: &mut Config) -> Result<Option<body_store::SharedBodyStore>, DaemonError> {
    let file = BodyStoreFile::from_file(&config.settings)?;
    let Some(file) = file else { return Ok(None) };
    file.apply_limits(&config.settings, &mut config.limits);
    let opened = file.open(&config.settings)?;
    Ok(Some(opened))
}

fn class_names(settings: &Settings) -> Vec<Arc<str>> {
    settings.classes.iter().map(|class| class.name.as_str().into()).collect()
}

/// The class and tenant names that requests may use.
fn request_names(settings: &Settings) -> Names {
    let tenants = settings.tenants.iter().map(|tenant| tenant.name.as_str().into()).collect();
    Names { classes: class_names(settings), tenants }
}

/// Reserves the descriptors that this deployment's `MySQL` listener and store need, and divides the rest among the
/// upstreams.
fn divide_descriptors(config: &mut Config) {
    let exists = |file: &str| Path::new(file).exists();
    config.limits.reserve_descriptors(exists(mysql::config::FILE), exists(store::CONFIG_FILE));
}

impl Daemon {
    /// Starts the daemon with its configuration and the files under `deploy/`. Clients can connect from here
    /// on, and are served once it runs.
    ///
    /// # Errors
    /// If a file is invalid, an address cannot be bound, or a descriptor cannot be opened.
    pub fn start(mut config: Config) -> Result<Self, DaemonError> {
        let clock = Clock::new();
        let now = clock.now();
        divide_descriptors(&mut config);
        let trace = Trace::from_file()?;
        let resources = Resources::open(now, &mut config)?;
        let OpenHandlers { handlers, address } = resources.open_handlers(&mut config)?;
        let Resources { poller, limits, body_store, .. } = resources;
        let class_names = class_names(&config.settings);
        let shares_listener = config.inherited_listener.is_some();
        let shared = SharedLocks::open(shares_listener);
        let core = Core::new(config.settings, config.seed, body_store.is_some(), shared, trace);
        let maintenance = Maintenance::open(now, handlers.store.as_ref());
        let store_sync = StoreSync::new(now, handlers.store.as_ref());
        let mut daemon = Self {
            clock,
            suspend_detector: SuspendDetector::new(now),
            poller,
            limits,
            core,
            class_names,
            handlers,
            endpoints: KnownEndpoints::default(),
            maintenance,
            store_sync,
            reload: ReloadState::Idle,
            shares_listener,
            shutdown: ShutdownState::Serving,
        };
        daemon.install_value_check();
        daemon.apply_initial_endpoints(now, config.initial_endpoints.endpoints.to_vec());
        tracing::info!("{} listens on {address}", config.name);
        Ok(daemon)
    }

    /// Applies the endpoints of the configuration. In an upgrade the previous process has kept within its
    /// share of the load that warming-up engines can take, and this one uses that share from here on. After a
    /// crash it is unknown how much of the share was used.
    fn apply_initial_endpoints(&mut self, now: Time, endpoints: Vec<Endpoint>) {
        let scope = if self.shares_listener { ListScope::Complete } else { ListScope::Restored };
        self.apply_endpoint_changes(now, scope, EndpointChanges { notified_at: now, endpoints });
    }
}
