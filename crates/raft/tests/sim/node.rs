//! A node: the core with its own disk, clock and state machine.

use super::{node_of, Simulation, Task, MILLISECOND};
use dahliaspoke_raft::entry::{Entry, EntryKind, HardState, Members, Snapshot};
use dahliaspoke_raft::raft::{
    Action, Event, Options, PersistentState, PlantedFault, ProposeError, Raft, WriteBatch,
};
use dahliaspoke_raft::state_machine::{Outcome, StateMachine};
use dahliaspoke_raft::{Id, Index, Micros};
use dahliaspoke_test_harness::history::Answer;
use std::collections::VecDeque;

/// How often a node checks whether a tick is due (us).
const TICK_INTERVAL: Micros = 10 * MILLISECOND;
/// Number of entries between two snapshots of a node.
const SNAPSHOT_INTERVAL: Index = 16;
/// Up to this many writes in flight are on the disk after a crash, although they were not synced.
const MAX_SURVIVING_WRITES: u64 = 2;
/// A crashed node restarts within this time (ms).
const MAX_RESTART_MS: u64 = 900;

pub struct Node {
    /// `None` while the node is down.
    pub raft: Option<Raft>,
    pub disk: PersistentState,
    /// Writes in flight to the disk, in order.
    writes: VecDeque<PendingWrite>,
    pub state_machine: StateMachine,
    /// Stalled until this time (us); messages are delivered afterwards.
    pub stalled_until: Micros,
    /// How far its clock is ahead of the simulation (us).
    pub clock_ahead: Micros,
    /// Approximate duration of a write (ms).
    pub disk_ms: u64,
}

struct PendingWrite {
    due: Micros,
    batch: WriteBatch,
}

impl Node {
    pub fn new(id: Id) -> Self {
        let hard_state = HardState { id, ..HardState::default() };
        Self {
            raft: None,
            disk: PersistentState { hard_state, ..PersistentState::default() },
            writes: VecDeque::new(),
            state_machine: StateMachine::default(),
            stalled_until: 0,
            clock_ahead: 0,
            disk_ms: 3,
        }
    }

    pub fn leads(&self) -> bool {
        self.raft.as_ref().is_some_and(Raft::leads)
    }
}

/// Small limits, so that short runs reach all of them.
fn options(seed: u64, planted_fault: Option<PlantedFault>) -> Options {
    Options {
        retained_entries: 4,
        snapshot_chunk_bytes: 100,
        max_inflight_entries: 8,
        max_append_bytes: 300,
        planted_fault,
        ..Options::new(seed)
    }
}

impl Simulation {
    /// The time by a node's own clock.
    fn clock(&self, node: usize) -> Micros {
        self.now + self.nodes[node].clock_ahead
    }

    pub fn start(&mut self, at: usize) {
        if self.nodes[at].raft.is_some() {
            return;
        }
        let options = options(self.plan.seed, self.plan.planted_fault);
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        node.raft = Some(Raft::new(options, node.disk.clone(), clock));
        node.state_machine = restore(&node.disk.snapshot);
        self.schedule(MILLISECOND, Task::Tick(at));
    }

    /// Crashes a node; some of its writes in flight may still reach the disk.
    pub fn crash(&mut self, at: usize) {
        if self.nodes[at].raft.take().is_none() {
            return;
        }
        let surviving = self.random_below(MAX_SURVIVING_WRITES + 1) as usize;
        let node = &mut self.nodes[at];
        for write in node.writes.drain(..).take(surviving) {
            node.disk.apply(&write.batch);
        }
        node.stalled_until = 0;
        self.report.crashes += 1;
        // The node never answers its pending calls; the clients time out.
        let downtime = self.random_below(MAX_RESTART_MS) * MILLISECOND;
        self.schedule(downtime, Task::Start(at));
    }

    pub fn tick(&mut self, at: usize) {
        let deadline = self.nodes[at].raft.as_ref().map(Raft::next_deadline);
        let is_due = deadline.is_some_and(|deadline| deadline <= self.clock(at));
        if is_due && self.nodes[at].stalled_until <= self.now {
            self.handle_event(at, Event::Tick);
        }
        let remaining_stall = self.nodes[at].stalled_until.saturating_sub(self.now);
        if self.nodes[at].raft.is_some() {
            self.schedule(remaining_stall.max(TICK_INTERVAL), Task::Tick(at));
        }
    }

