//! Clients, coordinators, the network, the list and what goes wrong, in virtual time.

use crate::audit::Auditor;
use crate::engine::{Engine, Job, Taken};
use crate::policy::{self, position, Policy};
use crate::queue::Queue;
use crate::report::{ClassReport, Report, Tally};
use crate::scenario::{hall, Kind, Repeats, Scenario, Trouble};
use crate::{micros, seconds, Micros};
use dahliaspoke::policy::*;
use rand::Rng;
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp, LogNormal, Normal, Zipf};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// Requests that began near the end get so long to end (s).
const TAIL: f64 = 30.0;
/// How late an all-knowing policy sees the truth (us).
const TRUTH: Micros = 100_000;

/// Attempts of one request past which no end is told any more.
const FLOOD: u32 = 100;

enum Happens {
    /// The next request of a coordinator's clients.
    Comes { coordinator: usize },
    /// A client tries, for the first time or again.
    Tries { request: usize },
    /// An attempt reaches its engine.
    Reaches { tag: u64 },
    /// An attempt's end reaches its coordinator.
    Returns { tag: u64, outcome: Outcome },
    /// The coordinator stops waiting for an attempt.
    TimesOut { tag: u64 },
    /// An engine hears that an attempt is called off.
    CalledOff { tag: u64 },
    /// An engine hears of a new priority.
    Ranks { tag: u64, rank: u8 },
    /// Something may have ended on an engine.
    Steps { engine: usize, change: u64 },
    /// Engines write their reports.
    Reports,
    /// Engines write notes of what runs.
    Notes,
    /// Notes reach a coordinator.
    Noted { tag: u64, progress: Progress },
    /// What an all-knowing policy sees.
    Truth,
    /// A timer of a coordinator's decisions.
    Timer { coordinator: usize, life: u32, token: u64 },
    /// A coordinator hears of an engine.
    Told { coordinator: usize, life: u32, entry: Box<EngineEntry> },
    /// A client's time is up.
    Overdue { attempt: usize },
    /// A coordinator is up again.
    Restarts { coordinator: usize },
    /// Trouble begins, or ends.
    Trouble { number: usize, begins: bool },
    /// A step of a replacement: an engine drains, is gone, or is there anew.
    Replaces { engine: usize, lifecycle: Lifecycle },
}

struct Coordinator {
    hall: usize,
    policy: Box<dyn Policy>,
    life: u32,
    up: bool,
    /// Its part of the traffic (requests a second), and how many times that is asked for now.
    rate: f64,
    burst: f64,
    /// Connections to each engine: open ones, and those in use.
    lines: Vec<(u32, u32)>,
    open: Vec<usize>,
}

/// What a client wants, however often it tries.
struct Request {
    class: usize,
    came: Micros,
    /// When it gives up for good.
    until: Micros,
    work: f64,
    memory: f64,
    estimate: f64,
    group: i64,
    tries: u32,
    over: bool,
    home: usize,
    heeds: bool,
}

/// One try of a client, a request as coordinators know it.
struct Try {
    request: usize,
    coordinator: usize,
    life: u32,
    deadline: Micros,
    over: bool,
    grant: Option<f64>,
    rank: u8,
    tags: Vec<u64>,
}

struct Attempt {
    of: usize,
    number: u32,
    engine: usize,
    out: bool,
}

/// One run.
pub struct World<'a> {
    scenario: &'a Scenario,
    settings: Vec<Settings>,
    kind: policy::Kind,
    /// What comes: the same whoever decides.
    traffic: Pcg64Mcg,
    /// All else.
    rng: Pcg64Mcg,
    queue: Queue<Happens>,
    now: Micros,
    end: Micros,
    coordinators: Vec<Coordinator>,
    engines: Vec<Engine>,
    entries: Vec<EngineEntry>,
    /// What each engine last told of itself.
    reports: Vec<dahliaspoke::policy::LoadReport>,
    reports_stand: bool,
    lost_answers: f64,
    cut: Option<usize>,
    requests: Vec<Request>,
    tries: Vec<Try>,
    attempts: Vec<Attempt>,
    truth: Vec<f64>,
    auditor: Auditor,
    tally: Tally,
    events: u64,
    sum: u64,
    actions: Vec<Action>,
    feed: VecDeque<Event>,
}

