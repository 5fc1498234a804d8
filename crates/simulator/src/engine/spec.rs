//! The parameters of an engine.

use serde::Deserialize;

/// Capacity and behaviour of an engine. The keys are those of scenario files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSpec {
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core; 1 is nominal.
    pub speed: f64,
    /// Number of queries that the disks serve at full speed concurrently.
    pub disks: f64,
    /// Memory (MB).
    pub memory_mb: f64,
    /// Sessions per core.
    pub slots_per_core: f64,
    /// Queue slots per core, for queries that find no free session.
    pub queue_per_core: f64,
    /// Threads per core beyond which they slow each other down.
    #[serde(rename = "knee")]
    pub contention_threshold: f64,
    /// Slowdown beyond the threshold: at twice the threshold everything is slower by a factor of 1 + this.
    #[serde(rename = "thrash")]
    pub contention_slowdown: f64,
    /// Additional work of a query that gets none of the memory it needs, relative to its work with all of it.
    #[serde(rename = "spill")]
    pub spill_slowdown: f64,
    /// Number of table groups whose data is cached in memory.
    #[serde(rename = "warm_groups")]
    pub cached_groups: usize,
    /// Share of the work that cached data saves.
    #[serde(rename = "warm_gain")]
    pub cache_gain: f64,
    /// Share of its capacity that is available right after a start.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// Time from a start until it has its full capacity (s).
    #[serde(rename = "cold_s")]
    pub warmup_s: f64,
    /// A warming engine stops when the work sent to it within `overload_window_s` exceeds this multiple of
    /// what its current capacity does in that time.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Length of the window for `overload_multiple` (s).
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            cores: 8.0,
            speed: 1.0,
            disks: 6.0,
            memory_mb: 16_384.0,
            slots_per_core: 4.0,
            queue_per_core: 4.0,
            contention_threshold: 1.6,
            contention_slowdown: 0.7,
            spill_slowdown: 1.5,
            cached_groups: 5,
            cache_gain: 0.5,
            initial_capacity_share: 0.4,
            warmup_s: 12.0,
            overload_multiple: 3.0,
            overload_window_s: 3.0,
        }
    }
}

impl EngineSpec {
    /// Maximum number of queries that run concurrently.
    pub(super) fn sessions(&self) -> usize {
        (self.slots_per_core * self.cores) as usize
    }

    /// Maximum number of queries that wait for a session.
    pub(super) fn queue_length(&self) -> usize {
        (self.queue_per_core * self.cores) as usize
    }
}
