//! The state of a body in the plan: sizes and flags, no content.

/// Identifies a body. Identifiers are never reused.
pub type BodyId = u64;

/// Where a body is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tier {
    /// In memory.
    Memory,
    /// In a file.
    File,
    /// Not stored: it is passed through to the engine as it arrives.
    PassThrough,
}

/// The state of a body that the plan has admitted.
#[derive(Clone, Debug)]
pub struct BodyState {
    /// Index of its class in [`super::Budgets::classes`].
    pub class: usize,
    /// Its length, or its current reservation while the length is unknown (bytes).
    pub length: u64,
    /// When its request ends (seconds on the caller's clock).
    pub deadline: f64,
    /// Where it is stored.
    pub tier: Tier,
    /// It has fully arrived and, in [`Tier::File`], has been written completely.
    pub complete: bool,
    /// Number of its open readers.
    pub readers: usize,
    /// It is being moved from memory to a file, and is counted in both tiers.
    pub demoting: bool,
    /// It fell back to pass-through after starting in a file, and uses the file space until it is
    /// released.
    pub retains_file: bool,
    /// Size of its arrival window (chunks).
    pub window_chunks: usize,
    /// Its length is not known yet.
    pub length_unknown: bool,
}

impl BodyState {
    /// The state of a body of which nothing has arrived, without a window.
    pub(super) fn new(class: usize, length: u64, deadline: f64, tier: Tier) -> Self {
        Self {
            class,
            length,
            deadline,
            tier,
            complete: false,
            readers: 0,
            demoting: false,
            retains_file: false,
            window_chunks: 0,
            length_unknown: false,
        }
    }

    /// Whether it may be moved to a file: only a complete body in memory without readers.
    pub(super) fn is_demotable(&self) -> bool {
        self.tier == Tier::Memory && self.complete && self.readers == 0 && !self.demoting
    }
}
