//! Commits entries (Ongaro's thesis, 3.6.2) and applies them in order.

use super::role::Role;
use super::{is_planted, Action, Proposal, ProposeError, Raft};
use crate::entry::{Entry, EntryKind, LogPosition};
use crate::Index;

impl Raft {
    /// At the leader, commits the entries that a quorum has on disk and confirms the reads that a quorum has answered.
    pub(super) fn advance_commit(&mut self) {
        let Some(index) = self.quorum_index() else { return };
        let of_own_term =
            self.log.term(index) == Some(self.hard_state.term) || is_planted!(self, CommitOlderTerm);
        if index > self.commit && of_own_term {
            self.commit = index;
            // Informs the others at once, so that the state they serve is as recent as possible.
            self.broadcast_heartbeat();
        }
        self.confirm_reads();
    }

    /// The last entry that a quorum has on disk; known to the leader only.
    fn quorum_index(&self) -> Option<Index> {
        let Role::Leader(leader) = &self.role else { return None };
        let own = self.hard_state.id;
        let durable = if is_planted!(self, AckNotStored) { self.log.last() } else { self.durable };
        let matched = |id| match leader.peers.get(&id) {
            _ if id == own => durable,
            Some(progress) => progress.matched,
            None => 0,
        };
        Some(self.quorum_value(matched))
    }

    /// Applies the committed entries, then answers the confirmed reads.
    pub(super) fn apply_committed(&mut self, actions: &mut Vec<Action>) {
        let mut removed = false;
        let applied_before = self.applied;
        while self.applied < self.commit {
            self.applied += 1;
            let Some(entry) = self.log.get(self.applied).cloned() else { continue };
            if let EntryKind::Members(members) = &entry.kind {
                removed |= !members.contains_key(&self.hard_state.id);
            }
            self.apply_entry(entry, actions);
        }
        if self.applied > applied_before {
            let term = self.log.term(self.applied).unwrap_or_default();
            actions.push(Action::RecordCommit(LogPosition { index: self.applied, term }));
        }
        self.answer_confirmed_reads(actions);
        // A leader that removes itself steps down once the entry is committed (4.2.2).
        if removed && self.leads() && !self.members().contains_key(&self.hard_state.id) {
            self.become_follower(self.hard_state.term, None, actions);
        }
    }

    fn apply_entry(&mut self, entry: Entry, actions: &mut Vec<Action>) {
        let mut own = None;
        if let Some(Proposal { term, proposal_id }) = self.proposals.remove(&entry.index) {
            if term == entry.term {
                own = Some(proposal_id);
            } else {
                actions.push(Action::Rejected { proposal_id, why: ProposeError::Lost });
            }
        }
        actions.push(Action::Apply { entry, proposal_id: own });
    }
}
