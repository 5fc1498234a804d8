//! The Raft consensus algorithm, as published in Diego Ongaro's thesis (Consensus: Bridging Theory and Practice,
//! Stanford 2014): elections with a pre-vote, a leader that steps down without a quorum, linearizable reads by read
//! index, single-server membership changes, learners, chunked snapshots, leadership transfer.
//!
//! This state machine is pure: it handles an [`Event`] and returns [`Action`]s, which the caller carries out in order.
//! The caller reports when an [`Action::Persist`] is on disk. Messages that depend on it (votes, acknowledgements) are
//! deferred until then.
//!
//! The modules are divided as in etcd's raft: `step` dispatches messages; `election`, `replication`, `read_index`,
//! `membership`, `transfer` and `snapshot` implement the parts of the protocol; `quorum` and `commit` determine what is
//! committed; `persistence` defers what has to wait for the disk.

mod commit;
mod election;
mod error;
mod events;
mod membership;
mod options;
mod persistence;
mod quorum;
mod read_index;
mod replication;
mod role;
mod snapshot;
mod step;
mod transfer;

pub use error::{MembershipError, ProposeError};
pub use events::{Action, Event, MembershipChange};
#[cfg(feature = "planted-faults")]
pub use options::PlantedFault;
pub use options::{Options, MAX_MEMBERS, MAX_VOTERS};
pub use persistence::{PersistentState, WriteBatch};

use crate::entry::{Entry, EntryKind, HardState, Snapshot};
use crate::log::Log;
use crate::message::{Message, MessageBody};
use crate::{Id, Index, Micros, Term};
use membership::Configuration;
use options::is_planted;
use persistence::{OutgoingMessage, PendingEffect};
use role::{LeadershipTransfer, Role};
use snapshot::{EncodedSnapshot, IncomingSnapshot};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A proposal made at this member that has not been applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    /// The term in which its entry was appended.
    term: Term,
    /// The id that the caller chose for it.
    proposal_id: u64,
}

/// The consensus state of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Raft {
    options: Options,
    hard_state: HardState,
    log: Log,
    snapshot: Arc<Snapshot>,
    /// Configurations in order of their entries. The last one is in effect, whether its entry is committed or not.
    configurations: Vec<Configuration>,
    commit: Index,
    /// The last entry that was handed to the caller to apply.
    applied: Index,
    role: Role,
    /// When the last message from a leader arrived (us).
    last_leader_contact: Micros,
    /// When this member starts an election unless it hears from a leader (us).
    election_deadline: Micros,
    /// Elections and pre-votes that this member has started; part of the seed of the next random election timeout.
    elections: u64,
    /// The time of the current event (us).
    now: Micros,
    /// Pending proposals by the index of their entry.
    proposals: BTreeMap<Index, Proposal>,
    incoming_snapshot: Option<IncomingSnapshot>,
    encoded_snapshot: Option<EncodedSnapshot>,
    /// The number of the last write batch that was handed to the caller.
    batches_issued: u64,
    /// The number of the last write batch that is on disk.
    batches_persisted: u64,
    /// The last entry that is known to be on this member's disk.
    durable: Index,
    /// Effects that wait for a write batch, in order.
    pending: VecDeque<PendingEffect>,
    /// The changes of the current event that have to be persisted.
    batch: WriteBatch,
    /// The messages of the current event.
    outbox: Vec<OutgoingMessage>,
}

impl Raft {
    /// Creates a member from its state on disk, which for a new member contains its id only.
    #[must_use]
    pub fn new(options: Options, saved: PersistentState, now: Micros) -> Self {
        let PersistentState { hard_state, snapshot, base, entries, commit: known_commit } = saved;
        let first = Configuration { index: snapshot.index, members: snapshot.members.clone() };
        let commit = snapshot.index;
        let mut raft = Self {
            options,
            hard_state,
            log: Log::new(base),
            snapshot,
            configurations: vec![first],
            commit,
            applied: commit,
            role: Role::follower(None),
            last_leader_contact: 0,
            election_deadline: 0,
            elections: 0,
            now,
            proposals: BTreeMap::new(),
            incoming_snapshot: None,
            encoded_snapshot: None,
            batches_issued: 0,
            batches_persisted: 0,
            durable: 0,
            pending: VecDeque::new(),
            batch: WriteBatch::default(),
            outbox: Vec::new(),
        };
        raft.load(entries);
        // The record may be ahead of what reached the disk of the log.
        if raft.log.term(known_commit.index) == Some(known_commit.term) {
            raft.commit = commit.max(known_commit.index);
        }
        raft.reset_election_deadline();
        raft
    }

