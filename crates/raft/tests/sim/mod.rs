//! Members of the pure core in virtual time: links that lose, double, reorder and hold messages, disks that forget what
//! was not synced, members that stop, crash, jump in time, join and leave; clients with a history. All of it from a seed.
#![allow(dead_code)]

use dahliaspoke_raft::entry::{Entry, EntryKind, Members};
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::raft::{
    Action, Event, MembershipChange, Options, PersistentState, PlantedFault, ProposeError, Raft, WriteBatch,
};
use dahliaspoke_raft::state_machine::{Command, Op, Outcome, StateMachine};
use dahliaspoke_raft::{Id, Index, Micros, Term};
use dahliaspoke_test_harness::history::{is_linearizable, Answer, Call, Op as Done};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

const MS: Micros = 1000;

/// What a run came to.
#[derive(Debug, Default)]
pub struct Report {
    /// What was found to be wrong, the first thing.
    pub wrong: Option<String>,
    pub answered: usize,
    pub unanswered: usize,
    pub terms: usize,
    pub crashes: usize,
    pub snapshots: usize,
    pub changes: usize,
}

#[derive(Clone, Copy)]
pub struct Plan {
    pub seed: u64,
    /// Members in the end, the founder included.
    pub members: usize,
    pub span: Micros,
    pub planted_fault: Option<PlantedFault>,
    /// Members come and go.
    pub churn: bool,
    /// Crashes a second of virtual time.
    pub crashes: f64,
}

impl Plan {
    pub fn new(seed: u64) -> Self {
        let members = [3, 5, 7][(seed % 3) as usize];
        Self { seed, members, span: 8_000 * MS, planted_fault: None, churn: seed % 4 == 0, crashes: 1.0 }
    }
}

struct Node {
    raft: Option<Raft>,
    saved: PersistentState,
    /// What is on its way to the disk: when it is there.
    writes: VecDeque<(Micros, WriteBatch)>,
    state_machine: StateMachine,
    /// Sleeps until then; what comes waits.
    sleeps: Micros,
    /// Its clock is ahead by so much.
    ahead: Micros,
    starts: Micros,
    disk_ms: u64,
}

#[derive(Clone, Copy, Default)]
struct Link {
    lost: f64,
    doubled: f64,
    delay_ms: u64,
    /// Nothing passes until then; it is late, not lost.
    held: Micros,
}

enum Doing {
    Deliver(Message),
    Disk(usize),
    Wake(usize),
    Start(usize),
    Client(usize),
    Trouble,
    Members,
    Mend,
}

struct Client {
    session: u64,
    serial: u64,
    /// The call that is open: when it was made, on which key, which; how often it was said.
    open: Option<(Micros, usize, Call, u32)>,
    proposal_id: u64,
    until: Micros,
    guess: usize,
}

struct Sim {
    plan: Plan,
    now: Micros,
    turn: u64,
    queue: BTreeMap<(Micros, u64), Doing>,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    links: BTreeMap<(usize, usize), Link>,
    clients: Vec<Client>,
    proposal_ids: BTreeMap<u64, usize>,
    proposal_id: u64,
    history: BTreeMap<usize, Vec<Done>>,
    told: BTreeMap<usize, Index>,
    leaders: BTreeMap<Term, Id>,
    applied: BTreeMap<Index, Entry>,
    report: Report,
    values: u64,
}

const MAX_KEYS: usize = 2;

/// Numbers of members by position.
fn id(at: usize) -> Id {
    at as Id + 1
}

pub fn run(plan: Plan) -> Report {
    let mut sim = Sim::new(plan);
    sim.go();
    // Calls that are open at the end may have been done.
    for client in &mut sim.clients {
        if let Some((called, key, call, _)) = client.open.take() {
            sim.history.entry(key).or_default().push(Done { called, answered: None, call });
        }
    }
    let mut report = std::mem::take(&mut sim.report);
    if report.wrong.is_none() {
        for (key, ops) in &sim.history {
            if !is_linearizable(ops) {
                report.wrong = Some(format!("no order explains the calls on key {key}"));
            }
        }
    }
    report.terms = sim.leaders.len();
    report
}

