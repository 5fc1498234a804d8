//! Write batches, and the effects that wait until they are on disk: votes and acknowledgements are sent only once the
//! state that they depend on is stored (Ongaro's thesis, 3.8 and 10.2.1).

use super::{is_planted, Action, Raft};
use crate::entry::{Entry, HardState, LogPosition, Snapshot};
use crate::message::{AppendReply, Message, MessageBody};
use crate::{Index, Term};
use std::sync::Arc;

/// Changes that are written to disk together, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct WriteBatch {
    /// The number of the batch, starting at 1.
    pub number: u64,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Replaces the snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Removes all entries: the log restarts after the snapshot.
    pub reset: bool,
    /// Removes the entries from this index on, before new ones are appended.
    pub truncate: Option<Index>,
    /// New entries, in order.
    pub entries: Vec<Entry>,
    /// Removes the entries up to and including this index, which are no longer needed.
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
    /// The latest hard state.
    pub hard_state: HardState,
    /// The latest snapshot.
    pub snapshot: Arc<Snapshot>,
    /// The position of the entry before the first of `entries`.
    pub base: LogPosition,
    /// The entries, contiguous and in order.
    pub entries: Vec<Entry>,
    /// The last entry that was known to be committed; older than what was last known, or the default, after a crash. It
    /// counts only if the log has this entry.
    pub commit: LogPosition,
}

impl PersistentState {
    /// Applies the changes of a write batch.
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

/// An effect that takes place once a write batch is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingEffect {
    /// The number of the batch.
    pub batch: u64,
    pub effect: PersistedEffect,
}

/// What happens once the batch of a [`PendingEffect`] is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum PersistedEffect {
    /// Sends the message.
    Send(Message),
    /// Counts the member's own vote in this term.
    OwnVote(Term),
    /// Marks the entries up to this index as durable.
    Durable(Index),
}

/// A message of the current event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OutgoingMessage {
    pub message: Message,
    /// Whether it has to wait until the changes so far are on disk.
    pub after_persist: bool,
}

impl Raft {
    /// Whether a message promises something, such as a vote, that has to be on disk before it is sent.
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

    /// Adds the hard state to the batch of the current event.
    pub(super) fn store_hard_state(&mut self) {
        self.batch.hard_state = Some(self.hard_state.clone());
    }

    /// Finishes an event: persists its changes, sends messages or defers them until then, applies committed entries.
    pub(super) fn finish_event(&mut self, actions: &mut Vec<Action>) {
        self.advance_commit();
        self.persist_batch(actions);
        for OutgoingMessage { message, after_persist } in std::mem::take(&mut self.outbox) {
            if after_persist && self.batches_persisted < self.batches_issued {
                self.defer_until_persisted(PersistedEffect::Send(message));
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
        self.defer_until_persisted(PersistedEffect::Durable(self.log.last()));
        actions.push(Action::Persist(batch));
    }

    /// Defers an effect until the last issued batch is on disk.
    fn defer_until_persisted(&mut self, effect: PersistedEffect) {
        self.pending.push_back(PendingEffect { batch: self.batches_issued, effect });
    }

    /// Carries out the effects of the batches up to `number`, which are on disk.
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

// Tracking of durable entries.
impl Raft {
    /// Entries after `last` were truncated: those on disk or being written are no longer durable entries of this log.
    pub(super) fn limit_durable(&mut self, last: Index) {
        self.durable = self.durable.min(last);
        for pending in &mut self.pending {
            if let PersistedEffect::Durable(durable) = &mut pending.effect {
                *durable = (*durable).min(last);
            }
        }
    }

    /// The log was replaced: its previous entries no longer count as durable.
    pub(super) fn reset_durable(&mut self) {
        self.durable = 0;
        self.pending.retain(|pending| !matches!(pending.effect, PersistedEffect::Durable(_)));
    }
}
