//! The listener of clients that speak the `MySQL` protocol: sessions in, results and errors out. Each execution is a request
//! of its own; no state of a session lives on an engine.
//!
//! - `session` is the state of a session, `login` its beginning, `commands` what it does then;
//! - `setup` answers statements by which clients set a session up, `statement` classifies the others;
//! - `arguments` checks the arguments of executions;
//! - `large` receives what does not arrive in one small packet, through the body store;
//! - `answer` encodes final answers, `error` has the errors that clients are sent.

mod answer;
mod arguments;
mod commands;
mod error;
mod large;
mod login;
mod session;
mod setup;
mod statement;

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
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

/// The server version that clients are sent.
const SERVER_VERSION: &str = "8.0.36-dahliaspoke";

/// What a `MySQL` listener is opened with.
pub struct MysqlListenerOptions<'a> {
    /// The owner number in tokens.
    pub owner: u8,
    /// The number of the route in requests.
    pub route: usize,
    /// The file that switches the listener on.
    pub config: Rc<Mysql>,
    /// The settings of the decisions: their classes.
    pub settings: &'a Settings,
    /// What is large, where the deployment keeps it.
    pub body_store: Option<body_store::SharedBodyStore>,
    /// The poller that watches the sockets.
    pub poller: Rc<Poller>,
    /// The limits of the daemon.
    pub limits: Rc<Limits>,
}

/// A class of requests.
struct Class {
    name: Arc<str>,
    /// How long clients wait (s), unless the file or a hint says otherwise.
    client_timeout: f64,
}

/// What all sessions share.
pub struct Shared {
    state: ListenerState,
    config: Rc<Mysql>,
    /// By position in the settings.
    classes: Vec<Class>,
    /// Requests that were built, for their ids.
    request_count: u64,
}

/// The `MySQL` listener.
pub type MysqlListener = Server<Session>;

impl MysqlListener {
    /// Opens the listener on the address that its file names.
    ///
    /// # Errors
    /// Where the system refuses the address, or to have the socket watched.
    pub fn open(options: MysqlListenerOptions) -> io::Result<Self> {
        let MysqlListenerOptions { owner, route, config, settings, body_store, poller, limits } = options;
        let socket = TcpListener::bind(config.listen)?;
        let classes = settings
            .classes
            .iter()
            .map(|class| Class { name: class.name.as_str().into(), client_timeout: class.client_timeout });
        let shared = Shared {
            state: ListenerState::new(route, limits).with_body_store(body_store),
            config,
            classes: classes.collect(),
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

    /// Builds the request for a statement; its deadline is set when it is submitted. `key` is the idempotency key if an
    /// argument holds it.
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
