//! The listener for clients of the `MySQL` protocol. Each execution of a statement is a request of its own,
//! and engines keep no session state.
//!
//! - `session` is the state machine of a session, `login` authenticates it, `commands` handles its commands;
//! - `setup` answers the statements with which clients set up a session, `statement` classifies the others,
//!   `statement_memory` limits the memory of prepared ones;
//! - `arguments` decodes the arguments of executions;
//! - `large` receives large payloads and long data into the body store;
//! - `answer` encodes final answers, `error` defines the errors that are sent to clients.

mod answer;
mod arguments;
mod commands;
mod error;
mod large;
mod login;
mod session;
mod setup;
mod statement;
mod statement_memory;

use super::server::{ListenerState, Server};
use super::sql;
use crate::body_store;
use crate::core::{Answer, Listener, QueryPayload, Request};
use crate::limits::Limits;
use crate::mysql::config::Mysql;
use crate::net::{Poller, Time};
use dahliaspoke::policy::{RequestId, Settings};
use session::Session;
use statement::{KeySource, Statement};
use statement_memory::StatementMemory;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

/// The server version sent to clients.
const SERVER_VERSION: &str = "8.0.36-dahliaspoke";

/// Options of a `MySQL` listener.
pub struct MysqlListenerOptions<'a> {
    /// Owner number of the listener's tokens.
    pub owner: u8,
    /// Index of the listener's route, set in each request.
    pub route: usize,
    /// The content of `deploy/mysql.toml`, which enables the listener.
    pub config: Rc<Mysql>,
    /// The policy's settings, of which the listener uses the classes.
    pub settings: &'a Settings,
    /// The store for large bodies, if the deployment has one.
    pub body_store: Option<body_store::SharedBodyStore>,
    /// The poller that watches the sockets.
    pub poller: Rc<Poller>,
    /// The daemon's limits.
    pub limits: Rc<Limits>,
}

/// A class of requests.
struct Class {
    name: Arc<str>,
    /// How long clients wait (s), unless `deploy/mysql.toml` or a hint overrides it.
    client_timeout: f64,
}

/// State shared by all sessions.
pub struct Shared {
    state: ListenerState,
    config: Rc<Mysql>,
    /// The classes, in the order of the settings.
    classes: Vec<Class>,
    statement_memory: StatementMemory,
    /// Number of requests built so far, from which their ids are derived.
    request_count: u64,
}

/// The `MySQL` listener.
pub type MysqlListener = Server<Session>;

impl MysqlListener {
    /// Opens the listener on the address in `deploy/mysql.toml`.
    ///
    /// # Errors
    /// The operating system refuses the address, or to watch the socket.
    pub fn open(options: MysqlListenerOptions) -> io::Result<Self> {
        let MysqlListenerOptions { owner, route, config, settings, body_store, poller, limits } = options;
        let socket = TcpListener::bind(config.listen)?;
        let classes = settings
            .classes
            .iter()
            .map(|class| Class { name: class.name.as_str().into(), client_timeout: class.client_timeout });
        let statement_memory = StatementMemory::new(limits.mysql.max_statement_bytes);
        let shared = Shared {
            state: ListenerState::new(route, limits).with_body_store(body_store),
            config,
            classes: classes.collect(),
            statement_memory,
            request_count: 0,
        };
        Self::new(owner, socket, shared, poller)
    }
}

impl Listener for MysqlListener {
    fn is_client_waiting(&mut self, id: &RequestId) -> bool {
        Server::is_client_waiting(self, id)
    }

    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer) {
        Server::answer(self, now, id, |session, shared| session.answer(now, answer, shared));
    }
}

impl Shared {
    /// The largest payload that is accepted (bytes).
    fn max_payload_bytes(&self) -> usize {
        let limits = &self.state.limits;
        limits.http.max_body_bytes.max(limits.bodies.max_bytes)
    }

    /// Builds the request for a statement; its deadline is set when it is submitted. `key` is the
    /// idempotency key if an argument contains it.
    fn new_request(
        &mut self,
        statement: &Statement,
        arguments: Option<Vec<u8>>,
        key: Option<Arc<str>>,
    ) -> Request {
        let idempotency_key = match &statement.key {
            Some(KeySource::Hint(key)) => Some(key.clone()),
            _ => key,
        };
        self.request_count += 1;
        Request {
            route: self.state.route,
            id: format!("mysql-{:x}", self.request_count).into(),
            class: statement.class,
            tenant: None,
            order_key: None,
            deadline: Time::INFINITY,
            estimated_work: statement.estimated_work,
            estimated_memory: statement.estimated_memory,
            table_group: statement.table_group,
            uploading: false,
            payload: QueryPayload {
                class_name: self.classes[statement.class].name.clone(),
                statement: statement.text.clone(),
                arguments: arguments.map(Arc::from),
                idempotency_key,
                ..QueryPayload::default()
            },
        }
    }
}
