//! Reloads the configuration after SIGHUP. The directory's address takes effect at once, the rest at the next
//! start.

use super::Daemon;
use crate::config::Config;
use crate::net::{Backoff, Time};

/// Delay before the first retry of a reload that failed (s).
const FIRST_RETRY_DELAY: Time = 0.05;
/// Maximum delay between retries (s).
const MAX_RETRY_DELAY: Time = 1.0;

/// Whether a failed reload is to be retried.
#[derive(Default)]
pub enum ReloadState {
    /// No retry is pending.
    #[default]
    Idle,
    /// The latest attempt failed.
    Retrying {
        /// When the next attempt is due.
        at: Time,
        /// The delays between attempts.
        backoff: Backoff,
    },
}

impl ReloadState {
    /// When the next retry is due.
    pub fn next_deadline(&self) -> Option<Time> {
        match self {
            ReloadState::Idle => None,
            ReloadState::Retrying { at, .. } => Some(*at),
        }
    }

    /// The backoff of the retries in progress, or a new one.
    fn into_backoff(self) -> Backoff {
        match self {
            ReloadState::Idle => Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
            ReloadState::Retrying { backoff, .. } => backoff,
        }
    }
}

impl Daemon {
    /// Reads the configuration after SIGHUP. Retries of an earlier reload are dropped.
    pub(super) fn start_reload(&mut self, now: Time) {
        self.reload = ReloadState::Idle;
        self.read_configuration(now);
    }

    /// Retries a failed reload if that is due.
    pub(super) fn retry_reload(&mut self, now: Time) {
        if self.reload.next_deadline().is_some_and(|at| at <= now) {
            self.read_configuration(now);
        }
    }

    /// Reads and applies the configuration. A failure may be temporary (the file is half written, or no
    /// descriptor is free), so it is retried until it succeeds.
    fn read_configuration(&mut self, now: Time) {
        let mut backoff = std::mem::take(&mut self.reload).into_backoff();
        match Config::load() {
            Ok(Config { directory, .. }) => {
                tracing::info!(at = now, "configuration read again: directory {directory}");
                self.handlers.discovery.relocate(now, directory);
            }
            Err(error) => {
                if backoff.is_first() {
                    tracing::info!(at = now, "the old configuration stays: {error}");
                }
                self.reload = ReloadState::Retrying { at: now + backoff.next_delay(), backoff };
            }
        }
    }
}
