//! Readers of large request bodies, and the connections that they feed.

use crate::body_store;
use crate::net::{Time, Token};
use dahliaspoke_body_store::{Body, Reader};
use std::collections::HashMap;

/// The body is not kept any more, and so its request cannot be sent.
#[derive(Debug, PartialEq, Eq)]
pub struct BodyGone;

/// The readers of an upstream's connections.
pub struct BodyReaders {
    /// Where large bodies are kept, if the deployment has such a store.
    store: Option<body_store::SharedBodyStore>,
    /// The connection that each reader feeds, by the reader's id.
    connections: HashMap<u64, Token>,
}

impl BodyReaders {
    /// No readers yet.
    pub fn new(store: Option<body_store::SharedBodyStore>) -> Self {
        Self { store, connections: HashMap::new() }
    }

    /// Where large bodies are kept, if the deployment has such a store.
    pub fn store(&self) -> Option<&body_store::SharedBodyStore> {
        self.store.as_ref()
    }

    /// Opens a reader of a request's body; `None` where the request has none.
    ///
    /// # Errors
    /// Where the body is not kept any more.
    pub fn open(&self, now: Time, body: Option<&Body>) -> Result<Option<Reader>, BodyGone> {
        let (Some(body), Some(store)) = (body, &self.store) else { return Ok(None) };
        store.borrow_mut().open_reader(now, body).map(Some).ok_or(BodyGone)
    }

    /// Notes which connection a reader feeds.
    pub fn insert(&mut self, reader: u64, connection: Token) {
        self.connections.insert(reader, connection);
    }

    /// The connection that a reader feeds.
    pub fn connection(&self, reader: u64) -> Option<Token> {
        self.connections.get(&reader).copied()
    }

    /// Forgets a reader.
    pub fn remove(&mut self, reader: u64) {
        self.connections.remove(&reader);
    }

    /// Forgets all readers that feed a connection.
    pub fn remove_connection(&mut self, connection: Token) {
        self.connections.retain(|_, token| *token != connection);
    }
}
