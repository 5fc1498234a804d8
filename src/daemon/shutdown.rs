//! Graceful shutdown: SIGTERM or SIGINT starts it, and its further steps are driven by timers.

use super::handlers::{self, Priority};
use super::{Daemon, DaemonError};
use crate::failpoints;
use crate::net::{Ready, Time};

/// The progress of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShutdownState {
    /// No shutdown has been started.
    Serving,
    /// Clients are still served, since they may not know of the shutdown yet.
    Draining {
        /// When idle connections are closed.
        until: Time,
        /// When open requests are aborted, with an answer.
        force_at: Time,
    },
    /// No further requests are expected: connections are closed as they become idle.
    Closing {
        /// When open requests are aborted, with an answer.
        force_at: Time,
    },
    /// All requests were aborted, and their answers are being written.
    Flushing {
        /// The deadline for writing the answers.
        until: Time,
    },
}

impl ShutdownState {
    /// When the next step is due at the latest.
    pub fn next_deadline(self) -> Option<Time> {
        match self {
            ShutdownState::Serving => None,
            ShutdownState::Draining { until, force_at } => Some(until.min(force_at)),
            ShutdownState::Closing { force_at } => Some(force_at),
            ShutdownState::Flushing { until } => Some(until),
        }
    }

    /// When open requests are to be aborted; none if no shutdown has started or they were aborted already.
    fn force_at(self) -> Option<Time> {
        match self {
            ShutdownState::Draining { force_at, .. } | ShutdownState::Closing { force_at } => Some(force_at),
            ShutdownState::Serving | ShutdownState::Flushing { .. } => None,
        }
    }
}

impl Daemon {
    /// Starts a shutdown, unless one has been started already.
    pub(super) fn start_shutdown(&mut self, now: Time) {
        if self.shutdown != ShutdownState::Serving {
            return;
        }
        // The platform keeps sending for a while: new requests are still served.
        let until = now + self.limits.shutdown.grace_period;
        self.shutdown = ShutdownState::Draining { until, force_at: now + self.limits.shutdown.force_after };
        self.handlers.routes.accept_uploads_until(until);
        if self.shares_listener {
            // The other process shares the listening socket and accepts new connections.
            tracing::info!(at = now, "leaving: new connections go to the other process");
            self.handlers.routes.http.stop_accepting();
        }
        self.handlers.discovery.deregister(now);
    }

    /// Takes the next steps of a shutdown that are due.
    pub(super) fn advance_shutdown(&mut self, now: Time) {
        if let ShutdownState::Draining { until, force_at } = self.shutdown {
            // If another process accepts new connections, this one need not wait for any.
            let unused = self.shares_listener && self.handlers.routes.is_empty();
            if now >= until || unused {
                self.close_idle_connections(now, force_at);
            }
        }
        if self.shutdown.force_at().is_some_and(|force_at| now >= force_at) {
            self.abort_open_requests(now);
        }
    }

    fn close_idle_connections(&mut self, now: Time, force_at: Time) {
        self.shutdown = ShutdownState::Closing { force_at };
        if !self.shares_listener {
            self.handlers.routes.http.begin_shutdown(now);
        }
    }

    fn abort_open_requests(&mut self, now: Time) {
        self.shutdown = ShutdownState::Flushing { until: now + self.limits.shutdown.flush_timeout };
        self.core.shut_down(now, &mut self.handlers.routes.for_core());
    }

    /// Whether the process may exit: every answer has been written, no input from clients is unread and no order
    /// key needs to stay locked, or the deadline for writing the answers has passed. New connections are accepted
    /// until the end: one that only the kernel has accepted would be lost.
    ///
    /// # Errors
    /// If epoll fails.
    pub(super) fn may_exit(&mut self, ready: &mut Vec<Ready>) -> Result<bool, DaemonError> {
        match self.shutdown {
            ShutdownState::Serving | ShutdownState::Draining { .. } => return Ok(false),
            ShutdownState::Flushing { until } if self.clock.now() >= until => return Ok(true),
            ShutdownState::Closing { .. } | ShutdownState::Flushing { .. } => {}
        }
        let is_busy = self.core.open_requests() > 0 || self.core.holds_order_locks();
        if is_busy || !self.handlers.routes.is_idle() {
            return Ok(false);
        }
        failpoints::reach("shutdown.last");
        let now = self.clock.now();
        self.poller.wait(now, now, ready).map_err(DaemonError::Poll)?;
        Ok(!ready.iter().any(|ready| handlers::priority(*ready) == Priority::Listeners))
    }
}
