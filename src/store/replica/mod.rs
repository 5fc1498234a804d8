//! A member's replica: passes events to the consensus protocol and executes its actions on the log writer, the state
//! machine and the pending requests.

mod actions;
mod error;
mod membership;
mod pending;

pub use error::{NoRandomNumbers, OpenError, ReplicaFailure};

use super::wire::{Answer, CallError, Hello};
use crate::failpoints;
use crate::net::{Time, Token};
use dahliaspoke_raft::disk::{DiskLog, Folder};
use dahliaspoke_raft::message::{Message, MessageBody};
use dahliaspoke_raft::raft::{Event, Options, Raft};
use dahliaspoke_raft::state_machine::{Command, KeyChange, StateMachine};
use dahliaspoke_raft::writer::{LogWriter, WriteResult};
use dahliaspoke_raft::{Id, Index, Micros};
use pending::{PendingCalls, PendingKind};
use std::collections::BTreeMap;
use std::os::fd::BorrowedFd;
use std::path::Path;

/// Number of applied entries after which a snapshot replaces the log's entries.
const SNAPSHOT_ENTRIES: Index = 1024;
/// Total size of applied entries after which a snapshot replaces the log's entries (bytes).
const SNAPSHOT_BYTES: usize = 1 << 20;

/// Longest time since the last contact with the leader or, on the leader, with a quorum, after which a replica still
/// counts as current (ms).
const MAX_CURRENT_AGE_MS: u64 = 1000;

/// What a replica asks its owner to do.
pub enum ReplicaEvent {
    /// Send this message to a member.
    Send(Message),
    /// Answer a request on this connection.
    Answer(Token, Answer),
    /// A key has changed.
    KeyChanged(KeyChange),
    /// The state machine was replaced: all keys may have changed.
    Restored,
}

/// A member's replica of the store.
pub struct Replica {
    /// The consensus protocol.
    pub raft: Raft,
    /// The state after all applied entries.
    pub state_machine: StateMachine,
    /// This member's identity.
    pub hello: Hello,
    /// Instances that have identified themselves, by name. At most one for each name in the configuration and the log.
    pub identified: BTreeMap<String, Hello>,
    /// Why this member has stopped participating, if it has.
    pub failure: Option<ReplicaFailure>,
    /// The leader's commit index in its last message; `None` before the first one.
    leader_commit: Option<Index>,
    writer: LogWriter,
    pending: PendingCalls,
    /// The learner to promote to a voter once it has enough entries.
    learner_to_promote: Option<Id>,
    /// Total size of the entries applied since the last snapshot.
    bytes_since_snapshot: usize,
    events: Vec<ReplicaEvent>,
}

fn micros(now: Time) -> Micros {
    (now * 1e6) as Micros
}

/// A random id, never 0.
fn random_id() -> Result<u64, NoRandomNumbers> {
    let mut bytes = [0; 8];
    getrandom::fill(&mut bytes).map_err(NoRandomNumbers)?;
    Ok(u64::from_le_bytes(bytes).max(1))
}

impl Replica {
    /// Opens the log in `folder`, and creates it if there is none.
    ///
    /// # Errors
    /// If the folder cannot be used, its log or snapshot is damaged, or no random id can be generated.
    pub fn open(now: Time, folder: &Path, name: &str, address: String) -> Result<Self, OpenError> {
        let unusable = |error| OpenError::Folder { folder: folder.into(), error };
        let disk = Folder::open(folder).map_err(unusable)?;
        let id = random_id()?;
        let log = DiskLog::open(Box::new(disk), || id)
            .map_err(|e| OpenError::Log { folder: folder.into(), error: e })?;
        let saved = log.state().clone();
        let state_machine = StateMachine::restore(&saved.snapshot.data)
            .map_err(|error| OpenError::Snapshot { folder: folder.into(), error })?;
        let hello = Hello { id: saved.hard_state.id, name: name.into(), address };
        let writer = LogWriter::start(log, failpoints::reach).map_err(unusable)?;
        let mut replica = Self {
            raft: Raft::new(Options::new(random_id()?), saved, micros(now)),
            state_machine,
            hello,
            identified: BTreeMap::new(),
            failure: None,
            leader_commit: None,
            writer,
            pending: PendingCalls::default(),
            learner_to_promote: None,
            bytes_since_snapshot: 0,
            events: Vec::new(),
        };
        // Applies the entries that were known to be committed, before anything is served.
        replica.handle(now, Event::Tick);
        Ok(replica)
    }

