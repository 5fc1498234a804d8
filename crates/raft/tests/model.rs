//! The pure core under a model checker: every order of deliveries, losses, syncs, crashes and elections within bounds.
//! `STATES=20000000 cargo test --release -p dahliaspoke-raft --test model -- --nocapture` for the long campaign.

use dahliaspoke_raft::entry::{Entry, EntryKind, HardState, LogPosition, Member, Members, Snapshot};
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::raft::{Action, Event, Options, PersistentState, PlantedFault, Raft, WriteBatch};
use dahliaspoke_raft::{Id, Index, Term};
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// How far it goes.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    members: usize,
    /// The last term in which anyone stands.
    term: Term,
    proposals: usize,
    crashes: usize,
    doubled: usize,
    planted_fault: Option<PlantedFault>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    rafts: Vec<Raft>,
    disks: Vec<(PersistentState, VecDeque<WriteBatch>)>,
    net: BTreeSet<Message>,
    /// Entries that some member was told count.
    counted: BTreeMap<Index, Entry>,
    leaders: BTreeMap<Term, Id>,
    proposed: usize,
    crashed: usize,
    doubled: usize,
    wrong: Option<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Act {
    Stand(usize),
    Deliver(Message),
    Double(Message),
    Sync(usize),
    Crash(usize),
    Propose(usize),
}

impl Bounds {
    fn options(&self) -> Options {
        // One entry a message: the most orders in which they may come.
        Options { planted_fault: self.planted_fault, max_append_bytes: 1, ..Options::new(1) }
    }

    fn carry_out(&self, world: &mut World, at: usize, orders: Vec<Action>) {
        for order in orders {
            match order {
                Action::Persist(store) => world.disks[at].1.push_back(store),
                Action::Send(message) => {
                    world.net.insert(message);
                }
                Action::Apply { entry, .. } => {
                    let held = world.counted.entry(entry.index).or_insert_with(|| entry.clone());
                    if *held != entry {
                        world.wrong = Some("two entries count at one place");
                    }
                }
                Action::Restore(_) | Action::Read { .. } | Action::Rejected { .. } => {}
            }
        }
        let raft = &world.rafts[at];
        if raft.leads() {
            let leader = *world.leaders.entry(raft.term()).or_insert(raft.id());
            if leader != raft.id() {
                world.wrong = Some("two leaders in a term");
            }
            let holds = |(index, entry): (&Index, &Entry)| raft.entry(*index) == Some(entry);
            if !world.counted.iter().all(holds) {
                world.wrong = Some("a leader lacks an entry that counts");
            }
        }
        let same = |one: &Raft, other: &Raft| {
            let mut matched = false;
            let last = one.last().min(other.last());
            (1..=last).rev().all(|index| {
                let (a, b) = (one.entry(index), other.entry(index));
                matched |= a.map(|e| e.term) == b.map(|e| e.term);
                !matched || a == b
            })
        };
        let pairs = world.rafts.iter().flat_map(|one| world.rafts.iter().map(move |other| (one, other)));
        if !pairs.into_iter().all(|(one, other)| same(one, other)) {
            world.wrong = Some("logs that agree at a place differ before it");
        }
    }
}

impl Model for Bounds {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let member = |n| (n, Member { name: format!("m{n}"), address: String::new(), votes: true });
        let members: Members = (1..=self.members as Id).map(member).collect();
        let first = Entry { index: 1, term: 1, kind: EntryKind::Members(members) };
        let saved = |n| PersistentState {
            hard_state: HardState { id: n, cluster: 9, term: 1, vote: None },
            snapshot: Arc::new(Snapshot::default()),
            base: LogPosition::default(),
            entries: vec![first.clone()],
        };
        let all: Vec<PersistentState> = (1..=self.members as Id).map(saved).collect();
        vec![World {
            rafts: all.iter().map(|saved| Raft::new(self.options(), saved.clone(), 0)).collect(),
            disks: all.into_iter().map(|saved| (saved, VecDeque::new())).collect(),
            net: BTreeSet::new(),
            counted: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposed: 0,
            crashed: 0,
            doubled: 0,
            wrong: None,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        for (at, raft) in world.rafts.iter().enumerate() {
            if !raft.leads() && raft.term() < self.term {
                acts.push(Act::Stand(at));
            }
            if raft.leads() && world.proposed < self.proposals {
                acts.push(Act::Propose(at));
            }
            if !world.disks[at].1.is_empty() {
                acts.push(Act::Sync(at));
            }
            if world.crashed < self.crashes {
                acts.push(Act::Crash(at));
            }
        }
        for message in &world.net {
            acts.push(Act::Deliver(message.clone()));
            if world.doubled < self.doubled {
                acts.push(Act::Double(message.clone()));
            }
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut world = world.clone();
        let mut orders = Vec::new();
        let at = match act {
            Act::Stand(at) => {
                world.rafts[at].campaign(&mut orders);
                at
            }
            Act::Deliver(message) | Act::Double(message) if message.to == 0 => return None,
            Act::Deliver(message) => {
                world.net.remove(&message);
                let at = message.to as usize - 1;
                world.rafts[at].handle(0, Event::Message(message), &mut orders);
                at
            }
            Act::Double(message) => {
                world.doubled += 1;
                let at = message.to as usize - 1;
                world.rafts[at].handle(0, Event::Message(message), &mut orders);
                at
            }
            Act::Sync(at) => {
                let (saved, writes) = &mut world.disks[at];
                let store = writes.pop_front()?;
                saved.apply(&store);
                world.rafts[at].handle(0, Event::Persisted(store.number), &mut orders);
                at
            }
            Act::Crash(at) => {
                world.crashed += 1;
                let (saved, writes) = &mut world.disks[at];
                writes.clear();
                world.rafts[at] = Raft::new(self.options(), saved.clone(), 0);
                at
            }
            Act::Propose(at) => {
                world.proposed += 1;
                let data = Arc::new(vec![world.proposed as u8]);
                world.rafts[at].handle(0, Event::Propose { proposal_id: 0, data }, &mut orders);
                at
            }
        };
        self.carry_out(&mut world, at, orders);
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("election safety, log matching, leader completeness", |_, world: &World| {
            world.wrong.is_none()
        })]
    }
}

fn states(usual: usize) -> usize {
    std::env::var("STATES").ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}

/// Looks at so many states, breadth first; what was found to be wrong.
fn check(bounds: Bounds, most: usize) -> Option<&'static str> {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = bounds.checker().threads(cores).target_state_count(most).spawn_bfs().join();
    println!(
        "{bounds:?}: {} states, {} of them different",
        checker.state_count(),
        checker.unique_state_count()
    );
    let paths = checker.discoveries();
    let path = paths.values().next()?;
    println!("{} steps: {:?}", path.clone().into_actions().len(), path.clone().into_actions());
    path.last_state().wrong
}

