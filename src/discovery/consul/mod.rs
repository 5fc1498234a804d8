//! The endpoint set from Consul's health API, watched with blocking queries, and the registration of this
//! coordinator in Consul's catalog. It replaces the directory if `deploy/consul.toml` exists.
//!
//! - `http`: the codec of requests and responses;
//! - `connection`: a connection to the agent;
//! - `watch`: the blocking queries for the engines' service;
//! - `health`: the responses to these queries;
//! - `catalog`: the registration of this coordinator.

mod catalog;
mod connection;
mod error;
mod health;
mod http;
mod watch;

use super::{Discovery, EndpointChanges, EndpointSet};
use crate::limits::Limits;
use crate::net::{BufferedStream, ConnectionSlab, EventHandler, Flow, Poller, Ready, Time, Token};
use catalog::CatalogNode;
use connection::{AgentConnection, Reply, Shared};
use dahliaspoke::endpoints::Lease;
use error::{ConsulError, HttpError};
use health::HealthList;
use http::Response;
use serde::Deserialize;
use std::net::SocketAddr;
use std::rc::Rc;
use watch::Watch;

/// Path of the configuration file, relative to the daemon's working directory.
pub const FILE: &str = "deploy/consul.toml";

/// The name of this module in the log.
const LOG_PART: &str = "consul";

const STATUS_OK: u16 = 200;

/// The content of [`FILE`].
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Address of the agent's HTTP API.
    pub agent: SocketAddr,
    /// The service that the engines are registered as.
    pub service: String,
    /// The service that this coordinator registers itself as; it does not register itself if this is absent.
    pub register: Option<String>,
}

/// Start parameters of [`ConsulDiscovery`].
pub struct ConsulConfig {
    /// Owner number of the event handler in tokens.
    pub owner: u8,
    /// The content of the configuration file.
    pub file: Config,
    /// This coordinator's name.
    pub name: String,
    /// Where this coordinator listens for clients.
    pub address: SocketAddr,
    /// The endpoints in the configuration.
    pub endpoints: EndpointSet,
}

/// Watches the engines' service, and registers this coordinator.
pub struct ConsulDiscovery {
    config: Config,
    node: CatalogNode,
    connections: ConnectionSlab<AgentConnection>,
    shared: Shared,
    watch: Watch,
    /// Version of `endpoints` in Consul; 0 if the next query must not block.
    index: u64,
    /// The latest query failed: the next one must not block, so that its response renews the lease at once.
    has_failed: bool,
    endpoints: EndpointSet,
    /// A registration was sent and has not failed so far.
    is_registered: bool,
    lease: Lease,
    changes: Option<EndpointChanges>,
    failed_requests: u64,
}

impl ConsulDiscovery {
    /// Starts from the endpoints of the configuration; the first query is due at once.
    pub fn open(now: Time, config: ConsulConfig, poller: Rc<Poller>, limits: Rc<Limits>) -> Self {
        let ConsulConfig { owner, file, name, address, endpoints } = config;
        Self {
            config: file,
            node: CatalogNode { name, address },
            connections: ConnectionSlab::new(owner, poller),
            lease: Lease::new(now, limits.engines.drain_grace),
            shared: Shared { limits, replies: Vec::new() },
            watch: Watch::Idle { until: 0.0 },
            index: 0,
            has_failed: false,
            endpoints,
            is_registered: false,
            changes: None,
            failed_requests: 0,
        }
    }

    /// Registers this coordinator, if the configuration names a service for it.
    fn register(&mut self, now: Time) {
        let Some(service) = &self.config.register else { return };
        let body = self.node.registration(service);
        self.is_registered = self.send_request(now, "PUT", catalog::REGISTER_PATH, &body).is_some();
    }

    /// Sends a request on a new connection; none if the connection could not be opened.
    fn send_request(&mut self, now: Time, method: &str, path: &str, body: &str) -> Option<Token> {
        let agent = self.config.agent;
        let mut stream = BufferedStream::connect(agent).ok()?;
        stream.push(http::encode_request(method, path, &agent.to_string(), body));
        let token = self.connections.add(|token| Some(AgentConnection::new(stream, token))).ok()??;
        self.connections.settle(now, token, Flow::Open, &mut self.shared);
        Some(token)
    }

