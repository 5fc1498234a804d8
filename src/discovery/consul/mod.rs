//! The list of engines from Consul's health API, by blocking queries, and this coordinator's own entry in
//! its catalogue. Replaces the directory where `deploy/consul.toml` is.

mod http;

use super::{Discovery, Endpoint, EndpointChanges, EndpointSet};
use crate::limits::Limits;
use crate::net::{
    BufferedStream, Connection, ConnectionSlab, EventHandler, Flow, Poller, Ready, Time, Token,
};
use dahliaspoke::endpoints::lease::Lease;
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use dahliaspoke::settings::{field, list, num, object, part, word, Res};
use http::Malformed;
use serde::Deserialize;
use serde_json::{json, Map, Value};
use std::net::SocketAddr;
use std::rc::Rc;

/// Where the file is, from the folder that the daemon is started in.
pub const FILE: &str = "deploy/consul.toml";

/// The file's content.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Consul's HTTP API.
    pub agent: SocketAddr,
    /// The service that the engines are registered as.
    pub service: String,
    /// The service that this coordinator registers itself as; absent: it does not.
    pub register: Option<String>,
}

/// Calls and answers of one connection to the agent.
pub struct Shared {
    limits: Rc<Limits>,
    replies: Vec<(Token, Result<http::Reply, Malformed>)>,
}

/// A connection to the agent with one call on it.
struct Line {
    channel: BufferedStream,
    token: Token,
    answered: bool,
}

/// Where the watch on the service stands.
enum Watch {
    /// Asked at the first time; the answer is due by the second.
    Waits { token: Token, asked: Time, due: Time },
    /// Failed or answered; asked again then.
    Rests(Time),
}

pub struct ConsulDiscovery {
    config: Config,
    /// This coordinator's name and address in the catalogue.
    own: (String, SocketAddr),
    table: ConnectionSlab<Line>,
    shared: Shared,
    watch: Watch,
    index: u64,
    /// The last call failed: the next one is not held, so that its answer renews the lease at once.
    failed: bool,
    endpoints: EndpointSet,
    registered: bool,
    lease: Lease,
    /// What has changed and was not told yet.
    changes: Option<EndpointChanges>,
    bad: u64,
}

impl ConsulDiscovery {
    pub fn new(
        part: u8,
        now: Time,
        config: Config,
        own: (String, SocketAddr),
        endpoints: EndpointSet,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> Self {
        Self {
            config,
            own,
            table: ConnectionSlab::new(part, poller),
            lease: Lease::new(now, limits.engines.drain_grace),
            shared: Shared { limits, replies: Vec::new() },
            watch: Watch::Rests(0.0),
            index: 0,
            failed: false,
            endpoints,
            registered: false,
            changes: None,
            bad: 0,
        }
    }

    /// Enters this coordinator in the catalogue, passing.
    fn register(&mut self, now: Time) {
        let Some(service) = &self.config.register else { return };
        let (name, address) = &self.own;
        let ip = address.ip().to_string();
        let id = format!("{service}-{name}");
        let check = json!({"Node": name, "CheckID": format!("service:{id}"), "Name": "serving",
            "Status": "passing", "ServiceID": id});
        let body = json!({"Node": name, "Address": ip, "SkipNodeUpdate": false, "Check": check,
            "Service": {"ID": id, "Service": service, "Address": ip, "Port": address.port()}});
        self.registered = self.call(now, "PUT", "/v1/catalog/register", &body.to_string()).is_some();
    }

    fn call(&mut self, now: Time, method: &str, path: &str, body: &str) -> Option<Token> {
        let mut channel = BufferedStream::connect(self.config.agent).ok()?;
        channel.push(http::call(method, path, &self.config.agent.to_string(), body));
        let token = self.table.add(|token| Some(Line { channel, token, answered: false })).ok()??;
        self.table.settle(now, token, Flow::Open, &mut self.shared);
        Some(token)
    }
}

impl Discovery for ConsulDiscovery {
    fn take(&mut self) -> Option<EndpointChanges> {
        self.changes.take()
    }

    fn hold(&mut self, _: Time, endpoints: EndpointSet) {
        self.endpoints = endpoints;
    }

    fn valid_until(&self) -> Time {
        self.lease.expires_at()
    }

    /// Takes this coordinator out of the catalogue.
    fn leave(&mut self, now: Time) {
        let Some(service) = self.config.register.clone().filter(|_| self.registered) else { return };
        let name = &self.own.0;
        let body = json!({"Node": name, "ServiceID": format!("{service}-{name}")});
        self.call(now, "PUT", "/v1/catalog/deregister", &body.to_string());
    }

    fn bad(&self) -> u64 {
        self.bad
    }
}

impl EventHandler for ConsulDiscovery {
    fn next_deadline(&mut self) -> Option<Time> {
        match self.watch {
            Watch::Waits { due: until, .. } | Watch::Rests(until) => Some(until),
        }
    }

