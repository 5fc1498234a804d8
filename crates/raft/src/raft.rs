//! Consensus, as published (Ongaro, Consensus: bridging theory and practice, 2014): elections with a pre-vote, a leader
//! that steps down without a majority, reads by rounds (read index), members changed one at a time, learners, snapshots in
//! pieces, hand-over.
//!
//! Events in, orders out. The caller carries out [`Action`]s in their order and says when a [`Action::Persist`] is on disk;
//! what promises something (a vote, an acknowledgement) is held back here until then.

use crate::log::Log;
use crate::message::{
    seal, Entry, EntryKind, HardState, Member, Members, Message, MessageBody, Snapshot, WireEntry,
};
use crate::progress::{Flow, Progress};
use crate::{Id, Index, Micros, Term};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Members that count in majorities, at the most.
pub const MAX_VOTERS: usize = 7;
/// Members of all kinds, at the most.
pub const MAX_MEMBERS: usize = 14;

/// Times and sizes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// A leader says something at least this often (us).
    pub heartbeat: Micros,
    /// Without a word of a leader for so long (us), up to twice that, a member stands. A leader that has not heard a
    /// majority for so long steps down.
    pub election: Micros,
    /// Bytes of entries in one message.
    pub batch: usize,
    /// Entries that are under way to one member.
    pub window: u64,
    /// Bytes of a snapshot in one message.
    pub piece: usize,
    /// The largest snapshot that is taken (bytes, encoded).
    pub snapshot: u64,
    /// Entries that a leader takes before they count. Beyond, it refuses.
    pub uncommitted: u64,
    /// The same in bytes.
    pub uncommitted_bytes: usize,
    /// Entries that stay behind a snapshot, for members that are a little late.
    pub tail: u64,
    /// The same in bytes.
    pub tail_bytes: usize,
    /// Draws the times of elections.
    pub seed: u64,
    /// A fault that a test plants.
    #[cfg(feature = "planted-faults")]
    pub planted_fault: Option<PlantedFault>,
}

impl Options {
    /// What suits members in one hall or in halls of one town.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            heartbeat: 50_000,
            election: 300_000,
            batch: 256 << 10,
            window: 256,
            piece: 64 << 10,
            snapshot: 32 << 20,
            uncommitted: 1024,
            uncommitted_bytes: 4 << 20,
            tail: 256,
            tail_bytes: 2 << 20,
            seed,
            #[cfg(feature = "planted-faults")]
            planted_fault: None,
        }
    }
}

/// Faults that a test plants, to see that it would catch them.
#[cfg(feature = "planted-faults")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlantedFault {
    /// A vote is told before it is on disk.
    VoteNotStored,
    /// An entry of an older term counts once a majority has it.
    CommitOlderTerm,
    /// A read without asking a majority.
    ReadAlone,
    /// Entries are acknowledged before they are on disk.
    AckNotStored,
    /// A snapshot that does not say who the members were.
    SnapshotForgets,
}

macro_rules! is_planted {
    ($self:ident, $planted_fault:ident) => {{
        #[cfg(feature = "planted-faults")]
        let is = $self.options.planted_fault == Some(PlantedFault::$planted_fault);
        #[cfg(not(feature = "planted-faults"))]
        let is = false;
        is
    }};
}

/// A change of who the members are.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// A learner joins: it gets all entries and does not count.
    Add(Id, String, String),
    /// A learner counts from here on.
    Promote(Id),
    /// A member leaves.
    Remove(Id),
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A message has come.
    Message(Message),
    /// The store of that number is on disk, and all before it.
    Persisted(u64),
    /// A member without a log founds one, alone.
    Found {
        /// Which log this will be; not 0.
        cluster: u64,
        /// Its own name.
        name: String,
        /// Its own address.
        address: String,
    },
    /// Somebody wants this in the log. Answered by [`Action::Apply`] or [`Action::Rejected`] with the same ticket.
    Propose {
        /// The caller's own number for it.
        proposal_id: u64,
        /// A command of the machine's.
        data: Arc<Vec<u8>>,
    },
    /// Somebody wants to read what counts now. Answered by [`Action::Read`] or [`Action::Rejected`].
    Read {
        /// The caller's own number for it.
        proposal_id: u64,
    },
    /// Somebody wants other members. Answered as a proposal is.
    Change {
        /// The caller's own number for it.
        proposal_id: u64,
        /// Which.
        change: Change,
    },
    /// Another member is to lead.
    TransferLeadership(Id),
    /// The machine, as it is after that entry, is kept in place of the entries.
    Snapshot {
        /// The last entry in it: one that was applied.
        index: Index,
        /// The machine's own form.
        data: Arc<Vec<u8>>,
    },
}

/// Why something was not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposeError {
    /// This member does not lead; that one may. Nothing was done.
    NotLeader(Option<Id>),
    /// Too much is under way. Nothing was done.
    Busy,
    /// The members cannot be changed so, or not now. Nothing was done.
    NotNow(&'static str),
    /// The entry was overwritten: it was not done and will not be.
    Lost,
    /// This member leads no longer: it may count later, or never.
    Unknown,
}