impl Sim {
    fn new(plan: Plan) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let nodes = (0..plan.members).map(|at| {
            let mut saved = PersistentState::default();
            saved.hard_state.id = id(at);
            let state_machine = StateMachine::default();
            let writes = VecDeque::new();
            Node { raft: None, saved, writes, state_machine, sleeps: 0, ahead: 0, starts: 0, disk_ms: 3 }
        });
        let client =
            |n| Client { session: n as u64 + 1, serial: 0, open: None, proposal_id: 0, until: 0, guess: 0 };
        let mut sim = Self {
            plan,
            now: 0,
            turn: 0,
            queue: BTreeMap::new(),
            rng,
            nodes: nodes.collect(),
            links: BTreeMap::new(),
            clients: (0..4).map(client).collect(),
            proposal_ids: BTreeMap::new(),
            proposal_id: 0,
            history: BTreeMap::new(),
            told: BTreeMap::new(),
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            report: Report::default(),
            values: 0,
        };
        for at in 0..plan.members {
            sim.start(at);
        }
        let found = Event::Bootstrap { cluster: 99, name: "m0".into(), address: String::new() };
        sim.tell(0, found);
        for n in 0..4 {
            sim.at(100 * MS, Doing::Client(n));
        }
        sim.at(50 * MS, Doing::Members);
        sim.at(600 * MS, Doing::Trouble);
        sim
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n.max(1)
    }

    fn chance(&mut self, share: f64) -> bool {
        ((self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64) < share
    }

    fn at(&mut self, after: Micros, doing: Doing) {
        self.turn += 1;
        self.queue.insert((self.now + after, self.turn), doing);
    }

    fn wrong(&mut self, what: String) {
        self.report.wrong.get_or_insert(what);
    }

    fn go(&mut self) {
        while let Some(((at, _), doing)) = self.queue.pop_first() {
            if at > self.plan.span || self.report.wrong.is_some() {
                break;
            }
            self.now = at;
            match doing {
                Doing::Deliver(message) => {
                    let to = message.to as usize - 1;
                    let sleeps = self.nodes[to].sleeps;
                    if sleeps > self.now {
                        self.at(sleeps - self.now, Doing::Deliver(message));
                    } else {
                        self.tell(to, Event::Message(message));
                    }
                }
                Doing::Disk(at) => self.disk(at),
                Doing::Wake(at) => {
                    let due = self.nodes[at].raft.as_ref().map(Raft::next_deadline);
                    if due.is_some_and(|due| due <= self.clock(at)) && self.nodes[at].sleeps <= self.now {
                        self.tell(at, Event::Tick);
                    }
                    let sleeps = self.nodes[at].sleeps.saturating_sub(self.now);
                    if self.nodes[at].raft.is_some() {
                        self.at(sleeps.max(10 * MS), Doing::Wake(at));
                    }
                }
                Doing::Start(at) => self.start(at),
                Doing::Client(n) => self.client(n),
                Doing::Trouble => self.trouble(),
                Doing::Members => self.members(),
                Doing::Mend => self.links.clear(),
            }
        }
    }

    fn clock(&self, at: usize) -> Micros {
        self.now + self.nodes[at].ahead
    }

    fn start(&mut self, at: usize) {
        if self.nodes[at].raft.is_some() {
            return;
        }
        let mut options = Options::new(self.plan.seed);
        (
            options.retained_entries,
            options.snapshot_chunk_bytes,
            options.max_inflight_entries,
            options.max_append_bytes,
        ) = (4, 100, 8, 300);
        options.planted_fault = self.plan.planted_fault;
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        node.raft = Some(Raft::new(options, node.saved.clone(), clock));
        node.state_machine = StateMachine::restore(&node.saved.snapshot.data).expect("it was written here");
        node.starts = self.now;
        self.at(MS, Doing::Wake(at));
    }

    /// A member ends; of what was on its way to the disk some may be there.
    fn crash(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.raft.take().is_none() {
            return;
        }
        let survive = self.below(3).min(self.nodes[at].writes.len() as u64);
        let node = &mut self.nodes[at];
        for (_, store) in node.writes.drain(..).take(survive as usize).collect::<Vec<_>>() {
            node.saved.apply(&store);
        }
        node.sleeps = 0;
        self.report.crashes += 1;
        // Calls that it had are never answered: the client's time runs out.
        let after = self.below(900) * MS;
        self.at(after, Doing::Start(at));
    }

    fn disk(&mut self, at: usize) {
        let due = self.nodes[at].writes.front().is_some_and(|(when, _)| *when <= self.now);
        if !due || self.nodes[at].raft.is_none() {
            return;
        }
        if let Some((_, store)) = self.nodes[at].writes.pop_front() {
            self.nodes[at].saved.apply(&store);
            self.tell(at, Event::Persisted(store.number));
        }
    }

    fn tell(&mut self, at: usize, event: Event) {
        let clock = self.clock(at);
        let Some(raft) = &mut self.nodes[at].raft else { return };
        let mut orders = Vec::new();
        raft.handle(clock, event, &mut orders);
        if raft.leads() {
            let (term, own) = (raft.term(), raft.id());
            let other = *self.leaders.entry(term).or_insert(own);
            if other != own {
                self.wrong(format!("{own} and {other} both lead in term {term}"));
            }
        }
        for order in orders {
            self.carry_out(at, order);
        }
    }

    fn carry_out(&mut self, at: usize, order: Action) {
        match order {
            Action::Persist(store) => {
                let wait = (1 + self.below(self.nodes[at].disk_ms * 2)) * MS / 2;
                let last = self.nodes[at].writes.back().map_or(0, |(when, _)| *when);
                let when = (self.now + wait).max(last);
                self.nodes[at].writes.push_back((when, store));
                let after = when - self.now;
                self.at(after, Doing::Disk(at));
            }
            Action::Send(message) => self.send(at, message),
            Action::Apply { entry, proposal_id } => self.apply(at, entry, proposal_id),
            Action::Restore(snapshot) => {
                self.report.snapshots += 1;
                self.nodes[at].state_machine =
                    StateMachine::restore(&snapshot.data).expect("it was written here");
            }
            Action::Read { proposal_id, .. } => {
                let Some(n) = self.proposal_ids.remove(&proposal_id) else { return };
                let key = self.clients[n].open.as_ref().map_or(0, |open| open.1);
                let held = self.nodes[at].state_machine.get(&format!("k{key}"));
                let held = held.map(|value| (value.version, value.text.to_string()));
                self.answer(n, proposal_id, Some(Answer::Held(held)));
            }
            Action::Rejected { proposal_id, why } => {
                let Some(n) = self.proposal_ids.remove(&proposal_id) else { return };
                if let ProposeError::NotLeader(Some(leader)) = why {
                    self.clients[n].guess = leader as usize - 1;
                }
                self.answer(n, proposal_id, None);
            }
        }
    }

    fn apply(&mut self, at: usize, entry: Entry, proposal_id: Option<u64>) {
        match self.applied.get(&entry.index) {
            Some(other) if *other != entry => {
                let index = entry.index;
                return self.wrong(format!("two entries count at {index}: {entry:?} and {other:?}"));
            }
            Some(_) => {}
            None => {
                self.applied.insert(entry.index, entry.clone());
            }
        }
        let mut outcome = None;
        if let EntryKind::Data(data) = &entry.kind {
            outcome = Some(self.nodes[at].state_machine.apply(entry.index, data));
        }
        if let Some(n) = proposal_id.and_then(|proposal_id| self.proposal_ids.remove(&proposal_id)) {
            let answer = match outcome {
                Some(Outcome::Done(version)) => Some(Answer::Done(version)),
                Some(Outcome::VersionMismatch { .. }) => Some(Answer::Other),
                _ => None,
            };
            self.answer(n, proposal_id.unwrap_or_default(), answer);
        }
        // Members are kept on disk by a snapshot now and then.
        if entry.index % 16 == 0 {
            let data = self.nodes[at].state_machine.save();
            self.tell(at, Event::Snapshot { index: entry.index, data });
            let held = self.nodes[at].raft.as_ref().map(|raft| raft.snapshot().clone());
            let Some(held) = held.filter(|held| held.index == entry.index) else { return };
            let said = |entry: &Entry| match &entry.kind {
                EntryKind::Members(members) => Some(members.clone()),
                _ => None,
            };
            let members: Option<Members> = self.applied.range(..=held.index).rev().find_map(|(_, e)| said(e));
            if members.is_some_and(|members| members != held.members) {
                self.wrong(format!("the snapshot at {} has other members than the log", held.index));
            }
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        let to = message.to as usize - 1;
        let link = self.links.get(&(from, to)).copied().unwrap_or_default();
        let times = 1 + usize::from(self.chance(link.doubled));
        for _ in 0..times {
            if self.chance(link.lost) {
                continue;
            }
            let wait = (200 + self.below(1500)) + self.below(link.delay_ms + 1) * MS;
            let wait = wait.max(link.held.saturating_sub(self.now));
            // It goes as it would on a wire: written and read.
            let bytes = dahliaspoke_raft::codec::encode(&message);
            let read = dahliaspoke_raft::codec::decode(&bytes).expect("it was written here");
            self.at(wait, Doing::Deliver(read));
        }
    }

    fn client(&mut self, n: usize) {
        self.at(2 * MS + self.now % 7 * MS, Doing::Client(n));
        let due = self.clients[n].until <= self.now;
        let waits = self.proposal_ids.values().any(|client| *client == n);
        if self.clients[n].open.is_some() && waits && !due {
            return;
        }
        if waits {
            // Its time is up.
            let proposal_id = self.clients[n].proposal_id;
            self.proposal_ids.remove(&proposal_id);
            self.answer(n, proposal_id, None);
        }
        if self.clients[n].open.is_none() {
            let key = self.below(MAX_KEYS as u64) as usize;
            self.values += 1;
            let value = format!("v{}", self.values);
            let call = match self.below(3) {
                0 => Call::Read,
                1 => Call::Write(value),
                _ => {
                    // What some client was told last: it may be old.
                    Call::Swap(self.told.get(&key).copied().unwrap_or_default(), value)
                }
            };
            self.clients[n].serial += 1;
            self.clients[n].open = Some((self.now, key, call, 0));
        }
        let Some((_, key, call, _)) = self.clients[n].open.clone() else { return };
        if self.chance(0.1) {
            self.clients[n].guess = self.below(self.plan.members as u64) as usize;
        }
        self.proposal_id += 1;
        let proposal_id = self.proposal_id;
        self.proposal_ids.insert(proposal_id, n);
        (self.clients[n].proposal_id, self.clients[n].until) = (proposal_id, self.now + 400 * MS);
        let (value, expect) = match call {
            Call::Read => {
                let guess = self.clients[n].guess;
                return self.tell(guess, Event::Read { proposal_id });
            }
            Call::Write(value) => (value, None),
            Call::Swap(version, value) => (value, Some(version)),
        };
        let op = Op { key: format!("k{key}"), value: Some(value.into()), expect };
        let client = &self.clients[n];
        let command = Command { session: client.session, serial: client.serial, ops: vec![op] };
        let guess = client.guess;
        self.tell(guess, Event::Propose { proposal_id, data: command.to_bytes() });
    }

    /// A client hears, or does not: then it says the same again, and gives up in the end.
    fn answer(&mut self, n: usize, proposal_id: u64, answer: Option<Answer>) {
        if self.clients[n].proposal_id != proposal_id {
            return;
        }
        let now = self.now;
        let Some((called, key, call, said)) = self.clients[n].open.take() else { return };
        let gives_up = said >= 30;
        if answer.is_none() && !gives_up {
            self.clients[n].open = Some((called, key, call, said + 1));
            if self.chance(0.5) {
                self.clients[n].guess = self.below(self.plan.members as u64) as usize;
            }
            return;
        }
        if let Some(Answer::Done(version) | Answer::Held(Some((version, _)))) = &answer {
            self.told.insert(key, *version);
        }
        let known = answer.is_some();
        let (yes, no) = (usize::from(known), usize::from(!known));
        self.report.answered += yes;
        self.report.unanswered += no;
        let done = Done { called, answered: answer.map(|answer| (now, answer)), call };
        self.history.entry(key).or_default().push(done);
        if !known {
            // It is another client from here on.
            (self.clients[n].session, self.clients[n].serial) = (self.clients[n].session + 100, 0);
        }
    }

    fn trouble(&mut self) {
        let wait = 50 + self.below(700);
        self.at(wait * MS, Doing::Trouble);
        let n = self.plan.members as u64;
        let (a, b) = (self.below(n) as usize, self.below(n) as usize);
        let crash = self.plan.crashes * 0.35;
        if self.chance(crash) {
            self.crash(a);
            if self.chance(0.3) {
                self.crash(b);
            }
            return;
        }
        match self.below(8) {
            0 => self.nodes[a].sleeps = self.now + 400 * MS + self.below(1500) * MS,
            1 => self.nodes[a].ahead += self.below(2000) * MS,
            2 => self.nodes[a].disk_ms = 1 + self.below(60),
            3 => {
                // One-way: heard of no more.
                let held = self.now + 300 * MS + self.below(2000) * MS;
                for to in 0..self.plan.members {
                    self.links.entry((a, to)).or_default().held = held;
                }
            }
            4 => {
                // A split.
                let side = self.below(1 << n);
                let mends = 300 * MS + self.below(2500) * MS;
                for (from, to) in (0..n).flat_map(|from| (0..n).map(move |to| (from, to))) {
                    if side >> from & 1 != side >> to & 1 {
                        let link = self.links.entry((from as usize, to as usize)).or_default();
                        link.lost = 1.0;
                    }
                }
                self.at(mends, Doing::Mend);
            }
            5 => {
                let link = Link { lost: 0.3, doubled: 0.3, delay_ms: 40, held: 0 };
                for to in 0..self.plan.members {
                    self.links.insert((a, to), link);
                    self.links.insert((to, a), link);
                }
            }
            6 => self.links.entry((a, b)).or_default().delay_ms = 2000,
            _ => self.links.clear(),
        }
        if let Some(leader) = self.leading() {
            if a != leader && self.chance(0.1) {
                self.tell(leader, Event::TransferLeadership(id(a)));
            }
        }
    }

    fn leading(&self) -> Option<usize> {
        let leads = |at: &usize| self.nodes[*at].raft.as_ref().is_some_and(Raft::leads);
        (0..self.plan.members).find(leads)
    }

    /// Brings in who is missing, and now and then takes one out.
    fn members(&mut self) {
        self.at(60 * MS, Doing::Members);
        let Some(leader) = self.leading() else { return };
        let Some(raft) = &self.nodes[leader].raft else { return };
        let members = raft.members().clone();
        let mut change = None;
        for at in 0..self.plan.members {
            match members.get(&id(at)) {
                None => {
                    change = change.or(Some(MembershipChange::AddLearner {
                        id: id(at),
                        name: format!("m{at}"),
                        address: String::new(),
                    }));
                }
                Some(member) if !member.votes => change = change.or(Some(MembershipChange::Promote(id(at)))),
                Some(_) => {}
            }
        }
        if change.is_none() && self.plan.churn && self.chance(0.1) {
            let at = self.below(self.plan.members as u64) as usize;
            change = Some(MembershipChange::Remove(id(at)));
        }
        if let Some(change) = change {
            self.report.changes += 1;
            self.proposal_id += 1;
            let proposal_id = self.proposal_id;
            self.tell(leader, Event::ChangeMembership { proposal_id, change });
        }
    }
}
