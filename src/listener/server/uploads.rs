//! Bodies that arrive by the connections of a listener and go into the body store.

use super::{ClientConnection, Server};
use crate::body_store;
use crate::net::{Flow, Time, Token};
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::BodyEvent;
use std::collections::HashMap;

/// The uploads of one listener.
pub struct Uploads {
    /// The body store, where the deployment has one.
    store: Option<body_store::SharedBodyStore>,
    /// The connection that the body store's reports of a body are for.
    receivers: HashMap<BodyId, Token>,
    /// Bodies that are arriving.
    open_count: usize,
    /// From this time no upload is accepted any more: the process is about to end.
    cutoff: Time,
}

impl Uploads {
    /// No uploads yet, into this body store.
    pub fn new(store: Option<body_store::SharedBodyStore>) -> Self {
        Self { store, receivers: HashMap::new(), open_count: 0, cutoff: Time::INFINITY }
    }

    /// The body store, where the deployment has one.
    pub fn store(&self) -> Option<&body_store::SharedBodyStore> {
        self.store.as_ref()
    }

    /// Whether an upload may begin now.
    pub fn are_accepted(&self, now: Time) -> bool {
        now < self.cutoff
    }

    /// A body begins to arrive.
    pub fn begin(&mut self) {
        self.open_count += 1;
    }

    /// A body arrives no more.
    pub fn end(&mut self) {
        self.open_count -= 1;
    }

    /// Whether no body is arriving.
    pub(super) fn is_idle(&self) -> bool {
        self.open_count == 0
    }

    /// Has the body store's reports of a body handed to a connection.
    pub fn add_receiver(&mut self, body: BodyId, connection: Token) {
        self.receivers.insert(body, connection);
    }

    /// The body store's reports of a body are of no more use.
    pub fn remove_receiver(&mut self, body: BodyId) {
        self.receivers.remove(&body);
    }
}

/// A connection by which bodies for the body store arrive.
pub trait UploadConnection: ClientConnection {
    /// The body store reports a change of a body.
    fn on_body_change(
        &mut self,
        now: Time,
        body: BodyId,
        wake: &BodyEvent,
        shared: &mut Self::Shared,
    ) -> Flow;
}

impl<C: UploadConnection> Server<C> {
    /// The body store reports a change of a body: lets the connection by which it arrives go on.
    pub fn on_body_change(&mut self, now: Time, body: BodyId, wake: &BodyEvent) {
        let Some(token) = self.state().uploads.receivers.get(&body).copied() else { return };
        self.reply(now, token, |connection, shared| connection.on_body_change(now, body, wake, shared));
    }

    /// From that time no upload is accepted any more.
    pub fn set_upload_cutoff(&mut self, at: Time) {
        self.state().uploads.cutoff = at;
    }
}
