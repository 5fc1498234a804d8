//! Every decision of dahliaspoke. Its types, events and actions are in `src/interface.rs`.
//!
//! The ordinary path: each engine has a bound on this gateway's unfinished estimated milliseconds there; a
//! query goes where a weighted draw puts it and the bound has room, and a PI loop moves the bound each
//! second toward a set-point of the mean delay-to-deadline ratio (DDR). The rest are documented exceptions.

mod action;
mod estimators;
mod event;
mod settings;
pub mod subsetting;

pub use action::*;
pub use event::*;
pub use settings::*;

use estimators::{uniform, RunningMean, RunningQuantile};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use subsetting::{subset_positions, RingEngine};

const SET_POINT: f64 = 0.9; // mean DDR (ratio), as in the paper
const PERIOD: f64 = 1.0; // of the loop (s), as in the paper
const GAIN_P: f64 = 0.2; // mean-cost queries per DDR error; the paper bounds hundreds of items, we a few
const GAIN_I: f64 = 0.5; // integral gain relative to GAIN_P; low for the same reason
const FLOOR_SHARE: f64 = 0.4; // least part of an engine's cores that all gateways together keep busy
const SLACK: f64 = 2.1; // deadline / unhindered delay at top worth: about where shared cores do most work
const SLACK_UNTOLD: f64 = 1.6; // times that where answers tell no cost: unhindered is a lower quartile there
const SLACK_SPREAD: f64 = 0.03; // growth of slack with falling worth (exponent of the ratio of worths)
const DDR_CAP: f64 = 3.0; // most that one sample counts (ratio): one runaway must not close an engine
const START_PER_CORE: f64 = 1900.0; // most that a starting bound is (ms a core): about two queries
const START_ALL: f64 = 2500.0; // starting bounds of all gateways together (ms a core), at least where few
const THREADS: f64 = 1.5; // the same in threads a core: about where shared cores do most work
const HOLD_BLIND: f64 = 1300.0; // work that a busy thread holds (ms), as long as queries are few
const HOLD_FEW: f64 = 20.0; // so many of them
const CEILING: f64 = 1.2; // most that a bound grows to (starting ones): a burst after a calm jams all
const STEP_CAP: f64 = 0.25; // most growth of a bound in one period (share of it): anti-windup
const FALL_TIMES: f64 = 2.0; // a bound may fall by so many times that: it opens wide at the start
const USED_SHARE: f64 = 0.6; // a bound grows only if the backlog used this share of it: anti-windup
const FAST_QUANTILE: f64 = 0.25; // of delay per unit that counts as unhindered where no cost is told
const TOLD_QUANTILE: f64 = 0.5; // the same where answers tell their cost: the middle
const WORK_TIMES: f64 = 2.0; // most work told over what the engine's cores do: some are faster than nominal
const GRANT_QUANTILE: f64 = 0.95; // of queries that get all the memory they need where a spill costs
const NOTED_TIMES: f64 = 2.0; // expected delays still to go, by its notes, at which an attempt is called off
const MEAN_STEP: f64 = 0.02; // weight of a sample in means by class: some 50 queries
const HEALTH_STEP: f64 = 0.12; // least weight of a sample in an engine's health: some 8 outcomes
const RECALL: f64 = 5.0; // expected delays after which an attempt is called off where that frees the engine
const RECALL_LEAST: f64 = 0.3; // but not before (s): handshakes and ticks
const SLOWNESS_MOST: f64 = 6.0; // most that a class's usual slowness counts (ratio)
const SLOWNESS_STEP: f64 = 0.04; // weight of a sample in it: some 25 outcomes
const EJECT_TIMES: f64 = 4.0; // times slower than its peers, or waiting so much longer, that ejects
const HEALTH_FADES: f64 = 8.0; // span over which what is known of an engine's health fades (s)
const COLD_CAUTION: f64 = 0.45; // share of the cold budget used: the turns of two windows can fall into one
const COLD_ALL: f64 = 0.65; // the same where all have their turn in each: each knows its own sends in any
const GHOST_TIMES: f64 = 2.0; // expected delays for which abandoned work counts in the backlog
const SLOWDOWN_MOST: f64 = 10.0; // most that one outcome counts in an engine's slowdown (ratio)
const RESET_SLOWDOWN: f64 = 5.0; // what a reset counts: connections break at sound engines too
const PATIENCE_AIMS: f64 = 4.0; // time-out (aims) where abandoned work runs on and a repeat doubles it
const COME_BACK_AIMS: f64 = 0.25; // come-back time (aims), jittered by half either way
const TICK: f64 = 0.1; // housekeeping (s): how soon silence is seen
const KNOWS: f64 = 10.0; // engines that a gateway keeps to, at least
const KNOWN_BY: f64 = 20.0; // gateways that keep to an engine, at least
const KEPT: f64 = 10.0; // for which a connection that was used is there (s)
const NEW_PRICED: f64 = 50.0; // how much a new connection's price counts in the draw (exponent)
const AWAY_PRICED: f64 = 25.0; // the same of a send to another zone; less, as zones are loaded unequally
const RARE: f64 = 3.0; // urge to a cold engine from which on prices do not count
const HELD_TABLES: f64 = 0.05; // draw weight where a load seems to hold the query's tables
const HOLDS_FOR: f64 = 0.5; // of a middling load's time, for which a note of one that holds is believed
const STALL_TIMES: f64 = 1.5; // expected delays after which a reader seems to stand still
const MEMORY_ROOM: f64 = 1.3; // estimates over memory, of all gateways: past that an engine pages and stalls
const SPREAD: f64 = 4.0; // deviations of one gateway's work in hand that the room of all engines allows for
const BUSY: f64 = 0.8; // part of cores busy, as answers tell lately, from which on none of it counts
const BUSY_FROM: f64 = 0.2; // so much below that all of it does
const BUSY_STEP: f64 = 0.15; // weight of an answer in it: some seven
const CALM: f64 = 0.45; // mean DDR under the set-point from which on all of that counts
const IDLE_ROOM: f64 = 1.0; // how far past its bound an idle engine takes work (times the share idle)
const LATELY: f64 = 10.0; // span of what was asked for by class, and served (s)
const SECOND_ROOM: f64 = 0.5; // share of the bound open to tenants beyond their quota and past the aim
const LIST_AGAIN: f64 = 1.0; // pause between calls to a list that fails (s)
const TICK_TOKEN: u64 = 0; // timer of the tick; requests use their own number
const LIST_TOKEN: u64 = u64::MAX >> 1; // timer of the next call to the list

#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Out,
    MayHaveRun,
    NeverRan,
}

struct Attempt {
    engine: EngineId,
    home: (Arc<str>, i64), // its zone and cell
    sent: f64,
    fate: Fate,
    expected: f64,
    noted: Option<(f64, f64)>, // time and share done from which its pace counts
    moved: bool,               // called off for memory: says nothing of its engine
    whole: Option<f64>,        // delay that its pace came to, once called off for it
}

