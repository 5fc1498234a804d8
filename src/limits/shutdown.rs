//! Times of a graceful shutdown.

use dahliaspoke::settings::{list, number, object, SettingsError, DEFAULT_CLIENT_TIMEOUT};
use serde_json::{Map, Value};

/// After SIGTERM the platform waits for the longest deadline, but at most this long (s), and for 0.7 s more.
const MAX_RESTART_WAIT: f64 = 3.0;
/// The same bound for a process that is replaced by one running beside it (s).
const MAX_UPGRADE_WAIT: f64 = 5.0;
/// How much of the 0.7 s after the longest deadline is used before open requests are abandoned (s).
const FORCE_MARGIN: f64 = 0.3;
/// Time that clients have to receive the last answers (s).
const FLUSH_TIMEOUT: f64 = 0.3;
/// In an upgrade, how long before `force_after` the process may exit once no answer is pending (s): by then
/// the clients' idle connections, which stay open for at most 4 s, are closed.
const UPGRADE_EXIT_MARGIN: f64 = 0.7;
/// Minimum time (s) for which connections from before SIGTERM are still served, if no process runs beside
/// this one.
const GRACE_PERIOD: f64 = 1.0;

/// Times of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// From SIGTERM until the process may exit: existing connections are still served.
    pub grace_period: f64,
    /// From SIGTERM until all open requests are abandoned, each with an answer. The platform stops waiting
    /// soon after.
    pub force_after: f64,
    /// After `force_after`, how long clients have to receive their answers.
    pub flush_timeout: f64,
}

impl ShutdownLimits {
    /// Computes times that end before the platform stops waiting: the longest deadline, up to a bound, and a
    /// margin.
    pub(super) fn from_settings(
        settings: &Map<String, Value>,
        shares_listener: bool,
    ) -> Result<Self, SettingsError> {
        let mut longest_deadline: f64 = 0.0;
        for class in list(settings, "classes")? {
            longest_deadline =
                longest_deadline.max(number(object(class, "a class")?, "giveUp", DEFAULT_CLIENT_TIMEOUT)?);
        }
        let max_wait = if shares_listener { MAX_UPGRADE_WAIT } else { MAX_RESTART_WAIT };
        let force_after = longest_deadline.min(max_wait) + FORCE_MARGIN;
        let grace_period = if shares_listener { force_after - UPGRADE_EXIT_MARGIN } else { GRACE_PERIOD };
        Ok(Self { grace_period, force_after, flush_timeout: FLUSH_TIMEOUT })
    }
}
