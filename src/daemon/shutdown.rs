//! Graceful shutdown: SIGTERM or SIGINT starts it, and the steps follow by time.

use super::handlers::{self, Priority};
use super::{Daemon, DaemonError};
use crate::failpoints;
use crate::net::{Ready, Time};

/// How far a graceful shutdown is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ShutdownState {
    /// No shutdown has begun.
    Serving,
    /// Clients are still served, since they may not know yet.
    Draining {
        /// When idle connections are closed.
        until: Time,
        /// When open requests are given up, with an answer.
        force_at: Time,
    },
    /// Nothing more is expected: connections are closed as they become idle.
    Closing {
        /// When open requests are given up, with an answer.
        force_at: Time,
    },
    /// All requests were given up, and their answers are being written.
    Flushing {
        /// Until when clients may receive them.
        until: Time,
    },
}

impl ShutdownState {
    /// When the next step is due by itself.
    pub fn next_deadline(self) -> Option<Time> {
        match self {
            ShutdownState::Serving => None,
            ShutdownState::Draining { until, force_at } => Some(until.min(force_at)),
            ShutdownState::Closing { force_at } => Some(force_at),
            ShutdownState::Flushing { until } => Some(until),
        }
    }

    /// When open requests are given up, while that is still to come.
    fn force_at(self) -> Option<Time> {
        match self {
            ShutdownState::Draining { force_at, .. } | ShutdownState::Closing { force_at } => Some(force_at),
            ShutdownState::Serving | ShutdownState::Flushing { .. } => None,
        }
    }
}

impl Daemon {
    /// Starts a shutdown, unless there is one already.
    pub(super) fn start_shutdown(&mut self, now: Time) {
        if self.shutdown != ShutdownState::Serving {
            return;
        }
        // The platform goes on sending for a while: what comes is still served.
        let until = now + self.limits.shutdown.grace_period;
        self.shutdown = ShutdownState::Draining { until, force_at: now + self.limits.shutdown.force_after };
        self.handlers.routes.accept_uploads_until(until);
        if self.in_pairs {
            // The other process has the listening socket as well, and accepts what comes.
            tracing::info!(at = now, "leaving: connections go to the process beside");
            self.handlers.routes.http.stop_accepting();
        }
        self.handlers.discovery.deregister(now);
    }

    /// Takes the next steps of a shutdown that are due.
    pub(super) fn advance_shutdown(&mut self, now: Time) {
        if let ShutdownState::Draining { until, force_at } = self.shutdown {
            // Where another process accepts what comes, this one need not stay for it.
            let unused = self.in_pairs && self.handlers.routes.is_empty();
            if now >= until || unused {
                self.close_idle_connections(now, force_at);
            }
        }
        if self.shutdown.force_at().is_some_and(|force_at| now >= force_at) {
            self.force_answers(now);
        }
    }

    fn close_idle_connections(&mut self, now: Time, force_at: Time) {
        self.shutdown = ShutdownState::Closing { force_at };
        if !self.in_pairs {
            self.handlers.routes.http.begin_shutdown(now);
        }
    }

    fn force_answers(&mut self, now: Time) {
        self.shutdown = ShutdownState::Flushing { until: now + self.limits.shutdown.flush_timeout };
        self.core.shut_down(now, &mut self.handlers.routes.for_core());
    }

    /// Whether the process may exit: every answer is written, and nothing that clients have sent is unread. New connections
    /// are accepted to the end: one that the kernel accepted, and nobody here, would be lost.
    ///
    /// # Errors
    /// Where epoll fails.
    pub(super) fn may_exit(&mut self, ready: &mut Vec<Ready>) -> Result<bool, DaemonError> {
        match self.shutdown {
            ShutdownState::Serving | ShutdownState::Draining { .. } => return Ok(false),
            ShutdownState::Flushing { until } if self.clock.now() >= until => return Ok(true),
            ShutdownState::Closing { .. } | ShutdownState::Flushing { .. } => {}
        }
        if self.core.open_requests() > 0 || !self.handlers.routes.is_idle() {
            return Ok(false);
        }
        failpoints::reach("shutdown.last");
        let now = self.clock.now();
        self.poller.wait(now, now, ready).map_err(DaemonError::Poll)?;
        Ok(!ready.iter().any(|ready| handlers::priority(*ready) == Priority::Listeners))
    }
}