    /// Asks, when it is time to. An agent that holds a blocking query too long is asked anew.
    fn on_timer(&mut self, now: Time) {
        if self.next_deadline().is_some_and(|at| now < at) {
            return;
        }
        if let Watch::Waits { token, .. } = self.watch {
            self.table.close(now, token, &mut self.shared);
            // Its end is our doing: it says nothing of the entry in the catalogue.
            self.shared.replies.retain(|(of, _)| *of != token);
            self.bad += 1;
            self.failed = true;
        }
        if !self.registered {
            self.register(now);
        }
        let wait = self.shared.limits.discovery.consul_wait;
        let index = if self.failed { 0 } else { self.index };
        let path = format!("/v1/health/service/{}?index={index}&wait={wait}s", self.config.service);
        self.watch = match self.call(now, "GET", &path, "") {
            // The agent adds up to a sixteenth to the wait.
            Some(token) => Watch::Waits { token, asked: now, due: now + wait * 1.25 },
            None => Watch::Rests(now + self.shared.limits.discovery.consul_retry_delay),
        };
    }

    /// Reads what has come.
    fn on_ready(&mut self, now: Time, ready: Ready) {
        self.table.on_ready(now, ready, &mut self.shared);
        for (token, reply) in std::mem::take(&mut self.shared.replies) {
            let watched = match self.watch {
                Watch::Waits { token: waits, asked, .. } if waits == token => Some(asked),
                _ => None,
            };
            let list = reply.map_err(|Malformed| "malformed".to_string()).and_then(|reply| {
                if reply.status != 200 {
                    return Err(format!("status {}", reply.status));
                }
                watched
                    .map(|asked| read(&reply).map(|(index, endpoints)| (asked, index, endpoints)))
                    .transpose()
            });
            match list {
                Ok(Some((asked, index, endpoints))) => {
                    // An index that goes back starts from nothing; one of 0 would not block.
                    self.index = if index < self.index { 0 } else { index.max(1) };
                    self.failed = false;
                    let told = self.lease.confirmed_at();
                    self.lease.confirm(asked);
                    let endpoints = self.endpoints.replace(endpoints);
                    let changes = EndpointChanges { told, endpoints: Vec::new() };
                    self.changes.get_or_insert(changes).endpoints.extend(endpoints);
                    self.watch = Watch::Rests(now);
                }
                Ok(None) => {}
                Err(why) => {
                    tracing::info!(at = now, part = "consul", "{why}");
                    self.bad += 1;
                    // What is held stays: an agent that fails says nothing of the engines.
                    let rest = Watch::Rests(now + self.shared.limits.discovery.consul_retry_delay);
                    if watched.is_some() {
                        self.failed = true;
                        self.watch = rest;
                    } else {
                        self.registered = false; // tried again with the next watch
                    }
                }
            }
        }
    }
}

impl Connection for Line {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, _: Time, shared: &mut Shared) -> Flow {
        match http::read(&self.channel.input, &shared.limits) {
            Ok(None) => return Flow::Open,
            Ok(Some((reply, _))) => shared.replies.push((self.token, Ok(reply))),
            Err(malformed) => shared.replies.push((self.token, Err(malformed))),
        }
        self.answered = true;
        Flow::Close
    }

    fn writable(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Open
    }

    fn closed(&mut self, _: Time, shared: &mut Shared) {
        if !self.answered {
            shared.replies.push((self.token, Err(Malformed)));
        }
    }
}

/// The index and the engines in an answer of the health API.
fn read(reply: &http::Reply) -> Res<(u64, Vec<Endpoint>)> {
    let value: Value = serde_json::from_slice(&reply.body).map_err(|e| format!("not JSON: {e}"))?;
    let entries = value.as_array().ok_or("the answer is not a list")?;
    let endpoints = entries.iter().map(|entry| endpoint(object(entry, "an entry")?)).collect::<Res<_>>()?;
    Ok((reply.index.ok_or("no X-Consul-Index")?, endpoints))
}

fn endpoint(entry: &Map<String, Value>) -> Res<Endpoint> {
    let none = Map::new();
    let (node, service) = (part(entry, "Node", &none)?, part(entry, "Service", &none)?);
    let meta = part(service, "Meta", &none)?;
    let id = word(service, "ID", "")?;
    // A service without an address of its own is at its node's.
    let told = word(service, "Address", "")?;
    let ip = if told.is_empty() { word(node, "Address", "")? } else { told };
    let ip = ip.parse().map_err(|e| format!("address of {id}: {e}"))?;
    let port = num(service, "Port", 0.0)?;
    if id.is_empty() || !(1.0..65536.0).contains(&port) {
        return Err("a service has no id or no port".into());
    }
    // Maintenance and failed checks are critical: nothing new goes there, and what runs may end.
    let critical = |check: &Value| field(check.as_object()?, "Status").map(|s| s == "critical");
    let drains = list(entry, "Checks")?.iter().any(|check| critical(check) == Some(true));
    let number = |key: &str| word(meta, key, "0")?.parse::<f64>().map_err(|e| format!("{key} of {id}: {e}"));
    let entry = EngineEntry {
        id: id.into(),
        zone: word(meta, "zone", "")?.into(),
        kind: word(meta, "kind", "")?.into(),
        cell: number("cell")? as i64,
        lifecycle: if drains { Lifecycle::Draining } else { Lifecycle::Ready },
        started: super::start_time(number("started_ms")?),
    };
    Ok(Endpoint { entry, address: Some(SocketAddr::new(ip, port as u16)) })
}