#[derive(Default)]
struct Request {
    query: Query,
    deadline: f64,
    cost: f64,
    attempts: Vec<Attempt>,
    finished: bool,
    streaming: bool,
    spent: bool, // its body is gone: no further attempt
    over_share: bool,
    granted: Option<f64>, // memory (MB)
    needs: Option<f64>,   // memory, found by a spill (MB)
}

impl Request {
    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
    }
}

#[derive(Default)]
struct Class {
    unit: RunningQuantile,  // natural log of work over estimate
    grant: RunningQuantile, // natural log of the memory granted over the estimate
    told: RunningMean,      // estimate as told (ms)
    cost: RunningMean,      // estimated cost (ms of work)
    work: RunningMean,      // work that answers told (ms)
    demand: f64,            // cost asked for lately (ms/s)
    slowness: RunningMean,  // delay over the unhindered one, over all engines
}

impl Class {
    fn slowness(&self) -> f64 {
        self.slowness.get().unwrap_or(1.5).clamp(1.0, SLOWNESS_MOST)
    }
}

struct Flight {
    sent: f64,
    expected: f64,
    cost: f64,
    memory: f64,
    tables: i64,
    is_load: bool,
}

#[derive(Default)]
struct Engine {
    entry: EngineEntry,
    listed: bool,
    cores: f64,
    memory: f64, // MB; infinite where it is not told
    place: f64,  // in this gateway's order of preference, 1 more in other zones
    used: f64,   // when an attempt was last sent there
    started: f64,
    unreached: f64,
    cold_spent_until: f64,
    sends: Vec<(f64, f64, usize)>, // when, what it weighs, and its class
    // control loop
    bound: f64,
    warmth: f64, // share of its capacity that the bound was last cut to
    delta: f64,
    last_error: f64,
    ddr_sum: f64,
    ddr_count: u32,
    served: u32,
    peak: f64,
    // backlog
    flights: BTreeMap<(u64, u32), Flight>,
    ghosts: Vec<(f64, f64)>,
    load: LoadReport,
    sent_since: f64,
    holds: BTreeMap<i64, f64>, // tables that a note told a load to hold, and until when that is believed
    // health
    ejected: bool,
    last_heard: f64,
    slowdown: f64,
    judged: f64,
}

impl Engine {
    fn live(&self) -> bool {
        self.listed && self.entry.lifecycle == Lifecycle::Ready
    }

    /// How many times slower than its peers it seems. A rarely used engine shows it by one slow outcome, or
    /// by one attempt that is overdue with nothing heard since; the evidence fades, so it is tried again.
    fn trouble(&self, now: f64) -> f64 {
        let faded = 1.0 + (self.slowdown - 1.0) * (-(now - self.judged) / HEALTH_FADES).exp();
        let waits = |f: &Flight| (now - f.sent.max(self.last_heard)) / f.expected;
        self.flights.values().map(waits).fold(faded.max(1.0), f64::max)
    }

    /// Whether a note told of a load on these tables that may still run.
    fn holds(&self, now: f64, tables: i64) -> bool {
        self.holds.get(&tables).is_some_and(|until| now < *until)
    }

    /// Memory (MB) that what is out there is estimated to need.
    fn memory_out(&self) -> f64 {
        self.flights.values().map(|f| f.memory).sum()
    }

    fn backlog(&self) -> f64 {
        self.flights.values().map(|f| f.cost).sum::<f64>() + self.ghosts.iter().map(|g| g.1).sum::<f64>()
    }
}

/// Requests of one key, in the order taken, and the rest after an attempt that may still run.
#[derive(Default)]
struct Turn {
    line: VecDeque<u64>,
    rest_until: f64,
}

/// One gateway's decisions.
pub struct Policy {
    settings: Settings,
    rng: Pcg64Mcg,
    next_number: u64,
    requests: BTreeMap<u64, Request>,
    numbers: BTreeMap<RequestId, u64>,
    turns: BTreeMap<Arc<str>, Turn>,
    held: BTreeSet<u64>,
    engines: BTreeMap<EngineId, Engine>,
    classes: Vec<Class>,
    cost: RunningMean, // of all queries
    hold: f64,         // work that a busy thread holds (ms): the mean cost of a thread, weighed by cost
    bound_by: f64,     // the same as bounds were last set by
    slack: Vec<f64>,
    taken: Vec<f64>,
    again: Vec<(f64, u64, u32)>,
    tenants: Vec<(f64, f64)>,
    peak: f64,
    done: f64,  // cost served lately (ms/s)
    share: f64, // its part of traffic over an equal one, at least 1
    turned_away: bool,
    util: RunningMean, // part of cores that answers told to be busy lately
    next_loop: Option<f64>,
}

type Out = Vec<Action>;

