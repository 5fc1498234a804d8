//! The platform's listener: HTTP/1.1 calls in, JSON answers out.
//!
//! A connection carries one request at a time. A body that is too large to be held in memory goes through the body store,
//! where the deployment has one: a request whose body is kept begins once all of it has arrived, one whose body is passed on
//! begins with the first bytes.
//!
//! - [`codec`] decodes calls and encodes answers of the protocol;
//! - `connection` is the state of a connection, `upload` what happens while a large body arrives;
//! - `request` builds requests from calls, `response` encodes their final answers.

pub mod codec;
mod connection;
mod request;
mod response;
mod upload;
mod utf8;

use super::server::{ListenerState, Server};
use super::sql;
use crate::body_store;
use crate::core::{Answer, Listener};
use crate::limits::Limits;
use crate::net::{Poller, Time};
use connection::HttpConnection;
use dahliaspoke::policy::RequestId;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

/// The names that calls may use, by position in the settings.
pub struct Names {
    /// The classes.
    pub classes: Vec<Arc<str>>,
    /// The tenants; none where the deployment has none.
    pub tenants: Vec<Arc<str>>,
}

/// What an HTTP listener is opened with.
pub struct HttpListenerOptions {
    /// The owner number in tokens.
    pub owner: u8,
    /// The number of the route in requests.
    pub route: usize,
    /// The listening socket.
    pub socket: TcpListener,
    /// The names that calls may use.
    pub names: Names,
    /// Large bodies, where the deployment keeps them.
    pub body_store: Option<body_store::SharedBodyStore>,
    /// The poller that watches the sockets.
    pub poller: Rc<Poller>,
    /// The limits of the daemon.
    pub limits: Rc<Limits>,
}

/// What all connections share.
pub struct Shared {
    state: ListenerState,
    names: Names,
}

/// The platform's listener.
pub type HttpListener = Server<HttpConnection>;

impl HttpListener {
    /// Opens the listener.
    ///
    /// # Errors
    /// Where the system refuses to have the socket watched.
    pub fn open(options: HttpListenerOptions) -> io::Result<Self> {
        let HttpListenerOptions { owner, route, socket, names, body_store, poller, limits } = options;
        let state = ListenerState::new(route, limits).with_body_store(body_store);
        let shared = Shared { state, names };
        Self::new(owner, socket, shared, poller)
    }
}

impl Listener for HttpListener {
    fn is_client_waiting(&mut self, id: &RequestId) -> bool {
        Server::is_client_waiting(self, id)
    }

    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer) {
        Server::answer(self, now, id, |connection, shared| connection.answer(now, answer, shared));
    }
}