/// What goes to disk, whole and in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct WriteBatch {
    /// Its number, from 1.
    pub number: u64,
    /// In place of what was there.
    pub hard: Option<HardState>,
    /// A snapshot; where entries of another history were held, they go with it.
    pub snapshot: Option<Arc<Snapshot>>,
    /// All entries held go: the snapshot begins anew.
    pub reset: bool,
    /// Entries from there on go first.
    pub truncate: Option<Index>,
    /// New entries, in order.
    pub entries: Vec<Entry>,
    /// Entries up to there are not needed any more.
    pub compact: Option<Index>,
}

impl WriteBatch {
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What the caller does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Put this on disk, then say [`Event::Persisted`].
    Persist(WriteBatch),
    /// Send this; it may be lost.
    Send(Message),
    /// This entry counts. `proposal_id` is of one that was proposed here.
    Apply {
        /// The entry.
        entry: Entry,
        /// Whose it is.
        proposal_id: Option<u64>,
    },
    /// The machine is this from here on.
    Restore(Arc<Snapshot>),
    /// All entries up to `index` were applied before this order: read now.
    Read {
        /// Whose it is.
        proposal_id: u64,
        /// What the read is as of.
        index: Index,
    },
    /// It was not done.
    Rejected {
        /// Whose it is.
        proposal_id: u64,
        /// Why.
        why: ProposeError,
    },
}

