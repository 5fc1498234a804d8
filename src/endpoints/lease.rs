//! How long a list of engines may be believed.
//!
//! The directory tells what was true when it answered, and that is not before it was asked. A list that was true at
//! some time says nothing of what came after, so it is held under a lease that runs from the latest question whose
//! answer confirmed it. Times are seconds on the caller's monotonic clock; nothing here reads one.

/// What the directory has to tell counts as told so long (s) after it happened, whether it arrived or not (the
/// protocol's figures).
pub const TOLD_AFTER: f64 = 7.0;

/// Taken off a lease (s): a byte that is written at its last moment has still to reach the engine.
const MARGIN: f64 = 0.25;

/// The span for which a list is believed, and since when.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    span: f64,
    confirmed: f64,
}

impl Lease {
    /// A lease on a list that is true at `now`. An engine may be sent to for `grace` seconds after its drain counts as
    /// told.
    #[must_use]
    pub fn new(now: f64, grace: f64) -> Self {
        Self { span: (TOLD_AFTER + grace - MARGIN).max(0.0), confirmed: now }
    }

    /// The list was true when this question was asked. Answers come in any order: an older question changes nothing.
    pub fn confirm(&mut self, asked: f64) {
        self.confirmed = self.confirmed.max(asked);
    }

    /// When the list was last known to be true. Whatever changed did so later, and may have been told since.
    #[must_use]
    pub fn confirmed(&self) -> f64 {
        self.confirmed
    }

    /// Nothing may begin on the word of this list from then on.
    #[must_use]
    pub fn ends(&self) -> f64 {
        self.confirmed + self.span
    }
}
