//! Handles the body store's events about the bodies of requests and parameters.

use super::{Destination, LongValue};
use crate::core::{Answer, Request};
use crate::listener::mysql::answer::encode_answer;
use crate::listener::mysql::error::MysqlError;
use crate::listener::mysql::session::{Session, SessionState};
use crate::listener::mysql::Shared;
use crate::listener::server::UploadConnection;
use crate::net::{Flow, Time};
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::BodyEvent;

/// A complete request, to be submitted once its bodies are stored.
pub struct PendingRequest {
    request: Box<Request>,
    /// How long its client waits (s), from `received_at`.
    timeout: f64,
    /// When the last byte arrived.
    received_at: Time,
    /// Bodies that are not completely stored yet.
    unstored: Vec<BodyId>,
}

impl UploadConnection for Session {
    fn on_body_event(&mut self, now: Time, body: BodyId, event: &BodyEvent, shared: &mut Shared) -> Flow {
        match event {
            BodyEvent::CapacityAvailable(_) => {
                if let SessionState::Receiving(payload) = &mut self.state {
                    payload.store_full = false;
                    self.deadline = now + shared.state.limits.bodies.stall_timeout;
                }
                self.receive_large(now, shared)
            }
            BodyEvent::Stored(_) => self.on_body_stored(body, shared),
            BodyEvent::Lost(_) | BodyEvent::FellBackToPassThrough(_) => self.on_body_lost(now, body, shared),
            BodyEvent::BytesDropped(_) | BodyEvent::DataReady(_) => Flow::Open,
        }
    }
}

impl Session {
    /// Submits a request once all of its bodies are stored.
    pub fn submit_when_stored(
        &mut self,
        now: Time,
        request: Box<Request>,
        timeout: f64,
        shared: &mut Shared,
    ) -> Flow {
        let mut unstored = Vec::new();
        for body in request.payload.stored_bodies() {
            let Some(store) = shared.state.uploads.store() else { continue };
            store.borrow_mut().finish(now, body.id());
            if !store.borrow().is_stored(body.id()) {
                shared.state.uploads.add_receiver(body.id(), self.token);
                unstored.push(body.id());
            }
        }
        self.state = SessionState::Storing(PendingRequest { request, timeout, received_at: now, unstored });
        self.submit_if_stored(shared)
    }

    fn submit_if_stored(&mut self, shared: &mut Shared) -> Flow {
        if !matches!(&self.state, SessionState::Storing(pending) if pending.unstored.is_empty()) {
            return Flow::Open;
        }
        if let SessionState::Storing(pending) = std::mem::replace(&mut self.state, SessionState::Idle) {
            self.submit(pending.received_at, *pending.request, pending.timeout, shared);
        }
        Flow::Open
    }

    fn on_body_stored(&mut self, body: BodyId, shared: &mut Shared) -> Flow {
        if let SessionState::Storing(pending) = &mut self.state {
            pending.unstored.retain(|unstored| *unstored != body);
        }
        if !self.parameters.values().any(|value| value.is_body(body)) {
            shared.state.uploads.remove_receiver(body);
        }
        self.submit_if_stored(shared)
    }

    /// Handles a body that the body store cannot store. Its request, or the execution of its parameter, is
    /// rejected without having run; the session remains open unless the body is too large.
    fn on_body_lost(&mut self, now: Time, body: BodyId, shared: &mut Shared) -> Flow {
        shared.state.uploads.remove_receiver(body);
        if let Some(value) = self.parameters.values_mut().find(|value| value.is_body(body)) {
            *value = LongValue::Lost;
            if let SessionState::Receiving(payload) = &mut self.state {
                payload.store_full = false;
            }
            return self.receive_large(now, shared);
        }
        match &self.state {
            SessionState::Storing(pending) if pending.unstored.contains(&body) => {
                let class = pending.request.class;
                self.reject_pending(now, class, shared)
            }
            SessionState::Receiving(payload) if payload.is_request_body(body) => {
                self.reject_incoming(now, body, shared)
            }
            _ => Flow::Open,
        }
    }

    /// Rejects a complete request whose body was lost.
    fn reject_pending(&mut self, now: Time, class: usize, shared: &mut Shared) -> Flow {
        self.state = SessionState::Idle;
        shared.state.report_rejected(class);
        let rejected = Answer::Rejected(shared.state.limits.bodies.retry_after);
        self.send(self.next_sequence, &encode_answer(rejected, false));
        self.schedule_if_buffered(now, shared);
        Flow::Open
    }

    /// Rejects a request whose body was lost while it arrived. The rest of the payload is discarded. If the
    /// body exceeds the size that may be stored, the session is closed.
    fn reject_incoming(&mut self, now: Time, body: BodyId, shared: &mut Shared) -> Flow {
        let SessionState::Receiving(payload) = &mut self.state else { return Flow::Open };
        let Destination::Request(incoming) = &payload.destination else { return Flow::Open };
        let class = incoming.request.class;
        let is_too_large = shared.state.uploads.store().is_some_and(|store| {
            let store = store.borrow();
            store.received_bytes(body) >= store.max_bytes(class)
        });
        if is_too_large {
            return self.end(now, self.next_sequence, &MysqlError::too_large(), shared);
        }
        payload.destination = Destination::Discard;
        payload.store_full = false;
        shared.state.report_rejected(class);
        let error = MysqlError::rejected(shared.state.limits.bodies.retry_after);
        self.send(self.next_sequence, &[error.encode()]);
        self.receive_large(now, shared)
    }

    /// Unregisters a closed session from the body store's events.
    pub fn release_bodies(&mut self, shared: &mut Shared) {
        match &self.state {
            SessionState::Receiving(payload) => payload.release(shared),
            SessionState::Storing(pending) => {
                for body in &pending.unstored {
                    shared.state.uploads.remove_receiver(*body);
                }
            }
            _ => {}
        }
        for value in self.parameters.values() {
            if let LongValue::Stored(body) = value {
                shared.state.uploads.remove_receiver(body.id());
            }
        }
    }
}