/// What is on disk when a member starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    /// The latest that was stored.
    pub hard: HardState,
    /// The latest that was stored.
    pub snapshot: Arc<Snapshot>,
    /// The entry before the first one held, and its term.
    pub base: (Index, Term),
    /// Entries, in order and without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// What is on disk after a store.
    pub fn take(&mut self, store: &WriteBatch) {
        if let Some(hard) = &store.hard {
            self.hard = hard.clone();
        }
        if let Some(snapshot) = &store.snapshot {
            self.snapshot = snapshot.clone();
        }
        if store.reset {
            self.base = (self.snapshot.index, self.snapshot.term);
            self.entries.clear();
        }
        if let Some(from) = store.truncate {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(store.entries.iter().cloned());
        if let Some(to) = store.compact {
            if let Some(at) = self.entries.iter().position(|entry| entry.index == to) {
                self.base = (to, self.entries[at].term);
                self.entries.drain(..=at);
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Role {
    Follower,
    /// Asks whether it would be voted for.
    Before(BTreeSet<Id>),
    Candidate(BTreeSet<Id>),
    Leader(Box<Lead>),
}

/// What a leader has beside the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lead {
    others: BTreeMap<Id, Progress>,
    round: u64,
    /// Reads that wait for a majority to answer a round: ticket, index, round.
    reads: VecDeque<(u64, Index, u64)>,
    beat_at: Micros,
    /// To whom it hands over, and until when it takes nothing new for that.
    hand_over: Option<(Id, Micros)>,
}

/// What waits for the disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Held {
    Send(Message),
    /// One's own vote in that term.
    Vote(Term),
    /// The last entry that is in the store.
    Last(Index),
}

/// A snapshot that is coming in.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Incoming {
    index: Index,
    term: Term,
    whole: u64,
    bytes: Vec<u8>,
}

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Raft {
    options: Options,
    hard: HardState,
    log: Log,
    snapshot: Arc<Snapshot>,
    /// Who the members are from which entry on; the last one counts, whether committed or not.
    members: Vec<(Index, Members)>,
    commit: Index,
    /// The last entry that was given out to be applied.
    applied: Index,
    role: Role,
    leader: Option<Id>,
    /// When a leader was last heard of.
    heard: Micros,
    /// When to stand, if nobody leads.
    stand_at: Micros,
    /// Counts how often it stood: each time is drawn anew.
    stood: u64,
    now: Micros,
    /// Proposals by entry: term and ticket.
    proposal_ids: BTreeMap<Index, (Term, u64)>,
    incoming: Option<Incoming>,
    /// The snapshot as it is sent, encoded once.
    outgoing: Option<(Index, Arc<Vec<u8>>)>,
    /// Stores ordered, and stores on disk.
    issued: u64,
    stored: u64,
    /// Entries up to there are on this disk.
    durable: Index,
    held: VecDeque<(u64, Held)>,
    /// What this event has changed and said so far.
    dirty: WriteBatch,
    outbox: Vec<(bool, Message)>,
}

/// `SplitMix64`'s step.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

impl Raft {
    /// A member with what it has on disk; a new one has its drawn number there and nothing else.
    #[must_use]
    pub fn new(options: Options, saved: PersistentState, now: Micros) -> Self {
        let PersistentState { hard, snapshot, base, entries } = saved;
        let mut members = vec![(snapshot.index, snapshot.members.clone())];
        let mut log = Log::new(base.0, base.1);
        for entry in entries {
            if let EntryKind::Members(held) = &entry.kind {
                if entry.index > snapshot.index {
                    members.push((entry.index, held.clone()));
                }
            }
            log.push(entry);
        }
        let (commit, durable) = (snapshot.index, log.last());
        let mut raft = Self {
            options,
            hard,
            log,
            snapshot,
            members,
            commit,
            applied: commit,
            role: Role::Follower,
            leader: None,
            heard: 0,
            stand_at: 0,
            stood: 0,
            now,
            proposal_ids: BTreeMap::new(),
            incoming: None,
            outgoing: None,
            issued: 0,
            stored: 0,
            durable,
            held: VecDeque::new(),
            dirty: WriteBatch::default(),
            outbox: Vec::new(),
        };
        raft.wait_for_leader();
        raft
    }

    /// Its own number.
    #[must_use]
    pub fn id(&self) -> Id {
        self.hard.id
    }

    /// Which log this is; 0 before one was founded or joined.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.hard.cluster
    }

    /// The latest term that it has heard of.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Who leads, as far as it knows.
    #[must_use]
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Whether it leads, as far as it knows.
    #[must_use]
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The last entry that counts, as far as it knows.
    #[must_use]
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The last entry that it holds.
    #[must_use]
    pub fn last(&self) -> Index {
        self.log.last()
    }

    /// An entry that it holds in memory.
    #[must_use]
    pub fn entry(&self, index: Index) -> Option<&Entry> {
        self.log.get(index)
    }

    /// The entry before the first that it holds in memory.
    #[must_use]
    pub fn base(&self) -> Index {
        self.log.base()
    }

    /// The snapshot that it holds.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The members as the last entry about them says, whether it counts yet or not.
    #[must_use]
    pub fn members(&self) -> &Members {
        static NONE: Members = Members::new();
        self.members.last().map_or(&NONE, |(_, members)| members)
    }

    /// The entry that says who the [`members`](Self::members) are, while it does not count yet: it may be undone.
    #[must_use]
    pub fn changing(&self) -> Option<Index> {
        self.members.last().map(|(index, _)| *index).filter(|index| *index > self.commit)
    }

    /// How long ago the leader was last heard of, or, at the leader, a majority (us).
    #[must_use]
    pub fn silence(&self, now: Micros) -> Micros {
        now.saturating_sub(if self.leads() { self.majority_heard() } else { self.heard })
    }

    /// Entries that a member is known to have on disk; only a leader knows.
    #[must_use]
    pub fn matched(&self, id: Id) -> Option<Index> {
        match &self.role {
            Role::Leader(_) if id == self.hard.id => Some(self.durable),
            Role::Leader(lead) => lead.others.get(&id).map(|p| p.matched),
            _ => None,
        }
    }

    /// When [`Event::Tick`] is due.
    #[must_use]
    pub fn next(&self) -> Micros {
        match &self.role {
            Role::Leader(lead) => lead.beat_at.min(self.majority_heard() + self.options.election),
            _ if !self.votes() => Micros::MAX,
            _ => self.stand_at,
        }
    }

    /// Takes an event.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        // At the moment of the act: the process may have slept since the last word of the others.
        self.lapse(out);
        match event {
            Event::Tick => self.tick(),
            Event::Message(message) => self.message(message, out),
            Event::Persisted(number) => self.on_disk(number, out),
            Event::Found { cluster, name, address } => self.found(cluster, name, address),
            Event::Propose { proposal_id, data } => self.propose(proposal_id, EntryKind::Data(data), out),
            Event::Read { proposal_id } => self.read(proposal_id, out),
            Event::Change { proposal_id, change } => self.change(proposal_id, change, out),
            Event::TransferLeadership(to) => self.hand_over(to),
            Event::Snapshot { index, data } => self.compact(index, data),
        }
        self.settle(out);
    }

    /// Stands for election now, whatever it has heard: for the checking of the model.
    #[cfg(feature = "planted-faults")]
    pub fn campaign(&mut self, out: &mut Vec<Action>) {
        if self.votes() && !self.leads() {
            self.stand(true);
        }
        self.settle(out);
    }

    // --- what holds for all roles

    fn voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.members().iter().filter(|(_, m)| m.votes).map(|(id, _)| *id)
    }

    fn votes(&self) -> bool {
        self.members().get(&self.hard.id).is_some_and(|m| m.votes)
    }

    fn is_majority(&self, of: &BTreeSet<Id>) -> bool {
        let all = self.voters().count();
        self.voters().filter(|id| of.contains(id)).count() * 2 > all
    }

    /// The greatest value that a majority of the voters reaches.
    fn by_majority(&self, value: impl Fn(Id) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or_default()
    }

    /// When a majority, oneself included, was last heard of.
    fn majority_heard(&self) -> Micros {
        let Role::Leader(lead) = &self.role else { return self.now };
        let own = self.hard.id;
        self.by_majority(|id| if id == own { self.now } else { lead.others.get(&id).map_or(0, |p| p.heard) })
    }

    fn wait_for_leader(&mut self) {
        let spread = mix(self.options.seed ^ mix(self.hard.id) ^ self.stood) % self.options.election;
        self.stand_at = self.now + self.options.election + spread;
    }

    fn say(&mut self, to: Id, body: MessageBody) {
        self.say_in(self.hard.term, to, body);
    }

    fn say_in(&mut self, term: Term, to: Id, body: MessageBody) {
        // What promises something waits until that is on disk.
        let promise = match &body {
            MessageBody::Vote { .. } | MessageBody::VoteReply(true) => !is_planted!(self, VoteNotStored),
            MessageBody::AppendReply { fits: true, .. } | MessageBody::PieceReply { .. } => {
                !is_planted!(self, AckNotStored)
            }
            _ => false,
        };
        let message = Message { cluster: self.hard.cluster, from: self.hard.id, to, term, body };
        self.outbox.push((promise, message));
    }

    fn follow(&mut self, term: Term, leader: Option<Id>, out: &mut Vec<Action>) {
        if term > self.hard.term {
            (self.hard.term, self.hard.vote) = (term, None);
            self.dirty.hard = Some(self.hard.clone());
        }
        if let Role::Leader(lead) = std::mem::replace(&mut self.role, Role::Follower) {
            // What was asked here may count under another leader, or not: nobody knows.
            let proposal_ids =
                std::mem::take(&mut self.proposal_ids).into_values().map(|(_, proposal_id)| proposal_id);
            let reads = lead.reads.iter().map(|(proposal_id, ..)| *proposal_id);
            out.extend(
                proposal_ids.map(|proposal_id| Action::Rejected { proposal_id, why: ProposeError::Unknown }),
            );
            out.extend(
                reads.map(|proposal_id| Action::Rejected {
                    proposal_id,
                    why: ProposeError::NotLeader(leader),
                }),
            );
        }
        self.leader = leader;
        self.wait_for_leader();
    }

    /// A leader that has not heard a majority for too long is none.
    fn lapse(&mut self, out: &mut Vec<Action>) {
        if self.leads() && self.majority_heard() + self.options.election <= self.now {
            self.follow(self.hard.term, None, out);
        }
    }

    fn tick(&mut self) {
        match &mut self.role {
            Role::Leader(lead) if lead.beat_at <= self.now => {
                if lead.hand_over.is_some_and(|(_, until)| until <= self.now) {
                    lead.hand_over = None;
                }
                for progress in lead.others.values_mut() {
                    // What was under way may be lost.
                    if let Flow::Probe { waits } | Flow::Snapshot { waits, .. } = &mut progress.flow {
                        *waits = false;
                    }
                }
                self.beat();
            }
            Role::Leader(_) => {}
            _ => {
                if self.votes() && self.stand_at <= self.now {
                    self.ask_before();
                }
            }
        }
    }

    fn message(&mut self, message: Message, out: &mut Vec<Action>) {
        let Message { cluster, from, to, term, body } = message;
        if to != self.hard.id || from == to || cluster == 0 {
            return;
        }
        if self.hard.cluster != cluster {
            // One that has no log yet joins that of the first leader that speaks to it; any other is not meant.
            let leads = matches!(body, MessageBody::Append { .. } | MessageBody::Piece { .. });
            if self.hard.cluster != 0 || !leads {
                return;
            }
            self.hard.cluster = cluster;
            self.dirty.hard = Some(self.hard.clone());
        }
        let led = self.leader.is_some() && self.heard + self.options.election > self.now || self.leads();
        match body {
            MessageBody::PreVote { last, last_term } => {
                let granted = !led && term > self.hard.term && self.is_up_to_date(last, last_term);
                let reply = if granted { term } else { self.hard.term };
                return self.say_in(reply, from, MessageBody::PreVoteReply(granted));
            }
            // One that cannot hear the leader, or was removed, must not disturb those that can.
            MessageBody::Vote { handed: false, .. } if led && term > self.hard.term => return,
            MessageBody::PreVoteReply(true) => {}
            _ if term > self.hard.term => {
                let leads = matches!(body, MessageBody::Append { .. } | MessageBody::Piece { .. });
                self.follow(term, leads.then_some(from), out);
            }
            _ => {}
        }
        if term < self.hard.term {
            // A leader of the past is told, and so is one that stands for it.
            return match body {
                MessageBody::Append { prev, round, .. } => {
                    self.say(from, MessageBody::AppendReply { fits: false, index: prev, hint: 0, round });
                }
                MessageBody::Piece { index, round, .. } => {
                    self.say(from, MessageBody::PieceReply { index, have: 0, round });
                }
                MessageBody::Vote { .. } => self.say(from, MessageBody::VoteReply(false)),
                _ => {}
            };
        }
        match body {
            MessageBody::PreVote { .. } => {}
            MessageBody::PreVoteReply(granted) => self.heard_before(from, term, granted),
            MessageBody::Vote { last, last_term, .. } => self.vote(from, last, last_term),
            MessageBody::VoteReply(granted) => self.heard_vote(from, granted),
            MessageBody::Append { prev, prev_term, commit, round, entries } => {
                self.led_by(from, out);
                self.append((from, round), (prev, prev_term), commit, entries);
            }
            MessageBody::Piece { index, term, whole, at, bytes, round } => {
                self.led_by(from, out);
                self.piece((from, round), Incoming { index, term, whole, bytes }, at, out);
            }
            MessageBody::AppendReply { fits, index, hint, round } => {
                self.appended(from, fits, index, hint, round);
            }
            MessageBody::PieceReply { index, have, round } => self.has_piece(from, index, have, round),
            MessageBody::TimeoutNow if self.votes() && self.leader == Some(from) => self.stand(true),
            MessageBody::TimeoutNow => {}
        }
    }

    // --- elections

    fn is_up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    fn ask_before(&mut self) {
        self.leader = None;
        self.role = Role::Before(BTreeSet::from([self.hard.id]));
        self.stood += 1;
        self.wait_for_leader();
        if self.voters().count() == 1 {
            return self.stand(false);
        }
        let body = MessageBody::PreVote { last: self.log.last(), last_term: self.log.last_term() };
        for id in self.other_voters() {
            self.say_in(self.hard.term + 1, id, body.clone());
        }
    }

    fn other_voters(&self) -> Vec<Id> {
        self.voters().filter(|id| *id != self.hard.id).collect()
    }

    fn heard_before(&mut self, from: Id, term: Term, granted: bool) {
        let Role::Before(granting) = &mut self.role else { return };
        if granted && term == self.hard.term + 1 {
            granting.insert(from);
            let granting = granting.clone();
            if self.is_majority(&granting) {
                self.stand(false);
            }
        }
    }

    fn stand(&mut self, handed: bool) {
        self.leader = None;
        self.hard.term += 1;
        self.hard.vote = Some(self.hard.id);
        self.dirty.hard = Some(self.hard.clone());
        self.role = Role::Candidate(BTreeSet::new());
        self.stood += 1;
        self.wait_for_leader();
        let body = MessageBody::Vote { last: self.log.last(), last_term: self.log.last_term(), handed };
        for id in self.other_voters() {
            self.say(id, body.clone());
        }
        // Its own vote is none before it is on disk.
        self.held.push_back((self.issued + 1, Held::Vote(self.hard.term)));
    }

    fn vote(&mut self, from: Id, last: Index, last_term: Term) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = free && !self.leads() && self.is_up_to_date(last, last_term);
        if granted {
            if self.hard.vote != Some(from) {
                self.hard.vote = Some(from);
                self.dirty.hard = Some(self.hard.clone());
            }
            self.wait_for_leader();
        }
        self.say(from, MessageBody::VoteReply(granted));
    }

    fn heard_vote(&mut self, from: Id, granted: bool) {
        let Role::Candidate(granting) = &mut self.role else { return };
        if granted {
            granting.insert(from);
            let granting = granting.clone();
            if self.is_majority(&granting) {
                self.lead();
            }
        }
    }

    fn lead(&mut self) {
        self.leader = Some(self.hard.id);
        self.role = Role::Leader(Box::new(Lead {
            others: BTreeMap::new(),
            round: 0,
            reads: VecDeque::new(),
            beat_at: self.now,
            hand_over: None,
        }));
        // Entries of older terms count only with one of its own.
        self.take(EntryKind::Empty);
        self.watch_members();
        self.beat();
    }

    // --- what a leader does

    /// Follows who the members are.
    fn watch_members(&mut self) {
        let (next, now) = (self.log.last(), self.now);
        let members: BTreeSet<Id> = self.members().keys().copied().filter(|id| *id != self.hard.id).collect();
        let Role::Leader(lead) = &mut self.role else { return };
        lead.others.retain(|id, _| members.contains(id));
        for id in members {
            lead.others.entry(id).or_insert_with(|| Progress::new(next, now));
        }
    }

    /// Puts an entry behind the others.
    fn take(&mut self, kind: EntryKind) -> Index {
        let entry = Entry { index: self.log.last() + 1, term: self.hard.term, kind };
        let index = entry.index;
        self.hold(entry);
        index
    }

    fn hold(&mut self, entry: Entry) {
        if let EntryKind::Members(members) = &entry.kind {
            self.members.push((entry.index, members.clone()));
        }
        self.dirty.entries.push(entry.clone());
        self.log.push(entry);
    }

    fn propose(&mut self, proposal_id: u64, kind: EntryKind, out: &mut Vec<Action>) {
        let refuse = |why| Action::Rejected { proposal_id, why };
        let Role::Leader(lead) = &self.role else {
            return out.push(refuse(ProposeError::NotLeader(self.leader)));
        };
        if let Some((to, _)) = lead.hand_over {
            return out.push(refuse(ProposeError::NotLeader(Some(to))));
        }
        let bytes = self.log.bytes_after(self.commit);
        if self.log.last() - self.commit >= self.options.uncommitted || bytes > self.options.uncommitted_bytes
        {
            return out.push(refuse(ProposeError::Busy));
        }
        let index = self.take(kind);
        self.proposal_ids.insert(index, (self.hard.term, proposal_id));
        self.watch_members();
        self.send_all();
    }

    fn change(&mut self, proposal_id: u64, change: Change, out: &mut Vec<Action>) {
        let mut members = self.members().clone();
        let why = if !self.leads() {
            Some(ProposeError::NotLeader(self.leader))
        } else if self.changing().is_some() {
            Some(ProposeError::NotNow("another change of members is under way"))
        } else if self.log.term(self.commit) != Some(self.hard.term) {
            // Two leaders might each change by one, from different beginnings.
            Some(ProposeError::NotNow("the leader is new: nothing of its term counts yet"))
        } else {
            let late = |id| self.matched(id).is_none_or(|m| m + self.options.window < self.log.last());
            match change {
                Change::Promote(_) if self.voters().count() >= MAX_VOTERS => {
                    Some(ProposeError::NotNow("there are as many voters as there may be"))
                }
                Change::Add(..) if members.len() >= MAX_MEMBERS => {
                    Some(ProposeError::NotNow("there are as many members as there may be"))
                }
                Change::Add(id, name, address) => {
                    let known = members.contains_key(&id);
                    members.entry(id).or_insert(Member { name, address, votes: false });
                    known.then_some(ProposeError::NotNow("it is a member"))
                }
                Change::Promote(id) if late(id) => Some(ProposeError::NotNow("it has too few entries yet")),
                Change::Promote(id) => match members.get_mut(&id) {
                    Some(member) if !member.votes => {
                        member.votes = true;
                        None
                    }
                    _ => Some(ProposeError::NotNow("it is no learner")),
                },
                Change::Remove(id) => {
                    let held = members.remove(&id);
                    let last = members.values().all(|m| !m.votes);
                    (held.is_none() || last).then_some(ProposeError::NotNow("it is no member, or the last"))
                }
            }
        };
        match why {
            Some(why) => out.push(Action::Rejected { proposal_id, why }),
            None => self.propose(proposal_id, EntryKind::Members(members), out),
        }
    }

    fn read(&mut self, proposal_id: u64, out: &mut Vec<Action>) {
        let (commit, leader) = (self.commit, self.leader);
        let alone = is_planted!(self, ReadAlone);
        let Role::Leader(lead) = &mut self.role else {
            return out.push(Action::Rejected { proposal_id, why: ProposeError::NotLeader(leader) });
        };
        if alone {
            return out.push(Action::Read { proposal_id, index: commit });
        }
        if lead.reads.len() as u64 >= self.options.uncommitted {
            return out.push(Action::Rejected { proposal_id, why: ProposeError::Busy });
        }
        // A round that begins now: answers to it show that nobody else led when the read was asked for.
        lead.round += 1;
        lead.reads.push_back((proposal_id, commit, lead.round));
        self.beat();
    }

    fn hand_over(&mut self, to: Id) {
        let until = self.now + self.options.election;
        let votes = to != self.hard.id && self.voters().any(|id| id == to);
        let Role::Leader(lead) = &mut self.role else { return };
        if votes {
            lead.hand_over = Some((to, until));
            self.hand_over_now();
        }
    }

    /// Once the other has all entries.
    fn hand_over_now(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let Some((to, _)) = lead.hand_over else { return };
        if lead.others.get(&to).is_some_and(|p| p.matched == self.log.last()) {
            self.say(to, MessageBody::TimeoutNow);
        }
    }

    /// Says something to everyone.
    fn beat(&mut self) {
        let Role::Leader(lead) = &mut self.role else { return };
        lead.beat_at = self.now + self.options.heartbeat;
        let others: Vec<Id> = lead.others.keys().copied().collect();
        for id in others {
            self.send(id, true);
        }
    }

    /// Says what is new to everyone.
    fn send_all(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let others: Vec<Id> = lead.others.keys().copied().collect();
        for id in others {
            self.send(id, false);
        }
    }

    /// Sends a member what it lacks; something in any case where `beat`.
    fn send(&mut self, id: Id, beat: bool) {
        let (commit, last, base) = (self.commit, self.log.last(), self.log.base());
        let Role::Leader(lead) = &mut self.role else { return };
        let round = lead.round;
        let Some(progress) = lead.others.get_mut(&id) else { return };
        if progress.next <= base {
            let held = matches!(progress.flow, Flow::Snapshot { index, .. } if index == self.snapshot.index);
            if !held {
                progress.flow = Flow::Snapshot { index: self.snapshot.index, at: 0, waits: false };
            }
        }
        let mut waits = false;
        match &mut progress.flow {
            Flow::Snapshot { waits: true, .. } if !beat => return,
            Flow::Snapshot { at, waits, .. } => {
                let at = *at;
                *waits = true;
                return self.send_piece(id, at, round);
            }
            Flow::Probe { waits: w } => {
                waits = *w;
                *w = true;
            }
            Flow::Stream => {}
        }
        loop {
            let Role::Leader(lead) = &mut self.role else { return };
            let Some(progress) = lead.others.get_mut(&id) else { return };
            let streams = progress.flow == Flow::Stream;
            let room = streams && progress.next <= progress.matched + self.options.window;
            let prev = progress.next - 1;
            let full = if streams { room } else { !waits };
            let entries = if full { self.log.from(progress.next, self.options.batch) } else { Vec::new() };
            if streams {
                progress.next += entries.len() as Index;
            }
            let more = streams && !entries.is_empty() && progress.next <= last;
            if entries.is_empty() && !beat {
                return;
            }
            // `prev` is held: the base at least.
            let prev_term = self.log.term(prev).unwrap_or_default();
            let entries = entries.into_iter().map(WireEntry).collect();
            self.say(id, MessageBody::Append { prev, prev_term, commit, round, entries });
            if !more {
                return;
            }
        }
    }

    fn send_piece(&mut self, id: Id, at: u64, round: u64) {
        if self.outgoing.as_ref().is_none_or(|(index, _)| *index != self.snapshot.index) {
            self.outgoing = Some((self.snapshot.index, Arc::new(seal(&*self.snapshot))));
        }
        let Some((_, bytes)) = self.outgoing.clone() else { return };
        let from = (at as usize).min(bytes.len());
        let to = (from + self.options.piece).min(bytes.len());
        let (index, term, whole) = (self.snapshot.index, self.snapshot.term, bytes.len() as u64);
        self.say(id, MessageBody::Piece { index, term, whole, at, bytes: bytes[from..to].to_vec(), round });
    }

    /// Something was heard of a member.
    fn progress(&mut self, from: Id, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let Role::Leader(lead) = &mut self.role else { return None };
        let progress = lead.others.get_mut(&from)?;
        progress.heard = now;
        progress.round = progress.round.max(round);
        Some(progress)
    }

    fn appended(&mut self, from: Id, fits: bool, index: Index, hint: Index, round: u64) {
        let last = self.log.last();
        let Some(progress) = self.progress(from, round) else { return };
        if fits && index <= last {
            progress.holds(index);
        } else if !fits {
            progress.parts(index, hint);
        }
        self.send(from, false);
        self.hand_over_now();
    }

    fn has_piece(&mut self, from: Id, index: Index, have: u64, round: u64) {
        let Some(progress) = self.progress(from, round) else { return };
        match &mut progress.flow {
            // The answer to a piece that was sent again says nothing new, and calls for no further piece.
            Flow::Snapshot { index: own, at, waits } if *own == index && *at != have => {
                (*at, *waits) = (have, false);
            }
            _ => return,
        }
        let whole = self.outgoing.as_ref().filter(|(own, _)| *own == index).map(|(_, b)| b.len() as u64);
        if whole == Some(have) {
            if let Some(progress) = self.progress(from, round) {
                progress.holds(index);
            }
        }
        self.send(from, false);
    }

    // --- what a follower does

    fn led_by(&mut self, leader: Id, out: &mut Vec<Action>) {
        // In a term there is one leader at most, so this member does not lead.
        self.heard = self.now;
        if self.leader != Some(leader) || !matches!(self.role, Role::Follower) {
            self.follow(self.hard.term, Some(leader), out);
        }
        self.wait_for_leader();
    }

    fn append(
        &mut self,
        (from, round): (Id, u64),
        (prev, prev_term): (Index, Term),
        commit: Index,
        entries: Vec<WireEntry>,
    ) {
        let base = self.log.base();
        // What a snapshot covers is the same as the leader's: it counted.
        let fits = prev < base || self.log.term(prev) == Some(prev_term);
        if !fits {
            let hint = match self.log.term(prev) {
                Some(_) => self.log.first_of_term(prev) - 1,
                None => self.log.last(),
            };
            return self.say(from, MessageBody::AppendReply { fits: false, index: prev, hint, round });
        }
        let mut last = prev;
        for WireEntry(entry) in entries {
            if entry.index != last + 1 {
                break; // a gap: no leader sends that
            }
            last = entry.index;
            if last <= base || self.log.term(last) == Some(entry.term) {
                continue;
            }
            if self.log.get(last).is_some() {
                if last <= self.commit {
                    return; // no leader sends that: what counts stays
                }
                self.truncate(last);
            }
            self.hold(entry);
        }
        let known = last.max(base);
        self.commit = self.commit.max(commit.min(known));
        self.say(from, MessageBody::AppendReply { fits: true, index: known, hint: 0, round });
    }

    fn truncate(&mut self, from: Index) {
        self.log.truncate(from);
        self.members.retain(|(index, _)| *index < from);
        self.durable = self.durable.min(from - 1);
        for (_, held) in &mut self.held {
            if let Held::Last(last) = held {
                *last = (*last).min(from - 1);
            }
        }
        // Entries that this very event has brought are not on their way to the disk yet.
        self.dirty.entries.retain(|entry| entry.index < from);
        self.dirty.truncate = Some(self.dirty.truncate.map_or(from, |at| at.min(from)));
    }

    fn piece(&mut self, (from, round): (Id, u64), piece: Incoming, at: u64, out: &mut Vec<Action>) {
        let index = piece.index;
        if index <= self.commit {
            // All that is in it counts here already.
            return self.say(from, MessageBody::PieceReply { index, have: piece.whole, round });
        }
        if piece.whole > self.options.snapshot {
            return;
        }
        let same = |held: &Incoming| (held.index, held.term, held.whole) == (index, piece.term, piece.whole);
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(Incoming { bytes: Vec::new(), ..piece.clone() });
        }
        let Some(held) = &mut self.incoming else { return };
        let fits = held.bytes.len() as u64 == at && at + piece.bytes.len() as u64 <= held.whole;
        if fits {
            held.bytes.extend_from_slice(&piece.bytes);
        }
        let have = held.bytes.len() as u64;
        if have == held.whole {
            let read = crate::message::open::<Snapshot>(&held.bytes);
            self.incoming = None;
            let right = read.ok().filter(|s| s.index == index && s.term == piece.term);
            let Some(snapshot) = right else {
                return self.say(from, MessageBody::PieceReply { index, have: 0, round });
            };
            self.restore(Arc::new(snapshot), out);
        }
        self.say(from, MessageBody::PieceReply { index, have, round });
    }

    fn restore(&mut self, snapshot: Arc<Snapshot>, out: &mut Vec<Action>) {
        let index = snapshot.index;
        let follows = self.log.term(index) == Some(snapshot.term);
        self.members.retain(|(at, _)| follows && *at > index);
        self.members.insert(0, (index, snapshot.members.clone()));
        if follows {
            self.log.compact(index);
            self.dirty.compact = Some(index);
        } else {
            self.log = Log::new(index, snapshot.term);
            (self.dirty.reset, self.dirty.truncate, self.dirty.compact) = (true, None, None);
            self.dirty.entries.clear();
            self.durable = 0;
            self.held.retain(|(_, held)| !matches!(held, Held::Last(_)));
        }
        (self.commit, self.applied) = (index, index);
        self.snapshot = snapshot.clone();
        self.dirty.snapshot = Some(snapshot.clone());
        out.push(Action::Restore(snapshot));
    }

    // --- the log, the disk, what counts

    fn found(&mut self, cluster: u64, name: String, address: String) {
        if self.hard.cluster != 0 || cluster == 0 || self.log.last() > 0 {
            return;
        }
        (self.hard.cluster, self.hard.term) = (cluster, 1);
        self.dirty.hard = Some(self.hard.clone());
        let myself = Member { name, address, votes: true };
        let members = Members::from([(self.hard.id, myself)]);
        self.take(EntryKind::Members(members));
        self.stand_at = self.now;
        self.ask_before();
    }

    /// Keeps the machine as it is after `index` in place of the entries.
    fn compact(&mut self, index: Index, data: Arc<Vec<u8>>) {
        let Some(term) = self.log.term(index) else { return };
        if index <= self.snapshot.index || index > self.applied {
            return;
        }
        let at = self.members.iter().rposition(|(from, _)| *from <= index).unwrap_or_default();
        let mut members = self.members[at].1.clone();
        self.members.drain(..at);
        if is_planted!(self, SnapshotForgets) {
            members = Members::new();
        }
        self.snapshot = Arc::new(Snapshot { index, term, members, data });
        self.dirty.snapshot = Some(self.snapshot.clone());
        let fits = self.log.first_within(index, self.options.tail_bytes);
        let to = index.saturating_sub(self.options.tail).max(fits);
        if to > self.log.base() {
            self.log.compact(to);
            self.dirty.compact = Some(to);
        }
    }

    fn on_disk(&mut self, number: u64, out: &mut Vec<Action>) {
        self.stored = self.stored.max(number.min(self.issued));
        while self.held.front().is_some_and(|(at, _)| *at <= self.stored) {
            match self.held.pop_front() {
                Some((_, Held::Send(message))) => out.push(Action::Send(message)),
                Some((_, Held::Last(last))) => self.durable = last,
                Some((_, Held::Vote(term))) if term == self.hard.term => self.heard_vote(self.hard.id, true),
                _ => {}
            }
        }
    }

    /// Ends an event: what has changed goes to disk, what was said goes out or waits for that, what counts is applied.
    fn settle(&mut self, out: &mut Vec<Action>) {
        self.count();
        if !self.dirty.is_empty() {
            self.issued += 1;
            let mut store = std::mem::take(&mut self.dirty);
            store.number = self.issued;
            self.held.push_back((self.issued, Held::Last(self.log.last())));
            out.push(Action::Persist(store));
        }
        for (promise, message) in std::mem::take(&mut self.outbox) {
            if promise && self.stored < self.issued {
                self.held.push_back((self.issued, Held::Send(message)));
            } else {
                out.push(Action::Send(message));
            }
        }
        self.apply(out);
    }

    /// A leader: which entries a majority has.
    fn count(&mut self) {
        let Role::Leader(lead) = &self.role else { return };
        let own = self.hard.id;
        let durable = if is_planted!(self, AckNotStored) { self.log.last() } else { self.durable };
        let has = |id| if id == own { durable } else { lead.others.get(&id).map_or(0, |p| p.matched) };
        let index = self.by_majority(has);
        let of_term = self.log.term(index) == Some(self.hard.term) || is_planted!(self, CommitOlderTerm);
        if index > self.commit && of_term {
            self.commit = index;
            // The others hear of it at once: what they serve is not older than need be.
            self.beat();
        }
        let ready = self.log.term(self.commit) == Some(self.hard.term);
        let Role::Leader(lead) = &self.role else { return };
        let round = self.by_majority(|id| {
            if id == own {
                lead.round
            } else {
                lead.others.get(&id).map_or(0, |p| p.round)
            }
        });
        let Role::Leader(lead) = &mut self.role else { return };
        // Before an entry of its own term counts, a leader does not know what else does.
        if ready {
            for read in lead.reads.iter_mut().filter(|read| read.2 <= round) {
                read.2 = 0;
            }
        }
    }

    fn apply(&mut self, out: &mut Vec<Action>) {
        let mut removed = false;
        while self.applied < self.commit {
            self.applied += 1;
            let Some(entry) = self.log.get(self.applied).cloned() else { continue };
            let mine = self.proposal_ids.remove(&entry.index);
            let proposal_id =
                mine.filter(|(term, _)| *term == entry.term).map(|(_, proposal_id)| proposal_id);
            if let Some((_, proposal_id)) = mine.filter(|(term, _)| *term != entry.term) {
                out.push(Action::Rejected { proposal_id, why: ProposeError::Lost });
            }
            if let EntryKind::Members(members) = &entry.kind {
                removed |= !members.contains_key(&self.hard.id);
            }
            out.push(Action::Apply { entry, proposal_id });
        }
        if let Role::Leader(lead) = &mut self.role {
            while lead.reads.front().is_some_and(|(.., round)| *round == 0) {
                if let Some((proposal_id, index, _)) = lead.reads.pop_front() {
                    out.push(Action::Read { proposal_id, index: index.max(self.commit) });
                }
            }
        }
        // One that was removed by its own change led until that counted.
        if removed && self.leads() && !self.members().contains_key(&self.hard.id) {
            self.follow(self.hard.term, None, out);
        }
    }
}
