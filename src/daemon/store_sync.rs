//! After a start, no attempt starts until this coordinator's copy of the store is up to date: it may not know
//! yet which engines are in maintenance. Requests are rejected meanwhile.

use super::Daemon;
use crate::net::Time;
use crate::store::Store;

/// Longest wait for the store (s): it elects a leader within a second, and a watcher leaves a silent member after
/// two. Without a majority, coordinators continue with what they know.
const MAX_WAIT: Time = 3.0;

/// Whether this coordinator's copy of the store has been up to date since the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoreSync {
    /// It has not, and attempts wait for it.
    Waiting {
        /// When they no longer do.
        until: Time,
    },
    /// It has, it was not in time, or the deployment has no store.
    Done,
}

impl StoreSync {
    /// The state at the start.
    pub fn new(now: Time, store: Option<&Store>) -> Self {
        match store {
            Some(_) => StoreSync::Waiting { until: now + MAX_WAIT },
            None => StoreSync::Done,
        }
    }

    /// When the wait ends at the latest; `None` if it has ended.
    pub fn next_deadline(self) -> Option<Time> {
        match self {
            StoreSync::Waiting { until } => Some(until),
            StoreSync::Done => None,
        }
    }
}

impl Daemon {
    /// Whether attempts wait for the store. Ends the wait if the store is up to date or the time is over; what
    /// the store has is applied before.
    pub(super) fn awaits_store(&mut self, now: Time) -> bool {
        let StoreSync::Waiting { until } = self.store_sync else { return false };
        let is_current = self.handlers.store.as_ref().is_none_or(|store| store.is_current(now));
        if !is_current && now < until {
            return true;
        }
        if !is_current {
            tracing::warn!(
                at = now,
                part = "store",
                "no contact since the start: engines in maintenance may get requests"
            );
        }
        self.apply_store_changes(now);
        self.store_sync = StoreSync::Done;
        false
    }
}
