//! Limits on bodies: budgets of the store, limits of each class, and window sizes.

/// Window of a body that is being written to a file (chunks): one is filled while the other is
/// written.
pub const FILE_WINDOW_CHUNKS: usize = 2;
/// Window of a body that is passed through (chunks): one is filled; the others keep what a retry
/// needs as long as no attempt has run.
pub const PASS_THROUGH_WINDOW_CHUNKS: usize = 5;
/// Window of a reader of a file (chunks): two are read ahead, two are being sent to the engine.
pub const REPLAY_WINDOW_CHUNKS: usize = 4;

/// Limits of the bodies of one request class.
#[derive(Clone, Debug)]
pub struct ClassLimits {
    /// A retry may follow an attempt that may have run. Bodies of other classes are kept only for
    /// retries of attempts that never ran, and their retention value is lower.
    pub repeatable: bool,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Largest share of the memory that its bodies may use (0 to 1).
    pub memory_share: f64,
    /// Largest share of the files that its bodies may use (0 to 1).
    pub file_share: f64,
    /// Maximum size of a body (bytes).
    pub max_bytes: u64,
    /// A body that fits into no tier may be passed through without being stored.
    pub pass_through: bool,
}

/// Limits of all bodies together.
#[derive(Clone, Debug)]
pub struct Budgets {
    /// Memory for bodies (bytes).
    pub memory_bytes: u64,
    /// File space for bodies (bytes); 0 disables files.
    pub file_bytes: u64,
    /// Windows (chunks): memory for the chunks of bodies that are being written to a file, read
    /// from one or passed through.
    pub window_chunks: usize,
    /// Limits by class.
    pub classes: Vec<ClassLimits>,
}