    fn start_write(&mut self, at: usize, batch: WriteBatch) {
        let duration = (1 + self.random_below(self.nodes[at].disk_ms * 2)) * MILLISECOND / 2;
        let after = self.nodes[at].writes.back().map_or(0, |write| write.due);
        let due = (self.now + duration).max(after);
        self.nodes[at].writes.push_back(PendingWrite { due, batch });
        self.schedule(due - self.now, Task::CompleteWrite(at));
    }

    pub fn complete_write(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let is_due = node.writes.front().is_some_and(|write| write.due <= self.now);
        if !is_due || node.raft.is_none() {
            return;
        }
        if let Some(write) = node.writes.pop_front() {
            node.disk.apply(&write.batch);
            self.handle_event(at, Event::Persisted(write.batch.number));
        }
    }

    pub fn handle_event(&mut self, at: usize, event: Event) {
        let clock = self.clock(at);
        let Some(raft) = &mut self.nodes[at].raft else { return };
        let mut actions = Vec::new();
        raft.handle(clock, event, &mut actions);
        self.check_leader(at);
        for action in actions {
            self.execute(at, action);
        }
    }

    /// Checks that a term has at most one leader.
    fn check_leader(&mut self, at: usize) {
        let Some(raft) = self.nodes[at].raft.as_ref().filter(|raft| raft.leads()) else { return };
        let (term, own) = (raft.term(), raft.id());
        let other = *self.leaders.entry(term).or_insert(own);
        if other != own {
            self.report_violation(format!("{own} and {other} both lead in term {term}"));
        }
    }

    fn execute(&mut self, at: usize, action: Action) {
        match action {
            Action::Persist(batch) => self.start_write(at, batch),
            Action::Send(message) => self.send(at, &message),
            Action::Apply { entry, proposal_id } => self.apply(at, entry, proposal_id),
            Action::RecordCommit(commit) => self.nodes[at].disk.commit = commit,
            Action::Restore(snapshot) => {
                self.report.snapshots += 1;
                self.nodes[at].state_machine = restore(&snapshot);
            }
            Action::Read { proposal_id, .. } => self.answer_read(at, proposal_id),
            Action::Rejected { proposal_id, why } => {
                let Some(client) = self.waiting.remove(&proposal_id) else { return };
                if let ProposeError::NotLeader(Some(leader)) = why {
                    self.clients[client].guessed_leader = node_of(leader);
                }
                self.answer(client, proposal_id, None);
            }
        }
    }

    fn apply(&mut self, at: usize, entry: Entry, proposal_id: Option<u64>) {
        let index = entry.index;
        let first = self.applied.entry(index).or_insert_with(|| entry.clone());
        if *first != entry {
            let violation = format!("two entries committed at index {index}: {entry:?} and {first:?}");
            return self.report_violation(violation);
        }
        let mut outcome = None;
        if let EntryKind::Data(data) = &entry.kind {
            outcome = Some(self.nodes[at].state_machine.apply(index, data));
        }
        if let Some(client) = proposal_id.and_then(|proposal_id| self.waiting.remove(&proposal_id)) {
            let answer = match outcome {
                Some(Outcome::Done(version)) => Some(Answer::Written(version)),
                Some(Outcome::VersionMismatch { .. }) => Some(Answer::VersionMismatch),
                _ => None,
            };
            self.answer(client, proposal_id.unwrap_or_default(), answer);
        }
        if index % SNAPSHOT_INTERVAL == 0 {
            self.snapshot(at, index);
        }
    }

    /// Takes a snapshot on a node, and checks that it has the members of the last membership entry up to there.
    fn snapshot(&mut self, at: usize, index: Index) {
        let data = self.nodes[at].state_machine.save();
        self.handle_event(at, Event::Snapshot { index, data });
        let snapshot = self.nodes[at].raft.as_ref().map(|raft| raft.snapshot().clone());
        let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index == index) else { return };
        let members_of = |entry: &Entry| match &entry.kind {
            EntryKind::Members(members) => Some(members.clone()),
            _ => None,
        };
        let mut applied = self.applied.range(..=index).rev();
        let members: Option<Members> = applied.find_map(|(_, entry)| members_of(entry));
        if members.is_some_and(|members| members != snapshot.members) {
            self.report_violation(format!("the snapshot at {index} has other members than the log"));
        }
    }

    /// The first node that considers itself the leader.
    pub fn find_leader(&self) -> Option<usize> {
        self.nodes.iter().position(Node::leads)
    }

    /// The members as a node sees them, if it is up.
    pub fn members_at(&self, at: usize) -> Option<Members> {
        self.nodes[at].raft.as_ref().map(|raft| raft.members().clone())
    }
}

fn restore(snapshot: &Snapshot) -> StateMachine {
    StateMachine::restore(&snapshot.data).expect("it was encoded here")
}
