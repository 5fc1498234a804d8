//! A body as the plan knows it: numbers only, no content.

/// Identifies a body. An identifier is never used again.
pub type BodyId = u64;

/// Where a body is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tier {
    /// In memory.
    Memory,
    /// In a file.
    File,
    /// Nowhere: it is passed on to the engine as it arrives.
    PassThrough,
}

/// The state of a body that the plan has admitted.
#[derive(Clone, Debug)]
pub struct BodyState {
    /// Index of its class in [`super::Budgets::classes`].
    pub class: usize,
    /// Its length, or what is reserved for it while its length is unknown (bytes).
    pub length: u64,
    /// When its request ends (seconds on the caller's clock).
    pub deadline: f64,
    /// Where it is kept.
    pub tier: Tier,
    /// All of it has arrived and, in [`Tier::File`], is written.
    pub complete: bool,
    /// Readers that it has now.
    pub readers: usize,
    /// It is being moved from memory to a file, and counts in both tiers.
    pub demoting: bool,
    /// It is passed on after it began in a file, whose space it uses until it is released.
    pub retains_file: bool,
    /// Size of the window that it holds (chunks).
    pub window_chunks: usize,
    /// Its length is not known yet.
    pub length_unknown: bool,
}

impl BodyState {
    /// A body of which nothing has arrived, without a window.
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

    /// Whether it may be moved to a file: only a complete body in memory that nobody reads.
    pub(super) fn is_demotable(&self) -> bool {
        self.tier == Tier::Memory && self.complete && self.readers == 0 && !self.demoting
    }
}
