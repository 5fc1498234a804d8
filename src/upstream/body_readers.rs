//! Readers of large request bodies, and the connections that they feed.

use crate::body_store;
use crate::net::{Time, Token};
use dahliaspoke_body_store::{Body, Reader};
use std::collections::HashMap;

/// The body is no longer stored, so its request cannot be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct BodyUnavailable;

/// The readers of an upstream's connections.
pub struct BodyReaders {
    /// The store of large bodies, if the deployment has one.
    store: Option<body_store::SharedBodyStore>,
    /// The connection that each reader feeds, by the reader's id.
    connections: HashMap<u64, Token>,
}

impl BodyReaders {
    /// Creates an empty set of readers.
    pub fn new(store: Option<body_store::SharedBodyStore>) -> Self {
        Self { store, connections: HashMap::new() }
    }

    /// The store of large bodies, if the deployment has one.
    pub fn store(&self) -> Option<&body_store::SharedBodyStore> {
        self.store.as_ref()
    }

    /// Opens a reader of a request's body; `None` if the request has none.
    ///
    /// # Errors
    /// If the body is no longer stored.
    pub fn open(&self, now: Time, body: Option<&Body>) -> Result<Option<Reader>, BodyUnavailable> {
        let (Some(body), Some(store)) = (body, &self.store) else { return Ok(None) };
        store.borrow_mut().open_reader(now, body).map(Some).ok_or(BodyUnavailable)
    }

    /// Records which connection a reader feeds.
    pub fn insert(&mut self, reader: u64, connection: Token) {
        self.connections.insert(reader, connection);
    }

    /// The connection that a reader feeds.
    pub fn connection(&self, reader: u64) -> Option<Token> {
        self.connections.get(&reader).copied()
    }

    /// Removes a reader.
    pub fn remove(&mut self, reader: u64) {
        self.connections.remove(&reader);
    }

    /// Removes all readers that feed a connection.
    pub fn remove_connection(&mut self, connection: Token) {
        self.connections.retain(|_, token| *token != connection);
    }
}
