//! The routes of this deployment, and the operations that apply to all of their listeners or all of their
//! upstreams.

use crate::core::{ListenerEvent, Route, Upstream, UpstreamEvent};
use crate::discovery::Endpoint;
use crate::listener::http::HttpListener;
use crate::listener::mysql::MysqlListener;
use crate::net::Time;
use crate::upstream::mysql::MysqlUpstream;
use crate::upstream::resp::RespUpstream;
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::BodyEvent;

/// The number of the HTTP route in requests.
pub const HTTP_ROUTE: usize = 0;
/// The number of the `MySQL` route in requests.
pub const MYSQL_ROUTE: usize = 1;

/// The `MySQL` listener and its upstream.
pub struct MysqlRoute {
    /// Accepts clients.
    pub listener: MysqlListener,
    /// Runs their attempts.
    pub upstream: MysqlUpstream,
}

/// Listeners, and the upstreams that run their requests.
pub struct Routes {
    /// The platform's listener.
    pub http: HttpListener,
    /// The platform's upstream.
    pub resp: RespUpstream,
    /// The second route, if the deployment has one.
    pub mysql: Option<MysqlRoute>,
}

impl Routes {
    /// All routes for the core, indexed by route number.
    pub fn for_core(&mut self) -> Vec<Route<'_>> {
        let mut routes = vec![Route { listener: &mut self.http, upstream: &mut self.resp }];
        routes.extend(
            self.mysql.as_mut().map(|MysqlRoute { listener, upstream }| Route { listener, upstream }),
        );
        routes
    }

    /// The next event of a listener, in order of the routes.
    pub fn next_listener_event(&mut self) -> Option<ListenerEvent> {
        let mysql = &mut self.mysql;
        self.http.next_event().or_else(|| mysql.as_mut().and_then(|route| route.listener.next_event()))
    }

    /// The next event of an upstream, in order of the routes.
    pub fn next_upstream_event(&mut self) -> Option<UpstreamEvent> {
        let mysql = &mut self.mysql;
        self.resp.next_event().or_else(|| mysql.as_mut().and_then(|route| route.upstream.next_event()))
    }

    /// A body reader may have data: resumes the upstream that uses it.
    pub fn wake_reader(&mut self, now: Time, reader: u64) {
        self.resp.continue_body(now, reader);
        if let Some(mysql) = &mut self.mysql {
            mysql.upstream.continue_body(now, reader);
        }
    }

    /// The body store reports an event about a body: resumes the listener that receives it.
    pub fn wake_upload(&mut self, now: Time, body: BodyId, event: &BodyEvent) {
        self.http.on_body_event(now, body, event);
        if let Some(mysql) = &mut self.mysql {
            mysql.listener.on_body_event(now, body, event);
        }
    }

    /// No upload is accepted after this time.
    pub fn accept_uploads_until(&mut self, until: Time) {
        self.http.set_upload_cutoff(until);
        if let Some(mysql) = &mut self.mysql {
            mysql.listener.set_upload_cutoff(until);
        }
    }

    /// No attempt starts after this time, when the lease on the endpoint set expires.
    pub fn set_lease_end(&mut self, until: Time) {
        self.resp.set_lease_end(until);
        if let Some(mysql) = &mut self.mysql {
            mysql.upstream.set_lease_end(until);
        }
    }

    /// Updates one engine at the upstreams. `notified_at` is the time from which the change is treated as
    /// known.
    pub fn update_endpoint(&mut self, now: Time, notified_at: Time, endpoint: &Endpoint) {
        let Endpoint { entry, address } = endpoint;
        self.resp.update_engine(now, notified_at, &entry.id, entry.lifecycle, *address);
        if let Some(mysql) = &mut self.mysql {
            let ip = address.map(|address| address.ip());
            mysql.upstream.update_engine(now, notified_at, &entry.id, entry.lifecycle, ip);
        }
    }

    /// Whether every answer has been written and no body is being received.
    pub fn is_idle(&mut self) -> bool {
        self.http.is_drained() && self.mysql.as_mut().is_none_or(|mysql| mysql.listener.is_drained())
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.http.is_empty() && self.mysql.as_ref().is_none_or(|mysql| mysql.listener.is_empty())
    }

    /// Attempts that were written completely to engines.
    pub fn attempts_written(&self) -> u64 {
        self.resp.sent_attempts() + self.mysql.as_ref().map_or(0, |mysql| mysql.upstream.sent_attempts())
    }

    /// Requests that could not be decoded.
    pub fn malformed_requests(&mut self) -> u64 {
        self.http.bad_requests() + self.mysql.as_mut().map_or(0, |mysql| mysql.listener.bad_requests())
    }
}
