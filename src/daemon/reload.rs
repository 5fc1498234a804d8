//! The configuration is read again after SIGHUP. The directory's address counts at once, the rest from the next start on.

use super::Daemon;
use crate::config::Config;
use crate::net::{Backoff, Time};

/// Delay before a configuration that could not be read is read again for the first time (s).
const FIRST_RETRY_DELAY: Time = 0.05;
/// The longest delay between two retries (s).
const MAX_RETRY_DELAY: Time = 1.0;

/// Whether a configuration is waiting to be read again.
#[derive(Default)]
pub enum ReloadState {
    /// None is.
    #[default]
    Idle,
    /// The latest attempt failed.
    Retrying {
        /// When it is read again.
        at: Time,
        /// The delays between attempts.
        backoff: Backoff,
    },
}

impl ReloadState {
    /// When the configuration is read again.
    pub fn next_deadline(&self) -> Option<Time> {
        match self {
            ReloadState::Idle => None,
            ReloadState::Retrying { at, .. } => Some(*at),
        }
    }

    /// The delays of the retries that are going on, or of new ones.
    fn into_backoff(self) -> Backoff {
        match self {
            ReloadState::Idle => Backoff::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY),
            ReloadState::Retrying { backoff, .. } => backoff,
        }
    }
}

impl Daemon {
    /// Reads the configuration after SIGHUP. The newest file counts: retries of an earlier one end.
    pub(super) fn start_reload(&mut self, now: Time) {
        self.reload = ReloadState::Idle;
        self.read_configuration(now);
    }

    /// Reads the configuration once more, when that is due.
    pub(super) fn retry_reload(&mut self, now: Time) {
        if self.reload.next_deadline().is_some_and(|at| at <= now) {
            self.read_configuration(now);
        }
    }

    /// Applies the configuration. One that cannot be read may be half written, or there may be no descriptor: it is read
    /// again until it can.
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
