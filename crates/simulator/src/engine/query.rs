//! Queries on an engine.

use super::sharing::Demand;
use super::EngineSpec;
use dahliaspoke::policy::Progress;

/// Weight of each priority when cores or disks are scarce.
const PRIORITY_WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];
/// Share of an engine's memory that one query may use.
const MAX_MEMORY_SHARE: f64 = 0.4;
/// A query with less work left than this has finished (ms).
const NO_WORK_LEFT: f64 = 1e-6;

/// A query as it is sent to an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifies the attempt.
    pub tag: u64,
    /// Work (ms of one thread).
    pub work: f64,
    /// Share of the work that is done on disks.
    pub io_share: f64,
    /// Number of threads.
    pub threads: f64,
    /// Memory that it needs (MB).
    pub memory: f64,
    /// Memory granted to it (MB); without a grant the engine allocates what it needs.
    pub memory_grant: Option<f64>,
    /// Priority, 0 to 3.
    pub priority: u8,
    /// Its group of tables.
    pub table_group: i64,
    /// Whether it locks the group while it runs.
    pub is_load: bool,
    /// Whether it waits while a load locks the group.
    pub yields_to_loads: bool,
}

/// A query that has a session.
pub(super) struct RunningQuery {
    pub job: Job,
    /// Total work, including the cost of spilling (ms).
    total_work: f64,
    /// Remaining work (ms).
    pub remaining_work: f64,
    /// Memory allocated to it (MB).
    pub memory: f64,
    /// Work done per second (ms).
    pub rate: f64,
    /// Whether it waits for a load.
    pub is_blocked: bool,
}

impl RunningQuery {
    pub(super) fn new(job: Job, spec: &EngineSpec) -> Self {
        let max_memory = spec.memory_mb * MAX_MEMORY_SHARE;
        let memory = job.memory_grant.filter(|mb| *mb > 0.0).unwrap_or(job.memory).min(max_memory);
        let missing_share = (1.0 - memory / job.memory.max(1e-9)).max(0.0);
        let work = job.work * (1.0 + spec.spill_slowdown * missing_share);
        Self { job, total_work: work, remaining_work: work, memory, rate: 0.0, is_blocked: false }
    }

    /// Work that has been done (ms).
    pub(super) fn work_done(&self) -> f64 {
        self.total_work - self.remaining_work
    }

    pub(super) fn is_finished(&self) -> bool {
        self.remaining_work < NO_WORK_LEFT
    }

    /// Threads that it keeps busy on cores.
    pub(super) fn core_threads(&self) -> f64 {
        self.job.threads * (1.0 - self.job.io_share)
    }

    /// Threads that it keeps busy on disks.
    pub(super) fn disk_threads(&self) -> f64 {
        self.job.threads * self.job.io_share
    }

    pub(super) fn demand(&self, amount: f64) -> Demand {
        Demand { amount, weight: PRIORITY_WEIGHTS[usize::from(self.job.priority & 3)] }
    }

    /// The engine's reports on it: the memory it lacks, if any, then the share that is done or that it waits
    /// for a load.
    pub(super) fn progress(&self) -> impl Iterator<Item = Progress> {
        let missing = self.job.memory - self.memory;
        let spills = (missing > 0.0).then_some(Progress::Spills(missing));
        let state = if self.is_blocked {
            Progress::WaitsForLoad
        } else {
            let remaining = self.remaining_work / self.total_work.max(1e-9);
            Progress::Done((1.0 - remaining).clamp(0.0, 1.0))
        };
        spills.into_iter().chain([state])
    }
}
