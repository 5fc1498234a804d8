//! What bodies may use: budgets of the store, limits of each class, and sizes of windows.

/// Window of a body on its way to a file (chunks): one is filled while one is written.
pub const FILE_WINDOW_CHUNKS: usize = 2;
/// Window of a body that is passed on (chunks): one is filled; the others hold what a retry needs as long as nothing ran.
pub const PASS_THROUGH_WINDOW_CHUNKS: usize = 5;
/// Window of a reader of a file (chunks): two are read ahead, two are on their way to the engine.
pub const REPLAY_WINDOW_CHUNKS: usize = 4;

/// What the bodies of one class of requests may use.
#[derive(Clone, Debug)]
pub struct ClassLimits {
    /// A retry may follow an attempt that may have run. Bodies of other classes are kept only for retries of attempts that
    /// never ran, and are demoted first.
    pub repeatable: bool,
    /// Priority weight of one request.
    pub priority_weight: f64,
    /// Largest share of the memory that its bodies may use (0 to 1).
    pub memory_share: f64,
    /// Largest share of the files that its bodies may use (0 to 1).
    pub file_share: f64,
    /// Largest body (bytes).
    pub max_bytes: u64,
    /// A body that fits into no tier may be passed on without being kept.
    pub pass_through: bool,
}

/// What all bodies together may use.
#[derive(Clone, Debug)]
pub struct Budgets {
    /// Bodies in memory (bytes).
    pub memory_bytes: u64,
    /// Bodies in files (bytes); 0 for no files.
    pub file_bytes: u64,
    /// Windows (chunks): what bodies that are written to a file, read from one or passed on hold in memory meanwhile.
    pub window_chunks: usize,
    /// Limits by class.
    pub classes: Vec<ClassLimits>,
}
