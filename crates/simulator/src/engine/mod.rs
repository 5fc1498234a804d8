//! One engine: queries that share cores, disks and memory, a queue in front of the sessions, cached data,
//! loads that lock their tables, and a warm-up after each start.
//!
//! Work is counted in milliseconds of one thread. Between two events the rate of every query is constant: the
//! engine advances to the time of an event, applies it, and recomputes the rates.

mod query;
mod sharing;
mod spec;

pub use query::Job;
pub use sharing::{weighted_shares, Demand};
pub use spec::EngineSpec;

use crate::{micros, seconds, Micros};
use dahliaspoke::policy::{LoadReport, Progress};
use query::RunningQuery;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

/// The result of sending a query to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It runs or waits in the queue.
    Accepted,
    /// Sessions and queue are full; the query did not run.
    Full,
    /// The engine stops because it was overloaded during its warm-up.
    Overloaded,
}

/// Work that was sent to an engine.
struct SentWork {
    at: Micros,
    /// Work (ms).
    work: f64,
}

/// An engine.
pub struct Engine {
    /// Its capacity and behaviour.
    pub spec: EngineSpec,
    /// Whether it is running and reachable.
    pub up: bool,
    /// Whether no query makes progress.
    pub is_hung: bool,
    /// Share of the cores that another program uses.
    pub stolen_cores: f64,
    /// Share of the queries that fail immediately.
    pub error_share: f64,
    /// Incremented with each change; an event that was scheduled for an earlier version is ignored.
    pub version: u64,
    /// Work done for queries that did not finish (ms).
    pub wasted: f64,
    started: Option<Micros>,
    running: BTreeMap<u64, RunningQuery>,
    queue: VecDeque<Job>,
    /// Table groups cached in memory, the most recently used one last.
    cached_groups: VecDeque<i64>,
    /// Work sent during the warm-up.
    sent: VecDeque<SentWork>,
    /// The time to which it has advanced.
    now: Micros,
}