    /// Loads the entries that are on disk.
    fn load(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index > self.snapshot.index {
                self.record_configuration(&entry);
            }
            self.log.append(entry);
        }
        self.durable = self.log.last();
    }

    /// Handles an event at the time `now`; appends the actions that the caller has to carry out, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // Checked at every event: the process may have been suspended since the last replies arrived.
        self.check_quorum(actions);
        match event {
            Event::Tick => self.tick(),
            Event::Message(message) => self.step(message, actions),
            Event::Persisted(number) => self.handle_persisted(number, actions),
            Event::Bootstrap { cluster, name, address } => self.bootstrap(cluster, name, address),
            Event::Propose { proposal_id, data } => {
                self.propose(proposal_id, EntryKind::Data(data), actions);
            }
            Event::Read { proposal_id } => self.handle_read(proposal_id, actions),
            Event::ChangeMembership { proposal_id, change } => {
                self.change_membership(proposal_id, change, actions);
            }
            Event::TransferLeadership(to) => self.transfer_leadership(to),
            Event::Snapshot { index, data } => self.compact(index, data),
        }
        self.finish_event(actions);
    }

    /// Starts an election at once, even if there is a live leader; for the model checker.
    #[cfg(feature = "planted-faults")]
    pub fn campaign(&mut self, actions: &mut Vec<Action>) {
        if self.is_voter() && !self.leads() {
            self.start_election(true);
        }
        self.finish_event(actions);
    }

    fn tick(&mut self) {
        match &mut self.role {
            Role::Leader(leader) if leader.heartbeat_deadline <= self.now => {
                if leader.transfer.is_some_and(|LeadershipTransfer { deadline, .. }| deadline <= self.now) {
                    leader.transfer = None;
                }
                for progress in leader.peers.values_mut() {
                    progress.resume();
                }
                self.broadcast_heartbeat();
            }
            Role::Leader(_) => {}
            _ => {
                if self.is_voter() && self.election_deadline <= self.now {
                    self.start_pre_vote();
                }
            }
        }
    }

    /// Sends a message in the current term.
    fn send(&mut self, to: Id, body: MessageBody) {
        self.send_in_term(self.hard_state.term, to, body);
    }

    fn send_in_term(&mut self, term: Term, to: Id, body: MessageBody) {
        let after_persist = self.is_promise(&body);
        let HardState { cluster, id: from, .. } = self.hard_state;
        let message = Message { cluster, from, to, term, body };
        self.outbox.push(OutgoingMessage { message, after_persist });
    }

    /// Whether an entry of the current term is committed, as far as this member knows.
    #[must_use]
    pub fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }
}

// Accessors.
impl Raft {
    /// This member's id.
    #[must_use]
    pub fn id(&self) -> Id {
        self.hard_state.id
    }

    /// The id of the log; 0 before the member has bootstrapped or joined one.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.hard_state.cluster
    }

    /// The latest term that this member has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The leader, as far as this member knows.
    #[must_use]
    pub fn leader(&self) -> Option<Id> {
        match &self.role {
            Role::Follower(follower) => follower.leader,
            Role::PreCandidate(_) | Role::Candidate(_) => None,
            Role::Leader(_) => Some(self.hard_state.id),
        }
    }

    /// Whether this member is the leader, as far as it knows.
    #[must_use]
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The index of the last committed entry, as far as this member knows.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The index of the last entry in the log.
    #[must_use]
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// The entry at `index`, if it is in memory.
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The index of the entry before the first one in memory.
    #[must_use]
    pub fn base(&self) -> Index {
        self.log.base()
    }

    /// The latest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The time since the last message from a leader or, at the leader, since the last contact with a quorum (us).
    #[must_use]
    pub fn time_since_contact(&self, now: Micros) -> Micros {
        let contact = if self.leads() { self.last_quorum_contact() } else { self.last_leader_contact };
        now.saturating_sub(contact)
    }

    /// The last entry that a member is known to have on disk; known to the leader only.
    #[must_use]
    pub fn matched(&self, id: Id) -> Option<Index> {
        match &self.role {
            Role::Leader(_) if id == self.hard_state.id => Some(self.durable),
            Role::Leader(leader) => leader.peers.get(&id).map(|progress| progress.matched),
            _ => None,
        }
    }

    /// When the next [`Event::Tick`] is due (us); `Micros::MAX` if none is.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        match &self.role {
            Role::Leader(leader) => {
                let step_down = self.last_quorum_contact() + self.options.election_timeout;
                leader.heartbeat_deadline.min(step_down)
            }
            _ if !self.is_voter() => Micros::MAX,
            _ => self.election_deadline,
        }
    }
}
