//! The event loop: waits for ready descriptors and due timers, calls the event handlers, and applies what
//! they received.

use super::handlers::{self, Owner};
use super::signals::Signal;
use super::{Daemon, DaemonError};
use crate::net::{Ready, Time};
use std::time::Duration;

/// Interval between polls after a suspension, while discovery has not responded and other descriptors are
/// ready.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(1);

impl Daemon {
    /// Runs until a graceful shutdown has completed.
    ///
    /// # Errors
    /// If epoll fails.
    pub fn run(mut self) -> Result<(), DaemonError> {
        let mut ready = Vec::new();
        loop {
            // The process may be suspended between any two statements. Its state is then out of date, and
            // pending input is handled first.
            if self.was_suspended(None) {
                self.catch_up(&mut ready)?;
                self.handle_ready(&mut ready);
            }
            let now = self.clock.now();
            self.run_timers(now);
            self.forward_events(now);
            if self.may_exit(&mut ready)? {
                tracing::info!("{}", self.counters());
                return Ok(());
            }
            let deadline = self.next_deadline();
            self.wait(deadline, &mut ready)?;
            if self.was_suspended(Some(deadline)) {
                self.catch_up(&mut ready)?;
            }
            self.handle_ready(&mut ready);
        }
    }

    /// Waits until a descriptor is ready or `until` is reached.
    fn wait(&self, until: Time, ready: &mut Vec<Ready>) -> Result<(), DaemonError> {
        self.poller.wait(self.clock.now(), until, ready).map_err(DaemonError::Poll)
    }

    /// The earliest time at which a timer is due. All waits of the loop, except while catching up, end at
    /// this time.
    fn next_deadline(&mut self) -> Time {
        let lease_end = self.handlers.discovery.lease_expires_at();
        let deadlines = [
            self.core.next_deadline(),
            self.shutdown.next_deadline(),
            Some(self.maintenance.next_deadline()),
            self.store_sync.next_deadline(),
            Some(lease_end).filter(|_| !self.endpoints.is_lease_expired()),
            self.reload.next_deadline(),
        ];
        deadlines.into_iter().flatten().fold(self.handlers.next_deadline(), Time::min)
    }

    /// Runs all timers that are due.
    fn run_timers(&mut self, now: Time) {
        self.handlers.on_timer(now);
        self.apply_received(now);
        self.poll_maintenance(now);
        self.retry_reload(now);
        self.core.on_timer(now, &mut self.handlers.routes.for_core());
        self.advance_shutdown(now);
    }

    /// Handles the ready descriptors in priority order.
    fn handle_ready(&mut self, ready: &mut [Ready]) {
        let now = self.clock.now();
        ready.sort_by_key(|ready| handlers::priority(*ready));
        for ready in ready {
            self.handlers.on_ready(now, *ready);
            self.apply_received(now);
            self.forward_events(now);
        }
    }

    /// Applies what the handlers have received for the daemon itself.
    fn apply_received(&mut self, now: Time) {
        while let Some(signal) = self.handlers.signals.next_signal() {
            self.handle_signal(now, signal);
        }
        self.apply_discovered_changes(now);
        self.check_lease(now);
        self.apply_store_changes(now);
        self.answer_commands(now);
    }

    fn handle_signal(&mut self, now: Time, signal: Signal) {
        match signal {
            Signal::Terminate | Signal::Interrupt => self.start_shutdown(now),
            Signal::ReportCounters => tracing::info!("{}", self.counters()),
            Signal::ReloadConfiguration => self.start_reload(now),
        }
    }

    /// Whether the process was suspended, given that the loop waited until `deadline` at the latest.
    fn was_suspended(&mut self, deadline: Option<Time>) -> bool {
        let threshold = self.limits.event_loop.suspend_threshold;
        self.suspend_detector.check(self.clock.now(), deadline, threshold)
    }

    /// Queries the directory before anything is admitted or sent, since engines may have drained or departed
    /// during the suspension. The wait is bounded, so that an unresponsive directory does not block
    /// everything else. Fills `ready` with the descriptors ready afterwards: a wait interrupted by the
    /// suspension has reported none.
    fn catch_up(&mut self, ready: &mut Vec<Ready>) -> Result<(), DaemonError> {
        let now = self.clock.now();
        tracing::info!(at = now, "the process was suspended");
        let until = now + self.limits.event_loop.catch_up_timeout;
        self.handlers.discovery.query_now(now);
        loop {
            let now = self.clock.now();
            let waiting = self.handlers.discovery.awaits_response() && now < until;
            let wait_until = if waiting { until } else { now };
            self.poller.wait(now, wait_until, ready).map_err(DaemonError::Poll)?;
            if !waiting {
                self.apply_received(now);
                return Ok(());
            }
            self.receive_discovery(now, ready);
        }
    }

    /// Handles discovery's descriptors only. Sleeps briefly if none of them is ready: the other descriptors
    /// stay ready, so that polling again would return at once.
    fn receive_discovery(&mut self, now: Time, ready: &[Ready]) {
        let discovery = Owner::Discovery.number();
        match ready.iter().find(|ready| ready.token.owner == discovery) {
            Some(answer) => self.handlers.discovery.on_ready(now, *answer),
            None => std::thread::sleep(CATCH_UP_POLL_INTERVAL),
        }
    }
}
