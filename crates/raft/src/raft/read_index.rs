//! Linearizable reads in rounds: the leader answers a read once a quorum has confirmed, after the read was requested,
//! that it is still the leader (Ongaro's thesis, 6.4, "read index"). This does not depend on clocks.

use super::role::{PendingRead, Role};
use super::{is_planted, Action, ProposeError, Raft};

impl Raft {
    pub(super) fn handle_read(&mut self, proposal_id: u64, actions: &mut Vec<Action>) {
        let index = self.commit;
        let reject = |why| Action::Rejected { proposal_id, why };
        let not_leader = ProposeError::NotLeader(self.leader());
        let unconfirmed = is_planted!(self, ReadAlone);
        let Role::Leader(leader) = &mut self.role else {
            return actions.push(reject(not_leader));
        };
        if unconfirmed {
            return actions.push(Action::Read { proposal_id, index });
        }
        if leader.pending_reads.len() as u64 >= self.options.max_uncommitted_entries {
            return actions.push(reject(ProposeError::Busy));
        }
        // Replies to a round started now prove that there was no later leader when the read was requested.
        leader.round += 1;
        let awaited_round = Some(leader.round);
        leader.pending_reads.push_back(PendingRead { proposal_id, index, awaited_round });
        self.broadcast_heartbeat();
    }

    /// Confirms the reads whose round a quorum has answered.
    pub(super) fn confirm_reads(&mut self) {
        // Until an entry of its own term is committed, a leader does not know which entries are.
        if !self.has_committed_in_term() {
            return;
        }
        let Role::Leader(leader) = &self.role else { return };
        let own = self.hard_state.id;
        let answered = self.quorum_value(|id| match leader.peers.get(&id) {
            _ if id == own => leader.round,
            Some(progress) => progress.acknowledged_round,
            None => 0,
        });
        let Role::Leader(leader) = &mut self.role else { return };
        for read in &mut leader.pending_reads {
            if read.awaited_round.is_some_and(|round| round <= answered) {
                read.awaited_round = None;
            }
        }
    }

    /// Answers the confirmed reads, in order of arrival.
    pub(super) fn answer_confirmed_reads(&mut self, actions: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else { return };
        while leader.pending_reads.front().is_some_and(|read| read.awaited_round.is_none()) {
            if let Some(PendingRead { proposal_id, index, .. }) = leader.pending_reads.pop_front() {
                actions.push(Action::Read { proposal_id, index: index.max(self.commit) });
            }
        }
    }
}
