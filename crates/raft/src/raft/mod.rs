//! Consensus by Raft, as published in Diego Ongaro's thesis (Consensus: Bridging Theory and Practice, Stanford 2014):
//! elections with a pre-vote, a leader that steps down without a quorum, linearizable reads by read index, members changed
//! one at a time, learners, snapshots in chunks, leadership transfer.
//!
//! The state machine is pure: it takes an [`Event`] and returns [`Action`]s, which the caller carries out in their order.
//! The caller reports when an [`Action::Persist`] is on disk. What promises something (a vote, an acknowledgement) is held
//! back until then.
//!
//! The modules follow etcd's raft: `step` takes messages; `election`, `replication`, `read_index`, `membership`,
//! `transfer` and `snapshot` hold the parts of the protocol; `quorum` and `commit` decide what counts; `persistence` holds
//! back what has to wait for the disk.

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
use persistence::{OutgoingMessage, PendingOnDisk};
use role::{LeadershipTransfer, Role};
use snapshot::{EncodedSnapshot, IncomingSnapshot};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// A proposal of this member that is not applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    /// The term of its entry.
    term: Term,
    /// The caller's number for it.
    proposal_id: u64,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Raft {
    options: Options,
    hard_state: HardState,
    log: Log,
    snapshot: Arc<Snapshot>,
    /// Who the members are from which entry on, in order. The last one counts, whether its entry is committed or not.
    configurations: Vec<Configuration>,
    commit: Index,
    /// The last entry that the caller was told to apply.
    applied: Index,
    role: Role,
    /// When a message of a leader arrived last (us).
    last_leader_contact: Micros,
    /// When this member starts an election, if nobody leads (us).
    election_deadline: Micros,
    /// Elections and pre-votes that it has started: each draws another timeout.
    elections: u64,
    /// The time of the present event (us).
    now: Micros,
    /// Proposals by the index of their entry.
    proposals: BTreeMap<Index, Proposal>,
    incoming_snapshot: Option<IncomingSnapshot>,
    encoded_snapshot: Option<EncodedSnapshot>,
    /// The number of the last write batch that the caller was given.
    batches_issued: u64,
    /// The number of the last write batch that is on disk.
    batches_persisted: u64,
    /// The last entry that is on this member's disk.
    durable: Index,
    /// What waits for the disk, in order.
    pending: VecDeque<PendingOnDisk>,
    /// What the present event has changed so far.
    batch: WriteBatch,
    /// What the present event sends.
    outbox: Vec<OutgoingMessage>,
}

impl Raft {
    /// A member with what it has on disk; a new one has its drawn id there and nothing else.
    #[must_use]
    pub fn new(options: Options, saved: PersistentState, now: Micros) -> Self {
        let PersistentState { hard_state, snapshot, base, entries } = saved;
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
        raft.reset_election_deadline();
        raft
    }

    /// Takes the entries that are on disk.
    fn load(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index > self.snapshot.index {
                self.note_configuration(&entry);
            }
            self.log.append(entry);
        }
        self.durable = self.log.last();
    }

    /// Handles an event at the time `now`; appends what the caller has to do, in order.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // Checked with each event: the process may have been suspended since the others last answered.
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

    /// Starts an election now, whatever the member has heard: for the model checker.
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

    /// Sends a message of the present term.
    fn send(&mut self, to: Id, body: MessageBody) {
        self.send_in_term(self.hard_state.term, to, body);
    }

    fn send_in_term(&mut self, term: Term, to: Id, body: MessageBody) {
        let after_persist = self.is_promise(&body);
        let HardState { cluster, id: from, .. } = self.hard_state;
        let message = Message { cluster, from, to, term, body };
        self.outbox.push(OutgoingMessage { message, after_persist });
    }

    /// Whether an entry of the present term is committed, as far as this member knows.
    fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }
}

// What the caller may ask.
impl Raft {
    /// Its own id.
    #[must_use]
    pub fn id(&self) -> Id {
        self.hard_state.id
    }

    /// Which log this is; 0 before one was begun or joined.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.hard_state.cluster
    }

    /// The latest term that it has seen.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Who leads, as far as it knows.
    #[must_use]
    pub fn leader(&self) -> Option<Id> {
        match &self.role {
            Role::Follower(follower) => follower.leader,
            Role::PreCandidate(_) | Role::Candidate(_) => None,
            Role::Leader(_) => Some(self.hard_state.id),
        }
    }

    /// Whether it leads, as far as it knows.
    #[must_use]
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The last entry that is committed, as far as it knows.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The last entry of its log.
    #[must_use]
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// An entry that it has in memory.
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The entry before the first that it has in memory.
    #[must_use]
    pub fn base(&self) -> Index {
        self.log.base()
    }

    /// Its latest snapshot.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// How long ago the leader was last heard from, or, at the leader, a quorum (us).
    #[must_use]
    pub fn time_since_contact(&self, now: Micros) -> Micros {
        let contact = if self.leads() { self.last_quorum_contact() } else { self.last_leader_contact };
        now.saturating_sub(contact)
    }

    /// The last entry that a member is known to have on disk; only a leader knows.
    #[must_use]
    pub fn matched(&self, id: Id) -> Option<Index> {
        match &self.role {
            Role::Leader(_) if id == self.hard_state.id => Some(self.durable),
            Role::Leader(leader) => leader.peers.get(&id).map(|progress| progress.matched),
            _ => None,
        }
    }

    /// When the next [`Event::Tick`] is due (us); `Micros::MAX` for never.
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
