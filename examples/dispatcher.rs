//! A small dispatcher around the library, as an embedder would write it: it carries out every kind of action,
//! keeps the timers, and feeds settings, the engine list, queries, notes, outcomes and timers back in.
//!
//! Its engines are a list of calls that `main` ends by hand; a real one would put a network client there.

use dahliaspoke::choice::Gateway;
use dahliaspoke::interface::*;
use std::collections::{BTreeMap, VecDeque};

/// One attempt that an engine works on.
pub struct Call {
    pub id: RequestId,
    pub attempt: u32,
    pub engine: EngineId,
    pub memory: Option<f64>,
    pub rank: u8,
    /// When it times out, if ever.
    pub until: Option<f64>,
}

/// What a client was told in the end.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Served,
    Refused(Option<f64>),
    Failed,
}

pub struct Dispatcher {
    gateway: Gateway,
    now: f64,
    timers: Vec<(f64, u64)>,
    terms: BTreeMap<RequestId, (Option<f64>, u8)>,
    tries: BTreeMap<RequestId, u32>,
    pub calls: Vec<Call>,
    pub answers: BTreeMap<RequestId, Answer>,
    pub log: Vec<String>,
    pub subscribed: bool,
}

impl Dispatcher {
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            gateway: Gateway::new(settings, seed),
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
            self.gateway.handle(self.now, event, &mut actions);
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
            Action::Refuse { id, come_back } => self.answer(id, Answer::Refused(come_back)),
            Action::Fail { id } => self.answer(id, Answer::Failed),
            Action::Terms { id, memory, rank } => {
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
        Event::Ended(Ended { id, attempt, outcome, finished, work: None, memory: None, report: None })
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
pub fn settings() -> Settings {
    let class = ClassSettings {
        name: "dashboard".into(),
        aim: 0.5,
        aim_stretch: 1.5,
        give_up: 3.0,
        worth: 1.0,
        late_worth: 0.1,
        effect: Effect::Repeatable,
        group: Group::All,
        memory_span: 0.0,
        in_order: false,
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
        number: 0.0,
        zone: "here".into(),
        cross_price: 0.0,
        handshake_price: 0.0,
        must_subscribe: true,
        may_cancel: true,
        may_copy: false,
        come_back: Some(0.5),
        priorities: true,
        grants: true,
        tells_cost: false,
        max_attempts: 4,
        tick: 0.005,
        cold_share: 0.3,
        cold_for: 14.0,
        fall_multiple: 2.0,
        fall_window: 1.0,
        order_settle: 0.0,
        retry_budget: None,
    }
}

pub fn query(id: &str) -> Event {
    let (work, memory) = (Some(100.0), Some(64.0));
    Event::Query(Query { id: id.into(), left: 3.0, work, memory, ..Query::default() })
}

pub fn engine(id: &str) -> EngineEntry {
    EngineEntry { id: id.into(), zone: "here".into(), kind: "std".into(), ..EngineEntry::default() }
}

#[allow(dead_code)] // the test drives the dispatcher by itself
fn main() {
    let mut d = Dispatcher::new(settings(), 42);
    d.feed(Event::Engines(Scope::Complete, vec![engine("e1"), engine("e2")]));
    d.feed(query("served"));
    d.wait(0.1);
    d.end(0, Outcome::Ok);
    d.feed(query("spilled"));
    d.feed(Event::Noted { id: "spilled".into(), attempt: 0, note: Note::Spills(100.0) });
    println!("sent again to {} with {:?} MB", d.calls[0].engine, d.calls[0].memory);
    d.wait(3.0);
    for (id, answer) in &d.answers {
        println!("{id}: {answer:?}");
    }
    d.log.iter().for_each(|line| println!("log: {line}"));
}
