//! A member's status for operators: lines of `name=value`.

use super::Member;
use crate::net::Time;
use crate::store::replica::Replica;
use std::fmt::{self, Write};

impl Member {
    /// The status of this member, the leader and the other members, as known to this member.
    pub(super) fn status(&self, now: Time) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = write_status(&mut text, &self.replica, now);
        text
    }
}

fn write_status(text: &mut String, replica: &Replica, now: Time) -> fmt::Result {
    let raft = &replica.raft;
    writeln!(text, "name={} role={} term={}", replica.hello.name, role(replica), raft.term())?;
    writeln!(text, "leader={}", replica.leader_description())?;
    let (committed, applied) = (raft.commit(), replica.state_machine.applied());
    let (last, snapshot) = (raft.last(), raft.snapshot().index);
    writeln!(text, "committed={committed} applied={applied} last={last} snapshot={snapshot}")?;
    if let Some(index) = raft.pending_membership_change() {
        // The change of members shown below is uncommitted and may still be undone, for example by a partition.
        writeln!(text, "changing={index}")?;
    }
    writeln!(text, "heard_ms={}", replica.age_ms(now))?;
    write_members(text, replica)?;
    if let Some(failure) = &replica.failure {
        writeln!(text, "failed={failure}")?;
    }
    Ok(())
}

/// Writes the members, then the instances that have identified themselves but are not members.
fn write_members(text: &mut String, replica: &Replica) -> fmt::Result {
    let members = replica.raft.members();
    for (id, member) in members {
        let kind = if member.votes { "voter" } else { "learner" };
        let matched = replica.raft.matched(*id).map_or("unknown".into(), |index| index.to_string());
        writeln!(text, "member={} {} {kind} has={matched}", member.name, member.address)?;
    }
    for hello in replica.identified.values().filter(|hello| !members.contains_key(&hello.id)) {
        writeln!(text, "waits={} {}", hello.name, hello.address)?;
    }
    Ok(())
}

fn role(replica: &Replica) -> &'static str {
    let raft = &replica.raft;
    match raft.members().get(&raft.id()) {
        _ if replica.failure.is_some() => "failed",
        _ if raft.leads() => "leader",
        Some(member) if member.votes => "follower",
        Some(_) => "learner",
        None => "outside",
    }
}
