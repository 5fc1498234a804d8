//! Accounts for what is in use of each budget, and counts what happened to bodies.

use super::{Budgets, ClassLimits, Tier, REPLAY_WINDOW_CHUNKS};

/// Share of the windows that arriving bodies may hold; the rest is left to readers.
const ARRIVAL_WINDOW_SHARE: f64 = 0.75;

/// A number for each tier.
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
    /// The number for one tier.
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

/// Bytes in use of the two budgets.
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
    /// Of arriving bodies and those that are passed through (chunks).
    pub arrivals: usize,
    /// Of readers of files (chunks).
    pub replays: usize,
}

/// What has happened to bodies of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Bytes that are held now. A body that is being demoted, or is passed through after it began in a file, counts twice.
    pub current_bytes: PerTier,
    /// Bodies that are held now, counted in the same way.
    pub current_bodies: PerTier,
    /// Bodies admitted, by the tier that they began in.
    pub admitted: PerTier,
    /// Bodies moved from memory to a file.
    pub demoted: u64,
    /// Bodies that began in a file and had to be passed through.
    pub fell_back: u64,
    /// Readers after the first of a body.
    pub replayed: u64,
    /// Bodies rejected for want of capacity.
    pub rejected: u64,
    /// Bodies rejected as too large.
    pub too_large: u64,
    /// Bodies that could not be read back as they were written.
    pub corrupt: u64,
}

/// The budgets and what is in use of them.
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

    /// Size of the memory (bytes).
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

    /// Counts a body into a tier.
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

    /// Counts a body out of a tier.
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

    /// Counts a body as admitted in a tier.
    pub(super) fn count_admission(&mut self, class: usize, tier: Tier) {
        *self.counters[class].admitted.get_mut(tier) += 1;
    }

    /// Whether an arriving body may have a window of so many chunks.
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

    /// Takes a window for a reader, if one is free.
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
