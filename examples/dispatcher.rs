//! A small dispatcher around the library, as an embedder would write it: it carries out every kind of action,
//! keeps the timers, and feeds settings, the engine list, queries, notes, outcomes and timers back in.
//!
//! Its engines are a list of calls that `main` ends by hand; a real one would put a network client there.

use dahliaspoke::policy::*;
use std::collections::{BTreeMap, VecDeque};

/// One attempt that an engine works on.
pub struct Call {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// The engine that runs it.
    pub engine: EngineId,
    /// Memory granted (MB); `None` leaves it to the engine.
    pub memory: Option<f64>,
    /// Priority, 0 to 3.
    pub rank: u8,
    /// When it times out, if ever.
    pub until: Option<f64>,
}

/// The final answer of a request.
#[derive(Debug, PartialEq)]
pub enum Answer {
    /// An engine served it.
    Served,
    /// It was rejected; a retry is harmless, after so many seconds.
    Rejected(Option<f64>),
    /// It failed and may have run.
    Failed,
}

/// Drives one [`Policy`] and carries out what it asks for.
pub struct Dispatcher {
    policy: Policy,
    now: f64,
    timers: Vec<(f64, u64)>,
    terms: BTreeMap<RequestId, (Option<f64>, u8)>,
    tries: BTreeMap<RequestId, u32>,
    /// Attempts that are out.
    pub calls: Vec<Call>,
    /// Final answers so far.
    pub answers: BTreeMap<RequestId, Answer>,
    /// Log lines of the policy.
    pub log: Vec<String>,
    /// Whether the policy has subscribed to the endpoint list.
    pub subscribed: bool,
}

impl Dispatcher {
    /// A dispatcher without engines or requests.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            policy: Policy::new(settings, seed),
            now: 0.0,
            timers: vec![],
            terms: BTreeMap::new(),
            tries: BTreeMap::new(),
            calls: vec![],
            answers: BTreeMap::new(),
            log: vec![],
            subscribed: false,
        }
    }

    /// Feeds one event and carries out all that it leads to.
    pub fn feed(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.act(action));
            }
        }
    }

    /// Carries out one action; some lead to an event at once.
    fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            // The first send of a request is attempt 0, the next is 1: both sides count.
            Action::Send { id, engine, timeout, .. } => {
                let tries = self.tries.entry(id.clone()).or_default();
                let attempt = *tries;
                *tries += 1;
                let (memory, rank) = self.terms.get(&id).copied().unwrap_or((None, 1));
                let until = timeout.map(|t| self.now + t);
                self.calls.push(Call { id, attempt, engine, memory, rank, until });
            }
            // Every attempt has exactly one outcome; a cancelled one is told as such.
            Action::Cancel { id, attempt } => {
                let at = self.calls.iter().position(|c| c.id == id && c.attempt == attempt)?;
                self.calls.remove(at);
                return Some(self.ended(id, attempt, Outcome::Cancelled));
            }
            Action::Reject { id, retry_after } => self.answer(id, Answer::Rejected(retry_after)),
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::SetTerms { id, memory, rank } => {
                // The new priority holds for what is out as well, the memory for the next send.
                self.calls.iter_mut().filter(|c| c.id == id).for_each(|c| c.rank = rank);
                self.terms.insert(id, (memory, rank));
            }
            Action::SetTimer { after, token } => self.timers.push((self.now + after, token)),
            Action::Subscribe => self.subscribed = true,
            Action::Log(line) => self.log.push(line),
        }
        None
    }

    fn answer(&mut self, id: RequestId, answer: Answer) {
        self.terms.remove(&id);
        self.tries.remove(&id);
        self.answers.insert(id, answer);
    }

    fn ended(&self, id: RequestId, attempt: u32, outcome: Outcome) -> Event {
        let finished = outcome == Outcome::Ok || self.answers.contains_key(&id);
        Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            finished,
            work: None,
            memory: None,
            report: None,
        })
    }

    /// An engine is done with the call at `at`. The first answer goes to the client.
    pub fn end(&mut self, at: usize, outcome: Outcome) {
        let call = self.calls.remove(at);
        if outcome == Outcome::Ok {
            self.answer(call.id.clone(), Answer::Served);
        }
        let event = self.ended(call.id, call.attempt, outcome);
        self.feed(event);
    }

    /// Lets time pass: timers come due and attempts time out.
    ///
    /// # Panics
    /// Never: what is due was looked for just before.
    pub fn wait(&mut self, seconds: f64) {
        let until = self.now + seconds;
        loop {
            let timer = self.timers.iter().map(|t| t.0).fold(f64::INFINITY, f64::min);
            let call = self.calls.iter().filter_map(|c| c.until).fold(f64::INFINITY, f64::min);
            if timer.min(call) > until {
                break;
            }
            self.now = timer.min(call).max(self.now);
            if timer <= call {
                let at = self.timers.iter().position(|t| t.0 == timer).expect("the nearest one");
                let (_, token) = self.timers.remove(at);
                self.feed(Event::Timer(token));
            } else {
                let at = self.calls.iter().position(|c| c.until == Some(call)).expect("the nearest one");
                self.end(at, Outcome::Timeout);
            }
        }
        self.now = until;
    }
}