const BOUNDS: Bounds =
    Bounds { members: 3, term: 3, proposals: 1, crashes: 1, doubled: 1, planted_fault: None };

#[test]
fn three_members_within_bounds_are_safe() {
    assert_eq!(check(BOUNDS, states(150_000)), None);
}

#[test]
fn a_vote_that_is_not_stored_is_caught() {
    let bounds = Bounds { term: 2, proposals: 0, crashes: 1, doubled: 0, ..BOUNDS };
    let wrong = check(Bounds { planted_fault: Some(PlantedFault::VoteNotStored), ..bounds }, 5_000_000);
    assert_eq!(wrong, Some("two leaders in a term"));
}

#[test]
fn an_acknowledgement_before_the_disk_is_caught() {
    let bounds = Bounds { term: 3, proposals: 0, crashes: 1, doubled: 0, ..BOUNDS };
    let wrong = check(Bounds { planted_fault: Some(PlantedFault::AckNotStored), ..bounds }, 5_000_000);
    assert!(wrong.is_some());
}

/// A play of chosen steps.
struct Play(Bounds, World);

impl Play {
    fn act(&mut self, act: Act) {
        self.1 = self.0.next_state(&self.1, act).expect("it can be done");
    }

    /// All that one has to say to another now, and all that comes on its disk.
    fn hears(&mut self, from: usize, to: usize) {
        let said: Vec<Message> = self.1.net.iter().cloned().collect();
        for message in said.into_iter().filter(|m| (m.from, m.to) == (from as Id + 1, to as Id + 1)) {
            self.act(Act::Deliver(message));
        }
        self.syncs(to);
    }

    fn syncs(&mut self, at: usize) {
        while !self.1.disks[at].1.is_empty() {
            self.act(Act::Sync(at));
        }
    }

    /// One stands until that term, and those vote for it.
    fn leads(&mut self, at: usize, term: Term, voters: &[usize]) {
        self.1.net.clear();
        self.act(Act::Crash(at)); // it may lead in an older term
        while self.1.rafts[at].term() < term {
            self.act(Act::Stand(at));
            self.syncs(at);
        }
        for voter in voters {
            self.hears(at, *voter);
            self.hears(*voter, at);
        }
        assert!(self.1.rafts[at].leads());
    }
}

/// Figure 8 of the paper: an entry of an older term is on a majority and is overwritten all the same.
fn figure_8(planted_fault: Option<PlantedFault>) -> Option<&'static str> {
    let bounds = Bounds { members: 5, term: 9, planted_fault, ..BOUNDS };
    let mut play = Play(bounds, bounds.init_states().remove(0));
    play.leads(0, 2, &[1, 2]);
    play.hears(0, 1);
    play.leads(4, 3, &[2, 3]);
    play.leads(0, 4, &[1, 2]);
    play.hears(0, 1);
    play.hears(1, 0);
    play.hears(0, 2); // it does not fit there
    play.hears(2, 0);
    play.hears(0, 2); // the entry of the older term
    play.hears(2, 0);
    play.leads(4, 5, &[2, 3]);
    play.1.wrong
}

#[test]
fn a_commit_of_an_older_term_is_caught() {
    assert_eq!(figure_8(None), None);
    assert_eq!(figure_8(Some(PlantedFault::CommitOlderTerm)), Some("a leader lacks an entry that counts"));
}
