//! The platform's listener: HTTP/1.1 requests in, JSON responses out.
//!
//! A connection carries one request at a time. A body that is too large for memory is received into the body
//! store, if the deployment has one. A request whose body is stored is submitted once all of the body has
//! arrived; one whose body is passed through to the engine is submitted after its first bytes.
//!
//! - [`codec`] decodes HTTP requests and encodes HTTP responses;
//! - `connection` is the state machine of a connection, `upload` the part of it that receives a large body;
//! - `request` builds the core's requests from HTTP requests, `response` encodes their final answers.

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

/// Names that clients may use, in the order of the settings.
pub struct Names {
    /// The classes.
    pub classes: Vec<Arc<str>>,
    /// The tenants; empty if the deployment has none.
    pub tenants: Vec<Arc<str>>,
}

/// Options of an HTTP listener.
pub struct HttpListenerOptions {
    /// Owner number of the listener's tokens.
    pub owner: u8,
    /// Index of the listener's route, set in each request.
    pub route: usize,
    /// The listening socket.
    pub socket: TcpListener,
    /// Names that clients may use.
    pub names: Names,
    /// The store for large bodies, if the deployment has one.
    pub body_store: Option<body_store::SharedBodyStore>,
    /// The poller that watches the sockets.
    pub poller: Rc<Poller>,
    /// The daemon's limits.
    pub limits: Rc<Limits>,
}

/// State shared by all connections of the listener.
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
    /// The operating system refuses to watch the socket.
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