impl Engine {
    /// Creates an engine that has completed its warm-up.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            up: true,
            is_hung: false,
            stolen_cores: 0.0,
            error_share: 0.0,
            version: 0,
            wasted: 0.0,
            started: None,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            cached_groups: VecDeque::new(),
            sent: VecDeque::new(),
            now: 0,
        }
    }

    /// Restarts it with a warm-up. Returns the tags of its queries, which are lost.
    pub fn restart(&mut self, now: Micros) -> Vec<u64> {
        let lost = self.stop(now);
        (self.up, self.is_hung, self.started) = (true, false, Some(now));
        self.cached_groups.clear();
        lost
    }

    /// Stops it. Returns the tags of its queries, which are lost.
    pub fn stop(&mut self, now: Micros) -> Vec<u64> {
        self.advance(now);
        self.up = false;
        self.version += 1;
        self.sent.clear();
        let running = std::mem::take(&mut self.running);
        self.wasted += running.values().map(RunningQuery::work_done).sum::<f64>();
        let queued = std::mem::take(&mut self.queue);
        running.into_keys().chain(queued.into_iter().map(|job| job.tag)).collect()
    }

    /// Time of its last start (us); `None` if that was before the run.
    #[must_use]
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// Share of its capacity that is available: less than 1 during the warm-up.
    #[must_use]
    pub fn capacity_share(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let warmed = seconds(now - started) / self.spec.warmup_s.max(1e-9);
        let initial = self.spec.initial_capacity_share;
        (initial + (1.0 - initial) * warmed).min(1.0)
    }

    /// Work that all cores do per second (ms).
    #[must_use]
    pub fn capacity(&self, now: Micros) -> f64 {
        1000.0 * self.spec.cores * self.spec.speed * self.capacity_share(now)
    }

    /// Work sent in the overload window, relative to what the engine withstands during its warm-up; above 1
    /// it stops. The heaviest query of the window is excluded, so that no single query stops an engine.
    pub fn overload_ratio(&self, now: Micros) -> f64 {
        let from = now.saturating_sub(micros(self.spec.overload_window_s));
        let window = || self.sent.iter().filter(|sent| sent.at >= from).map(|sent| sent.work);
        let sent = window().sum::<f64>() - window().fold(0.0, f64::max);
        sent / (self.spec.overload_multiple * self.capacity(now) * self.spec.overload_window_s)
    }

    /// Admits a query: starts it, or queues it if no session is free.
    pub fn admit(&mut self, now: Micros, mut job: Job) -> Admission {
        self.advance(now);
        if self.capacity_share(now) < 1.0 {
            self.sent.push_back(SentWork { at: now, work: job.work });
            if self.overload_ratio(now) > 1.0 {
                return Admission::Overloaded;
            }
        }
        if self.cached_groups.contains(&job.table_group) {
            job.work *= 1.0 - self.spec.cache_gain;
        }
        if self.running.len() < self.spec.sessions() {
            self.start_query(job);
        } else if self.queue.len() < self.spec.queue_length() {
            self.queue.push_back(job);
        } else {
            return Admission::Full;
        }
        self.update_rates(now);
        Admission::Accepted
    }

    fn start_query(&mut self, job: Job) {
        self.cached_groups.retain(|group| *group != job.table_group);
        self.cached_groups.push_back(job.table_group);
        while self.cached_groups.len() > self.spec.cached_groups {
            self.cached_groups.pop_front();
        }
        self.running.insert(job.tag, RunningQuery::new(job, &self.spec));
    }

    /// Cancels a query; returns false if the engine does not have it.
    pub fn cancel(&mut self, now: Micros, tag: u64) -> bool {
        self.advance(now);
        let queued = self.queue.len();
        self.queue.retain(|job| job.tag != tag);
        let found = match self.running.remove(&tag) {
            Some(query) => {
                self.wasted += query.work_done();
                true
            }
            None => queued > self.queue.len(),
        };
        if found {
            self.fill_sessions();
            self.update_rates(now);
        }
        found
    }

    /// Sets the priority of a query, 0 to 3.
    pub fn set_priority(&mut self, now: Micros, tag: u64, priority: u8) {
        self.advance(now);
        if let Some(query) = self.running.get_mut(&tag) {
            query.job.priority = priority;
            self.update_rates(now);
        }
        for job in self.queue.iter_mut().filter(|job| job.tag == tag) {
            job.priority = priority;
        }
    }

    /// Applies changes to the public fields.
    pub fn refresh(&mut self, now: Micros) {
        self.advance(now);
        self.update_rates(now);
    }

    /// Removes the queries that have finished by now and returns their tags, in order.
    pub fn take_finished(&mut self, now: Micros) -> Vec<u64> {
        self.advance(now);
        let is_finished = |(tag, query): (&u64, &RunningQuery)| query.is_finished().then_some(*tag);
        let finished = self.running.iter().filter_map(is_finished).collect();
        self.running.retain(|_, query| !query.is_finished());
        self.fill_sessions();
        self.update_rates(now);
        finished
    }

    /// Moves queries from the queue into free sessions: the highest priority first, then the oldest.
    fn fill_sessions(&mut self) {
        while self.running.len() < self.spec.sessions() {
            let queued = self.queue.iter().enumerate();
            let best = queued.max_by_key(|(position, job)| (job.priority, Reverse(*position)));
            let Some(position) = best.map(|(position, _)| position) else { return };
            let Some(job) = self.queue.remove(position) else { return };
            self.start_query(job);
        }
    }

    /// When the next query finishes if nothing changes until then (us).
    pub fn next_completion(&self) -> Option<Micros> {
        let running = self.running.values().filter(|query| query.rate > 0.0);
        let least = running.map(|query| query.remaining_work / query.rate).min_by(f64::total_cmp)?;
        Some(self.now + (least * 1e6).ceil() as Micros)
    }

    fn advance(&mut self, now: Micros) {
        let elapsed = seconds(now.saturating_sub(self.now));
        self.now = self.now.max(now);
        if elapsed > 0.0 {
            for query in self.running.values_mut() {
                query.remaining_work = (query.remaining_work - query.rate * elapsed).max(0.0);
            }
        }
    }

    /// Distributes cores and disks among the running queries.
    fn update_rates(&mut self, now: Micros) {
        self.version += 1;
        self.block_readers_of_loaded_groups();
        let capacity_share = self.capacity_share(now);
        let cores = self.spec.cores * capacity_share * (1.0 - self.stolen_cores);
        let efficiency = self.efficiency();
        let active: Vec<&mut RunningQuery> =
            self.running.values_mut().filter(|query| !query.is_blocked).collect();
        let core_demands: Vec<Demand> =
            active.iter().map(|query| query.demand(query.core_threads())).collect();
        let disk_demands: Vec<Demand> =
            active.iter().map(|query| query.demand(query.disk_threads())).collect();
        let core_shares = weighted_shares(cores, &core_demands);
        let disk_shares = weighted_shares(self.spec.disks * capacity_share, &disk_demands);
        for (index, query) in active.into_iter().enumerate() {
            let share = core_shares[index].min(disk_shares[index]);
            query.rate = 1000.0 * self.spec.speed * query.job.threads * share * efficiency;
        }
        for query in self.running.values_mut().filter(|query| query.is_blocked) {
            query.rate = 0.0;
        }
    }

    fn block_readers_of_loaded_groups(&mut self) {
        let loads = self.running.values().filter(|query| query.job.is_load);
        let locked: Vec<i64> = loads.map(|query| query.job.table_group).collect();
        for query in self.running.values_mut() {
            query.is_blocked = query.job.yields_to_loads && locked.contains(&query.job.table_group);
        }
    }

    /// Factor on the rates due to contention and paging; 0 while the engine hangs.
    fn efficiency(&self) -> f64 {
        if self.is_hung {
            return 0.0;
        }
        let threads: f64 = self.active_queries().map(|query| query.job.threads).sum();
        let excess = (threads / (self.spec.contention_threshold * self.spec.cores) - 1.0).max(0.0);
        let mut efficiency = 1.0 / (1.0 + self.spec.contention_slowdown * excess);
        let memory = self.memory_in_use();
        if memory > self.spec.memory_mb {
            efficiency *= (self.spec.memory_mb / memory).powi(2);
        }
        efficiency
    }

    fn active_queries(&self) -> impl Iterator<Item = &RunningQuery> {
        self.running.values().filter(|query| !query.is_blocked)
    }

    fn memory_in_use(&self) -> f64 {
        self.running.values().map(|query| query.memory).sum()
    }

    /// Its load, as reported to coordinators.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let cores: f64 = self.active_queries().map(RunningQuery::core_threads).sum();
        let disks: f64 = self.active_queries().map(RunningQuery::disk_threads).sum();
        LoadReport {
            util: Some((cores / self.spec.cores).min(1.0)),
            queue: Some(self.queue.len() as f64),
            memory: Some((self.memory_in_use() / self.spec.memory_mb).min(1.0)),
            disk: Some((disks / self.spec.disks).min(1.0)),
        }
    }

    /// The progress of each running query, by its tag.
    pub fn progress_reports(&mut self, now: Micros) -> Vec<(u64, Progress)> {
        self.advance(now);
        let of_query = |(tag, query): (&u64, &RunningQuery)| {
            let tag = *tag;
            query.progress().map(move |progress| (tag, progress))
        };
        self.running.iter().flat_map(of_query).collect()
    }

    /// Number of running and queued queries.
    #[must_use]
    pub fn query_count(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Approximate time needed for the pending work (s), which the oracle policy sees.
    #[must_use]
    pub fn expected_delay(&self, now: Micros) -> f64 {
        if !self.up || self.is_hung {
            return f64::INFINITY;
        }
        let running: f64 = self.running.values().map(|query| query.remaining_work).sum();
        let queued: f64 = self.queue.iter().map(|job| job.work).sum();
        (running + queued) / (self.capacity(now) * (1.0 - self.stolen_cores))
    }
}
