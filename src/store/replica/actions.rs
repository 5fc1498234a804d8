//! Executes the actions of the consensus protocol.

use super::pending::{PendingCall, PendingKind};
use super::{Replica, ReplicaEvent, ReplicaFailure};
use crate::failpoints;
use crate::store::wire::{Answer, CallError, Reply};
use dahliaspoke_raft::entry::{Entry, EntryKind, Snapshot};
use dahliaspoke_raft::raft::{Action, ProposeError};
use dahliaspoke_raft::state_machine::{Outcome, StateMachine};

impl Replica {
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Persist(batch) => self.writer.write(batch),
            Action::Send(message) => {
                failpoints::reach("store.send");
                self.events.push(ReplicaEvent::Send(message));
            }
            Action::Apply { entry, proposal_id } => self.apply(&entry, proposal_id),
            Action::RecordCommit(commit) => self.writer.record_commit(commit),
            Action::Restore(snapshot) => self.restore(&snapshot),
            Action::Read { proposal_id, .. } => self.complete_read(proposal_id),
            Action::Rejected { proposal_id, why } => self.reject(proposal_id, why),
        }
    }

    /// Applies a committed entry, and answers the request that proposed it, if this member received that request.
    fn apply(&mut self, entry: &Entry, proposal_id: Option<u64>) {
        failpoints::reach("store.apply");
        self.bytes_since_snapshot += entry.size();
        let call = proposal_id.and_then(|proposal_id| self.pending.remove(proposal_id));
        let answer = match &entry.kind {
            EntryKind::Data(data) => self.apply_command(entry, data),
            EntryKind::Empty | EntryKind::Members(_) => {
                self.state_machine.skip(entry.index);
                Ok(Reply::Done)
            }
        };
        if let Some(call) = call {
            failpoints::reach("store.answer");
            self.answer(call.connection, answer);
        }
    }

    fn apply_command(&mut self, entry: &Entry, data: &[u8]) -> Answer {
        let applied = self.state_machine.applied();
        let outcome = self.state_machine.apply(entry.index, data);
        let changes = self.state_machine.changes_since(applied.max(entry.index - 1));
        self.events.extend(changes.into_iter().flatten().cloned().map(ReplicaEvent::KeyChanged));
        match outcome {
            Outcome::Done(version) => Ok(Reply::Changed(version)),
            Outcome::VersionMismatch { key, version } => Err(CallError::VersionMismatch { key, version }),
            Outcome::Rejected(reason) => Err(CallError::Rejected(reason)),
        }
    }

    /// Replaces the state machine with the leader's snapshot.
    fn restore(&mut self, snapshot: &Snapshot) {
        match StateMachine::restore(&snapshot.data) {
            Ok(state_machine) => {
                self.state_machine = state_machine;
                self.events.push(ReplicaEvent::Restored);
            }
            Err(error) => {
                // Its checksum is valid, so a member of another version wrote it, and this one cannot continue.
                tracing::error!(
                    part = "store",
                    "cannot read the leader's snapshot; this member has stopped participating: {error}"
                );
                self.failure = Some(ReplicaFailure::Snapshot(error));
            }
        }
    }

    /// Answers a read, now that all entries before it are applied.
    fn complete_read(&mut self, proposal_id: u64) {
        let Some(PendingCall { connection, kind: PendingKind::Read { key, with_version } }) =
            self.pending.remove(proposal_id)
        else {
            return;
        };
        let value = self.state_machine.get(&key).cloned();
        let reply =
            if with_version { Reply::Versioned(value) } else { Reply::Text(value.map(|value| value.text)) };
        self.answer(connection, Ok(reply));
    }

    fn reject(&mut self, proposal_id: u64, reason: ProposeError) {
        let Some(call) = self.pending.remove(proposal_id) else { return };
        let error = match reason {
            ProposeError::NotLeader(_) => CallError::NotLeader(self.leader_description()),
            ProposeError::Busy => CallError::Busy,
            ProposeError::Membership(reason) => CallError::Membership(reason),
            ProposeError::Lost => CallError::Lost,
            ProposeError::Unknown => CallError::LeadershipLost,
        };
        self.answer(call.connection, Err(error));
    }
}