    /// Abandons a query whose response is overdue.
    fn abandon_pending_query(&mut self, now: Time) {
        let Watch::Pending { token, .. } = self.watch else { return };
        self.connections.close(now, token, &mut self.shared);
        // The connection was closed here, so its `ClosedEarly` reply must not be handled as a failed
        // registration.
        self.shared.replies.retain(|reply| reply.token != token);
        self.failed_requests += 1;
        self.has_failed = true;
    }

    fn send_query(&mut self, now: Time) {
        let wait = self.shared.limits.discovery.consul_wait;
        let index = if self.has_failed { 0 } else { self.index };
        let path = health::query_path(&self.config.service, index, wait);
        self.watch = match self.send_request(now, "GET", &path, "") {
            Some(token) => Watch::sent(now, token, wait),
            None => self.retry_later(now),
        };
    }

    fn retry_later(&self, now: Time) -> Watch {
        Watch::Idle { until: now + self.shared.limits.discovery.consul_retry_delay }
    }

    fn handle_reply(&mut self, now: Time, reply: Reply) {
        let queried_at = self.watch.sent_at(reply.token);
        match (check_status(reply.response), queried_at) {
            (Ok(response), Some(queried_at)) => match health::decode(&response) {
                Ok(list) => self.apply_list(now, queried_at, list),
                Err(error) => self.on_query_failed(now, &error),
            },
            (Ok(_), None) => {} // response to a catalog call
            (Err(error), Some(_)) => self.on_query_failed(now, &error),
            (Err(error), None) => self.on_registration_failed(now, &error),
        }
    }

    fn apply_list(&mut self, now: Time, queried_at: Time, HealthList { index, endpoints }: HealthList) {
        // If the index goes backwards, the next query starts over with 0; an index of 0 from the agent would
        // never block.
        self.index = if index < self.index { 0 } else { index.max(1) };
        self.has_failed = false;
        let confirmed_at = self.lease.confirmed_at();
        self.lease.confirm(queried_at);
        let changes = self.endpoints.replace(endpoints);
        EndpointChanges::add(&mut self.changes, confirmed_at, changes);
        self.watch = Watch::Idle { until: now };
    }

    /// Keeps the endpoint set: a failure of the agent is no information about the engines.
    fn on_query_failed(&mut self, now: Time, error: &ConsulError) {
        self.count_failure(now, error);
        self.has_failed = true;
        self.watch = self.retry_later(now);
    }

    /// The registration is retried with the next query.
    fn on_registration_failed(&mut self, now: Time, error: &ConsulError) {
        self.count_failure(now, error);
        self.is_registered = false;
    }

    fn count_failure(&mut self, now: Time, error: &ConsulError) {
        tracing::info!(at = now, part = LOG_PART, "{error}");
        self.failed_requests += 1;
    }
}

fn check_status(response: Result<Response, HttpError>) -> Result<Response, ConsulError> {
    let response = response?;
    if response.status == STATUS_OK {
        Ok(response)
    } else {
        Err(ConsulError::Status(response.status))
    }
}

impl Discovery for ConsulDiscovery {
    fn take_changes(&mut self) -> Option<EndpointChanges> {
        self.changes.take()
    }

    fn reset_to(&mut self, _: Time, endpoints: EndpointSet) {
        self.endpoints = endpoints;
    }

    fn lease_expires_at(&self) -> Time {
        self.lease.expires_at()
    }

    fn deregister(&mut self, now: Time) {
        let Some(service) = self.config.register.as_ref().filter(|_| self.is_registered) else { return };
        let body = self.node.deregistration(service);
        self.send_request(now, "PUT", catalog::DEREGISTER_PATH, &body);
    }

    fn unusable_responses(&self) -> u64 {
        self.failed_requests
    }
}

impl EventHandler for ConsulDiscovery {
    fn next_deadline(&mut self) -> Option<Time> {
        Some(self.watch.next_deadline())
    }

    /// Sends the next query if it is due, in place of one whose response is overdue.
    fn on_timer(&mut self, now: Time) {
        if now < self.watch.next_deadline() {
            return;
        }
        self.abandon_pending_query(now);
        if !self.is_registered {
            self.register(now);
        }
        self.send_query(now);
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        self.connections.on_ready(now, ready, &mut self.shared);
        for reply in std::mem::take(&mut self.shared.replies) {
            self.handle_reply(now, reply);
        }
    }
}