/// Plays a scenario with a policy and a seed.
#[must_use]
pub fn play(scenario: &Scenario, kind: policy::Kind, seed: u64) -> Report {
    play_with(scenario, kind, seed, |settings, seed| policy::make(kind, settings, seed))
}

/// The same with policies of the caller's own.
pub fn play_with(
    scenario: &Scenario,
    kind: policy::Kind,
    seed: u64,
    make: impl Fn(&Settings, u64) -> Box<dyn Policy>,
) -> Report {
    let mut world = World::new(scenario, kind, seed, &make);
    world.run(&make);
    world.close()
}

impl<'a> World<'a> {
    fn new(
        scenario: &'a Scenario,
        kind: policy::Kind,
        seed: u64,
        make: &impl Fn(&Settings, u64) -> Box<dyn Policy>,
    ) -> Self {
        let (mut rng, traffic) = (Pcg64Mcg::seed_from_u64(seed), Pcg64Mcg::seed_from_u64(!seed));
        let settings: Vec<Settings> = (0..scenario.coordinators).map(|n| scenario.settings(n)).collect();
        let speed = Normal::new(1.0, scenario.speed_cv.max(0.0)).ok();
        let engines: Vec<Engine> = (0..scenario.engines)
            .map(|_| {
                let factor = speed.map_or(1.0, |normal| normal.sample(&mut rng).clamp(0.5, 2.0));
                let mut spec = scenario.engine.clone();
                spec.speed *= factor;
                Engine::new(spec)
            })
            .collect();
        let entries = (0..scenario.engines).map(|n| EngineEntry {
            id: format!("e{n}").into(),
            zone: hall(n % scenario.halls).into(),
            kind: "std".into(),
            cell: 0,
            lifecycle: Lifecycle::Ready,
            started: None,
        });
        let entries: Vec<EngineEntry> = entries.collect();
        let uneven = lognormal(1.0, scenario.uneven);
        let weights: Vec<f64> = (0..scenario.coordinators).map(|_| uneven.sample(&mut rng)).collect();
        let share: f64 = scenario.class.iter().map(|c| c.share).sum();
        let mean: f64 = scenario.class.iter().map(|c| c.share * c.work_ms).sum::<f64>() / share;
        let capacity: f64 = engines.iter().map(|e| e.capacity(0)).sum();
        let rate = scenario.load * capacity / mean;
        let all: f64 = weights.iter().sum();
        let coordinators = (0..scenario.coordinators).map(|n| Coordinator {
            hall: n % scenario.halls,
            policy: make(&settings[n], seed ^ (n as u64 + 1) << 20),
            life: 0,
            up: true,
            rate: rate * weights[n] / all,
            burst: 1.0,
            lines: vec![(0, 0); scenario.engines],
            open: Vec::new(),
        });
        let classes =
            scenario.class.iter().map(|c| ClassReport { name: c.name.clone(), ..Default::default() });
        let tally = Tally {
            classes: classes.collect(),
            times: vec![Vec::new(); scenario.class.len()],
            ..Tally::default()
        };
        Self {
            auditor: Auditor::new(settings[0].clone(), scenario.grace_s),
            coordinators: coordinators.collect(),
            reports: engines.iter().map(Engine::report).collect(),
            truth: vec![0.0; engines.len()],
            scenario,
            settings,
            kind,
            traffic,
            rng,
            queue: Queue::default(),
            now: 0,
            end: micros(scenario.seconds),
            engines,
            entries,
            reports_stand: false,
            lost_answers: 0.0,
            cut: None,
            requests: Vec::new(),
            tries: Vec::new(),
            attempts: Vec::new(),
            tally,
            events: 0,
            sum: 0,
            actions: Vec::new(),
            feed: VecDeque::new(),
        }
    }

    fn run(&mut self, make: &impl Fn(&Settings, u64) -> Box<dyn Policy>) {
        for coordinator in 0..self.coordinators.len() {
            self.tell(coordinator, Event::EngineList(ListScope::Complete, self.entries.clone()));
            self.next_request(coordinator);
        }
        self.queue.push(micros(self.scenario.report_ms / 1000.0), Happens::Reports);
        self.queue.push(micros(self.scenario.note_ms / 1000.0), Happens::Notes);
        if self.kind == policy::Kind::Oracle {
            self.queue.push(TRUTH, Happens::Truth);
        }
        for (number, trouble) in self.scenario.trouble.iter().enumerate() {
            self.queue.push(micros(trouble.at_s), Happens::Trouble { number, begins: true });
        }
        let last = self.end + micros(TAIL);
        while let Some((at, event)) = self.queue.pop() {
            if at > last {
                break;
            }
            self.now = self.now.max(at);
            self.events += 1;
            self.happens(event, make);
        }
        self.now = last;
    }

