//! Elections (Ongaro's thesis, 3.4) with a pre-vote (9.6), and a leader that steps down without a quorum (6.2).

use super::persistence::{PendingOnDisk, PersistedEffect};
use super::role::{Candidate, Leader, PreCandidate, Role};
use super::{Action, ProposeError, Raft};
use crate::entry::{EntryKind, LogPosition};
use crate::message::MessageBody;
use crate::{Id, Term};
use std::collections::BTreeSet;

/// `SplitMix64`: the next number of the generator in that state.
fn split_mix_64(state: u64) -> u64 {
    let value = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

impl Raft {
    /// Draws the time of the next election: one to two election timeouts from now.
    pub(super) fn reset_election_deadline(&mut self) {
        let random = split_mix_64(self.options.seed ^ split_mix_64(self.hard_state.id) ^ self.elections);
        let spread = random % self.options.election_timeout;
        self.election_deadline = self.now + self.options.election_timeout + spread;
    }

    /// Becomes a follower, in that term if it is a later one.
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

    /// What was proposed here may be committed by another leader, or not; reads were not carried out.
    fn reject_pending(&mut self, former: &Leader, leader: Option<Id>, actions: &mut Vec<Action>) {
        let reject = |proposal_id, why| Action::Rejected { proposal_id, why };
        let proposals = std::mem::take(&mut self.proposals).into_values();
        actions.extend(proposals.map(|proposal| reject(proposal.proposal_id, ProposeError::Unknown)));
        let reads = former.pending_reads.iter();
        actions.extend(reads.map(|read| reject(read.proposal_id, ProposeError::NotLeader(leader))));
    }

    /// Steps down if this member leads and has not heard from a quorum for an election timeout.
    pub(super) fn check_quorum(&mut self, actions: &mut Vec<Action>) {
        if self.leads() && self.last_quorum_contact() + self.options.election_timeout <= self.now {
            self.become_follower(self.hard_state.term, None, actions);
        }
    }

    /// Asks the other voters whether they would vote for this member.
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

    /// Becomes a candidate of the next term. `leadership_transfer`: its leader has asked for that.
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
        // Its own vote does not count before the batch of this event is on disk.
        let effect = PersistedEffect::OwnVote(self.hard_state.term);
        self.pending.push_back(PendingOnDisk { batch: self.batches_issued + 1, effect });
    }

    pub(super) fn handle_vote(&mut self, from: Id, last: LogPosition) {
        let vote_is_free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let up_to_date = last.is_up_to_date_with(self.log.last_position());
        let granted = vote_is_free && !self.leads() && up_to_date;
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
        // Entries of older terms are committed only with one of its own (3.6.2).
        self.append_new(EntryKind::Empty);
        self.update_peers();
        self.broadcast_heartbeat();
    }
}
