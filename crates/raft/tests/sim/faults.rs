//! Faults of nodes, disks, clocks and links, and membership changes.

use super::network::{Link, Route};
use super::{id_of, Simulation, Task, MILLISECOND};
use dahliaspoke_raft::raft::{Event, MembershipChange};

/// The share of faults that are crashes at one crash per second.
const CRASH_SHARE: f64 = 0.35;

impl Simulation {
    pub fn inject_fault(&mut self) {
        let delay = 50 + self.random_below(700);
        self.schedule(delay * MILLISECOND, Task::InjectFault);
        let members = self.plan.members as u64;
        let (node, other) = (self.random_below(members) as usize, self.random_below(members) as usize);
        if self.random_bool(self.plan.crashes * CRASH_SHARE) {
            self.crash(node);
            if self.random_bool(0.3) {
                self.crash(other);
            }
            return;
        }
        match self.random_below(8) {
            0 => self.stall_node(node),
            1 => self.nodes[node].clock_ahead += self.random_below(2000) * MILLISECOND,
            2 => self.nodes[node].disk_ms = 1 + self.random_below(60),
            3 => self.block_outgoing(node),
            4 => self.partition(),
            5 => self.disturb_links(node),
            6 => self.links.entry(Route { from: node, to: other }).or_default().delay_ms = 2000,
            _ => self.links.clear(),
        }
        self.maybe_transfer_leadership(node);
    }

    fn stall_node(&mut self, node: usize) {
        let duration = 400 * MILLISECOND + self.random_below(1500) * MILLISECOND;
        self.nodes[node].stalled_until = self.now + duration;
    }

    /// Blocks all messages from a node, which still receives those of the others.
    fn block_outgoing(&mut self, from: usize) {
        let duration = 300 * MILLISECOND + self.random_below(2000) * MILLISECOND;
        for to in 0..self.plan.members {
            self.links.entry(Route { from, to }).or_default().blocked_until = self.now + duration;
        }
    }

    /// Splits the nodes into two random sides that lose all messages to each other.
    fn partition(&mut self) {
        let members = self.plan.members;
        let side = self.random_below(1 << members);
        let duration = 300 * MILLISECOND + self.random_below(2500) * MILLISECOND;
        for (from, to) in (0..members).flat_map(|from| (0..members).map(move |to| (from, to))) {
            if side >> from & 1 != side >> to & 1 {
                self.links.entry(Route { from, to }).or_default().loss = 1.0;
            }
        }
        self.schedule(duration, Task::HealLinks);
    }

    /// Loses, duplicates and delays messages from and to a node.
    fn disturb_links(&mut self, node: usize) {
        let link = Link { loss: 0.3, duplication: 0.3, delay_ms: 40, blocked_until: 0 };
        for other in 0..self.plan.members {
            self.links.insert(Route { from: node, to: other }, link);
            self.links.insert(Route { from: other, to: node }, link);
        }
    }

    fn maybe_transfer_leadership(&mut self, to: usize) {
        let Some(leader) = self.find_leader() else { return };
        if to != leader && self.random_bool(0.1) {
            self.handle_event(leader, Event::TransferLeadership(id_of(to)));
        }
    }

    /// Adds a missing node, or, in a plan with churn, occasionally removes a node.
    pub fn change_membership(&mut self) {
        self.schedule(60 * MILLISECOND, Task::ChangeMembership);
        let Some(leader) = self.find_leader() else { return };
        let mut change = self.change_to_add_a_node(leader);
        if change.is_none() && self.plan.churn && self.random_bool(0.1) {
            let node = self.random_below(self.plan.members as u64) as usize;
            change = Some(MembershipChange::Remove(id_of(node)));
        }
        if let Some(change) = change {
            self.report.changes += 1;
            self.last_proposal_id += 1;
            let proposal_id = self.last_proposal_id;
            self.handle_event(leader, Event::ChangeMembership { proposal_id, change });
        }
    }

    /// The change that adds the first node that is not a member, or promotes the first that is not a voter.
    fn change_to_add_a_node(&self, leader: usize) -> Option<MembershipChange> {
        let members = self.members_at(leader)?;
        (0..self.plan.members).find_map(|node| match members.get(&id_of(node)) {
            None => Some(MembershipChange::AddLearner {
                id: id_of(node),
                name: format!("m{node}"),
                address: String::new(),
            }),
            Some(member) if !member.votes => Some(MembershipChange::Promote(id_of(node))),
            Some(_) => None,
        })
    }
}
