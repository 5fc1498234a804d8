//! How long the endpoint set may be believed.
//!
//! A response reports what was true when the directory sent it, which is not before the query was sent. What changes later
//! is in no response so far, so the set is held under a lease that runs from the latest query whose response confirmed it.
//! Times are seconds on the caller's monotonic clock.

/// A change of the endpoint set counts as notified at most so long (s) after it happened, also where no response has
/// arrived (protocol, "Figures").
pub const MAX_NOTIFICATION_DELAY: f64 = 7.0;

/// Taken off a lease (s), for the way of the last byte that is written under it to the engine.
const SAFETY_MARGIN: f64 = 0.25;

/// For how long the endpoint set is believed, and from when that counts.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    duration: f64,
    confirmed_at: f64,
}

impl Lease {
    /// A lease on an endpoint set that is true at `now`. New attempts may begin at a draining engine for `drain_grace`
    /// seconds after its drain counts as notified.
    #[must_use]
    pub fn new(now: f64, drain_grace: f64) -> Self {
        let duration = (MAX_NOTIFICATION_DELAY + drain_grace - SAFETY_MARGIN).max(0.0);
        Self { duration, confirmed_at: now }
    }

    /// The endpoint set was true when this query was sent. Responses may arrive in any order: an earlier query than the
    /// latest that confirmed the set changes nothing.
    pub fn confirm(&mut self, queried_at: f64) {
        self.confirmed_at = self.confirmed_at.max(queried_at);
    }

    /// When the endpoint set was last known to be true. Whatever has changed since changed after that time.
    #[must_use]
    pub fn confirmed_at(&self) -> f64 {
        self.confirmed_at
    }

    /// When the lease ends: no attempt may begin from then on.
    #[must_use]
    pub fn expires_at(&self) -> f64 {
        self.confirmed_at + self.duration
    }
}