    /// Takes the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<ReplicaEvent> {
        std::mem::take(&mut self.events)
    }

    /// The descriptor that becomes readable when the log writer has results; see [`Self::on_written`].
    pub fn writer_waker(&self) -> BorrowedFd<'_> {
        self.writer.waker()
    }

    /// When [`Self::on_timer`] is due; `None` after a failure or if no timer is set.
    pub fn next_deadline(&self) -> Option<Time> {
        let next = self.raft.next_deadline();
        (next < Micros::MAX && self.failure.is_none()).then_some(next as f64 / 1e6)
    }

    /// Time since the last contact: on the leader, with a quorum; on other members, with the leader (ms).
    pub fn age_ms(&self, now: Time) -> u64 {
        self.raft.time_since_contact(micros(now)) / 1000
    }

    /// Whether this replica takes part in the store: it is one of the members that its log lists, and its disk has not
    /// failed. A member that has lost its disk, or was removed, does not.
    pub fn participates(&self) -> bool {
        self.failure.is_none() && self.raft.members().contains_key(&self.raft.id())
    }

    /// Whether the state machine has all entries that the leader had committed when it sent its last message, a moment
    /// ago.
    pub fn is_current(&self, now: Time) -> bool {
        if !self.participates() || self.age_ms(now) > MAX_CURRENT_AGE_MS {
            return false;
        }
        // A new leader does not know what is committed before an entry of its own term is.
        let own_commit = self.raft.has_committed_in_term().then_some(self.raft.commit());
        let commit = if self.raft.leads() { own_commit } else { self.leader_commit };
        let has_leader = self.raft.leader().is_some();
        has_leader && commit.is_some_and(|commit| self.state_machine.applied() >= commit)
    }

    /// Name and address of the leader, or a text for operators if none is known.
    pub fn leader_description(&self) -> String {
        let leader = self.raft.leader().and_then(|id| self.raft.members().get(&id));
        match leader {
            Some(member) => format!("{} {}", member.name, member.address),
            None => "nobody leads that this member knows of".into(),
        }
    }

    /// Advances the consensus protocol's timers, and retries a pending promotion.
    pub fn on_timer(&mut self, now: Time) {
        if self.raft.next_deadline() <= micros(now) {
            self.handle(now, Event::Tick);
        }
        self.promote_learner(now);
    }

    /// Handles a message from another member.
    pub fn on_message(&mut self, now: Time, message: Message) {
        failpoints::reach("store.received");
        let commit = match &message.body {
            MessageBody::Append(append) => Some(append.commit),
            _ => None,
        };
        let sender = message.from;
        self.handle(now, Event::Message(message));
        if self.raft.leader() == Some(sender) {
            self.leader_commit = commit.or(self.leader_commit);
        }
    }

    /// Handles the log writer's results.
    pub fn on_written(&mut self, now: Time) {
        self.writer.reset_waker();
        while let Some(result) = self.writer.next_result() {
            match result {
                WriteResult::Persisted(number) => self.handle(now, Event::Persisted(number)),
                WriteResult::Failed(error) => {
                    tracing::error!(
                        at = now,
                        part = "store",
                        "writing the log to disk failed; this member has stopped participating: {error}"
                    );
                    self.failure = Some(ReplicaFailure::Disk(error));
                    self.fail_pending(|| CallError::DiskFailedWhilePending);
                }
            }
        }
    }

    /// Proposes a change, and answers the request with its outcome.
    pub fn propose(&mut self, now: Time, connection: Token, command: &Command) {
        let proposal_id = self.pending.add(connection, PendingKind::Change);
        self.handle(now, Event::Propose { proposal_id, data: command.to_bytes() });
    }

    /// Starts a linearizable read of a key, and answers the request with the key's value.
    pub fn read(&mut self, now: Time, connection: Token, key: String, with_version: bool) {
        let proposal_id = self.pending.add(connection, PendingKind::Read { key, with_version });
        self.handle(now, Event::Read { proposal_id });
    }

    /// Replaces the log's entries with a snapshot of the state machine.
    pub fn snapshot(&mut self, now: Time) {
        self.bytes_since_snapshot = 0;
        let (index, data) = (self.state_machine.applied(), self.state_machine.save());
        self.handle(now, Event::Snapshot { index, data });
    }

    /// Answers a request.
    fn answer(&mut self, connection: Token, answer: Answer) {
        self.events.push(ReplicaEvent::Answer(connection, answer));
    }

    /// Answers all pending requests with an error.
    fn fail_pending(&mut self, error: impl Fn() -> CallError) {
        for connection in self.pending.drain_connections() {
            self.answer(connection, Err(error()));
        }
    }

    /// Passes an event to the consensus protocol and executes its actions. After a failure, events are dropped: entries
    /// and votes may not be on disk, so this member must neither vote nor acknowledge.
    fn handle(&mut self, now: Time, event: Event) {
        if self.failure.is_some() {
            return self.fail_pending(|| CallError::DiskFailed);
        }
        let (mut actions, did_lead) = (Vec::new(), self.raft.leads());
        self.raft.handle(micros(now), event, &mut actions);
        if did_lead != self.raft.leads() {
            self.log_leadership(now);
        }
        for action in actions {
            self.execute(action);
        }
        let entries = self.state_machine.applied().saturating_sub(self.raft.snapshot().index);
        if entries >= SNAPSHOT_ENTRIES || self.bytes_since_snapshot >= SNAPSHOT_BYTES {
            self.snapshot(now);
        }
    }

    fn log_leadership(&self, now: Time) {
        let leads = if self.raft.leads() { "leads" } else { "leads no longer" };
        let (name, term) = (&self.hello.name, self.raft.term());
        tracing::info!(at = now, part = "store", "{name} {leads} in term {term}");
    }
}
