//! Times of a graceful shutdown.

use dahliaspoke::settings::{list, number, object, SettingsError, DEFAULT_CLIENT_TIMEOUT};
use serde_json::{Map, Value};

/// The platform's patience after SIGTERM is the longest deadline, at most this (s), and 0.7 s more.
const RESTART_PATIENCE: f64 = 3.0;
/// The same bound for a process that is replaced by one beside it (s).
const UPGRADE_PATIENCE: f64 = 5.0;
/// How much of the 0.7 s after the longest deadline is used before open requests are given up (s).
const PATIENCE_MARGIN: f64 = 0.3;
/// Time that clients have to receive the last answers (s).
const FLUSH_TIMEOUT: f64 = 0.3;
/// In an upgrade, how long before `force_after` the process may exit once it owes nothing (s): by then the clients' idle
/// connections, kept for 4 s at most, are closed.
const UPGRADE_EXIT_MARGIN: f64 = 0.7;
/// How long connections that came before SIGTERM are served at least (s), without a process beside this one.
const GRACE_PERIOD: f64 = 1.0;

/// Times of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// From SIGTERM until the program may exit: connections that came before are still served.
    pub grace_period: f64,
    /// From SIGTERM until all open requests are given up, with an answer. The platform's patience ends soon after.
    pub force_after: f64,
    /// From then on, how long clients have to receive their answers.
    pub flush_timeout: f64,
}

impl ShutdownLimits {
    /// Before the platform's own patience ends: the longest deadline, up to a bound, and a little more.
    pub(super) fn from_settings(
        settings: &Map<String, Value>,
        in_pairs: bool,
    ) -> Result<Self, SettingsError> {
        let mut longest_deadline: f64 = 0.0;
        for class in list(settings, "classes")? {
            longest_deadline =
                longest_deadline.max(number(object(class, "a class")?, "giveUp", DEFAULT_CLIENT_TIMEOUT)?);
        }
        let patience = if in_pairs { UPGRADE_PATIENCE } else { RESTART_PATIENCE };
        let force_after = longest_deadline.min(patience) + PATIENCE_MARGIN;
        let grace_period = if in_pairs { force_after - UPGRADE_EXIT_MARGIN } else { GRACE_PERIOD };
        Ok(Self { grace_period, force_after, flush_timeout: FLUSH_TIMEOUT })
    }
}