impl Policy {
    /// A gateway that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let top = settings.classes.iter().map(|c| c.priority_weight).fold(0.0, f64::max);
        let untold = if settings.reports_cost { 1.0 } else { SLACK_UNTOLD };
        let slack = |c: &ClassSettings| {
            untold * SLACK * (top / c.priority_weight.max(top * 1e-3).max(1e-9)).powf(SLACK_SPREAD)
        };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            next_number: 1,
            requests: BTreeMap::new(),
            numbers: BTreeMap::new(),
            turns: BTreeMap::new(),
            held: BTreeSet::new(),
            engines: BTreeMap::new(),
            classes: settings.classes.iter().map(|_| Class::default()).collect(),
            cost: RunningMean::default(),
            hold: HOLD_BLIND,
            bound_by: HOLD_BLIND,
            slack: settings.classes.iter().map(slack).collect(),
            taken: Vec::new(),
            again: Vec::new(),
            tenants: settings.tenants.iter().map(|t| (t.quota_per_s / settings.gateways, 0.0)).collect(),
            peak: 0.0,
            done: 0.0,
            share: 1.0,
            turned_away: false,
            util: RunningMean::default(),
            next_loop: None,
            settings,
        }
    }

    /// Requests, engines and keys that state is kept of, for operators and tests.
    #[must_use]
    pub fn known(&self) -> (usize, usize, usize) {
        (self.requests.len(), self.engines.len(), self.turns.len())
    }

    /// Bound and backlog (ms of work) of an engine, and whether it is ejected, for operators and tests.
    #[must_use]
    pub fn engine(&self, id: &str) -> Option<(f64, f64, bool)> {
        self.engines.get(id).map(|e| (e.bound, e.backlog(), e.ejected))
    }

    /// The same of each engine that the list has.
    pub fn engines(&self) -> impl Iterator<Item = (f64, f64, bool)> + '_ {
        let listed = |e: &&Engine| e.listed && e.entry.lifecycle != Lifecycle::Gone;
        self.engines.values().filter(listed).map(|e| (e.bound, e.backlog(), e.ejected))
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        if self.next_loop.is_none() {
            self.next_loop = Some(now + PERIOD);
            out.push(Action::SetTimer { after: TICK, token: TICK_TOKEN });
            out.extend(self.settings.must_subscribe.then_some(Action::Subscribe));
        }
        match event {
            Event::EngineList(scope, entries) => self.on_list(now, scope, entries),
            // A gateway that stopped asking would go on sending to engines that drain.
            Event::DiscoveryFailed => out.push(Action::SetTimer { after: LIST_AGAIN, token: LIST_TOKEN }),
            Event::Query(query) => self.on_query(now, query, out),
            Event::StreamStarted { id } => self.mark(&id, |request| request.streaming = true),
            Event::BodyDropped { id } => self.mark(&id, |request| request.spent = true),
            Event::AttemptEnded(ended) => self.on_ended(now, ended, out),
            Event::Progress { id, attempt, progress } => self.on_note(now, &id, attempt, progress, out),
            Event::ClientGone { id } => {
                self.numbers.get(&id).copied().into_iter().for_each(|n| self.close(n, out));
            }
            Event::Settings(settings) => {
                let Self { settings, slack, tenants, .. } = Self::new(*settings, 0);
                (self.settings, self.slack, self.tenants) = (settings, slack, tenants);
            }
            Event::Timer(TICK_TOKEN) => self.on_tick(now, out),
            Event::Timer(LIST_TOKEN) => out.push(Action::Subscribe),
            Event::Timer(number) => self.give_up(number, out), // its time is up
            Event::Shutdown => {
                self.requests
                    .keys()
                    .copied()
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| self.give_up(n, out));
            }
        }
        self.advance(now, out);
    }

    fn mark(&mut self, id: &RequestId, mark: fn(&mut Request)) {
        if let Some(request) = self.numbers.get(id).and_then(|n| self.requests.get_mut(n)) {
            mark(request);
        }
    }

    fn on_list(&mut self, now: f64, scope: ListScope, entries: Vec<EngineEntry>) {
        self.engines.values_mut().for_each(|engine| engine.listed &= scope == ListScope::Changes);
        for entry in entries {
            let kind = self.settings.kinds.iter().find(|k| *k.name == *entry.kind);
            let cores = kind.map_or(1.0, |k| k.cores.max(1.0));
            let memory = kind.map(|k| k.memory).filter(|mb| *mb > 0.0).unwrap_or(f64::INFINITY);
            let start = starting_bound(&self.settings, cores, self.bound_by);
            let started = entry.started.unwrap_or(f64::NEG_INFINITY);
            let fresh = || Engine {
                cores,
                memory,
                used: f64::NEG_INFINITY,
                bound: start,
                warmth: 1.0,
                started: f64::NEG_INFINITY,
                unreached: f64::NEG_INFINITY,
                cold_spent_until: f64::NEG_INFINITY,
                last_heard: now,
                slowdown: 1.0,
                judged: now,
                ..Engine::default()
            };
            let known = self.engines.entry(entry.id.clone()).or_insert_with(fresh);
            // A new process: cold, with nothing of what the old one had. What this gateway sent before its
            // own restart is not known, so the first window counts as spent (rule 4).
            if started > known.started && now - started < self.settings.warmup_time {
                let flights = std::mem::take(&mut known.flights);
                let warmth = self.settings.warmth(now - started);
                *known = Engine { flights, bound: start * warmth, warmth, ..fresh() };
                if scope == ListScope::Restored {
                    known.cold_spent_until = now + self.settings.overload_window;
                }
            }
            known.started = known.started.max(started);
            known.listed = true;
            known.entry = entry;
        }
        self.forget_engines();
        // All gateways reckon alike, so that each engine is kept to by equally many.
        let seats: Vec<RingEngine> = (self.engines.values())
            .map(|e| (&e.entry, if e.listed { e.cores } else { 0.0 }))
            .map(|(entry, cores)| RingEngine { id: &entry.id, zone: &entry.zone, cores })
            .collect();
        let places =
            subset_positions(&seats, &self.settings.zone, self.settings.index, self.settings.gateways);
        self.engines.values_mut().zip(places).for_each(|(engine, place)| engine.place = place);
    }

    /// State of an engine goes when it has left and its attempts are over.
    fn forget_engines(&mut self) {
        self.engines.retain(|_, e| e.listed && e.entry.lifecycle != Lifecycle::Gone || !e.flights.is_empty());
    }

    fn on_query(&mut self, now: f64, query: Query, out: &mut Out) {
        let number = self.next_number;
        self.next_number += 1;
        self.taken.extend(self.settings.retry_budget.map(|_| now));
        let cost = self.estimate(&query);
        let over_share = self.is_over_share(now, query.tenant);
        self.classes[query.class].demand += cost / LATELY;
        let left = query.time_left;
        self.numbers.insert(query.id.clone(), number);
        if let (true, Some(key)) = (self.settings.classes[query.class].ordered, query.key.clone()) {
            self.turns.entry(key).or_default().line.push_back(number);
        }
        let request = Request { query, deadline: now + left, cost, over_share, ..Request::default() };
        self.requests.insert(number, request);
        let margin = 2.0 * self.settings.tick;
        if left <= margin {
            return self.give_up(number, out);
        }
        out.push(Action::SetTimer { after: left - margin, token: number });
        self.dispatch(now, number, out);
    }

    /// Cost in ms of work: the told estimate times the class's learned unit, or the class's mean.
    fn estimate(&mut self, query: &Query) -> f64 {
        let settings = &self.settings.classes[query.class];
        let class = &mut self.classes[query.class];
        let blind = settings.latency_objective * 1000.0 * settings.threads / 4.0;
        let Some(told) = query.work else { return class.work.get().or(class.cost.get()).unwrap_or(blind) };
        class.told.add(told, MEAN_STEP);
        let cost = told * class.unit.value.exp();
        class.cost.add(cost, MEAN_STEP);
        self.cost.add(cost, MEAN_STEP);
        let (mean, few) = (self.cost.value.max(1e-9), HOLD_FEW + self.cost.count);
        let weight = (MEAN_STEP.max(1.0 / few) * cost / mean).min(1.0);
        self.hold += weight * (cost / settings.threads.max(1.0) - self.hold);
        cost
    }

    fn is_over_share(&mut self, now: f64, tenant: Option<usize>) -> bool {
        let Some(at) = tenant else { return false };
        let rate = self.settings.tenants[at].quota_per_s / self.settings.gateways;
        let (tokens, last) = &mut self.tenants[at];
        *tokens = (tokens.max(0.0) + (now - *last) * rate).min(rate.max(1.0));
        *last = now;
        *tokens -= 1.0;
        *tokens < 0.0
    }

    /// Delay of the query on an engine of its own (seconds).
    fn sigma(&self, request: &Request) -> f64 {
        request.cost / self.settings.classes[request.query.class].threads.max(1.0) / 1000.0
    }

    /// The same for a middling query of the class.
    fn usual_sigma(&self, class: usize) -> f64 {
        let settings = &self.settings.classes[class];
        self.classes[class]
            .cost
            .get()
            .map_or(settings.latency_objective / 4.0, |c| c / settings.threads.max(1.0) / 1000.0)
    }

    /// Sends the request, holds it for its turn, or gives it up.
    fn dispatch(&mut self, now: f64, number: u64, out: &mut Out) {
        self.held.remove(&number);
        let Some(request) = self.requests.get(&number) else { return };
        if request.finished {
            return;
        }
        if !self.has_turn(now, number) {
            let left = request.deadline - now;
            let ahead =
                self.turn_of(request).map_or(0, |t| t.line.iter().take_while(|n| **n != number).count());
            let class = request.query.class;
            // A follower that cannot be served in time is told at once.
            if left < self.usual_sigma(class) * (ahead as f64 + 1.0) {
                return self.give_up(number, out);
            }
            self.held.insert(number);
            return;
        }
        if let Some(engine) = self.pick(now, number) {
            self.send(now, number, engine, out);
        } else {
            // A query turned away made full use of the bounds, whatever the backlog was.
            self.turned_away = true;
            self.give_up(number, out);
        }
    }

    /// Draws an order of engines and takes the first with room.
    fn pick(&mut self, now: f64, number: u64) -> Option<EngineId> {
        let request = &self.requests[&number];
        let (class, settings) = (request.query.class, &self.settings.classes[request.query.class]);
        let mut allowed: Vec<&Engine> =
            self.engines.values().filter(|e| self.may_send(now, request, e)).collect();
        let fresh = |e: &Engine| !tried_there(request, e);
        if allowed.iter().any(|e| fresh(e) && !e.ejected) {
            allowed.retain(|e| fresh(e));
        }
        // Most of them bad together, those that drain aside: the cause is shared, the bounds alone decide,
        // or nothing would be served. Hurts if most engines really are dead, for as long as that lasts.
        let live = || self.engines.values().filter(|e| e.live());
        let sound = live().filter(|e| !e.ejected).count();
        let shared = 2 * sound < live().count() || allowed.iter().all(|e| e.ejected);
        allowed.retain(|e| shared || !e.ejected);
        // Past its aim a query earns little; in a jam it would only delay those still in time.
        let latency_objective = settings.latency_objective + settings.objective_stretch * self.sigma(request);
        let late = now - (request.deadline - request.query.time_left) > latency_objective;
        let room = self.share * if request.over_share || late { SECOND_ROOM } else { 1.0 };
        let mut order: Vec<(f64, &Engine)> = Vec::new();
        let reach = self.reach();
        for engine in allowed {
            let backlog = engine.backlog();
            // The scarcest resource counts: memory or disks may be gone while cores idle.
            let own = engine.load.util.unwrap_or(backlog / engine.bound.max(1.0));
            let used = own.max(engine.load.memory.unwrap_or(0.0)).max(engine.load.disk.unwrap_or(0.0));
            let mut weight = engine.cores * (1.0 + used + engine.sent_since / engine.cores).powi(-3);
            weight /= engine.trouble(now).powi(2);
            // Those whose turn it is send a cold engine what it bears for all, from wherever they are.
            let turns = self.cold_turns(now, engine, class).map_or(f64::INFINITY, |(turns, _)| turns);
            let urge = (self.settings.gateways / turns * self.settings.initial_capacity_share).max(1.0);
            let far = f64::from(engine.place > reach && now - engine.used > KEPT);
            let away = f64::from(engine.place > 1.0);
            let price = NEW_PRICED * self.settings.handshake_cost * far
                + AWAY_PRICED * self.settings.cross_zone_cost * away;
            weight *= urge * if urge > RARE { 1.0 } else { (-price).exp() };
            // Another gateway's load is seen only by its readers of the group that stand still.
            let stands = |f: &Flight| f.is_load || now - f.sent > STALL_TIMES * f.expected;
            let held = engine.holds(now, request.query.tables);
            if held || engine.flights.values().any(|f| f.tables == request.query.tables && stands(f)) {
                weight *= HELD_TABLES;
            }
            order.push((-(1.0 - uniform(&mut self.rng)).ln() / weight, engine));
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        // Where a share of an engine is less than one query, the shares of all that the class may go to now
        // count as one, and a drawn part of a query must fit what they leave: the dearer, the more seldom. A
        // gateway with little work swings more; all even out, so that is no load while delays are short.
        let pool = live().filter(|e| placed(settings, &e.entry) && (shared || !e.ejected));
        let pool: Vec<&Engine> = pool.filter(|e| self.cold_room(now, e, class)).collect();
        let sum = |of: fn(&Engine) -> f64| pool.iter().map(|e| of(e)).sum::<f64>();
        let (open, count) = (room * sum(|e| e.bound), (pool.len() as f64).max(1.0));
        // Delays tell late of engines that went and came back cold; the list tells at once.
        let warm: f64 = live().map(|e| e.cores * self.settings.warmth(now - e.started)).sum();
        let warm = warm / live().map(|e| e.cores).sum::<f64>().max(1.0);
        let calm = (sum(|e| e.last_error) / count / CALM).clamp(0.0, 1.0) * warm.powi(3);
        let calm = calm * ((BUSY - self.util.value) / BUSY_FROM).clamp(0.0, 1.0);
        let spread = SPREAD * calm * (open * self.hold).sqrt();
        let left = open + spread - sum(Engine::backlog);
        let part = uniform(&mut self.rng);
        let gateways = self.settings.gateways;
        let need = request.query.memory.unwrap_or(0.0);
        let fits = |e: &&Engine| {
            let backlog = e.backlog();
            // Past its memory an engine pages, and all that it holds stands nearly still: no report tells of
            // that before it is too late.
            let memory = e.memory_out();
            if memory > 0.0 && memory + need > MEMORY_ROOM * room * e.memory / gateways {
                return false;
            }
            let crowd = (gateways / e.cores).min(1.0);
            let turn = self.cold_turns(now, e, class).is_some_and(|(_, share)| share.is_none());
            let alone = backlog == 0.0 && (turn || part * crowd * request.cost <= left);
            // Where loads hold tables cores idle as well; what is let in only waits there, with its memory.
            let flowing = e.last_error >= 0.0 && e.holds.is_empty();
            let util = e.load.util.filter(|_| flowing).unwrap_or(1.0);
            let idle = (1.0 - util).clamp(0.0, 1.0);
            alone || backlog + request.cost <= e.bound * room * (1.0 + IDLE_ROOM * idle)
        };
        order.into_iter().map(|(_, e)| e).find(fits).map(|e| e.entry.id.clone())
    }

    /// The last place in the order of preference of the engines that this gateway keeps connections to. Few
    /// for each spare handshakes and are heard of often; enough gateways for each engine to even it out.
    fn reach(&self) -> f64 {
        let sound = self.engines.values().filter(|e| e.live() && !e.ejected);
        let mut places: Vec<f64> = sound.map(|e| e.place).collect();
        places.sort_by(f64::total_cmp);
        let count = (KNOWN_BY * places.len() as f64 / self.settings.gateways).max(KNOWS) * self.share;
        places.get(count as usize).copied().unwrap_or(f64::INFINITY)
    }

    /// Memory for an attempt (MB): the estimate times what its class has been found to need over it.
    fn grant(&self, request: &Request) -> Option<f64> {
        let told = request.query.memory.filter(|_| self.settings.grants)?;
        let learned = told * self.classes[request.query.class].grant.value.exp();
        Some(request.needs.unwrap_or(learned).ceil())
    }

    // ---- Rule guards: the one place where an attempt is sent or a final answer given ----

    /// Whether the rules allow an attempt of this request there now.
    fn may_send(&self, now: f64, request: &Request, engine: &Engine) -> bool {
        let class = &self.settings.classes[request.query.class];
        let owed = !request.finished && !request.streaming && !request.spent && now < request.deadline;
        let tries = (request.attempts.len() as u32) < self.settings.max_attempts;
        let there = |a: &Attempt| a.fate == Fate::MayHaveRun && a.engine == engine.entry.id; // it may run on
        let apart = self.settings.may_hedge || !request.out() && !request.attempts.iter().any(there);
        let at_home = |a: &Attempt| class.dedup_scope == DedupScope::Zone || a.home.1 == engine.entry.cell;
        let near =
            |a: &Attempt| class.dedup_scope == DedupScope::All || a.home.0 == engine.entry.zone && at_home(a);
        let harmless =
            request.attempts.iter().filter(|a| a.fate != Fate::NeverRan).all(|a| match class.idempotency {
                Idempotency::Always => true,
                Idempotency::Never => false,
                Idempotency::WithKey => near(a) && now + self.settings.tick < a.sent + class.dedup_window,
            });
        let allowed = engine.live() && owed && tries && apart && harmless && placed(class, &engine.entry);
        let rationed = request.attempts.is_empty() || self.within_budget(now);
        allowed && rationed && self.cold_room(now, engine, request.query.class)
    }

    /// Rule 7, over this attempt and the window before it.
    fn within_budget(&self, now: f64) -> bool {
        let Some(budget) = self.settings.retry_budget else { return true };
        let from = now - budget.window;
        let again = self.again.iter().filter(|a| a.0 >= from - self.settings.tick).count() as f64;
        let taken = self.taken.iter().filter(|t| **t > from + self.settings.tick).count() as f64;
        again + 1.0 <= budget.min_attempts + budget.attempts_per_request * taken
    }

    /// What the usual query of a class weighs (ms of work), on the careful side.
    fn usual_work(&self, class: usize) -> f64 {
        let stats = &self.classes[class];
        let settings = &self.settings.classes[class];
        let blind = settings.latency_objective * 1000.0 * settings.threads / 2.0;
        let told = stats.cost.get().zip(stats.told.get()).map(|(cost, told)| cost.max(told));
        stats.work.get().or(told).unwrap_or(blind)
    }

    /// Rule 4: a cold engine gets no more than this gateway's share of what it can bear in any window.
    fn cold_room(&self, now: f64, engine: &Engine, class: usize) -> bool {
        let Some((turns, share)) = self.cold_turns(now, engine, class) else { return true };
        let s = &self.settings;
        let (from, work) = (now - s.overload_window, self.usual_work(class));
        let counts = |x: &&(f64, f64, usize)| x.0 >= from && (share.is_some() || x.2 == class);
        let sent: f64 = engine.sends.iter().filter(counts).map(|x| x.1).sum();
        // Golden-section steps bring every gateway to its turn, each engine from a place of its own.
        let first = engine.entry.id.bytes().fold(0.0, |sum, byte| sum * 31.0 % 65537.0 + f64::from(byte));
        let window = (now / s.overload_window.max(1e-9)).floor();
        let place = (s.index + first + window * 0.618 * s.gateways) % s.gateways;
        let room = share.map_or(sent == 0.0, |share| sent + work <= share);
        now >= engine.cold_spent_until && place < turns && room
    }

    /// While an engine is cold: how many gateways have their turn in one window, and what each may send (ms
    /// of work). Equal shares of less than one query would starve it, one query each would push it over: then
    /// each class has turns for one query each, by its part of the work; most of it is in dear queries.
    fn cold_turns(&self, now: f64, engine: &Engine, class: usize) -> Option<(f64, Option<f64>)> {
        let s = &self.settings;
        let started = engine.started.max(engine.unreached);
        if now - started >= s.warmup_time {
            return None;
        }
        let age = ((now - s.overload_window - started) / s.warmup_time.max(1e-9)).clamp(0.0, 1.0);
        let capacity =
            (s.initial_capacity_share + (1.0 - s.initial_capacity_share) * 0.5 * age) * engine.cores * 1000.0;
        let budget = s.overload_multiple * capacity * s.overload_window;
        if COLD_CAUTION * budget >= s.gateways * self.cost.value {
            return Some((s.gateways, Some(COLD_ALL * budget / s.gateways)));
        }
        let part = self.classes[class].demand / self.classes.iter().map(|c| c.demand).sum::<f64>().max(1e-9);
        Some(((COLD_CAUTION * budget * part / self.usual_work(class)).min(s.gateways), None))
    }

    fn turn_of(&self, request: &Request) -> Option<&Turn> {
        let ordered = self.settings.classes[request.query.class].ordered;
        request.query.key.as_ref().filter(|_| ordered).and_then(|key| self.turns.get(key))
    }

    /// Rule 5: it is first of its key, and the key has rested.
    fn has_turn(&self, now: f64, number: u64) -> bool {
        let request = &self.requests[&number];
        let Some(turn) = self.turn_of(request) else { return true };
        turn.line.front() == Some(&number) && (now >= turn.rest_until || !request.attempts.is_empty())
    }

    /// Sends an attempt that `pick` chose.
    fn send(&mut self, now: f64, number: u64, id: EngineId, out: &mut Out) {
        let request = &self.requests[&number];
        let at = request.query.class;
        let class = &self.settings.classes[at];
        let (sigma, usual, weigh) = (self.sigma(request), self.usual_sigma(at), self.usual_work(at));
        let left = request.deadline - now;
        let slowdown = self.classes[at].slowness().max(self.engines[&id].slowdown.min(2.0));
        // Nearer deadlines go first: the rank falls with each doubling past a quarter of the mean deadline.
        let deadline = self.slack[at] * sigma * 1000.0 / (SLACK * self.cost.value.max(1.0));
        let rank = (1.0 - deadline.log2()).clamp(0.0, 3.0) as u8;
        let expected = sigma.max(0.5 * usual) * slowdown;
        let expected = if request.query.uploading { left.max(expected) } else { expected };
        let recall = (RECALL * expected).max(RECALL_LEAST);
        let latency_objective = class.latency_objective + class.objective_stretch * sigma;
        let patience =
            if self.settings.may_cancel { recall } else { recall.max(PATIENCE_AIMS * latency_objective) };
        // A reader that goes where a load holds its tables does so for want of a better place, and waits.
        let held = class.yields_to_loads && self.engines[&id].holds(now, request.query.tables);
        let patience = patience + if held { self.load_time() } else { 0.0 };
        let more = (request.attempts.len() as u32 + 1) < self.settings.max_attempts;
        let retried = class.idempotency == Idempotency::Always && more && patience + usual < left;
        let timeout = retried.then_some(patience);
        let memory = self.grant(request);
        // Past its window a repeat is none: it must not go out late either.
        let ran = request
            .attempts
            .iter()
            .filter(|a| a.fate != Fate::NeverRan && class.idempotency == Idempotency::WithKey);
        let within = ran.map(|a| a.sent + class.dedup_window - self.settings.tick - now).reduce(f64::min);
        let told_memory = request.query.memory.unwrap_or(0.0);
        let (cost, tables, is_load) = (request.cost, request.query.tables, class.is_load);
        let (attempt, request_id) = (request.attempts.len() as u32, request.query.id.clone());
        if attempt > 0 && self.settings.retry_budget.is_some() {
            self.again.push((now, number, attempt));
        }
        let Some(engine) = self.engines.get_mut(&id) else { return };
        engine.sends.push((now, weigh, at)); // of warm ones too: one may turn out to have restarted
        engine.sent_since += 1.0;
        engine.used = now;
        let flight = Flight { sent: now, expected, cost, memory: told_memory, tables, is_load };
        engine.flights.insert((number, attempt), flight);
        engine.peak = engine.peak.max(engine.backlog());
        let home = (engine.entry.zone.clone(), engine.entry.cell);
        if let Some(request) = self.requests.get_mut(&number) {
            let (engine, noted) = (id.clone(), Some((now, 0.0)));
            request.granted = memory;
            let (sent, fate, moved, whole) = (now, Fate::Out, false, None);
            request.attempts.push(Attempt { engine, home, sent, fate, expected, noted, moved, whole });
        }
        self.peak = self.peak.max(self.engines.values().map(Engine::backlog).sum());
        if self.settings.priorities || memory.is_some() {
            out.push(Action::SetTerms { id: request_id.clone(), memory, rank });
        }
        out.push(Action::Send { id: request_id, engine: id, timeout, within });
    }

    /// The final answer for a request given up on, at once. A refusal says that asking again is harmless.
    fn give_up(&mut self, number: u64, out: &mut Out) {
        let Some(request) = self.requests.get(&number) else { return };
        if request.finished || request.streaming {
            return;
        }
        let class = &self.settings.classes[request.query.class];
        let clean = request.attempts.iter().all(|a| a.fate == Fate::NeverRan);
        let everywhere = class.idempotency == Idempotency::WithKey && class.dedup_scope == DedupScope::All;
        let harmless = class.idempotency == Idempotency::Always || everywhere;
        let id = request.query.id.clone();
        if clean || harmless {
            let usual = COME_BACK_AIMS * class.latency_objective * (0.5 + uniform(&mut self.rng));
            let retry_after = self.settings.retry_after.map(|most| usual.min(most));
            out.push(Action::Reject { id, retry_after });
        } else {
            out.push(Action::Fail { id });
        }
        self.close(number, out);
    }

    /// Nothing is owed any more: calls off what is still out and forgets what can be forgotten.
    fn close(&mut self, number: u64, out: &mut Out) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        request.finished = true;
        self.held.remove(&number);
        if self.settings.may_cancel && !request.streaming {
            for (at, _) in request.attempts.iter().enumerate().filter(|(_, a)| a.fate == Fate::Out) {
                out.push(Action::Cancel { id: request.query.id.clone(), attempt: at as u32 });
            }
        }
        self.forget(number);
    }

    fn forget(&mut self, number: u64) {
        let Some(request) = self.requests.get(&number) else { return };
        if !request.finished || request.out() {
            return;
        }
        if let Some(turn) = request.query.key.as_ref().and_then(|key| self.turns.get_mut(key)) {
            turn.line.retain(|n| *n != number); // the tick forgets empty ones
        }
        self.numbers.remove(&self.requests[&number].query.id);
        self.requests.remove(&number);
    }

    /// Lets held requests go on whose turn has come.
    fn advance(&mut self, now: f64, out: &mut Out) {
        self.held.clone().into_iter().for_each(|number| self.dispatch(now, number, out));
    }

    fn on_ended(&mut self, now: f64, mut ended: AttemptEnd, out: &mut Out) {
        let Some(&number) = self.numbers.get(&ended.id) else { return };
        let Some(request) = self.requests.get_mut(&number) else { return };
        let attempt = request.attempts.get_mut(ended.attempt as usize);
        let Some(attempt) = attempt.filter(|a| a.fate == Fate::Out) else { return };
        attempt.fate = if ended.outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        let delay = now - attempt.sent;
        request.finished |= ended.finished;
        let may_run_on = matches!(ended.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        // No query does more work than its engine could in all of its time: such a figure is not believed.
        let most = self.engines.get(&attempt.engine).map_or(0.0, |e| WORK_TIMES * 1000.0 * e.cores);
        ended.work = ended.work.filter(|work| *work <= most * request.query.time_left);
        let turn = request.query.key.as_ref().and_then(|key| self.turns.get_mut(key));
        if let Some(turn) = turn.filter(|_| may_run_on) {
            turn.rest_until = now + self.settings.order_settle + 2.0 * self.settings.tick;
        }
        self.judge(now, number, &ended, delay);
        if ended.outcome == Outcome::Ok {
            self.done += self.requests[&number].cost / LATELY;
            self.learn(number, delay, ended.work);
            self.learn_memory(number, ended.memory);
        }
        let request = &self.requests[&number];
        if request.finished {
            self.close(number, out);
        } else if !request.out() {
            // Out of time to be of use, or never sent by the wire's own word: answered at once.
            if ended.outcome == Outcome::Expired || request.deadline - now < 2.0 * self.settings.tick {
                self.give_up(number, out);
            } else {
                self.dispatch(now, number, out);
            }
        }
        self.forget_engines();
    }

    /// Learns what a unit of estimate comes to: work as told, or the fastest outcomes' delay.
    fn learn(&mut self, number: u64, delay: f64, work: Option<f64>) {
        let request = &self.requests[&number];
        let threads = self.settings.classes[request.query.class].threads.max(1.0);
        let class = &mut self.classes[request.query.class];
        if let Some(work) = work {
            class.work.add(work, MEAN_STEP);
        }
        let timed = (!request.query.uploading).then_some(delay * 1000.0 * threads);
        let Some(seen) = work.or(timed).map(|seen| seen.max(0.01)) else { return };
        let Some(told) = request.query.work else {
            class.cost.add(seen, MEAN_STEP);
            return self.cost.add(seen, MEAN_STEP);
        };
        // The told figure is believed until outcomes say otherwise, each less than the one before.
        let quantile = if work.is_some() { TOLD_QUANTILE } else { FAST_QUANTILE };
        class.unit.add((seen / told).ln() >= class.unit.value, quantile);
    }

    /// What an attempt that is out tells of itself. Called off and sent again where that is better:
    /// - a spill, once, with what it lacks: estimates that are off. May hurt where notes are late.
    /// - a wait for memory: engines fuller than any report tells. May hurt where all have lines.
    /// - a pace that leaves twice the expected delay to go: bad plans, engines gone slow.
    fn on_note(&mut self, now: f64, id: &RequestId, attempt: u32, progress: Progress, out: &mut Out) {
        let Some(&number) = self.numbers.get(id) else { return };
        let request = &self.requests[&number];
        if attempt as usize + 1 != request.attempts.len() || !request.out() || request.finished {
            return;
        }
        if let Some(engine) = self.engines.get_mut(&request.attempts[attempt as usize].engine) {
            engine.last_heard = now;
        }
        let safe = self.settings.classes[request.query.class].idempotency == Idempotency::Always;
        // One that has told of a wait and has done nothing since still waits.
        let waits = request.attempts[attempt as usize].noted.is_none()
            && matches!(progress, Progress::Done(s) if s <= 0.0);
        // these leave one try in hand for failures
        let moves = waits || !matches!(progress, Progress::Done(_));
        let more = attempt + 1 + u32::from(moves) < self.settings.max_attempts && self.within_budget(now);
        let (again, sigma) = (safe && more && self.settings.may_cancel, self.sigma(request));
        let (tables, load) = (request.query.tables, self.load_time());
        let free = |e: &&Engine| e.live() && !e.ejected && !e.holds(now, tables);
        let elsewhere = self.engines.values().filter(free).any(|e| !tried_there(request, e));
        let Some(request) = self.requests.get_mut(&number) else { return };
        let tried = &mut request.attempts[attempt as usize];
        let priority_weight = match (progress, request.granted) {
            (Progress::Spills(missing), Some(granted)) if request.needs.is_none() => {
                request.needs = Some(granted + missing);
                sigma * missing / (granted + missing) > 2.0 * self.settings.tick
            }
            (Progress::WaitsForMemory, _) => {
                tried.noted = None; // its pace counts from the first news after that
                true
            }
            (Progress::WaitsForLoad, _) => {
                tried.noted = None; // it stands still: no pace until it goes on
                if let Some(engine) = self.engines.get_mut(&tried.engine) {
                    engine.holds.insert(tables, now + HOLDS_FOR * load);
                }
                elsewhere
            }
            (Progress::Done(_), _) if waits => elsewhere,
            (Progress::Done(share), _) => {
                let (since, had) = *tried.noted.get_or_insert((now, share));
                let rest = (now - since) * (1.0 - share) / (share - had).max(0.01);
                tried.whole = Some(now - tried.sent + rest);
                request.deadline - now > tried.expected && rest > NOTED_TIMES * tried.expected
            }
            _ => false,
        };
        if again && priority_weight && (elsewhere || self.settings.may_hedge) {
            tried.moved = moves;
            out.push(Action::Cancel { id: id.clone(), attempt });
        }
    }

    /// How long a middling load runs (seconds).
    fn load_time(&self) -> f64 {
        let classes = self.settings.classes.iter().enumerate().filter(|(_, c)| c.is_load);
        classes.map(|(at, _)| self.usual_sigma(at) * self.classes[at].slowness()).fold(0.0, f64::max)
    }

    /// Learns what estimates of memory stand for: so much that few spill, or half where a spill is cheap.
    fn learn_memory(&mut self, number: u64, need: Option<f64>) {
        let request = &self.requests[&number];
        let Some(told) = request.query.memory.filter(|_| request.granted.is_some()) else { return };
        let (s, at) = (&self.settings, request.query.class);
        let cheap = s.may_cancel && s.max_attempts > 2 && s.classes[at].idempotency == Idempotency::Always;
        let grant = &mut self.classes[at].grant;
        let short = need.or(request.needs).is_some_and(|need| need > told * grant.value.exp());
        grant.add(short, if cheap && need.is_some() { 0.5 } else { GRANT_QUANTILE });
    }

    /// Takes an outcome into the engine's backlog, loop and health.
    fn judge(&mut self, now: f64, number: u64, ended: &AttemptEnd, delay: f64) {
        let request = &self.requests[&number];
        let sigma = self.sigma(request).max(1e-4);
        let expected = sigma.max(0.5 * self.usual_sigma(request.query.class));
        // The deadline of a finished query is set from its cost where the answer told it: estimates scatter.
        let threads = self.settings.classes[request.query.class].threads.max(1.0);
        let known = ended.work.map_or(sigma, |work| (work / threads / 1000.0).max(0.001));
        // One that was called off for its pace would have taken so long; it was not as fast as it ended.
        let called_off = ended.outcome == Outcome::Cancelled && !request.finished;
        let whole = request.attempts[ended.attempt as usize].whole.filter(|_| called_off);
        let delay = whole.unwrap_or(delay);
        let ddr = delay / (self.slack[request.query.class] * known);
        let class = &mut self.classes[request.query.class];
        let slowness = class.slowness();
        let (survives, outcome) = (!self.settings.may_cancel, ended.outcome);
        let Some(engine) = self.engines.get_mut(&request.attempts[ended.attempt as usize].engine) else {
            return;
        };
        let flight = engine.flights.remove(&(number, ended.attempt));
        engine.load = ended.report.unwrap_or(engine.load);
        ended.report.and_then(|r| r.util).into_iter().for_each(|util| self.util.add(util, BUSY_STEP));
        engine.sent_since = 0.0; // without reports the backlog stands for them
        let ran = matches!(outcome, Outcome::Ok | Outcome::Timeout | Outcome::Cancelled);
        match outcome {
            // It never went out: it spent nothing of the budget for further attempts.
            Outcome::Expired => return self.again.retain(|a| (a.1, a.2) != (number, ended.attempt)),
            Outcome::Cancelled if request.attempts[ended.attempt as usize].moved => return,
            // How long it took was its client's doing.
            Outcome::Ok | Outcome::Timeout | Outcome::Cancelled if request.query.uploading => return,
            Outcome::Timeout | Outcome::Cancelled => {
                // Work that survives still occupies the engine.
                let until = now + GHOST_TIMES * expected;
                engine.ghosts.extend(flight.filter(|_| survives).map(|f| (until, f.cost)));
            }
            _ => engine.last_heard = now,
        }
        // One that refuses connections probably restarts, which the list may tell late (rule 4).
        if outcome == Outcome::Unreachable {
            engine.unreached = now;
        }
        engine.served += u32::from(outcome == Outcome::Ok);
        // Errors are no service: a fast one must not look like speed. Full is past any deadline.
        if ran || outcome == Outcome::Full {
            engine.ddr_sum += if ran { ddr.min(DDR_CAP) } else { DDR_CAP };
            engine.ddr_count += 1;
        }
        let mut slow = if outcome == Outcome::Reset { RESET_SLOWDOWN } else { SLOWDOWN_MOST };
        if ran {
            slow = (delay / expected / slowness).min(SLOWDOWN_MOST);
            class.slowness.add(slow.min(EJECT_TIMES) * slowness, SLOWNESS_STEP);
        }
        // A failure counts as the slowest service; being full says nothing of an engine's health. The longer
        // ago the last outcome, the more this one says: a rarely used engine is judged by one.
        if outcome != Outcome::Full {
            let step = HEALTH_STEP.max(1.0 - (-(now - engine.judged) / HEALTH_FADES).exp());
            engine.slowdown += step * (slow - engine.slowdown);
            engine.judged = now;
        }
    }

    // ---- Housekeeping and the control loop ----

    fn on_tick(&mut self, now: f64, out: &mut Out) {
        out.push(Action::SetTimer { after: TICK, token: TICK_TOKEN });
        let window = self.settings.overload_window;
        for engine in self.engines.values_mut() {
            engine.ghosts.retain(|g| g.0 > now);
            engine.holds.retain(|_, until| *until > now);
            engine.sends.retain(|x| x.0 >= now - window - 1.0);
            let ejected = engine.trouble(now) > EJECT_TIMES;
            if ejected != std::mem::replace(&mut engine.ejected, ejected) {
                let what = if ejected { "ejected" } else { "readmitted" };
                out.push(Action::Log(format!("engine {} {what}", engine.entry.id)));
            }
        }
        if let Some(budget) = self.settings.retry_budget {
            let from = now - budget.window - 1.0;
            self.again.retain(|a| a.0 > from);
            self.taken.retain(|t| *t >= from);
        }
        self.turns.retain(|_, t| !t.line.is_empty() || now < t.rest_until);
        self.done *= 1.0 - TICK / LATELY;
        self.classes.iter_mut().for_each(|c| c.demand *= 1.0 - TICK / LATELY);
        if self.next_loop.is_some_and(|at| now + 1e-6 >= at) {
            self.next_loop = Some(now + PERIOD);
            self.control(now);
        }
    }

    /// Each second, per engine: the velocity-form PI law on mean DDR.
    fn control(&mut self, now: f64) {
        let live = |e: &&Engine| e.live() && !e.ejected;
        let sum = |of: fn(&Engine) -> f64| self.engines.values().filter(live).map(of).sum::<f64>();
        let pool_count = sum(|e| f64::from(e.ddr_count));
        let pool_mean = sum(|e| e.ddr_sum) / pool_count.max(1.0);
        let pool_served = sum(|e| f64::from(e.served));
        let pool_used = self.peak.max(sum(Engine::backlog)) / (self.share * sum(|e| e.bound)).max(1.0);
        // Traffic may be spread unevenly: a gateway that is served more than an equal part of all cores takes
        // that part of each bound. By what is asked for, an overload would open all bounds.
        let cores = sum(|e| e.cores);
        let part = self.done * self.settings.gateways / (1000.0 * cores).max(1.0);
        let many = self.settings.gateways * self.engines.len() as f64 > cores;
        let share = if many { part.max(1.0) } else { 1.0 };
        self.share = share;
        let hold = self.hold;
        let before = std::mem::replace(&mut self.bound_by, hold);
        let turned_away = std::mem::take(&mut self.turned_away);
        self.peak = 0.0;
        for engine in self.engines.values_mut() {
            // What a start has cut the bound by comes back as the engine warms; the law would take minutes.
            let warmth = self.settings.warmth(now - engine.started);
            let rest = starting_bound(&self.settings, engine.cores, hold);
            let grown = rest / starting_bound(&self.settings, engine.cores, before);
            engine.bound *= grown * warmth.max(engine.warmth) / engine.warmth;
            engine.warmth = warmth.max(engine.warmth);
            let backlog = engine.backlog();
            // A gateway's part of what an engine does: less than one query where gateways outnumber cores.
            let part = (engine.cores / self.settings.gateways).min(1.0);
            // A query, or this gateway's part of the work in hand that keeps all cores of the engine busy.
            let unit =
                self.cost.value.min(FLOOR_SHARE * hold * engine.cores / self.settings.gateways).max(1.0);
            // The errors of many gateways even out, so each may move its bound by a share of it.
            let step = unit.max((1.0 - part) * engine.bound);
            let used = pool_used.max(engine.peak.max(backlog) / (share * engine.bound).max(1.0));
            let served = f64::from(engine.served) + pool_served;
            // Many seconds pass without a finish here: what finished anywhere counts as one more sample.
            let count = f64::from(engine.ddr_count) + pool_count.min(1.0);
            let mean = (engine.ddr_sum + pool_mean * pool_count.min(1.0)) / count.max(1.0);
            (engine.ddr_sum, engine.ddr_count, engine.served, engine.peak) = (0.0, 0, 0, backlog);
            if count == 0.0 {
                continue;
            }
            let error = SET_POINT - mean;
            // Anti-windup at the floor: once DDR is back under the set-point the sum of old errors goes.
            if error > 0.0 && engine.delta < 0.0 {
                (engine.delta, engine.last_error) = (0.0, 0.0);
            }
            engine.delta += GAIN_P * ((GAIN_I + 1.0) * error - engine.last_error);
            engine.last_error = error;
            let cap = STEP_CAP * engine.bound / step;
            engine.delta = engine.delta.clamp(-cap * FALL_TIMES, cap);
            // Anti-windup on quiet days: no growth without service, nor past the starting bound without use.
            let idle = used < USED_SHARE && !turned_away && engine.bound >= rest;
            if engine.delta > 0.0 && (served == 0.0 || idle) {
                engine.delta = 0.0;
                continue;
            }
            engine.bound = (engine.bound + engine.delta * step).floor().min(rest * CEILING);
            if engine.bound <= unit {
                (engine.bound, engine.delta) = (unit, 0.0);
            }
        }
    }
}

