//! Elections (Ongaro's thesis, 3.4) with a pre-vote (9.6); a leader without a quorum steps down (6.2).

use super::persistence::{PendingEffect, PersistedEffect};
use super::role::{Candidate, Leader, PreCandidate, Role};
use super::{Action, ProposeError, Raft};
use crate::entry::{EntryKind, LogPosition};
use crate::message::MessageBody;
use crate::{Id, Term};
use std::collections::BTreeSet;

/// The next output of the `SplitMix64` generator in this state.
fn split_mix_64(state: u64) -> u64 {
    let value = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

impl Raft {
    /// Draws the time of the next election, one to two election timeouts from now.
    pub(super) fn reset_election_deadline(&mut self) {
        let random = split_mix_64(self.options.seed ^ split_mix_64(self.hard_state.id) ^ self.elections);
        let jitter = random % self.options.election_timeout;
        self.election_deadline = self.now + self.options.election_timeout + jitter;
    }

    /// Becomes a follower, and adopts `term` if it is later than the current one.
    pub(super) fn become_follower(&mut self, term: Term, leader: Option<Id>, actions: &mut Vec<Action>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.store_hard_state();
        }
        let former = std::mem::replace(&mut self.role, Role::follower(leader));
        if let Role::Leader(former) = former {
            self.reject_pending(&former, leader, actions);
        }
        self.reset_election_deadline();
    }

    /// Rejects all pending requests: proposals may still be committed by a later leader, reads were not carried out.
    fn reject_pending(&mut self, former: &Leader, leader: Option<Id>, actions: &mut Vec<Action>) {
        let reject = |proposal_id, why| Action::Rejected { proposal_id, why };
        let proposals = std::mem::take(&mut self.proposals).into_values();
        actions.extend(proposals.map(|proposal| reject(proposal.proposal_id, ProposeError::Unknown)));
        let reads = former.pending_reads.iter();
        actions.extend(reads.map(|read| reject(read.proposal_id, ProposeError::NotLeader(leader))));
    }

    /// Steps down if this member is the leader and has had no contact with a quorum for an election timeout.
    pub(super) fn check_quorum(&mut self, actions: &mut Vec<Action>) {
        if self.leads() && self.last_quorum_contact() + self.options.election_timeout <= self.now {
            self.become_follower(self.hard_state.term, None, actions);
        }
    }

    /// Asks the other voters whether they would vote for this member; a sole voter starts its election directly.
    pub(super) fn start_pre_vote(&mut self) {
        let granted = BTreeSet::from([self.hard_state.id]);
        self.role = Role::PreCandidate(PreCandidate { granted });
        self.elections += 1;
        self.reset_election_deadline();
        if self.voters().count() == 1 {
            return self.start_election(false);
        }
        let body = MessageBody::PreVote { last: self.log.last_position() };
        for id in self.other_voters() {
            self.send_in_term(self.hard_state.term + 1, id, body.clone());
        }
    }

    pub(super) fn answer_pre_vote(&mut self, from: Id, term: Term, last: LogPosition, leader_is_live: bool) {
        let up_to_date = last.is_up_to_date_with(self.log.last_position());
        let granted = !leader_is_live && term > self.hard_state.term && up_to_date;
        let reply_term = if granted { term } else { self.hard_state.term };
        self.send_in_term(reply_term, from, MessageBody::PreVoteReply { granted });
    }

    pub(super) fn handle_pre_vote_reply(&mut self, from: Id, term: Term, granted: bool) {
        let Role::PreCandidate(pre_candidate) = &mut self.role else { return };
        if !granted || term != self.hard_state.term + 1 {
            return;
        }
        pre_candidate.granted.insert(from);
        let granted = pre_candidate.granted.clone();
        if self.is_quorum(&granted) {
            self.start_election(false);
        }
    }

    /// Becomes a candidate in the next term. `leadership_transfer` is set if the leader has requested it.
    pub(super) fn start_election(&mut self, leadership_transfer: bool) {
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.hard_state.id);
        self.store_hard_state();
        self.role = Role::Candidate(Candidate { granted: BTreeSet::new() });
        self.elections += 1;
        self.reset_election_deadline();
        let body = MessageBody::Vote { last: self.log.last_position(), leadership_transfer };
        for id in self.other_voters() {
            self.send(id, body.clone());
        }
        // The member's own vote is counted only once the batch of this event is on disk.
        let effect = PersistedEffect::OwnVote(self.hard_state.term);
        self.pending.push_back(PendingEffect { batch: self.batches_issued + 1, effect });
    }

    pub(super) fn handle_vote(&mut self, from: Id, last: LogPosition) {
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let up_to_date = last.is_up_to_date_with(self.log.last_position());
        let granted = can_vote && !self.leads() && up_to_date;
        if granted {
            if self.hard_state.vote != Some(from) {
                self.hard_state.vote = Some(from);
                self.store_hard_state();
            }
            self.reset_election_deadline();
        }
        self.send(from, MessageBody::VoteReply { granted });
    }

    pub(super) fn handle_vote_reply(&mut self, from: Id, granted: bool) {
        let Role::Candidate(candidate) = &mut self.role else { return };
        if !granted {
            return;
        }
        candidate.granted.insert(from);
        let granted = candidate.granted.clone();
        if self.is_quorum(&granted) {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader(Box::new(Leader::new(self.now)));
        // Entries of older terms are committed only along with one of the leader's own term (3.6.2).
        self.append_new(EntryKind::Empty);
        self.update_peers();
        self.broadcast_heartbeat();
    }
}
