//! Starting and least bounds on a coordinator's backlog at an engine.

use super::Settings;

/// Part of an engine's cores that all coordinators together keep busy at least.
const MIN_BUSY_SHARE: f64 = 0.4;
/// Most that a starting bound is (ms per core): about two queries.
const MAX_STARTING_BOUND_PER_CORE: f64 = 1900.0;
/// Starting bounds of all coordinators together (ms per core), at least where coordinators are few.
const STARTING_BOUNDS_PER_CORE: f64 = 2500.0;
/// The same in threads per core: about where shared cores do most work.
const STARTING_THREADS_PER_CORE: f64 = 1.5;

/// Bound that an engine starts with (ms of work): this coordinator's share of what keeps the engine's threads
/// busy on a quiet day. `work_per_thread` is what a busy thread holds (ms).
///
/// Few coordinators give light queries more. Where coordinators outnumber cores, one sees too late that the
/// sum of all was too much.
pub fn starting_bound(settings: &Settings, cores: f64, work_per_thread: f64) -> f64 {
    let busy = STARTING_THREADS_PER_CORE * work_per_thread;
    let all = busy + query_share(settings, cores) * (STARTING_BOUNDS_PER_CORE - busy).max(0.0);
    MAX_STARTING_BOUND_PER_CORE.min(all / settings.coordinators) * cores
}

/// This coordinator's part of what an engine does (queries, at most 1): below one where coordinators
/// outnumber cores.
pub fn query_share(settings: &Settings, cores: f64) -> f64 {
    (cores / settings.coordinators).min(1.0)
}

/// Least bound of an engine (ms): a query of mean cost, or this coordinator's part of the work in flight that
/// keeps all cores of the engine busy.
pub fn min_bound(settings: &Settings, cores: f64, mean_cost: f64, work_per_thread: f64) -> f64 {
    mean_cost.min(MIN_BUSY_SHARE * work_per_thread * cores / settings.coordinators).max(1.0)
}
