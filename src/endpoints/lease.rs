//! How long the endpoint set is valid.
//!
//! A response reports the state at the time the directory sent it, which is not before the query was sent. It
//! cannot contain later changes, so the endpoint set is valid only under a lease, which runs from the latest
//! query whose response confirmed the set. Times are seconds on the caller's monotonic clock.

/// A change of the endpoint set counts as notified at most this long (s) after it happened, even if no
/// response has arrived (protocol, "Figures").
pub const MAX_NOTIFICATION_DELAY: f64 = 7.0;

/// Subtracted from a lease (s), for the time until the last byte written under it reaches the engine.
const SAFETY_MARGIN: f64 = 0.25;

/// The period for which the endpoint set is valid.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    duration: f64,
    confirmed_at: f64,
}

impl Lease {
    /// Creates a lease on an endpoint set that is correct at `now`. New attempts may start on a draining
    /// engine for `drain_grace` seconds after its drain counts as notified.
    #[must_use]
    pub fn new(now: f64, drain_grace: f64) -> Self {
        let duration = (MAX_NOTIFICATION_DELAY + drain_grace - SAFETY_MARGIN).max(0.0);
        Self { duration, confirmed_at: now }
    }

    /// Records that the endpoint set was correct when the query was sent. Responses may arrive in any order:
    /// one to a query before the latest that confirmed the set changes nothing.
    pub fn confirm(&mut self, queried_at: f64) {
        self.confirmed_at = self.confirmed_at.max(queried_at);
    }

    /// When the endpoint set was last known to be correct. Any change since then happened after that time.
    #[must_use]
    pub fn confirmed_at(&self) -> f64 {
        self.confirmed_at
    }

    /// When the lease expires: no attempt may start from then on.
    #[must_use]
    pub fn expires_at(&self) -> f64 {
        self.confirmed_at + self.duration
    }
}
