//! Tracks the usage of each budget, and counts what happened to bodies.

use super::{Budgets, ClassLimits, Tier, REPLAY_WINDOW_CHUNKS};

/// Share of the windows that arriving bodies may use; the rest is reserved for readers.
const ARRIVAL_WINDOW_SHARE: f64 = 0.75;

/// A value for each tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PerTier {
    /// For [`Tier::Memory`].
    pub memory: u64,
    /// For [`Tier::File`].
    pub file: u64,
    /// For [`Tier::PassThrough`].
    pub pass_through: u64,
}

impl PerTier {
    /// The value for one tier.
    #[must_use]
    pub fn get(&self, tier: Tier) -> u64 {
        match tier {
            Tier::Memory => self.memory,
            Tier::File => self.file,
            Tier::PassThrough => self.pass_through,
        }
    }

    fn get_mut(&mut self, tier: Tier) -> &mut u64 {
        match tier {
            Tier::Memory => &mut self.memory,
            Tier::File => &mut self.file,
            Tier::PassThrough => &mut self.pass_through,
        }
    }
}

/// Bytes in use of the memory and file budgets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsedBytes {
    /// In memory (bytes).
    pub memory: u64,
    /// In files (bytes).
    pub file: u64,
}

/// Windows in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsedWindows {
    /// Windows of arriving bodies and of those that are passed through (chunks).
    pub arrivals: usize,
    /// Windows of readers of files (chunks).
    pub replays: usize,
}

/// Counters of the bodies of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Bytes of the current bodies. A body that is being demoted, or that fell back from a file to
    /// pass-through, is counted in both tiers.
    pub current_bytes: PerTier,
    /// Number of current bodies, counted in the same way.
    pub current_bodies: PerTier,
    /// Bodies admitted, by their initial tier.
    pub admitted: PerTier,
    /// Bodies moved from memory to a file.
    pub demoted: u64,
    /// Bodies that started in a file and fell back to pass-through.
    pub fell_back: u64,
    /// Readers of bodies that had been read before.
    pub replayed: u64,
    /// Bodies rejected for lack of capacity.
    pub rejected: u64,
    /// Bodies rejected as too large.
    pub too_large: u64,
    /// Bodies that could not be read back intact.
    pub corrupt: u64,
}

/// The budgets and their usage.
pub(super) struct Usage {
    budgets: Budgets,
    counters: Vec<ClassCounters>,
    used: UsedBytes,
    windows: UsedWindows,
}

impl Usage {
    pub(super) fn new(budgets: Budgets) -> Self {
        let counters = vec![ClassCounters::default(); budgets.classes.len()];
        Self { budgets, counters, used: UsedBytes::default(), windows: UsedWindows::default() }
    }

    pub(super) fn limits(&self, class: usize) -> &ClassLimits {
        &self.budgets.classes[class]
    }

    /// The memory budget (bytes).
    pub(super) fn memory_bytes(&self) -> u64 {
        self.budgets.memory_bytes
    }

    pub(super) fn counters(&self) -> &[ClassCounters] {
        &self.counters
    }

    pub(super) fn counters_mut(&mut self, class: usize) -> &mut ClassCounters {
        &mut self.counters[class]
    }

    pub(super) fn used(&self) -> UsedBytes {
        self.used
    }

    pub(super) fn windows(&self) -> UsedWindows {
        self.windows
    }

    /// Whether `length` more bytes of a class fit into a tier.
    pub(super) fn fits(&self, tier: Tier, class: usize, length: u64) -> bool {
        let limits = self.limits(class);
        let (budget, share, used) = match tier {
            Tier::Memory => (self.budgets.memory_bytes, limits.memory_share, self.used.memory),
            Tier::File => (self.budgets.file_bytes, limits.file_share, self.used.file),
            Tier::PassThrough => return true,
        };
        let class_budget = (share * budget as f64) as u64;
        let class_used = self.counters[class].current_bytes.get(tier);
        used + length <= budget && class_used + length <= class_budget
    }

    /// Adds a body to the usage of a tier.
    pub(super) fn add(&mut self, class: usize, tier: Tier, length: u64) {
        let counters = &mut self.counters[class];
        *counters.current_bytes.get_mut(tier) += length;
        *counters.current_bodies.get_mut(tier) += 1;
        match tier {
            Tier::Memory => self.used.memory += length,
            Tier::File => self.used.file += length,
            Tier::PassThrough => {}
        }
    }

    /// Removes a body from the usage of a tier.
    pub(super) fn remove(&mut self, class: usize, tier: Tier, length: u64) {
        let counters = &mut self.counters[class];
        *counters.current_bytes.get_mut(tier) -= length;
        *counters.current_bodies.get_mut(tier) -= 1;
        match tier {
            Tier::Memory => self.used.memory -= length,
            Tier::File => self.used.file -= length,
            Tier::PassThrough => {}
        }
    }

    /// Counts an admission to a tier.
    pub(super) fn count_admission(&mut self, class: usize, tier: Tier) {
        *self.counters[class].admitted.get_mut(tier) += 1;
    }

    /// Whether a window of `chunks` chunks is available for an arriving body.
    pub(super) fn has_arrival_window(&self, chunks: usize) -> bool {
        let max_chunks = (ARRIVAL_WINDOW_SHARE * self.budgets.window_chunks as f64) as usize;
        self.windows.arrivals + chunks <= max_chunks && self.has_window(chunks)
    }

    pub(super) fn reserve_arrival_window(&mut self, chunks: usize) {
        self.windows.arrivals += chunks;
    }

    pub(super) fn release_arrival_window(&mut self, chunks: usize) {
        self.windows.arrivals -= chunks;
    }

    /// Reserves a window for a reader, if one is free.
    pub(super) fn try_reserve_replay_window(&mut self) -> bool {
        let free = self.has_window(REPLAY_WINDOW_CHUNKS);
        if free {
            self.windows.replays += REPLAY_WINDOW_CHUNKS;
        }
        free
    }

    pub(super) fn release_replay_window(&mut self) {
        self.windows.replays -= REPLAY_WINDOW_CHUNKS;
    }

    fn has_window(&self, chunks: usize) -> bool {
        self.windows.arrivals + self.windows.replays + chunks <= self.budgets.window_chunks
    }
}