    fn close(mut self) -> Report {
        self.auditor.close(self.now);
        for request in self.requests.iter().filter(|r| !r.over) {
            self.tally.classes[request.class].failed += 1;
        }
        self.tally.work.1 += self.engines.iter().map(|e| e.wasted).sum::<f64>();
        let ramp = self.auditor.ramp;
        self.tally.close((self.auditor.count, self.auditor.broken), ramp, self.events, self.sum)
    }

    /// Mixes what happened into the sum of the run.
    fn progress(&mut self, a: u64, b: u64) {
        let value = self.now ^ a.rotate_left(20) ^ b.rotate_left(40);
        self.sum = (self.sum ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
    }

    fn happens(&mut self, event: Happens, make: &impl Fn(&Settings, u64) -> Box<dyn Policy>) {
        match event {
            Happens::Comes { coordinator } => self.comes(coordinator),
            Happens::Tries { request } => self.client_tries(request),
            Happens::Reaches { tag } => self.reaches(tag),
            Happens::Returns { tag, outcome } => self.finish(tag, outcome),
            Happens::TimesOut { tag } => {
                if self.attempts[tag as usize].out {
                    self.call_off(tag);
                    self.finish(tag, Outcome::Timeout);
                }
            }
            Happens::CalledOff { tag } => {
                let engine = self.attempts[tag as usize].engine;
                if self.engines[engine].call_off(self.now, tag) {
                    self.step(engine);
                }
            }
            Happens::Ranks { tag, rank } => {
                let engine = self.attempts[tag as usize].engine;
                self.engines[engine].rank(self.now, tag, rank);
                self.step(engine);
            }
            Happens::Steps { engine, change } => self.steps(engine, change),
            Happens::Reports => {
                if !self.reports_stand {
                    self.reports = self.engines.iter().map(Engine::report).collect();
                }
                self.queue.push(self.now + micros(self.scenario.report_ms / 1000.0), Happens::Reports);
            }
            Happens::Notes => self.notes(),
            Happens::Noted { tag, progress } => {
                let attempt = &self.attempts[tag as usize];
                let (of, number) = (attempt.of, attempt.number);
                if attempt.out && self.is_alive(of) {
                    let (coordinator, id) = (self.tries[of].coordinator, name(of));
                    self.tell(coordinator, Event::Progress { id, attempt: number, progress });
                }
            }
            Happens::Truth => {
                self.truth = self.engines.iter().map(|e| e.outlook(self.now)).collect();
                self.queue.push(self.now + TRUTH, Happens::Truth);
            }
            Happens::Timer { coordinator, life, token } => {
                let own = &self.coordinators[coordinator];
                if own.up && own.life == life {
                    self.tell(coordinator, Event::Timer(token));
                }
            }
            Happens::Told { coordinator, life, entry } => {
                let own = &self.coordinators[coordinator];
                if own.up && own.life == life {
                    self.hears(coordinator, &entry);
                    self.tell(coordinator, Event::EngineList(ListScope::Changes, vec![*entry]));
                }
            }
            Happens::Overdue { attempt } => self.overdue(attempt),
            Happens::Restarts { coordinator } => self.restarts(coordinator, make),
            Happens::Trouble { number, begins } => {
                let trouble = self.scenario.trouble[number].clone();
                self.trouble(number, &trouble, begins);
            }
            Happens::Replaces { engine, lifecycle } => self.replaces(engine, lifecycle),
        }
    }

    // ---- Clients ----

    fn next_request(&mut self, coordinator: usize) {
        let Coordinator { rate, burst, .. } = self.coordinators[coordinator];
        let Ok(pause) = Exp::new(rate * burst) else { return };
        let at = self.now + micros(pause.sample(&mut self.traffic)).max(1);
        if at < self.end {
            self.queue.push(at, Happens::Comes { coordinator });
        }
    }

    fn comes(&mut self, home: usize) {
        self.next_request(home);
        let all: f64 = self.scenario.class.iter().map(|c| c.share).sum();
        let mut draw = self.traffic.random::<f64>() * all;
        let class = self.scenario.class.iter().position(|c| {
            draw -= c.share;
            draw < 0.0
        });
        let class = class.unwrap_or(0);
        let spec = &self.scenario.class[class];
        let work = lognormal(spec.work_ms, spec.cv).sample(&mut self.traffic);
        let memory = lognormal(spec.memory_mb, 0.5).sample(&mut self.traffic);
        let noise = lognormal(1.0, self.scenario.estimate_noise).sample(&mut self.traffic);
        let groups = self.scenario.all_groups() as f64;
        let group =
            Zipf::new(groups, self.scenario.zipf).map_or(1.0, |zipf| zipf.sample(&mut self.traffic)) as i64;
        let heeds = self.traffic.random::<f64>() < self.scenario.honour;
        self.tally.came(self.now, class, spec.priority_weight, work);
        let until = self.now + micros(spec.deadline_s);
        let (came, estimate) = (self.now, work * noise);
        self.requests.push(Request {
            class,
            came,
            until,
            work,
            memory,
            estimate,
            group,
            tries: 0,
            over: false,
            home,
            heeds,
        });
        self.client_tries(self.requests.len() - 1);
    }

    fn client_tries(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.over || self.now >= request.until {
            return self.lose(number, false);
        }
        request.tries += 1;
        let (home, deadline) = (request.home, request.until);
        // The front sends elsewhere what its coordinator does not take.
        let count = self.coordinators.len();
        let up = (0..count).map(|n| (home + n * 7919) % count).find(|n| self.coordinators[*n].up);
        let Some(coordinator) = up.or_else(|| (0..count).find(|n| self.coordinators[*n].up)) else {
            return self.queue.push(self.now + 100_000, Happens::Tries { request: number });
        };
        let id = self.tries.len();
        let life = self.coordinators[coordinator].life;
        let (over, grant, rank, tags) = (false, None, 1, Vec::new());
        self.tries.push(Try { request: number, coordinator, life, deadline, over, grant, rank, tags });
        self.coordinators[coordinator].open.push(id);
        let request = &self.requests[number];
        let query = Query {
            id: name(id),
            class: request.class,
            time_left: seconds(deadline - self.now),
            work: Some(request.estimate),
            memory: Some(request.memory),
            tables: request.group,
            ..Query::default()
        };
        self.auditor.taken(id as u64, request.class, deadline);
        self.queue.push(deadline + micros(0.02), Happens::Overdue { attempt: id });
        self.tell(coordinator, Event::Query(query));
    }

    /// A client's try came to nothing.
    fn again(&mut self, of: usize, refused: bool, wait: Option<f64>) {
        let number = self.tries[of].request;
        let request = &self.requests[number];
        let class = &self.scenario.class[request.class];
        let window = request.came + micros(class.window_s);
        let may = match class.idempotency {
            Repeats::Repeatable => true,
            Repeats::Keyed => refused || self.now < window,
            Repeats::Once => refused,
        };
        let pause = wait.filter(|_| request.heeds).unwrap_or(self.scenario.backoff_ms / 1000.0);
        let at = self.now + micros(pause).max(1000);
        if may && request.tries <= self.scenario.retries && at < request.until {
            self.queue.push(at, Happens::Tries { request: number });
        } else {
            self.lose(number, refused);
        }
    }

    fn lose(&mut self, number: usize, refused: bool) {
        let request = &mut self.requests[number];
        if !std::mem::replace(&mut request.over, true) {
            let figures = &mut self.tally.classes[request.class];
            *if refused { &mut figures.refused } else { &mut figures.failed } += 1;
        }
    }

    fn overdue(&mut self, of: usize) {
        if self.tries[of].over {
            return;
        }
        // Its coordinator owed it an answer, and the auditor knows.
        self.tries[of].over = true;
        let coordinator = self.tries[of].coordinator;
        if self.is_alive(of) {
            self.tell(coordinator, Event::ClientGone { id: name(of) });
        }
        self.lose(self.tries[of].request, false);
    }

    // ---- Coordinators ----

    fn is_alive(&self, of: usize) -> bool {
        let own = &self.coordinators[self.tries[of].coordinator];
        own.up && own.life == self.tries[of].life
    }

    /// Hands a coordinator's decisions an event and carries out what they ask for.
    fn tell(&mut self, coordinator: usize, event: Event) {
        self.feed.push_back(event);
        while let Some(event) = self.feed.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let now = seconds(self.now);
            self.coordinators[coordinator].policy.handle(now, event, &self.truth, &mut actions);
            for action in actions.drain(..) {
                self.act(coordinator, action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, coordinator: usize, action: Action) {
        match action {
            Action::Send { id, engine, timeout, .. } => {
                self.send(coordinator, number(&id), position(&engine), timeout);
            }
            Action::Cancel { id, attempt } => {
                let tag = self.tries[number(&id)].tags.get(attempt as usize).copied();
                if let Some(tag) = tag.filter(|tag| self.attempts[*tag as usize].out) {
                    self.call_off(tag);
                    self.end(tag, Outcome::Cancelled);
                }
            }
            Action::Reject { id, retry_after } => self.answer(number(&id), true, retry_after),
            Action::Fail { id } => self.answer(number(&id), false, None),
            Action::SetTerms { id, memory, rank } => {
                let of = number(&id);
                (self.tries[of].grant, self.tries[of].rank) = (memory, rank);
                let mut out = self.tries[of].tags.clone();
                out.retain(|tag| self.attempts[*tag as usize].out);
                for tag in out {
                    let at = self.now + self.way(coordinator, self.attempts[tag as usize].engine);
                    self.queue.push(at, Happens::Ranks { tag, rank });
                }
            }
            Action::SetTimer { after, token } => {
                let life = self.coordinators[coordinator].life;
                let at = self.now + micros(after).max(1);
                self.queue.push(at, Happens::Timer { coordinator, life, token });
            }
            Action::Subscribe | Action::Log(_) => {}
        }
    }

    fn answer(&mut self, of: usize, refused: bool, wait: Option<f64>) {
        self.progress(of as u64, 1 + u64::from(refused));
        self.auditor.answered(self.now, of as u64, refused);
        if !std::mem::replace(&mut self.tries[of].over, true) {
            self.again(of, refused, wait);
        }
    }

    fn send(&mut self, coordinator: usize, of: usize, engine: usize, timeout: Option<f64>) {
        self.progress(of as u64, engine as u64);
        let number = self.tries[of].tags.len() as u32;
        self.auditor.sent(self.now, coordinator, of as u64, engine);
        let tag = self.attempts.len() as u64;
        self.attempts.push(Attempt { of, number, engine, out: true });
        self.tries[of].tags.push(tag);
        if number >= FLOOD {
            self.attempts[tag as usize].out = false; // it would go on for ever; the auditor has counted it
            return;
        }
        if self.tries[of].over || engine >= self.engines.len() {
            return self.end(tag, Outcome::Expired);
        }
        self.tally.attempts.0 += 1;
        self.tally.attempts.1 +=
            u64::from(self.coordinators[coordinator].hall != engine % self.scenario.halls);
        let line = &mut self.coordinators[coordinator].lines[engine];
        line.1 += 1;
        let mut at = self.now;
        if line.1 > line.0 {
            line.0 = line.1;
            self.tally.connections += 1;
            at += micros(self.scenario.handshake_ms / 1000.0);
        }
        at += self.way(coordinator, engine);
        self.queue.push(at, Happens::Reaches { tag });
        let until = self.tries[of].deadline.min(timeout.map_or(Micros::MAX, |t| self.now + micros(t)));
        self.queue.push(until, Happens::TimesOut { tag });
    }

    /// One way between a coordinator and an engine.
    fn way(&mut self, coordinator: usize, engine: usize) -> Micros {
        let same = self.coordinators[coordinator].hall == engine % self.scenario.halls;
        let mean = if same { self.scenario.same_ms } else { self.scenario.cross_ms };
        micros(mean / 1000.0 * (0.85 + 0.3 * self.rng.random::<f64>())).max(1)
    }

    fn call_off(&mut self, tag: u64) {
        let attempt = &self.attempts[tag as usize];
        let (coordinator, engine) = (self.tries[attempt.of].coordinator, attempt.engine);
        let at = self.now + self.way(coordinator, engine);
        self.queue.push(at, Happens::CalledOff { tag });
    }

    /// An attempt has ended; its coordinator's decisions are told, behind what they are at.
    fn end(&mut self, tag: u64, outcome: Outcome) {
        let event = self.ended(tag, outcome);
        self.feed.extend(event);
    }

    /// The same from outside.
    fn finish(&mut self, tag: u64, outcome: Outcome) {
        let coordinator = self.tries[self.attempts[tag as usize].of].coordinator;
        if let Some(event) = self.ended(tag, outcome) {
            self.tell(coordinator, event);
        }
    }

    fn ended(&mut self, tag: u64, outcome: Outcome) -> Option<Event> {
        let attempt = &mut self.attempts[tag as usize];
        if !std::mem::replace(&mut attempt.out, false) {
            return None;
        }
        let (of, number, engine) = (attempt.of, attempt.number, attempt.engine);
        self.progress(tag, outcome as u64);
        if !self.is_alive(of) {
            return None;
        }
        self.auditor.ended(self.now, of as u64, number, outcome);
        let coordinator = self.tries[of].coordinator;
        if let Some(line) = self.coordinators[coordinator].lines.get_mut(engine) {
            line.1 = line.1.saturating_sub(1);
            if matches!(outcome, Outcome::Reset | Outcome::Unreachable) {
                line.0 = line.1;
            }
        }
        if outcome == Outcome::Ok && !self.tries[of].over {
            self.tries[of].over = true;
            self.auditor.answered(self.now, of as u64, false);
            self.served(self.tries[of].request);
        }
        let heard = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        let report = self.reports.get(engine).copied().filter(|_| heard);
        let finished = self.tries[of].over;
        let (work, memory) = (None, None);
        Some(Event::AttemptEnded(AttemptEnd {
            id: name(of),
            attempt: number,
            outcome,
            finished,
            work,
            memory,
            report,
        }))
    }

    fn served(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if std::mem::replace(&mut request.over, true) {
            return;
        }
        let class = &self.scenario.class[request.class];
        let latency_objective =
            request.came + micros(class.aim_s + class.stretch * request.work / class.threads / 1000.0);
        let in_time = self.now <= latency_objective;
        let priority_weight = class.priority_weight * if in_time { 1.0 } else { class.late_weight };
        self.tally.served(request.came, self.now, request.class, priority_weight, in_time);
    }

    fn dies(&mut self, coordinator: usize) {
        let own = &mut self.coordinators[coordinator];
        own.up = false;
        own.life += 1;
        own.lines.iter_mut().for_each(|line| *line = (0, 0));
        self.auditor.forgot(coordinator);
        for of in std::mem::take(&mut self.coordinators[coordinator].open) {
            if self.tries[of].over {
                continue;
            }
            self.tries[of].over = true;
            self.auditor.released(of as u64);
            // Its connections are gone, and with them what it had out.
            for tag in self.tries[of].tags.clone() {
                if std::mem::replace(&mut self.attempts[tag as usize].out, false) {
                    self.call_off(tag);
                }
            }
            let request = self.tries[of].request;
            let at = self.now + micros(self.scenario.notice_s * self.rng.random::<f64>());
            self.queue.push(at, Happens::Tries { request });
        }
        let at = self.now + micros(self.scenario.restart_s * (0.5 + self.rng.random::<f64>()));
        self.queue.push(at, Happens::Restarts { coordinator });
    }

    fn restarts(&mut self, coordinator: usize, make: &impl Fn(&Settings, u64) -> Box<dyn Policy>) {
        let seed = self.rng.random();
        let own = &mut self.coordinators[coordinator];
        own.up = true;
        own.policy = make(&self.settings[coordinator], seed);
        for entry in self.entries.clone() {
            self.hears(coordinator, &entry);
        }
        self.tell(coordinator, Event::EngineList(ListScope::Restored, self.entries.clone()));
    }

    fn hears(&mut self, coordinator: usize, entry: &EngineEntry) {
        let started = entry.started.map(micros);
        self.auditor.told(self.now, coordinator, position(&entry.id), entry.lifecycle, started);
    }

    // ---- Engines ----

    fn is_cut(&self, coordinator: usize, engine: usize) -> bool {
        let halls = self.scenario.halls;
        self.cut.is_some_and(|cut| (engine % halls == cut) != (self.coordinators[coordinator].hall == cut))
    }

    fn reaches(&mut self, tag: u64) {
        let attempt = &self.attempts[tag as usize];
        let (of, engine) = (attempt.of, attempt.engine);
        if !attempt.out {
            return;
        }
        let coordinator = self.tries[of].coordinator;
        let back = self.now + self.way(coordinator, engine);
        if self.is_cut(coordinator, engine) {
            let at = self.now + micros(self.scenario.connect_ms / 1000.0);
            return self.queue.push(at, Happens::Returns { tag, outcome: Outcome::Unreachable });
        }
        if !self.engines[engine].up {
            return self.queue.push(back, Happens::Returns { tag, outcome: Outcome::Unreachable });
        }
        if self.rng.random::<f64>() < self.engines[engine].errors {
            return self.queue.push(back, Happens::Returns { tag, outcome: Outcome::Error });
        }
        let request = &self.requests[self.tries[of].request];
        let class = &self.scenario.class[request.class];
        let job = Job {
            tag,
            work: request.work,
            io: class.io,
            threads: class.threads,
            memory: request.memory,
            grant: self.tries[of].grant,
            rank: self.tries[of].rank,
            group: request.group,
            is_load: class.load,
            yields: class.waits,
        };
        let cold = self.engines[engine].started().filter(|_| self.engines[engine].warmth(self.now) < 1.0);
        self.auditor.reached(self.now, coordinator, engine, job.work, cold);
        match self.engines[engine].take(self.now, job) {
            Taken::In => self.step(engine),
            Taken::Full => self.queue.push(back, Happens::Returns { tag, outcome: Outcome::Full }),
            Taken::Fell => {
                self.auditor.fell(self.now, engine, self.engines[engine].spec.fall_s);
                self.queue.push(back, Happens::Returns { tag, outcome: Outcome::Reset });
                self.down(engine);
            }
        }
    }

    /// An engine ends: what was on it breaks.
    fn down(&mut self, engine: usize) {
        for tag in self.engines[engine].stop(self.now) {
            let coordinator = self.tries[self.attempts[tag as usize].of].coordinator;
            let at = self.now + self.way(coordinator, engine);
            self.queue.push(at, Happens::Returns { tag, outcome: Outcome::Reset });
        }
    }

    fn step(&mut self, engine: usize) {
        if let Some(at) = self.engines[engine].next() {
            let change = self.engines[engine].change;
            self.queue.push(at, Happens::Steps { engine, change });
        }
    }

    fn steps(&mut self, engine: usize, change: u64) {
        if self.engines[engine].change != change || !self.engines[engine].up {
            return;
        }
        for tag in self.engines[engine].ended(self.now) {
            let of = self.attempts[tag as usize].of;
            let coordinator = self.tries[of].coordinator;
            let lost = self.rng.random::<f64>() < self.lost_answers || self.is_cut(coordinator, engine);
            if self.tries[of].over {
                self.tally.work.1 += self.requests[self.tries[of].request].work;
            }
            if !lost {
                let at = self.now + self.way(coordinator, engine);
                self.queue.push(at, Happens::Returns { tag, outcome: Outcome::Ok });
            }
        }
        self.step(engine);
    }

    fn notes(&mut self) {
        self.queue.push(self.now + micros(self.scenario.note_ms / 1000.0), Happens::Notes);
        for engine in 0..self.engines.len() {
            if !self.engines[engine].up || self.engines[engine].hangs {
                continue;
            }
            for (tag, progress) in self.engines[engine].notes(self.now) {
                let coordinator = self.tries[self.attempts[tag as usize].of].coordinator;
                if !self.is_cut(coordinator, engine) {
                    let at = self.now + self.way(coordinator, engine);
                    self.queue.push(at, Happens::Noted { tag, progress });
                }
            }
        }
    }

    // ---- The list, and what goes wrong ----

    /// Coordinators hear of an engine, each in its own time, `late` (s) after now at the earliest.
    fn spread(&mut self, engine: usize, late: f64) {
        let entry = self.entries[engine].clone();
        for coordinator in 0..self.coordinators.len() {
            let wait = late + self.scenario.list_ms / 1000.0 * (0.5 + self.rng.random::<f64>());
            let (life, entry) = (self.coordinators[coordinator].life, Box::new(entry.clone()));
            self.queue.push(self.now + micros(wait), Happens::Told { coordinator, life, entry });
        }
    }

    fn up_again(&mut self, engine: usize) {
        self.down(engine); // whatever was left
        self.engines[engine].restart(self.now);
        self.engines[engine].neighbour = 0.0;
        let started = Some(seconds(self.now));
        self.entries[engine] =
            EngineEntry { lifecycle: Lifecycle::Ready, started, ..self.entries[engine].clone() };
        self.spread(engine, 0.0);
    }

    /// Every so many engines, so that the part is met.
    fn chosen(&self, part: f64, number: usize) -> Vec<usize> {
        let count = ((part * self.engines.len() as f64).round() as usize).max(1).min(self.engines.len());
        let step = self.engines.len() / count;
        (0..count).map(|n| (n * step + number) % self.engines.len()).collect()
    }

    fn trouble(&mut self, number: usize, trouble: &Trouble, begins: bool) {
        if begins && trouble.kind != Kind::Herd && trouble.kind != Kind::Replace {
            let at = self.now + micros(trouble.for_s);
            self.queue.push(at, Happens::Trouble { number, begins: false });
        }
        let size = if begins { trouble.size } else { 0.0 };
        match trouble.kind {
            Kind::LateReports => self.reports_stand = begins,
            Kind::LostAnswers => self.lost_answers = size,
            Kind::Herd => {
                let count = (trouble.part * self.coordinators.len() as f64).round() as usize;
                (0..count).for_each(|n| self.dies(n));
            }
            // What was drawn before comes as it was drawn: late by one request at the most.
            Kind::Burst => {
                let count = (trouble.part * self.coordinators.len() as f64).round() as usize;
                self.coordinators.iter_mut().take(count).for_each(|own| own.burst = 1.0 + size);
            }
            Kind::LostHall => {
                let lost = number % self.scenario.halls;
                self.cut = begins.then_some(lost);
                if !begins {
                    let own = (0..self.engines.len()).filter(|e| e % self.scenario.halls == lost);
                    own.collect::<Vec<_>>().into_iter().for_each(|engine| self.up_again(engine));
                }
            }
            Kind::Replace => {
                for (at, engine) in self.chosen(trouble.part, number).into_iter().enumerate() {
                    let count = (trouble.part * self.engines.len() as f64).max(1.0);
                    let at = self.now + micros(trouble.for_s * at as f64 / count);
                    self.queue.push(at, Happens::Replaces { engine, lifecycle: Lifecycle::Draining });
                }
            }
            Kind::Crash | Kind::Hang | Kind::Errors | Kind::Neighbour => {
                for engine in self.chosen(trouble.part, number) {
                    match trouble.kind {
                        Kind::Crash if begins => self.down(engine),
                        Kind::Crash => self.up_again(engine),
                        Kind::Hang => self.engines[engine].hangs = begins,
                        Kind::Errors => self.engines[engine].errors = size,
                        _ => self.engines[engine].neighbour = size,
                    }
                    if self.engines[engine].up {
                        self.engines[engine].changed(self.now);
                        self.step(engine);
                    }
                }
            }
        }
    }

    fn replaces(&mut self, engine: usize, lifecycle: Lifecycle) {
        if lifecycle == Lifecycle::Ready {
            return self.up_again(engine);
        }
        self.entries[engine].lifecycle = lifecycle;
        self.spread(engine, 0.0);
        let next = if lifecycle == Lifecycle::Gone { Lifecycle::Ready } else { Lifecycle::Gone };
        if lifecycle == Lifecycle::Gone {
            self.down(engine);
        }
        self.queue.push(self.now + micros(4.0), Happens::Replaces { engine, lifecycle: next });
    }
}

/// A try's id, as decisions know it.
fn name(of: usize) -> RequestId {
    of.to_string().into()
}

fn number(id: &str) -> usize {
    id.parse().unwrap_or_default()
}

/// A log-normal distribution by its mean and coefficient of variation.
fn lognormal(mean: f64, cv: f64) -> LogNormal<f64> {
    LogNormal::from_mean_cv(mean.max(1e-9), cv.max(0.0)).unwrap_or_else(|_| {
        // Only where the mean or the variation is none, which the scenario's check leaves out.
        LogNormal::new(0.0, 0.0).unwrap_or_else(|_| unreachable!("a standard deviation of 0 is one"))
    })
}
