//! Decides where a body is kept, which bodies move when capacity runs short, and what may be read. Pure: it does no I/O, reads
//! no clock and holds no content; it counts bytes.
//!
//! The tiers, best first:
//!
//! | tier | what it means for retries |
//! | --- | --- |
//! | [`Tier::Memory`] | replayed at once, as often as the request's class allows |
//! | [`Tier::File`] | the same, read back from a file |
//! | [`Tier::PassThrough`] | passed on as it arrives and not kept: sent again only while every byte is still in its window |
//!
//! Invariants (`tests/plan.rs` tries to break them):
//!
//! 1. The bytes in a tier are within its budget, and those of a class are within the class's share of it.
//! 2. Windows, counted in chunks, are within their budget; those of arriving bodies leave some for replays.
//! 3. A complete body never becomes one that is passed on.
//! 4. Only a complete body in memory that is not being read is demoted, and of those the one of least value by the byte and
//!    second.
//! 5. A body that is passed on has at most one reader.
//! 6. Everything that was reserved is released when the body is released, once.

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

/// Why a body is not taken.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Rejection {
    /// It is larger than any of its class may be.
    #[error("the body is larger than its class allows")]
    TooLarge,
    /// No tier has the capacity now.
    #[error("no capacity for the body")]
    NoCapacity,
}

/// The decisions on bodies.
pub struct Plan {
    usage: Usage,
    bodies: HashMap<BodyId, BodyState>,
    last_id: BodyId,
    /// No file is begun before this (seconds on the caller's clock).
    files_suspended_until: f64,
}

impl Plan {
    /// A plan without bodies.
    #[must_use]
    pub fn new(budgets: Budgets) -> Self {
        Self {
            usage: Usage::new(budgets),
            bodies: HashMap::new(),
            last_id: 0,
            files_suspended_until: f64::NEG_INFINITY,
        }
    }

    /// What has happened so far, by class.
    #[must_use]
    pub fn counters(&self) -> &[ClassCounters] {
        self.usage.counters()
    }

    /// The largest body that a class may have (bytes).
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

    /// All of a body has arrived and, if it belongs in a file, is written. Its window is released unless it is passed on.
    pub fn mark_complete(&mut self, id: BodyId) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        body.complete = true;
        if body.tier != Tier::PassThrough {
            self.usage.release_arrival_window(std::mem::take(&mut body.window_chunks));
        }
    }

    /// Files cannot be written: none is begun before `until` (seconds on the caller's clock).
    pub fn suspend_files(&mut self, until: f64) {
        self.files_suspended_until = self.files_suspended_until.max(until);
    }

    /// An arriving body cannot be written to its file. Returns whether it is passed on from here, in the window that it has;
    /// if not, it cannot be taken. A complete body is left as it is.
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

    /// Whether a reader may begin: of a complete body, or the only one of a body that is passed on.
    #[must_use]
    pub fn can_read(&self, id: BodyId) -> bool {
        self.bodies.get(&id).is_some_and(|body| match body.tier {
            Tier::PassThrough => body.readers == 0,
            Tier::Memory | Tier::File => body.complete,
        })
    }

    /// Begins a reader. Returns `false` if it needs a window and none is free; a body in memory needs none, and one that is
    /// passed on has its own.
    pub fn start_read(&mut self, id: BodyId) -> bool {
        let Some(body) = self.bodies.get_mut(&id) else { return false };
        if body.tier == Tier::File && !self.usage.try_reserve_replay_window() {
            return false;
        }
        body.readers += 1;
        true
    }

    /// Ends a reader; `has_window` if it took a window.
    pub fn end_read(&mut self, id: BodyId, has_window: bool) {
        if has_window {
            self.usage.release_replay_window();
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.readers -= 1;
        }
    }

    /// Counts a reader after the first of a body.
    pub fn count_replay(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get(&id) {
            self.usage.counters_mut(body.class).replayed += 1;
        }
    }

    /// Counts a body that was not read back as it was written.
    pub fn count_corrupt(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get(&id) {
            self.usage.counters_mut(body.class).corrupt += 1;
        }
    }

    /// Releases all that the body holds. A second call for it has no effect.
    pub fn release(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else { return };
        self.usage.release_arrival_window(body.window_chunks);
        self.usage.remove(body.class, body.tier, body.length);
        if body.demoting || body.retains_file {
            self.usage.remove(body.class, Tier::File, body.length);
        }
    }
}
