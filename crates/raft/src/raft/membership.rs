//! Changes of the membership, one member at a time (Ongaro's thesis, 4.1): from the entry on that names them, whether it
//! is committed or not, the members are those that it names.

use super::role::Role;
use super::{Action, MembershipChange, MembershipError, ProposeError, Raft, MAX_MEMBERS, MAX_VOTERS};
use crate::entry::{Entry, EntryKind, Member, Members};
use crate::progress::Progress;
use crate::{Id, Index};
use std::collections::BTreeSet;

/// The members from an entry on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Configuration {
    /// The entry that names them, or the snapshot's last.
    pub index: Index,
    pub members: Members,
}

impl Raft {
    /// The members as the last entry about them says, whether it is committed or not.
    #[must_use]
    pub fn members(&self) -> &Members {
        static NONE: Members = Members::new();
        self.configurations.last().map_or(&NONE, |configuration| &configuration.members)
    }

    /// The entry that names the [`members`](Self::members), while it is not committed: it may be undone.
    #[must_use]
    pub fn pending_membership_change(&self) -> Option<Index> {
        let latest = self.configurations.last().map(|configuration| configuration.index);
        latest.filter(|index| *index > self.commit)
    }

    /// Begins a log with this member as its only one.
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

    /// The members that a change leads to, if it may be made now.
    fn members_after(&self, change: MembershipChange) -> Result<Members, ProposeError> {
        if !self.leads() {
            return Err(ProposeError::NotLeader(self.leader()));
        }
        if self.pending_membership_change().is_some() {
            return Err(MembershipError::ChangeUnderWay.into());
        }
        if !self.has_committed_in_term() {
            // Two leaders might each change by one, from different beginnings.
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

    /// An entry that names the members counts from when it is appended.
    pub(super) fn note_configuration(&mut self, entry: &Entry) {
        if let EntryKind::Members(members) = &entry.kind {
            self.configurations.push(Configuration { index: entry.index, members: members.clone() });
        }
    }

    /// Forgets the configurations that ended before `index`; returns the members at `index`.
    pub(super) fn compact_configurations(&mut self, index: Index) -> Members {
        let at = self.configurations.iter().rposition(|configuration| configuration.index <= index);
        let at = at.unwrap_or_default();
        let members = self.configurations[at].members.clone();
        self.configurations.drain(..at);
        members
    }

    /// The members at a snapshot that was restored are `members`; later configurations stay if the log goes on from it.
    pub(super) fn restore_configuration(&mut self, index: Index, members: Members, log_continues: bool) {
        self.configurations.retain(|configuration| log_continues && configuration.index > index);
        self.configurations.insert(0, Configuration { index, members });
    }

    /// As a leader, replicates to the present members and to no others.
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