/// Settings of a small deployment: one class, one kind of engine, a list that must be asked for.
#[must_use]
pub fn settings() -> Settings {
    let class = ClassSettings {
        name: "dashboard".into(),
        latency_objective: 0.5,
        objective_stretch: 1.5,
        client_timeout: 3.0,
        priority_weight: 1.0,
        late_weight: 0.1,
        idempotency: Idempotency::Always,
        dedup_scope: DedupScope::All,
        dedup_window: 0.0,
        ordered: false,
        stream: false,
        zones: None,
        kinds: None,
        threads: 1.0,
        is_load: false,
        yields_to_loads: false,
    };
    Settings {
        classes: vec![class],
        kinds: vec![KindSettings { name: "std".into(), cores: 8.0, memory: 16384.0 }],
        tenants: vec![],
        gateways: 1.0,
        index: 0.0,
        zone: "here".into(),
        cross_zone_cost: 0.0,
        handshake_cost: 0.0,
        must_subscribe: true,
        may_cancel: true,
        may_hedge: false,
        retry_after: Some(0.5),
        priorities: true,
        grants: true,
        reports_cost: false,
        max_attempts: 4,
        tick: 0.005,
        initial_capacity_share: 0.3,
        warmup_time: 14.0,
        overload_multiple: 2.0,
        overload_window: 1.0,
        order_settle: 0.0,
        retry_budget: None,
    }
}

/// A query of the only class.
#[must_use]
pub fn query(id: &str) -> Event {
    let (work, memory) = (Some(100.0), Some(64.0));
    Event::Query(Query { id: id.into(), time_left: 3.0, work, memory, ..Query::default() })
}

/// An engine that is ready.
#[must_use]
pub fn engine(id: &str) -> EngineEntry {
    EngineEntry { id: id.into(), zone: "here".into(), kind: "std".into(), ..EngineEntry::default() }
}

#[allow(dead_code)] // the test drives the dispatcher by itself
fn main() {
    let mut d = Dispatcher::new(settings(), 42);
    d.feed(Event::EngineList(ListScope::Complete, vec![engine("e1"), engine("e2")]));
    d.feed(query("served"));
    d.wait(0.1);
    d.end(0, Outcome::Ok);
    d.feed(query("spilled"));
    d.feed(Event::Progress { id: "spilled".into(), attempt: 0, progress: Progress::Spills(100.0) });
    println!("sent again to {} with {:?} MB", d.calls[0].engine, d.calls[0].memory);
    d.wait(3.0);
    for (id, answer) in &d.answers {
        println!("{id}: {answer:?}");
    }
    d.log.iter().for_each(|line| println!("log: {line}"));
}
