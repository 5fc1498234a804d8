//! Faults of nodes, disks, clocks and links, and members that join and leave.

use super::network::{Link, Route};
use super::{id_of, Simulation, Task, MILLISECOND};
use dahliaspoke_raft::raft::{Event, MembershipChange};

/// The share of faults that are crashes, at one crash a second.
const CRASH_SHARE: f64 = 0.35;

impl Simulation {
    pub fn inject_fault(&mut self) {
        let wait = 50 + self.random_below(700);
        self.schedule(wait * MILLISECOND, Task::InjectFault);
        let members = self.plan.members as u64;
        let (node, other) = (self.random_below(members) as usize, self.random_below(members) as usize);
        if self.happens(self.plan.crashes * CRASH_SHARE) {
            self.crash(node);
            if self.happens(0.3) {
                self.crash(other);
            }
            return;
        }
        match self.random_below(8) {
            0 => self.stop_node(node),
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

    fn stop_node(&mut self, node: usize) {
        let duration = 400 * MILLISECOND + self.random_below(1500) * MILLISECOND;
        self.nodes[node].stopped_until = self.now + duration;
    }

    /// A node hears the others and is not heard.
    fn block_outgoing(&mut self, from: usize) {
        let duration = 300 * MILLISECOND + self.random_below(2000) * MILLISECOND;
        for to in 0..self.plan.members {
            self.links.entry(Route { from, to }).or_default().blocked_until = self.now + duration;
        }
    }

    /// Two sides that lose all messages to each other.
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

    /// Messages from and to a node are lost, doubled and late.
    fn disturb_links(&mut self, node: usize) {
        let link = Link { loss: 0.3, duplication: 0.3, delay_ms: 40, blocked_until: 0 };
        for other in 0..self.plan.members {
            self.links.insert(Route { from: node, to: other }, link);
            self.links.insert(Route { from: other, to: node }, link);
        }
    }

    fn maybe_transfer_leadership(&mut self, to: usize) {
        let Some(leader) = self.leading() else { return };
        if to != leader && self.happens(0.1) {
            self.handle_event(leader, Event::TransferLeadership(id_of(to)));
        }
    }

    /// Brings in a node that is missing, and now and then takes one out.
    pub fn change_membership(&mut self) {
        self.schedule(60 * MILLISECOND, Task::ChangeMembership);
        let Some(leader) = self.leading() else { return };
        let mut change = self.missing_node(leader);
        if change.is_none() && self.plan.churn && self.happens(0.1) {
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

    /// The change that brings in the first node that is no member, or no voter.
    fn missing_node(&self, leader: usize) -> Option<MembershipChange> {
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
