//! The voters, and the values that a quorum of them has reached.

use super::role::Role;
use super::Raft;
use crate::{Id, Micros};
use std::collections::BTreeSet;

impl Raft {
    pub(super) fn voters(&self) -> impl Iterator<Item = Id> + '_ {
        self.members().iter().filter(|(_, member)| member.votes).map(|(id, _)| *id)
    }

    pub(super) fn other_voters(&self) -> Vec<Id> {
        self.voters().filter(|id| *id != self.hard_state.id).collect()
    }

    /// Whether this member is a voter.
    pub(super) fn is_voter(&self) -> bool {
        self.members().get(&self.hard_state.id).is_some_and(|member| member.votes)
    }

    pub(super) fn is_quorum(&self, granted: &BTreeSet<Id>) -> bool {
        let all = self.voters().count();
        self.voters().filter(|id| granted.contains(id)).count() * 2 > all
    }

    /// The greatest value that a quorum of the voters has reached; 0 if there are no voters.
    pub(super) fn quorum_value(&self, value_of: impl Fn(Id) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(values.len() / 2).copied().unwrap_or_default()
    }

    /// When the leader last had contact with a quorum, itself included (us); the current time at any other member.
    pub(super) fn last_quorum_contact(&self) -> Micros {
        let Role::Leader(leader) = &self.role else { return self.now };
        let own = self.hard_state.id;
        self.quorum_value(|id| match leader.peers.get(&id) {
            _ if id == own => self.now,
            Some(progress) => progress.last_contact,
            None => 0,
        })
    }
}
