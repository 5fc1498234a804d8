//! Membership changes, one member at a time (Ongaro's thesis, 4.1). A new membership takes effect as soon as its entry
//! is appended, whether the entry is committed or not.

use super::role::Role;
use super::{Action, MembershipChange, MembershipError, ProposeError, Raft, MAX_MEMBERS, MAX_VOTERS};
use crate::entry::{Entry, EntryKind, Member, Members};
use crate::progress::Progress;
use crate::{Id, Index};
use std::collections::BTreeSet;

/// The membership from an entry on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Configuration {
    /// The index of the membership's entry, or of the last entry that the snapshot covers.
    pub index: Index,
    pub members: Members,
}

impl Raft {
    /// The members according to the last membership entry, whether it is committed or not.
    #[must_use]
    pub fn members(&self) -> &Members {
        static NONE: Members = Members::new();
        self.configurations.last().map_or(&NONE, |configuration| &configuration.members)
    }

    /// The index of the entry that set the [`members`](Self::members), while it is uncommitted and may still be undone.
    #[must_use]
    pub fn pending_membership_change(&self) -> Option<Index> {
        let latest = self.configurations.last().map(|configuration| configuration.index);
        latest.filter(|index| *index > self.commit)
    }

    /// Starts a new log with this member as its only one.
    pub(super) fn bootstrap(&mut self, cluster: u64, name: String, address: String) {
        if self.hard_state.cluster != 0 || cluster == 0 || self.log.last() > 0 {
            return;
        }
        self.hard_state.cluster = cluster;
        self.hard_state.term = 1;
        self.store_hard_state();
        let own = Member { name, address, votes: true };
        self.append_new(EntryKind::Members(Members::from([(self.hard_state.id, own)])));
        self.election_deadline = self.now;
        self.start_pre_vote();
    }

    pub(super) fn change_membership(
        &mut self,
        proposal_id: u64,
        change: MembershipChange,
        actions: &mut Vec<Action>,
    ) {
        match self.members_after(change) {
            Ok(members) => self.propose(proposal_id, EntryKind::Members(members), actions),
            Err(why) => actions.push(Action::Rejected { proposal_id, why }),
        }
    }

    /// The members after a change, if it is allowed now.
    fn members_after(&self, change: MembershipChange) -> Result<Members, ProposeError> {
        if !self.leads() {
            return Err(ProposeError::NotLeader(self.leader()));
        }
        if self.pending_membership_change().is_some() {
            return Err(MembershipError::ChangeUnderWay.into());
        }
        if !self.has_committed_in_term() {
            // Otherwise two leaders could start from different memberships, and their quorums might not overlap.
            return Err(MembershipError::LeaderIsNew.into());
        }
        let members = match change {
            MembershipChange::AddLearner { id, name, address } => self.with_learner(id, name, address),
            MembershipChange::Promote(id) => self.with_promoted(id),
            MembershipChange::Remove(id) => self.without(id),
        };
        members.map_err(ProposeError::from)
    }

    fn with_learner(&self, id: Id, name: String, address: String) -> Result<Members, MembershipError> {
        let mut members = self.members().clone();
        if members.len() >= MAX_MEMBERS {
            return Err(MembershipError::TooManyMembers);
        }
        if members.contains_key(&id) {
            return Err(MembershipError::AlreadyMember);
        }
        members.insert(id, Member { name, address, votes: false });
        Ok(members)
    }

    fn with_promoted(&self, id: Id) -> Result<Members, MembershipError> {
        if self.voters().count() >= MAX_VOTERS {
            return Err(MembershipError::TooManyVoters);
        }
        let window = self.options.max_inflight_entries;
        if self.matched(id).is_none_or(|matched| matched + window < self.log.last()) {
            return Err(MembershipError::LearnerBehind);
        }
        let mut members = self.members().clone();
        match members.get_mut(&id) {
            Some(member) if !member.votes => member.votes = true,
            _ => return Err(MembershipError::NotLearner),
        }
        Ok(members)
    }

    fn without(&self, id: Id) -> Result<Members, MembershipError> {
        let mut members = self.members().clone();
        let removed = members.remove(&id);
        if removed.is_none() || members.values().all(|member| !member.votes) {
            return Err(MembershipError::NotRemovable);
        }
        Ok(members)
    }

    /// Puts the membership of an entry, if it has one, into effect.
    pub(super) fn record_configuration(&mut self, entry: &Entry) {
        if let EntryKind::Members(members) = &entry.kind {
            self.configurations.push(Configuration { index: entry.index, members: members.clone() });
        }
    }

    /// Removes the configurations that were replaced at or before `index`; returns the members as of `index`.
    pub(super) fn compact_configurations(&mut self, index: Index) -> Members {
        let at = self.configurations.iter().rposition(|configuration| configuration.index <= index);
        let at = at.unwrap_or_default();
        let members = self.configurations[at].members.clone();
        self.configurations.drain(..at);
        members
    }

    /// Sets the members of a restored snapshot; later configurations are retained if the log continues after it.
    pub(super) fn restore_configuration(&mut self, index: Index, members: Members, log_continues: bool) {
        self.configurations.retain(|configuration| log_continues && configuration.index > index);
        self.configurations.insert(0, Configuration { index, members });
    }

    /// At the leader, makes the peers match the current members.
    pub(super) fn update_peers(&mut self) {
        let (next, now) = (self.log.last(), self.now);
        let own = self.hard_state.id;
        let others: BTreeSet<Id> = self.members().keys().copied().filter(|id| *id != own).collect();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.peers.retain(|id, _| others.contains(id));
        for id in others {
            leader.peers.entry(id).or_insert_with(|| Progress::new(next, now));
        }
    }
}
