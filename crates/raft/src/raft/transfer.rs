//! Leadership transfer (Ongaro's thesis, 3.10): the target starts an election once it has all entries.

use super::role::{LeadershipTransfer, Role};
use super::Raft;
use crate::message::MessageBody;
use crate::Id;

impl Raft {
    pub(super) fn transfer_leadership(&mut self, to: Id) {
        let deadline = self.now + self.options.election_timeout;
        let is_other_voter = to != self.hard_state.id && self.voters().any(|id| id == to);
        let Role::Leader(leader) = &mut self.role else { return };
        if is_other_voter {
            leader.transfer = Some(LeadershipTransfer { to, deadline });
            self.continue_transfer();
        }
    }

    /// Makes the target of the transfer start an election if it has all entries.
    pub(super) fn continue_transfer(&mut self) {
        let Role::Leader(leader) = &self.role else { return };
        let Some(LeadershipTransfer { to, .. }) = leader.transfer else { return };
        if leader.peers.get(&to).is_some_and(|progress| progress.matched == self.log.last()) {
            self.send(to, MessageBody::TimeoutNow);
        }
    }
}
