//! Bodies that the connections of a listener receive into the body store.

use super::{ClientConnection, Server};
use crate::body_store;
use crate::net::{Flow, Time, Token};
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::BodyEvent;
use std::collections::HashMap;

/// The uploads of one listener.
pub struct Uploads {
    /// The body store, if the deployment has one.
    store: Option<body_store::SharedBodyStore>,
    /// The connection that receives the body store's events of a body.
    receivers: HashMap<BodyId, Token>,
    /// Number of uploads in progress.
    open_count: usize,
    /// When uploads stop being accepted, because the process is about to end.
    cutoff: Time,
}

impl Uploads {
    /// Creates the state without uploads. `store` receives the bodies of later ones.
    pub fn new(store: Option<body_store::SharedBodyStore>) -> Self {
        Self { store, receivers: HashMap::new(), open_count: 0, cutoff: Time::INFINITY }
    }

    /// The body store, if the deployment has one.
    pub fn store(&self) -> Option<&body_store::SharedBodyStore> {
        self.store.as_ref()
    }

    /// Whether new uploads are accepted.
    pub fn are_accepted(&self, now: Time) -> bool {
        now < self.cutoff
    }

    /// Records that an upload has started.
    pub fn begin(&mut self) {
        self.open_count += 1;
    }

    /// Records that an upload has ended.
    pub fn end(&mut self) {
        self.open_count -= 1;
    }

    /// Whether no body is being received.
    pub(super) fn is_idle(&self) -> bool {
        self.open_count == 0
    }

    /// Sends the body store's events of a body to a connection.
    pub fn add_receiver(&mut self, body: BodyId, connection: Token) {
        self.receivers.insert(body, connection);
    }

    /// Ignores the body store's events of a body from now on.
    pub fn remove_receiver(&mut self, body: BodyId) {
        self.receivers.remove(&body);
    }
}

/// A connection that receives bodies into the body store.
pub trait UploadConnection: ClientConnection {
    /// Handles an event of the body store about a body.
    fn on_body_event(
        &mut self,
        now: Time,
        body: BodyId,
        event: &BodyEvent,
        shared: &mut Self::Shared,
    ) -> Flow;
}

impl<C: UploadConnection> Server<C> {
    /// Dispatches an event of the body store to the connection that receives the body.
    pub fn on_body_event(&mut self, now: Time, body: BodyId, event: &BodyEvent) {
        let Some(token) = self.state().uploads.receivers.get(&body).copied() else { return };
        self.reply(now, token, |connection, shared| connection.on_body_event(now, body, event, shared));
    }

    /// Accepts no new uploads from `at` on.
    pub fn set_upload_cutoff(&mut self, at: Time) {
        self.state().uploads.cutoff = at;
    }
}
