//! Dispatches messages: checks the receiver and the log, handles the term, and calls the handler.

use super::role::Role;
use super::{Action, Raft};
use crate::message::{AppendEntries, AppendReply, Message, MessageBody, SnapshotChunk, SnapshotChunkReply};
use crate::{Id, Term};

impl Raft {
    pub(super) fn step(&mut self, message: Message, actions: &mut Vec<Action>) {
        if !self.accept_message(&message) {
            return;
        }
        let Message { from, term, body, .. } = message;
        let leader_is_live = self.has_live_leader();
        match &body {
            MessageBody::PreVote { last } => {
                return self.answer_pre_vote(from, term, *last, leader_is_live);
            }
            // A member that is cut off from the leader, or was removed, must not disrupt the others.
            MessageBody::Vote { leadership_transfer: false, .. }
                if leader_is_live && term > self.hard_state.term =>
            {
                return;
            }
            // Carries the term of the pre-vote, in which there is no candidate yet.
            MessageBody::PreVoteReply { granted: true } => {}
            _ if term > self.hard_state.term => {
                self.become_follower(term, body.is_from_leader().then_some(from), actions);
            }
            _ => {}
        }
        if term < self.hard_state.term {
            return self.reject_older_term(from, body);
        }
        self.dispatch(from, term, body, actions);
    }

    /// Whether a message is for this member and its log. A member without a log joins that of the first leader that
    /// sends it a message.
    fn accept_message(&mut self, message: &Message) -> bool {
        let Message { cluster, from, to, .. } = *message;
        if to != self.hard_state.id || from == to || cluster == 0 {
            return false;
        }
        if self.hard_state.cluster == cluster {
            return true;
        }
        if self.hard_state.cluster != 0 || !message.body.is_from_leader() {
            return false;
        }
        self.hard_state.cluster = cluster;
        self.store_hard_state();
        true
    }

    /// Whether this member is the leader, or has had a message from its leader within the election timeout.
    fn has_live_leader(&self) -> bool {
        let heard_recently = self.last_leader_contact + self.options.election_timeout > self.now;
        self.leader().is_some() && heard_recently || self.leads()
    }

    /// Rejects the message of a former leader or an older candidate, so that it learns the current term.
    fn reject_older_term(&mut self, to: Id, body: MessageBody) {
        match body {
            MessageBody::Append(AppendEntries { previous, round, .. }) => {
                let reply = AppendReply { accepted: false, index: previous.index, hint: 0, round };
                self.send(to, MessageBody::AppendReply(reply));
            }
            MessageBody::SnapshotChunk(SnapshotChunk { position, round, .. }) => {
                let reply = SnapshotChunkReply { index: position.index, received_bytes: 0, round };
                self.send(to, MessageBody::SnapshotChunkReply(reply));
            }
            MessageBody::Vote { .. } => self.send(to, MessageBody::VoteReply { granted: false }),
            _ => {}
        }
    }

    /// Handles a message of the current term.
    fn dispatch(&mut self, from: Id, term: Term, body: MessageBody, actions: &mut Vec<Action>) {
        match body {
            MessageBody::PreVote { .. } => {} // answered by `step`, whatever its term
            MessageBody::PreVoteReply { granted } => self.handle_pre_vote_reply(from, term, granted),
            MessageBody::Vote { last, .. } => self.handle_vote(from, last),
            MessageBody::VoteReply { granted } => self.handle_vote_reply(from, granted),
            MessageBody::Append(append) => {
                self.follow_leader(from, actions);
                self.handle_append(from, append);
            }
            MessageBody::SnapshotChunk(chunk) => {
                self.follow_leader(from, actions);
                self.handle_snapshot_chunk(from, chunk, actions);
            }
            MessageBody::AppendReply(reply) => self.handle_append_reply(from, &reply),
            MessageBody::SnapshotChunkReply(reply) => self.handle_snapshot_chunk_reply(from, &reply),
            MessageBody::TimeoutNow if self.is_voter() && self.leader() == Some(from) => {
                self.start_election(true);
            }
            MessageBody::TimeoutNow => {}
        }
    }

    /// Follows the sender, which leads in this member's term. A term has at most one leader, so it is not this member.
    fn follow_leader(&mut self, leader: Id, actions: &mut Vec<Action>) {
        self.last_leader_contact = self.now;
        if self.leader() != Some(leader) || !matches!(self.role, Role::Follower(_)) {
            self.become_follower(self.hard_state.term, Some(leader), actions);
        }
        self.reset_election_deadline();
    }
}
