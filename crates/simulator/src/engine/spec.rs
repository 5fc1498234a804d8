//! What an engine is made of.

use serde::Deserialize;

/// Capacity and behaviour of an engine. The keys are those of scenario files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSpec {
    /// Cores.
    pub cores: f64,
    /// Speed of a core, where 1 is usual.
    pub speed: f64,
    /// Queries that the disks serve at full speed at once.
    pub disks: f64,
    /// Memory (MB).
    pub memory_mb: f64,
    /// Sessions for each core.
    pub slots_per_core: f64,
    /// Places in the queue for each core, for queries that find no session.
    pub queue_per_core: f64,
    /// Threads for each core beyond which they hinder each other.
    #[serde(rename = "knee")]
    pub contention_threshold: f64,
    /// How much they do: at twice the threshold everything is slower by 1 + this.
    #[serde(rename = "thrash")]
    pub contention_slowdown: f64,
    /// Work of a query that got none of the memory it needs, over its work with all of it, less 1.
    #[serde(rename = "spill")]
    pub spill_slowdown: f64,
    /// Groups of tables whose data stays in memory.
    #[serde(rename = "warm_groups")]
    pub cached_groups: usize,
    /// Share of the work that cached data saves.
    #[serde(rename = "warm_gain")]
    pub cache_gain: f64,
    /// Share of its capacity at a start.
    #[serde(rename = "cold_from")]
    pub initial_capacity_share: f64,
    /// From a start until it has all of its capacity (s).
    #[serde(rename = "cold_s")]
    pub warmup_s: f64,
    /// A warming engine stops when it is sent more than its present capacity times this ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for this long (s).
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
    /// Queries that run at once, at the most.
    pub(super) fn sessions(&self) -> usize {
        (self.slots_per_core * self.cores) as usize
    }

    /// Queries that wait for a session, at the most.
    pub(super) fn queue_length(&self) -> usize {
        (self.queue_per_core * self.cores) as usize
    }
}
