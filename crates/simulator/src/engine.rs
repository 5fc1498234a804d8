//! One engine: queries that share cores, disks and memory; sessions and a line in front of them; data that is
//! warm; loads that hold their tables; a start that is cold.
//!
//! Work is milliseconds of one thread. Between two events every query's pace is constant, so the engine is
//! advanced to the time of an event, changed, and its paces are reckoned anew.

use crate::{seconds, Micros};
use dahliaspoke::policy::{LoadReport, Progress};
use serde::Deserialize;
use std::collections::{BTreeMap, VecDeque};

/// What an engine is made of.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Speed of one, where 1 is usual.
    pub speed: f64,
    /// Queries that its disks serve at full speed at once.
    pub disks: f64,
    /// Memory (MB).
    pub memory_mb: f64,
    /// Sessions a core.
    pub slots_per_core: f64,
    /// Places in the line a core, for queries that find no session.
    pub queue_per_core: f64,
    /// Threads a core past which they hinder each other.
    pub knee: f64,
    /// How much they do: at twice the knee all is slower by 1 + this.
    pub thrash: f64,
    /// Work of a query that got none of the memory it needs, over its work with all of it, less 1.
    pub spill: f64,
    /// Groups of tables whose data is in memory.
    pub warm_groups: usize,
    /// Share of the work that warm data saves.
    pub warm_gain: f64,
    /// Share of its capacity at a start.
    pub cold_from: f64,
    /// From a start until it is warm (s).
    pub cold_s: f64,
    /// A cold engine falls over when sent so many times its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for so long (s).
    pub fall_s: f64,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            cores: 8.0,
            speed: 1.0,
            disks: 6.0,
            memory_mb: 16_384.0,
            slots_per_core: 4.0,
            queue_per_core: 4.0,
            knee: 1.6,
            thrash: 0.7,
            spill: 1.5,
            warm_groups: 5,
            warm_gain: 0.5,
            cold_from: 0.4,
            cold_s: 12.0,
            overload_multiple: 3.0,
            fall_s: 3.0,
        }
    }
}

/// A query as an engine is sent it.
#[derive(Clone, Debug)]
pub struct Job {
    /// Names the attempt.
    pub tag: u64,
    /// Work (ms of one thread).
    pub work: f64,
    /// Share of it on disks.
    pub io: f64,
    /// Threads.
    pub threads: f64,
    /// Memory that it needs (MB).
    pub memory: f64,
    /// Memory that it is granted (MB); the engine gives what it needs where there is none.
    pub grant: Option<f64>,
    /// Priority, 0 to 3.
    pub rank: u8,
    /// Its group of tables.
    pub group: i64,
    /// It holds the group while it runs.
    pub is_load: bool,
    /// It stands still while a load holds the group.
    pub yields: bool,
}

/// Weight of each priority where cores or disks are short.
const WEIGHTS: [f64; 4] = [1.0, 4.0, 8.0, 16.0];

struct Running {
    job: Job,
    /// Work in all, with what it spills (ms).
    whole: f64,
    /// Work that is left (ms).
    left: f64,
    memory: f64,
    /// Work done a second (ms).
    pace: f64,
    stands: bool,
}

/// What became of a query that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It runs, or stands in the line.
    In,
    /// Turned away unseen.
    Full,
    /// The engine has fallen over under it.
    Fell,
}

/// An engine.
pub struct Engine {
    /// What it is made of.
    pub spec: Spec,
    /// It is up: reachable, and answers.
    pub up: bool,
    /// Nothing makes progress.
    pub hangs: bool,
    /// Share of the cores that a neighbour takes.
    pub neighbour: f64,
    /// Share of queries that fail at once.
    pub errors: f64,
    started: Option<Micros>,
    running: BTreeMap<u64, Running>,
    line: VecDeque<Job>,
    warm: VecDeque<i64>,
    /// Work sent lately, while cold: time and ms.
    sent: VecDeque<(Micros, f64)>,
    at: Micros,
    /// Goes up with each change: an event that was set before it is stale.
    pub change: u64,
    /// Work that was done and served nobody (ms).
    pub wasted: f64,
}

