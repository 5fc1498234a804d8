//! Whether the directory responds.

use super::LOG_PART;
use crate::net::{Backoff, Time};

/// Time without a response (s) after which the directory is regarded as silent.
const SILENT_AFTER: Time = 1.0;

/// Delay (s) after the first change of the port, so that late responses can still arrive on the previous
/// port; it doubles with each further change.
const FIRST_PORT_CHANGE_DELAY: Time = 1.0;
/// Maximum delay (s) between changes of the port.
const MAX_PORT_CHANGE_DELAY: Time = 8.0;

/// Whether responses arrive, and since when.
pub enum Responsiveness {
    /// The directory responds; the latest response arrived at `last_response`.
    Responsive { last_response: Time },
    /// No response has arrived since `since`.
    Silent { since: Time, next_port_change: Time, delays: Backoff },
}

impl Responsiveness {
    /// Treats the directory as responsive at `now`.
    pub fn new(now: Time) -> Self {
        Self::Responsive { last_response: now }
    }

    /// A response has arrived.
    pub fn on_response(&mut self, now: Time) {
        if let Self::Silent { since, .. } = self {
            tracing::info!(at = now, part = LOG_PART, "answers again, silent since {since:.3}");
        }
        *self = Self::new(now);
    }

    /// Detects that the directory is silent, and returns whether the next query is to be sent from another
    /// port.
    pub fn should_change_port(&mut self, now: Time) -> bool {
        if let Self::Responsive { last_response: since } = *self {
            if now - since <= SILENT_AFTER {
                return false;
            }
            tracing::info!(at = now, part = LOG_PART, "has not answered since {since:.3}");
            let delays = Backoff::new(FIRST_PORT_CHANGE_DELAY, MAX_PORT_CHANGE_DELAY);
            *self = Self::Silent { since, next_port_change: now, delays };
        }
        let Self::Silent { next_port_change, delays, .. } = self else { return false };
        if now < *next_port_change {
            return false;
        }
        *next_port_change = now + delays.next_delay();
        true
    }
}
