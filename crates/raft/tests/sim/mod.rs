//! A deterministic simulation of a cluster in virtual time, driven by a seed. Links lose, duplicate, reorder and delay
//! messages, disks lose unsynced writes, clocks jump, and nodes stall, crash, join and leave. The calls of clients are
//! recorded as a history.
#![allow(dead_code)]

mod clients;
mod faults;
mod network;
mod node;

use clients::Client;
use dahliaspoke_raft::entry::Entry;
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::raft::{Event, PlantedFault};
use dahliaspoke_raft::{Id, Index, Micros, Term};
use dahliaspoke_test_harness::history::{is_linearizable, Operation};
use network::{Link, Route};
use node::Node;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const MILLISECOND: Micros = 1000;
const CLIENTS: usize = 4;
const CLUSTER: u64 = 99;

/// The result of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// The first invariant that was violated.
    pub violation: Option<String>,
    /// Calls whose outcome became known to the client.
    pub answered: usize,
    /// Calls that the client gave up, with their outcome unknown.
    pub unanswered: usize,
    /// Number of terms with a leader.
    pub terms: usize,
    pub crashes: usize,
    /// Number of snapshots that nodes restored from the leader.
    pub snapshots: usize,
    /// Number of membership changes that were proposed.
    pub changes: usize,
}

/// The parameters of a run.
#[derive(Clone, Copy)]
pub struct Plan {
    pub seed: u64,
    /// Number of nodes, the first one included; all are to become members.
    pub members: usize,
    /// Length in virtual time (us).
    pub duration: Micros,
    pub planted_fault: Option<PlantedFault>,
    /// Whether members are removed and added again during the run.
    pub churn: bool,
    /// Approximate number of crashes per second of virtual time.
    pub crashes: f64,
}

impl Plan {
    pub fn new(seed: u64) -> Self {
        let members = [3, 5, 7][(seed % 3) as usize];
        let duration = 8_000 * MILLISECOND;
        Self { seed, members, duration, planted_fault: None, churn: seed % 4 == 0, crashes: 1.0 }
    }
}

/// A scheduled event. Nodes and clients are given by position.
enum Task {
    Deliver(Message),
    /// Completes the oldest write of a node if it is due.
    CompleteWrite(usize),
    Tick(usize),
    Start(usize),
    RunClient(usize),
    InjectFault,
    ChangeMembership,
    HealLinks,
}

struct Simulation {
    plan: Plan,
    now: Micros,
    /// Tasks by time; tasks of the same time run in the order in which they were scheduled.
    queue: BTreeMap<(Micros, u64), Task>,
    scheduled: u64,
    rng: Pcg64Mcg,
    nodes: Vec<Node>,
    links: BTreeMap<Route, Link>,
    clients: Vec<Client>,
    /// Waiting clients by the id of their proposal.
    waiting: BTreeMap<u64, usize>,
    last_proposal_id: u64,
    last_value: u64,
    /// Calls by key.
    history: BTreeMap<usize, Vec<Operation>>,
    /// The version of each key that was last returned to any client.
    known_versions: BTreeMap<usize, Index>,
    leaders: BTreeMap<Term, Id>,
    /// Entries that some node has applied.
    applied: BTreeMap<Index, Entry>,
    report: Report,
}

/// The id of the node at a position.
fn id_of(node: usize) -> Id {
    node as Id + 1
}

/// The position of the node with an id.
fn node_of(id: Id) -> usize {
    id as usize - 1
}

/// Runs a plan to its end, or to the first violation of an invariant.
pub fn run(plan: Plan) -> Report {
    let mut simulation = Simulation::new(plan);
    simulation.run();
    simulation.close_history();
    let mut report = std::mem::take(&mut simulation.report);
    let not_linearizable = simulation.history.iter().find(|(_, ops)| !is_linearizable(ops));
    if let Some((key, _)) = not_linearizable.filter(|_| report.violation.is_none()) {
        report.violation = Some(format!("the history of key {key} is not linearizable"));
    }
    report.terms = simulation.leaders.len();
    report
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let mut simulation = Self {
            plan,
            now: 0,
            queue: BTreeMap::new(),
            scheduled: 0,
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            nodes: (0..plan.members).map(|node| Node::new(id_of(node))).collect(),
            links: BTreeMap::new(),
            clients: (0..CLIENTS).map(|client| Client::new(client as u64 + 1)).collect(),
            waiting: BTreeMap::new(),
            last_proposal_id: 0,
            last_value: 0,
            history: BTreeMap::new(),
            known_versions: BTreeMap::new(),
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            report: Report::default(),
        };
        simulation.start_all();
        simulation
    }

    fn start_all(&mut self) {
        for node in 0..self.plan.members {
            self.start(node);
        }
        let bootstrap = Event::Bootstrap { cluster: CLUSTER, name: "m0".into(), address: String::new() };
        self.handle_event(0, bootstrap);
        for client in 0..CLIENTS {
            self.schedule(100 * MILLISECOND, Task::RunClient(client));
        }
        self.schedule(50 * MILLISECOND, Task::ChangeMembership);
        self.schedule(600 * MILLISECOND, Task::InjectFault);
    }

    /// A number below `bound`.
    fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound.max(1)
    }

    /// True with the given probability.
    fn random_bool(&mut self, probability: f64) -> bool {
        ((self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64) < probability
    }

    fn schedule(&mut self, delay: Micros, task: Task) {
        self.scheduled += 1;
        self.queue.insert((self.now + delay, self.scheduled), task);
    }

    fn report_violation(&mut self, violation: String) {
        self.report.violation.get_or_insert(violation);
    }

    fn run(&mut self) {
        while let Some(((time, _), task)) = self.queue.pop_first() {
            if time > self.plan.duration || self.report.violation.is_some() {
                break;
            }
            self.now = time;
            match task {
                Task::Deliver(message) => self.deliver(message),
                Task::CompleteWrite(node) => self.complete_write(node),
                Task::Tick(node) => self.tick(node),
                Task::Start(node) => self.start(node),
                Task::RunClient(client) => self.run_client(client),
                Task::InjectFault => self.inject_fault(),
                Task::ChangeMembership => self.change_membership(),
                Task::HealLinks => self.links.clear(),
            }
        }
    }
}