impl Settings {
    /// Share of its capacity that an engine of this age has at least.
    fn warmth(&self, age: f64) -> f64 {
        let warmed = (age / self.warmup_time.max(1e-9)).clamp(0.0, 1.0);
        (self.initial_capacity_share + (1.0 - self.initial_capacity_share) * warmed).clamp(0.01, 1.0)
    }
}

/// This gateway's quiet-day share of an engine (ms of work): what keeps its threads busy. Few gateways give
/// light queries more; where they outnumber cores, one sees too late that the sum of all was too much.
fn starting_bound(settings: &Settings, cores: f64, hold: f64) -> f64 {
    let part = (cores / settings.gateways).min(1.0);
    let all = THREADS * hold + part * (START_ALL - THREADS * hold).max(0.0);
    START_PER_CORE.min(all / settings.gateways) * cores
}

/// Rule 6: whether a class may go to an engine at all.
fn placed(class: &ClassSettings, entry: &EngineEntry) -> bool {
    class.zones.as_ref().is_none_or(|zones| zones.iter().any(|z| **z == *entry.zone))
        && class.kinds.as_ref().is_none_or(|kinds| kinds.iter().any(|k| **k == *entry.kind))
}

/// Whether the request has had an attempt there.
fn tried_there(request: &Request, engine: &Engine) -> bool {
    request.attempts.iter().any(|a| a.engine == engine.entry.id)
}
