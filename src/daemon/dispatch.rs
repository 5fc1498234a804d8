//! Forwards events between the body store, the listeners, the core and the upstreams.

use super::shutdown::ShutdownState;
use super::Daemon;
use crate::core::ListenerEvent;
use crate::net::Time;
use dahliaspoke_body_store::BodyEvent;

impl Daemon {
    /// Forwards events until none is queued anywhere.
    pub(super) fn forward_events(&mut self, now: Time) {
        while self.forward_next_event(now) {}
    }

    /// Forwards one event; returns false if there is none. Body-store events are processed first, so that a
    /// dropped body is known before its attempt's outcome is handled.
    fn forward_next_event(&mut self, now: Time) -> bool {
        if let Some(event) = self.next_body_event() {
            self.forward_body_event(now, &event);
        } else if let Some(event) = self.handlers.routes.next_listener_event() {
            self.forward_listener_event(now, event);
        } else if let Some(event) = self.handlers.routes.next_upstream_event() {
            self.core.on_upstream_event(now, event, &mut self.handlers.routes.for_core());
        } else {
            return false;
        }
        true
    }

    fn next_body_event(&mut self) -> Option<BodyEvent> {
        self.handlers.body_store.as_ref().and_then(|store| store.borrow_mut().next_event())
    }

    fn forward_body_event(&mut self, now: Time, event: &BodyEvent) {
        let routes = &mut self.handlers.routes;
        match event {
            BodyEvent::DataReady(reader) => routes.wake_reader(now, *reader),
            BodyEvent::BytesDropped(body) => self.core.on_body_dropped(now, *body, &mut routes.for_core()),
            BodyEvent::CapacityAvailable(body)
            | BodyEvent::Stored(body)
            | BodyEvent::FellBackToPassThrough(body)
            | BodyEvent::Lost(body) => {
                routes.wake_upload(now, *body, event);
            }
        }
    }

    fn forward_listener_event(&mut self, now: Time, mut event: ListenerEvent) {
        if let ListenerEvent::Request(request) = &mut event {
            // The client's time limit runs from when it sent the request, possibly before a suspension.
            request.deadline -= now - self.suspend_detector.earliest_arrival(now);
            if matches!(self.shutdown, ShutdownState::Flushing { .. }) {
                request.deadline = now; // it is rejected at once
            }
        }
        self.core.on_listener_event(now, event, &mut self.handlers.routes.for_core());
    }
}
