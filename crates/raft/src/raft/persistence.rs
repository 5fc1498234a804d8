//! What goes to disk, and what waits until it is there: votes and acknowledgements are sent only once the state that
//! they rest on is stored (Ongaro's thesis, 3.8 and 10.2.1).

use super::{is_planted, Action, Raft};
use crate::entry::{Entry, HardState, LogPosition, Snapshot};
use crate::message::{AppendReply, Message, MessageBody};
use crate::{Index, Term};
use std::sync::Arc;

/// What goes to disk as one, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct WriteBatch {
    /// Its number, from 1.
    pub number: u64,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Replaces the snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Removes all entries: the log begins anew after the snapshot.
    pub reset: bool,
    /// Removes the entries from this index on, before new ones are appended.
    pub truncate: Option<Index>,
    /// New entries, in order.
    pub entries: Vec<Entry>,
    /// The entries up to this index are not needed any more.
    pub compact: Option<Index>,
}

impl WriteBatch {
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// What a member has on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    /// The latest that was stored.
    pub hard_state: HardState,
    /// The latest that was stored.
    pub snapshot: Arc<Snapshot>,
    /// The entry before the first of `entries`.
    pub base: LogPosition,
    /// The entries, in order and without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Changes it as a write batch says.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state = hard_state.clone();
        }
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = snapshot.clone();
        }
        if batch.reset {
            self.base = self.snapshot.position();
            self.entries.clear();
        }
        if let Some(from) = batch.truncate {
            self.entries.retain(|entry| entry.index < from);
        }
        self.entries.extend(batch.entries.iter().cloned());
        if let Some(to) = batch.compact {
            if let Some(at) = self.entries.iter().position(|entry| entry.index == to) {
                self.base = self.entries[at].position();
                self.entries.drain(..=at);
            }
        }
    }
}

/// What happens once a write batch is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingOnDisk {
    /// The batch's number.
    pub batch: u64,
    pub effect: PersistedEffect,
}

/// See [`PendingOnDisk`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum PersistedEffect {
    /// The message is sent.
    Send(Message),
    /// The member's own vote in that term counts.
    OwnVote(Term),
    /// Entries up to there are durable.
    Durable(Index),
}

/// A message of the present event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OutgoingMessage {
    pub message: Message,
    /// It promises what the present event stores.
    pub after_persist: bool,
}

impl Raft {
    /// Whether a message promises something that has to be on disk first.
    pub(super) fn is_promise(&self, body: &MessageBody) -> bool {
        match body {
            MessageBody::Vote { .. } | MessageBody::VoteReply { granted: true } => {
                !is_planted!(self, VoteNotStored)
            }
            MessageBody::AppendReply(AppendReply { accepted: true, .. })
            | MessageBody::SnapshotChunkReply(_) => !is_planted!(self, AckNotStored),
            _ => false,
        }
    }

    /// Stores the hard state with the present event's batch.
    pub(super) fn store_hard_state(&mut self) {
        self.batch.hard_state = Some(self.hard_state.clone());
    }

    /// Ends an event: what has changed goes to disk, messages are sent or wait for that, committed entries are applied.
    pub(super) fn finish_event(&mut self, actions: &mut Vec<Action>) {
        self.advance_commit();
        self.persist_batch(actions);
        for OutgoingMessage { message, after_persist } in std::mem::take(&mut self.outbox) {
            if after_persist && self.batches_persisted < self.batches_issued {
                self.await_disk(PersistedEffect::Send(message));
            } else {
                actions.push(Action::Send(message));
            }
        }
        self.apply_committed(actions);
    }

    fn persist_batch(&mut self, actions: &mut Vec<Action>) {
        if self.batch.is_empty() {
            return;
        }
        self.batches_issued += 1;
        let mut batch = std::mem::take(&mut self.batch);
        batch.number = self.batches_issued;
        self.await_disk(PersistedEffect::Durable(self.log.last()));
        actions.push(Action::Persist(batch));
    }

    /// Has an effect wait for the last batch that was issued.
    fn await_disk(&mut self, effect: PersistedEffect) {
        self.pending.push_back(PendingOnDisk { batch: self.batches_issued, effect });
    }

    /// The batches up to that number are on disk.
    pub(super) fn handle_persisted(&mut self, number: u64, actions: &mut Vec<Action>) {
        self.batches_persisted = self.batches_persisted.max(number.min(self.batches_issued));
        while self.pending.front().is_some_and(|pending| pending.batch <= self.batches_persisted) {
            match self.pending.pop_front().map(|pending| pending.effect) {
                Some(PersistedEffect::Send(message)) => actions.push(Action::Send(message)),
                Some(PersistedEffect::Durable(last)) => self.durable = last,
                Some(PersistedEffect::OwnVote(term)) if term == self.hard_state.term => {
                    self.handle_vote_reply(self.hard_state.id, true);
                }
                _ => {}
            }
        }
    }
}

// Which entries are durable.
impl Raft {
    /// Entries after `last` were overwritten: what is on disk of them does not count.
    pub(super) fn limit_durable(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        for pending in &mut self.pending {
            if let PersistedEffect::Durable(durable) = &mut pending.effect {
                *durable = (*durable).min(last);
            }
        }
    }

    /// The log begins anew: no entry of the one before counts.
    pub(super) fn forget_durable(&mut self) {
        self.durable = 0;
        self.pending.retain(|pending| !matches!(pending.effect, PersistedEffect::Durable(_)));
    }
}
