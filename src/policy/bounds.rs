//! Starting and minimum bounds on a coordinator's backlog at an engine.

use super::Settings;

/// Share of an engine's cores that the minimum bounds of all coordinators together keep busy.
const MIN_BUSY_SHARE: f64 = 0.4;
/// Upper limit on a starting bound (ms per core): about two queries.
const MAX_STARTING_BOUND_PER_CORE: f64 = 1900.0;
/// Minimum sum of the starting bounds of all coordinators where these do not outnumber cores (ms per core).
const STARTING_BOUNDS_PER_CORE: f64 = 2500.0;
/// Sum of the starting bounds in busy threads per core: about where the throughput of shared cores peaks.
const STARTING_THREADS_PER_CORE: f64 = 1.5;

/// Starting bound of an engine (ms of work): this coordinator's share of the work that keeps the engine's
/// threads busy under light traffic. `work_per_thread` is the mean work on a busy thread (ms).
///
/// For light queries the bound is larger where there are few coordinators. Where coordinators outnumber
/// cores, the increase is smaller: a coordinator would notice too late that the sum of all bounds is too
/// large.
pub fn starting_bound(settings: &Settings, cores: f64, work_per_thread: f64) -> f64 {
    let busy = STARTING_THREADS_PER_CORE * work_per_thread;
    let all = busy + query_share(settings, cores) * (STARTING_BOUNDS_PER_CORE - busy).max(0.0);
    MAX_STARTING_BOUND_PER_CORE.min(all / settings.coordinators) * cores
}

/// This coordinator's share of an engine (queries, at most 1): less than one query where coordinators
/// outnumber cores.
pub fn query_share(settings: &Settings, cores: f64) -> f64 {
    (cores / settings.coordinators).min(1.0)
}

/// Minimum bound of an engine (ms): a query of mean cost, or less if this coordinator's share of the work
/// that keeps `MIN_BUSY_SHARE` of the engine's cores busy is less.
pub fn min_bound(settings: &Settings, cores: f64, mean_cost: f64, work_per_thread: f64) -> f64 {
    mean_cost.min(MIN_BUSY_SHARE * work_per_thread * cores / settings.coordinators).max(1.0)
}
