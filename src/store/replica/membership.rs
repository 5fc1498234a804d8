//! Membership: bootstrapping a log, adding, removing and promoting members, transferring leadership.

use super::pending::PendingKind;
use super::{random_id, Replica};
use crate::net::{Time, Token};
use crate::store::wire::{Answer, CallError, Hello, Reply};
use dahliaspoke_raft::entry::Member;
use dahliaspoke_raft::raft::{Event, MembershipChange};
use dahliaspoke_raft::Id;

/// The proposal id of changes that no pending request is waiting for.
const NO_REQUEST: u64 = 0;

impl Replica {
    /// Bootstraps a log with this member as the only one.
    pub fn init(&mut self, now: Time, connection: Token) {
        let answer = self.bootstrap(now);
        self.answer(connection, answer);
    }

    fn bootstrap(&mut self, now: Time) -> Answer {
        if self.raft.cluster() != 0 {
            return Err(CallError::AlreadyBootstrapped);
        }
        let cluster = random_id().map_err(CallError::NoRandomNumbers)?;
        let Hello { name, address, .. } = self.hello.clone();
        self.handle(now, Event::Bootstrap { cluster, name, address });
        Ok(Reply::Done)
    }

    /// Adds the instance that has identified itself under this name. If there is a member of that name with another id,
    /// it is an earlier instance that has lost its disk: it is removed first, and the request has to be repeated.
    pub fn add_member(&mut self, now: Time, connection: Token, name: &str) {
        let Some(hello) = self.identified.get(name).cloned() else {
            return self.answer(connection, Err(CallError::NotIdentified));
        };
        let change = match self.find_member(|member| member.name == name) {
            Some(id) if id == hello.id && self.raft.leads() => {
                // It is a member already, and is promoted once it has enough entries, even if another leader added it.
                self.learner_to_promote = Some(id);
                return self.answer(connection, Ok(Reply::Done));
            }
            Some(id) if id != hello.id => MembershipChange::Remove(id),
            _ => {
                self.learner_to_promote = Some(hello.id);
                MembershipChange::AddLearner { id: hello.id, name: hello.name, address: hello.address }
            }
        };
        self.change_members(now, connection, change);
    }

    /// Removes the member with this name.
    pub fn remove_member(&mut self, now: Time, connection: Token, name: &str) {
        match self.find_member(|member| member.name == name) {
            Some(id) => self.change_members(now, connection, MembershipChange::Remove(id)),
            None => self.answer(connection, Err(CallError::NoSuchMember)),
        }
    }

    /// Transfers leadership to the voter with this name.
    pub fn transfer_leadership(&mut self, now: Time, connection: Token, name: &str) {
        let answer = match self.find_member(|member| member.name == name && member.votes) {
            _ if !self.raft.leads() => Err(CallError::NotLeader(self.leader_description())),
            None => Err(CallError::NoSuchVoter),
            Some(id) => {
                self.handle(now, Event::TransferLeadership(id));
                Ok(Reply::Done)
            }
        };
        self.answer(connection, answer);
    }

    /// On the leader, proposes to promote the learner that was added last, until it is a voter.
    pub(super) fn promote_learner(&mut self, now: Time) {
        let Some(id) = self.learner_to_promote.filter(|_| self.raft.leads()) else { return };
        match self.raft.members().get(&id) {
            Some(member) if !member.votes => {
                let change = MembershipChange::Promote(id);
                self.handle(now, Event::ChangeMembership { proposal_id: NO_REQUEST, change });
            }
            _ => self.learner_to_promote = None,
        }
    }

    fn change_members(&mut self, now: Time, connection: Token, change: MembershipChange) {
        let proposal_id = self.pending.add(connection, PendingKind::Membership);
        self.handle(now, Event::ChangeMembership { proposal_id, change });
    }

    fn find_member(&self, matches: impl Fn(&Member) -> bool) -> Option<Id> {
        self.raft.members().iter().find(|(_, member)| matches(member)).map(|(id, _)| *id)
    }
}
