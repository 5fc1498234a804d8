//! Decides where a body is stored, which bodies move when capacity runs short, and what may be
//! read. Pure: it does no I/O, reads no clock and has no content; it only accounts for bytes.
//!
//! The tiers, best first:
//!
//! | tier | what it means for retries |
//! | --- | --- |
//! | [`Tier::Memory`] | replayed at once, as often as the request's class allows |
//! | [`Tier::File`] | like memory, but read back from a file |
//! | [`Tier::PassThrough`] | forwarded as it arrives and not stored: sent again only while its window has every byte |
//!
//! Invariants (tested by `tests/plan.rs`):
//!
//! 1. The bytes in a tier are within its budget, and those of a class are within the class's share
//!    of it.
//! 2. Windows, counted in chunks, are within their budget; those of arriving bodies leave some for
//!    replays.
//! 3. A complete body never becomes one that is passed through.
//! 4. Only a complete body in memory without readers is demoted; among those, the one of least
//!    value per byte and second.
//! 5. A body that is passed through has at most one reader.
//! 6. Everything that was reserved for a body is released exactly once, when the body is released.

mod admission;
mod body;
mod demotion;
mod limits;
mod usage;

pub use admission::Admission;
pub use body::{BodyId, BodyState, Tier};
pub use limits::{
    Budgets, ClassLimits, FILE_WINDOW_CHUNKS, PASS_THROUGH_WINDOW_CHUNKS, REPLAY_WINDOW_CHUNKS,
};
pub use usage::{ClassCounters, PerTier, UsedBytes, UsedWindows};

use std::collections::HashMap;
use thiserror::Error;
use usage::Usage;

/// Why a body is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Rejection {
    /// It exceeds the maximum size of its class.
    #[error("the body is larger than its class allows")]
    TooLarge,
    /// No tier has enough free capacity.
    #[error("no capacity for the body")]
    NoCapacity,
}

/// Tracks the admitted bodies and decides on their placement.
pub struct Plan {
    usage: Usage,
    bodies: HashMap<BodyId, BodyState>,
    last_id: BodyId,
    /// Bodies are neither admitted nor demoted to files before this time (seconds on the caller's
    /// clock).
    files_suspended_until: f64,
}

impl Plan {
    /// Creates a plan without bodies.
    #[must_use]
    pub fn new(budgets: Budgets) -> Self {
        Self {
            usage: Usage::new(budgets),
            bodies: HashMap::new(),
            last_id: 0,
            files_suspended_until: f64::NEG_INFINITY,
        }
    }

    /// Counters by class.
    #[must_use]
    pub fn counters(&self) -> &[ClassCounters] {
        self.usage.counters()
    }

    /// The maximum size of a body of a class (bytes).
    #[must_use]
    pub fn max_bytes(&self, class: usize) -> u64 {
        self.usage.limits(class).max_bytes
    }

    /// The state of a body; `None` once it is released.
    #[must_use]
    pub fn body(&self, id: BodyId) -> Option<&BodyState> {
        self.bodies.get(&id)
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> UsedBytes {
        self.usage.used()
    }

    /// Windows in use.
    #[must_use]
    pub fn windows(&self) -> UsedWindows {
        self.usage.windows()
    }

    /// Marks a body as complete: it has fully arrived and, in [`Tier::File`], has been written. Its
    /// window is released unless it is passed through.
    pub fn mark_complete(&mut self, id: BodyId) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.complete = true;
        if body.tier != Tier::PassThrough {
            self.usage.release_arrival_window(std::mem::take(&mut body.window_chunks));
        }
    }

    /// Stops admissions and demotions to files until `until` (seconds on the caller's clock),
    /// because a write failed.
    pub fn suspend_files(&mut self, until: f64) {
        self.files_suspended_until = self.files_suspended_until.max(until);
    }

    /// Called when an arriving body cannot be written to its file. Returns whether it is passed
    /// through from now on, in the window that it already has; if not, the body is lost. A complete
    /// body is left unchanged.
    pub fn fall_back_to_pass_through(&mut self, id: BodyId) -> bool {
        let arriving = |body: &&mut BodyState| body.tier == Tier::File && !body.complete;
        let Some(body) = self.bodies.get_mut(&id).filter(arriving) else { return false };
        if body.length_unknown || !self.usage.limits(body.class).pass_through {
            return false;
        }
        body.tier = Tier::PassThrough;
        body.retains_file = true;
        self.usage.add(body.class, Tier::PassThrough, body.length);
        self.usage.counters_mut(body.class).fell_back += 1;
        true
    }

    /// Whether a reader may be opened: for a complete body, or as the only reader of a body that is
    /// passed through.
    #[must_use]
    pub fn can_read(&self, id: BodyId) -> bool {
        self.bodies.get(&id).is_some_and(|body| match body.tier {
            Tier::PassThrough => body.readers == 0,
            Tier::Memory | Tier::File => body.complete,
        })
    }

    /// Registers a reader. Returns `false` if it needs a window and none is free; a body in memory
    /// needs none, and one that is passed through uses its own.
    pub fn start_read(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        if body.tier == Tier::File && !self.usage.try_reserve_replay_window() {
            return false;
        }
        body.readers += 1;
        true
    }

    /// Unregisters a reader; `has_window` if it has a replay window.
    pub fn end_read(&mut self, id: BodyId, has_window: bool) {
        if has_window {
            self.usage.release_replay_window();
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.readers -= 1;
        }
    }

    /// Counts every reader of a body after its first one.
    pub fn count_replay(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get(&id) {
            self.usage.counters_mut(body.class).replayed += 1;
        }
    }

    /// Counts a body whose content could not be read back intact.
    pub fn count_corrupt(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get(&id) {
            self.usage.counters_mut(body.class).corrupt += 1;
        }
    }

    /// Releases everything that is reserved for a body. A second call has no effect.
    pub fn release(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else { return };
        self.usage.release_arrival_window(body.window_chunks);
        self.usage.remove(body.class, body.tier, body.length);
        if body.demoting || body.retains_file {
            self.usage.remove(body.class, Tier::File, body.length);
        }
    }
}