impl Engine {
    /// One that has been up for long.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        Self {
            spec,
            up: true,
            hangs: false,
            neighbour: 0.0,
            errors: 0.0,
            started: None,
            running: BTreeMap::new(),
            line: VecDeque::new(),
            warm: VecDeque::new(),
            sent: VecDeque::new(),
            at: 0,
            change: 0,
            wasted: 0.0,
        }
    }

    /// Starts it anew, cold. Everything on it is gone: the attempts that were.
    pub fn restart(&mut self, now: Micros) -> Vec<u64> {
        let lost = self.stop(now);
        (self.up, self.hangs, self.started) = (true, false, Some(now));
        self.warm.clear();
        lost
    }

    /// Takes it down: the attempts that were on it.
    pub fn stop(&mut self, now: Micros) -> Vec<u64> {
        self.advance(now);
        self.up = false;
        self.change += 1;
        self.sent.clear();
        let running = std::mem::take(&mut self.running);
        self.wasted += running.values().map(|r| r.whole - r.left).sum::<f64>();
        running.into_keys().chain(std::mem::take(&mut self.line).into_iter().map(|job| job.tag)).collect()
    }

    /// When it last started, if that was not before the run.
    #[must_use]
    pub fn started(&self) -> Option<Micros> {
        self.started
    }

    /// Share of its capacity that it has.
    #[must_use]
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = seconds(now - started) / self.spec.cold_s.max(1e-9);
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * age).min(1.0)
    }

    /// Work a second with all cores (ms).
    #[must_use]
    pub fn capacity(&self, now: Micros) -> f64 {
        1000.0 * self.spec.cores * self.spec.speed * self.warmth(now)
    }

    /// Share of the window's budget that has been sent while it is cold: 1 makes it fall over. The heaviest query
    /// of the window does not count: no one draw pushes an engine over.
    pub fn strain(&self, now: Micros) -> f64 {
        let from = now.saturating_sub(crate::micros(self.spec.fall_s));
        let window = || self.sent.iter().filter(|(at, _)| *at >= from).map(|(_, work)| *work);
        let sent = window().sum::<f64>() - window().fold(0.0, f64::max);
        sent / (self.spec.overload_multiple * self.capacity(now) * self.spec.fall_s)
    }

    /// Is sent a query.
    pub fn take(&mut self, now: Micros, mut job: Job) -> Taken {
        self.advance(now);
        if self.warmth(now) < 1.0 {
            self.sent.push_back((now, job.work));
            if self.strain(now) > 1.0 {
                return Taken::Fell;
            }
        }
        if self.warm.contains(&job.group) {
            job.work *= 1.0 - self.spec.warm_gain;
        }
        let slots = (self.spec.slots_per_core * self.spec.cores) as usize;
        if self.running.len() < slots {
            self.begin(job);
        } else if self.line.len() < (self.spec.queue_per_core * self.spec.cores) as usize {
            self.line.push_back(job);
        } else {
            return Taken::Full;
        }
        self.reckon(now);
        Taken::In
    }

    fn begin(&mut self, job: Job) {
        let most = self.spec.memory_mb * 0.4;
        let memory = job.grant.filter(|mb| *mb > 0.0).unwrap_or(job.memory).min(most);
        let missing = (1.0 - memory / job.memory.max(1e-9)).max(0.0);
        let left = job.work * (1.0 + self.spec.spill * missing);
        self.warm.retain(|group| *group != job.group);
        self.warm.push_back(job.group);
        while self.warm.len() > self.spec.warm_groups {
            self.warm.pop_front();
        }
        self.running.insert(job.tag, Running { job, whole: left, left, memory, pace: 0.0, stands: false });
    }

    /// A query is called off: false if it was not here.
    pub fn call_off(&mut self, now: Micros, tag: u64) -> bool {
        self.advance(now);
        let waited = self.line.len();
        self.line.retain(|job| job.tag != tag);
        let found = match self.running.remove(&tag) {
            Some(run) => {
                self.wasted += run.whole - run.left;
                true
            }
            None => waited > self.line.len(),
        };
        if found {
            self.refill();
            self.reckon(now);
        }
        found
    }

    /// A query takes on another priority.
    pub fn rank(&mut self, now: Micros, tag: u64, rank: u8) {
        self.advance(now);
        if let Some(run) = self.running.get_mut(&tag) {
            run.job.rank = rank;
            self.reckon(now);
        }
        self.line.iter_mut().filter(|job| job.tag == tag).for_each(|job| job.rank = rank);
    }

    /// Trouble has come or gone: paces are reckoned anew.
    pub fn changed(&mut self, now: Micros) {
        self.advance(now);
        self.reckon(now);
    }

    /// Those that have ended by now, in the order of their tags.
    pub fn ended(&mut self, now: Micros) -> Vec<u64> {
        self.advance(now);
        let over: Vec<u64> =
            self.running.iter().filter(|(_, r)| r.left < 1e-6).map(|(tag, _)| *tag).collect();
        self.running.retain(|_, run| run.left >= 1e-6);
        self.refill();
        self.reckon(now);
        over
    }

    fn refill(&mut self) {
        let slots = (self.spec.slots_per_core * self.spec.cores) as usize;
        while self.running.len() < slots {
            // By priority, then in turn.
            let best =
                self.line.iter().enumerate().max_by_key(|(at, job)| (job.rank, std::cmp::Reverse(*at)));
            let Some(job) = best.map(|(at, _)| at).and_then(|at| self.line.remove(at)) else { return };
            self.begin(job);
        }
    }

    /// When the next one ends, if nothing changes before.
    pub fn next(&self) -> Option<Micros> {
        let spans = self.running.values().filter(|r| r.pace > 0.0).map(|r| r.left / r.pace);
        let least = spans.min_by(f64::total_cmp)?;
        Some(self.at + (least * 1e6).ceil() as Micros)
    }

    fn advance(&mut self, now: Micros) {
        let span = seconds(now.saturating_sub(self.at));
        self.at = self.at.max(now);
        if span > 0.0 {
            self.running.values_mut().for_each(|run| run.left = (run.left - run.pace * span).max(0.0));
        }
    }

    /// Shares cores and disks out.
    fn reckon(&mut self, now: Micros) {
        self.change += 1;
        let held: Vec<i64> = self.running.values().filter(|r| r.job.is_load).map(|r| r.job.group).collect();
        for run in self.running.values_mut() {
            run.stands = run.job.yields && held.contains(&run.job.group);
        }
        let warmth = self.warmth(now);
        let cores = self.spec.cores * warmth * (1.0 - self.neighbour);
        let memory: f64 = self.running.values().map(|r| r.memory).sum();
        let moving: Vec<&mut Running> = self.running.values_mut().filter(|r| !r.stands).collect();
        let threads: f64 = moving.iter().map(|r| r.job.threads).sum();
        let over = (threads / (self.spec.knee * self.spec.cores) - 1.0).max(0.0);
        let mut ease = 1.0 / (1.0 + self.spec.thrash * over);
        if memory > self.spec.memory_mb {
            ease *= (self.spec.memory_mb / memory).powi(2); // all page
        }
        if self.hangs {
            ease = 0.0;
        }
        let on_cores: Vec<(f64, f64)> = moving
            .iter()
            .map(|r| (r.job.threads * (1.0 - r.job.io), WEIGHTS[usize::from(r.job.rank & 3)]))
            .collect();
        let on_disks: Vec<(f64, f64)> =
            moving.iter().map(|r| (r.job.threads * r.job.io, WEIGHTS[usize::from(r.job.rank & 3)])).collect();
        let (of_cores, of_disks) = (share(cores, &on_cores), share(self.spec.disks * warmth, &on_disks));
        for (at, run) in moving.into_iter().enumerate() {
            let full = of_cores[at].min(of_disks[at]);
            run.pace = 1000.0 * self.spec.speed * run.job.threads * full * ease;
        }
        self.running.values_mut().filter(|r| r.stands).for_each(|run| run.pace = 0.0);
    }

    /// What it tells of itself.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        let moving = || self.running.values().filter(|r| !r.stands);
        let cores: f64 = moving().map(|r| r.job.threads * (1.0 - r.job.io)).sum();
        let disks: f64 = moving().map(|r| r.job.threads * r.job.io).sum();
        let memory: f64 = self.running.values().map(|r| r.memory).sum();
        LoadReport {
            util: Some((cores / self.spec.cores).min(1.0)),
            queue: Some(self.line.len() as f64),
            memory: Some((memory / self.spec.memory_mb).min(1.0)),
            disk: Some((disks / self.spec.disks).min(1.0)),
        }
    }

    /// What it tells of each query that runs.
    pub fn notes(&mut self, now: Micros) -> Vec<(u64, Progress)> {
        self.advance(now);
        let mut notes = Vec::new();
        for (tag, run) in &self.running {
            let missing = run.job.memory - run.memory;
            if missing > 0.0 {
                notes.push((*tag, Progress::Spills(missing)));
            }
            notes.push(if run.stands {
                (*tag, Progress::WaitsForLoad)
            } else {
                (*tag, Progress::Done((1.0 - run.left / run.whole.max(1e-9)).clamp(0.0, 1.0)))
            });
        }
        notes
    }

    /// Queries that it has.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.line.len()
    }

    /// How long work of a query would take that came now, roughly (s): what an all-knowing policy looks at.
    #[must_use]
    pub fn outlook(&self, now: Micros) -> f64 {
        if !self.up || self.hangs {
            return f64::INFINITY;
        }
        let left: f64 = self.running.values().map(|r| r.left).sum::<f64>();
        let waits: f64 = self.line.iter().map(|job| job.work).sum::<f64>();
        (left + waits) / (self.capacity(now) * (1.0 - self.neighbour))
    }
}

/// Shares `all` out by weight; nobody gets more than it asks for. The part of what each asked for.
#[must_use]
pub fn share(all: f64, asks: &[(f64, f64)]) -> Vec<f64> {
    if asks.iter().map(|ask| ask.0).sum::<f64>() <= all {
        return vec![1.0; asks.len()];
    }
    // Those that ask for least by weight are served in full, as long as a fair part covers that.
    let mut order: Vec<usize> = (0..asks.len()).collect();
    let by_weight = |at: usize| asks[at].0 / asks[at].1;
    order.sort_by(|a, b| by_weight(*a).total_cmp(&by_weight(*b)).then(a.cmp(b)));
    let mut weight: f64 = asks.iter().map(|ask| ask.1).sum();
    let (mut rest, mut parts) = (all, vec![1.0; asks.len()]);
    for at in order {
        let (asked, own) = asks[at];
        let got = asked.min(rest * own / weight);
        parts[at] = if asked > 0.0 { got / asked } else { 1.0 };
        rest -= got;
        weight -= own;
    }
    parts
}
