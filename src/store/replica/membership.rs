//! Who the members are: founding a log, adding, removing and promoting members, transferring leadership.

use super::pending::PendingKind;
use super::{random_id, Replica};
use crate::net::{Time, Token};
use crate::store::wire::{Answer, CallError, Hello, Reply};
use dahliaspoke_raft::entry::Member;
use dahliaspoke_raft::raft::{Event, MembershipChange};
use dahliaspoke_raft::Id;

/// The proposal id of changes that no request waits for.
const NO_REQUEST: u64 = 0;

impl Replica {
    /// Founds a log of this one member.
    pub fn init(&mut self, now: Time, connection: Token) {
        let answer = self.found_log(now);
        self.answer(connection, answer);
    }

    fn found_log(&mut self, now: Time) -> Answer {
        if self.raft.cluster() != 0 {
            return Err(CallError::AlreadyFounded);
        }
        let cluster = random_id().map_err(CallError::NoRandomNumbers)?;
        let Hello { name, address, .. } = self.hello.clone();
        self.handle(now, Event::Bootstrap { cluster, name, address });
        Ok(Reply::Done)
    }

    /// Adds the instance that has presented itself under a name. A member of that name that has lost its disk is
    /// another instance, and is removed first; the request has to be repeated then.
    pub fn add_member(&mut self, now: Time, connection: Token, name: &str) {
        let Some(hello) = self.presented.get(name).cloned() else {
            return self.answer(connection, Err(CallError::NotPresented));
        };
        let change = match self.find_member(|member| member.name == name) {
            Some(id) if id == hello.id && self.raft.leads() => {
                // It is a member already: it is promoted once it has enough entries, whoever led when it was added.
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

    /// Removes the member of a name.
    pub fn remove_member(&mut self, now: Time, connection: Token, name: &str) {
        match self.find_member(|member| member.name == name) {
            Some(id) => self.change_members(now, connection, MembershipChange::Remove(id)),
            None => self.answer(connection, Err(CallError::NoSuchMember)),
        }
    }

    /// Transfers leadership to the voter of a name.
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

    /// Proposes that the learner that was added last becomes a voter, until it is one.
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
