//! Model checking of the pure core: every order of deliveries, losses, syncs, crashes and elections within bounds.
//! `STATES=20000000 cargo test --release -p dahliaspoke-raft --test model -- --nocapture` runs the long campaign.

use dahliaspoke_raft::entry::{Entry, EntryKind, HardState, LogPosition, Member, Members, Snapshot};
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::raft::{Action, Event, Options, PersistentState, PlantedFault, Raft, WriteBatch};
use dahliaspoke_raft::{Id, Index, Term};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Limits of the explored state space.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    members: usize,
    /// The highest term in which a member becomes a candidate.
    term: Term,
    proposals: usize,
    crashes: usize,
    /// How many messages may be delivered without leaving the network, so that they are delivered again.
    duplicated: usize,
    planted_fault: Option<PlantedFault>,
}

/// A member's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Disk {
    durable: PersistentState,
    /// Batches that are written but not synced, in order.
    pending: VecDeque<WriteBatch>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    rafts: Vec<Raft>,
    disks: Vec<Disk>,
    /// Messages in flight.
    network: BTreeSet<Message>,
    /// Entries that some member has applied.
    committed: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, Id>,
    proposed: usize,
    crashed: usize,
    duplicated: usize,
    violation: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    StartElection(usize),
    Deliver(Message),
    Duplicate(Message),
    Sync(usize),
    Crash(usize),
    Propose(usize),
}

impl Bounds {
    fn options(&self) -> Options {
        // One entry per message gives the most delivery orders.
        Options { planted_fault: self.planted_fault, max_append_bytes: 1, ..Options::new(1) }
    }

    fn execute(&self, world: &mut World, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist(batch) => world.disks[at].pending.push_back(batch),
                Action::Send(message) => {
                    world.network.insert(message);
                }
                Action::Apply { entry, .. } => {
                    let existing = world.committed.entry(entry.index).or_insert_with(|| entry.clone());
                    if *existing != entry {
                        world.violation = Some("two entries committed at one index");
                    }
                }
                // What a member knows to be committed after a restart is not part of the model.
                Action::RecordCommit(_)
                | Action::Restore(_)
                | Action::Read { .. }
                | Action::Rejected { .. } => {}
            }
        }
        let raft = &world.rafts[at];
        if raft.leads() {
            let leader = *world.leaders.entry(raft.term()).or_insert(raft.id());
            if leader != raft.id() {
                world.violation = Some("two leaders in a term");
            }
            let has_entry = |(index, entry): (&Index, &Entry)| raft.entry(*index) == Some(entry);
            if !world.committed.iter().all(has_entry) {
                world.violation = Some("a leader lacks a committed entry");
            }
        }
        let logs_match = |one: &Raft, other: &Raft| {
            let mut matched = false;
            let last = one.last().min(other.last());
            (1..=last).rev().all(|index| {
                let (a, b) = (one.entry(index), other.entry(index));
                matched |= a.map(|e| e.term) == b.map(|e| e.term);
                !matched || a == b
            })
        };
        let pairs = world.rafts.iter().flat_map(|one| world.rafts.iter().map(move |other| (one, other)));
        if !pairs.into_iter().all(|(one, other)| logs_match(one, other)) {
            world.violation = Some("logs with the same term at an index differ at or before it");
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let member = |n| (n, Member { name: format!("m{n}"), address: String::new(), votes: true });
        let members: Members = (1..=self.members as Id).map(member).collect();
        let first = Entry { index: 1, term: 1, kind: EntryKind::Members(members) };
        let saved = |n| PersistentState {
            hard_state: HardState { id: n, cluster: 9, term: 1, vote: None },
            snapshot: Arc::new(Snapshot::default()),
            base: LogPosition::default(),
            entries: vec![first.clone()],
            commit: LogPosition::default(),
        };
        let all: Vec<PersistentState> = (1..=self.members as Id).map(saved).collect();
        vec![World {
            rafts: all.iter().map(|saved| Raft::new(self.options(), saved.clone(), 0)).collect(),
            disks: all.into_iter().map(|durable| Disk { durable, pending: VecDeque::new() }).collect(),
            network: BTreeSet::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposed: 0,
            crashed: 0,
            duplicated: 0,
            violation: None,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for (at, raft) in world.rafts.iter().enumerate() {
            if !raft.leads() && raft.term() < self.term {
                steps.push(Step::StartElection(at));
            }
            if raft.leads() && world.proposed < self.proposals {
                steps.push(Step::Propose(at));
            }
            if !world.disks[at].pending.is_empty() {
                steps.push(Step::Sync(at));
            }
            if world.crashed < self.crashes {
                steps.push(Step::Crash(at));
            }
        }
        for message in &world.network {
            steps.push(Step::Deliver(message.clone()));
            if world.duplicated < self.duplicated {
                steps.push(Step::Duplicate(message.clone()));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let mut actions = Vec::new();
        let at = match step {
            Step::StartElection(at) => {
                world.rafts[at].campaign(&mut actions);
                at
            }
            Step::Deliver(message) | Step::Duplicate(message) if message.to == 0 => return None,
            Step::Deliver(message) => {
                world.network.remove(&message);
                let at = message.to as usize - 1;
                world.rafts[at].handle(0, Event::Message(message), &mut actions);
                at
            }
            Step::Duplicate(message) => {
                world.duplicated += 1;
                let at = message.to as usize - 1;
                world.rafts[at].handle(0, Event::Message(message), &mut actions);
                at
            }
            Step::Sync(at) => {
                let disk = &mut world.disks[at];
                let batch = disk.pending.pop_front()?;
                disk.durable.apply(&batch);
                world.rafts[at].handle(0, Event::Persisted(batch.number), &mut actions);
                at
            }
            Step::Crash(at) => {
                world.crashed += 1;
                let disk = &mut world.disks[at];
                disk.pending.clear();
                world.rafts[at] = Raft::new(self.options(), disk.durable.clone(), 0);
                at
            }
            Step::Propose(at) => {
                world.proposed += 1;
                let data = Arc::new(vec![world.proposed as u8]);
                world.rafts[at].handle(0, Event::Propose { proposal_id: 0, data }, &mut actions);
                at
            }
        };
        self.execute(&mut world, at, actions);
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("election safety, log matching, leader completeness", |_, world: &World| {
            world.violation.is_none()
        })]
    }
}

fn states(default_count: usize) -> usize {
    std::env::var("STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(default_count)
}

/// Explores about `max_states` states breadth first and returns the first violation.
fn check(bounds: Bounds, max_states: usize) -> Option<&'static str> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = bounds.checker().threads(cores).target_state_count(max_states).spawn_bfs().join();
    println!("{bounds:?}: {} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    let paths = checker.discoveries();
    let path = paths.values().next()?;
    println!("{} steps: {:?}", path.clone().into_actions().len(), path.clone().into_actions());
    path.last_state().violation
}

const BOUNDS: Bounds =
    Bounds { members: 3, term: 3, proposals: 1, crashes: 1, duplicated: 1, planted_fault: None };

#[test]
fn three_members_violate_no_safety_property_within_bounds() {
    assert_eq!(check(BOUNDS, states(150_000)), None);
}

#[test]
fn a_vote_that_is_not_stored_is_caught() {
    let bounds = Bounds { term: 2, proposals: 0, crashes: 1, duplicated: 0, ..BOUNDS };
    let violation = check(Bounds { planted_fault: Some(PlantedFault::VoteNotStored), ..bounds }, 5_000_000);
    assert_eq!(violation, Some("two leaders in a term"));
}

#[test]
fn exploration_catches_an_acknowledgement_of_an_unsynced_entry() {
    let bounds = Bounds { term: 3, proposals: 0, crashes: 1, duplicated: 0, ..BOUNDS };
    let violation = check(Bounds { planted_fault: Some(PlantedFault::AckNotStored), ..bounds }, 5_000_000);
    assert!(violation.is_some());
}

/// A sequence of steps written out by hand.
struct Scenario {
    bounds: Bounds,
    world: World,
}

impl Scenario {
    fn apply(&mut self, step: Step) {
        self.world = self.bounds.next_state(&self.world, step).expect("a possible step");
    }

    /// Delivers all messages from one member to another, and syncs what the receiver writes.
    fn deliver(&mut self, from: usize, to: usize) {
        self.deliver_unsynced(from, to);
        self.sync(to);
    }

    fn deliver_unsynced(&mut self, from: usize, to: usize) {
        let sent: Vec<Message> = self.world.network.iter().cloned().collect();
        for message in sent.into_iter().filter(|m| (m.from, m.to) == (from as Id + 1, to as Id + 1)) {
            self.apply(Step::Deliver(message));
        }
    }

    fn sync(&mut self, at: usize) {
        while !self.world.disks[at].pending.is_empty() {
            self.apply(Step::Sync(at));
        }
    }

    /// Elects a member in the given term with the votes of `voters`.
    fn elect(&mut self, at: usize, term: Term, voters: &[usize]) {
        self.world.network.clear();
        self.apply(Step::Crash(at)); // it may be the leader of an older term
        while self.world.rafts[at].term() < term {
            self.apply(Step::StartElection(at));
            self.sync(at);
        }
        for voter in voters {
            self.deliver(at, *voter);
            self.deliver(*voter, at);
        }
        assert!(self.world.rafts[at].leads());
    }
}

/// Figure 8 of the Raft paper: an entry of an older term is stored on a majority and is still overwritten.
fn figure_8(planted_fault: Option<PlantedFault>) -> Option<&'static str> {
    let bounds = Bounds { members: 5, term: 9, planted_fault, ..BOUNDS };
    let world = bounds.init_states().remove(0);
    let mut scenario = Scenario { bounds, world };
    scenario.elect(0, 2, &[1, 2]);
    scenario.deliver(0, 1);
    scenario.elect(4, 3, &[2, 3]);
    scenario.elect(0, 4, &[1, 2]);
    scenario.deliver(0, 1);
    scenario.deliver(1, 0);
    scenario.deliver(0, 2); // rejected: the preceding entry is missing
    scenario.deliver(2, 0);
    scenario.deliver(0, 2); // the entry of the older term
    scenario.deliver(2, 0);
    scenario.elect(4, 5, &[2, 3]);
    scenario.world.violation
}

#[test]
fn committing_an_entry_of_an_older_term_by_counting_replicas_is_caught() {
    assert_eq!(figure_8(None), None);
    assert_eq!(figure_8(Some(PlantedFault::CommitOlderTerm)), Some("a leader lacks a committed entry"));
}

/// A follower acknowledges an entry, loses it in a crash, and then votes for a candidate that never had it.
fn unsynced_acknowledgement(planted_fault: Option<PlantedFault>) -> Option<&'static str> {
    let bounds = Bounds { term: 9, planted_fault, ..BOUNDS };
    let world = bounds.init_states().remove(0);
    let mut scenario = Scenario { bounds, world };
    scenario.elect(0, 2, &[1]);
    scenario.deliver_unsynced(0, 1);
    scenario.apply(Step::Crash(1));
    scenario.deliver(1, 0);
    scenario.elect(2, 3, &[1]);
    scenario.world.violation
}

#[test]
fn an_acknowledgement_of_an_unsynced_entry_is_caught() {
    assert_eq!(unsynced_acknowledgement(None), None);
    let violation = unsynced_acknowledgement(Some(PlantedFault::AckNotStored));
    assert_eq!(violation, Some("a leader lacks a committed entry"));
}
