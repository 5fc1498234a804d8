//! Replication of entries (Ongaro's thesis, 3.5): the leader appends and sends, followers compare and store.

use super::role::{LeadershipTransfer, Role};
use super::{Action, Proposal, ProposeError, Raft};
use crate::entry::{Entry, EntryKind, LogPosition};
use crate::message::{AppendEntries, AppendReply, MessageBody, WireEntry};
use crate::progress::{NextSend, Progress};
use crate::{Id, Index};

// The leader's side.
impl Raft {
    /// Appends an entry to the log and sends it, or rejects the proposal if it is not allowed now.
    pub(super) fn propose(&mut self, proposal_id: u64, kind: EntryKind, actions: &mut Vec<Action>) {
        if let Err(why) = self.may_propose() {
            return actions.push(Action::Rejected { proposal_id, why });
        }
        let index = self.append_new(kind);
        self.proposals.insert(index, Proposal { term: self.hard_state.term, proposal_id });
        self.update_peers();
        self.broadcast(false);
    }

    fn may_propose(&self) -> Result<(), ProposeError> {
        let Role::Leader(leader) = &self.role else {
            return Err(ProposeError::NotLeader(self.leader()));
        };
        if let Some(LeadershipTransfer { to, .. }) = leader.transfer {
            return Err(ProposeError::NotLeader(Some(to)));
        }
        let entries = self.log.last() - self.commit;
        let bytes = self.log.bytes_after(self.commit);
        if entries >= self.options.max_uncommitted_entries || bytes > self.options.max_uncommitted_bytes {
            return Err(ProposeError::Busy);
        }
        Ok(())
    }

    /// Appends an entry in the current term.
    pub(super) fn append_new(&mut self, kind: EntryKind) -> Index {
        let index = self.log.last() + 1;
        self.append(Entry { index, term: self.hard_state.term, kind });
        index
    }

    fn append(&mut self, entry: Entry) {
        self.record_configuration(&entry);
        self.batch.entries.push(entry.clone());
        self.log.append(entry);
    }

    pub(super) fn broadcast_heartbeat(&mut self) {
        let Role::Leader(leader) = &mut self.role else { return };
        leader.heartbeat_deadline = self.now + self.options.heartbeat_interval;
        self.broadcast(true);
    }

    /// Sends new entries to every member; a heartbeat is sent even if there are none.
    fn broadcast(&mut self, heartbeat: bool) {
        let Role::Leader(leader) = &self.role else { return };
        let peers: Vec<Id> = leader.peers.keys().copied().collect();
        for id in peers {
            self.replicate_to(id, heartbeat);
        }
    }

    /// Sends new entries or a snapshot chunk to a member; a heartbeat is sent even if there is nothing new.
    pub(super) fn replicate_to(&mut self, id: Id, heartbeat: bool) {
        let base = self.log.base();
        let snapshot = self.snapshot.index;
        let Some(progress) = self.peer_mut(id) else { return };
        if progress.next <= base {
            progress.start_snapshot(snapshot);
        }
        match progress.next_send(heartbeat) {
            NextSend::Nothing => {}
            NextSend::SnapshotChunk { offset } => self.send_snapshot_chunk(id, offset),
            NextSend::Probe { paused } => self.send_probe(id, paused, heartbeat),
            NextSend::Entries => self.send_entries(id, heartbeat),
        }
    }

    /// Sends one message whose reply shows whether the logs match.
    fn send_probe(&mut self, id: Id, paused: bool, heartbeat: bool) {
        let Some(next) = self.peer_mut(id).map(|progress| progress.next) else { return };
        let max_bytes = self.options.max_append_bytes;
        let entries = if paused { Vec::new() } else { self.log.entries_from(next, max_bytes) };
        if heartbeat || !entries.is_empty() {
            self.send_append(id, next, entries);
        }
    }

    /// Sends entries until there are no more or the in-flight window is full.
    fn send_entries(&mut self, id: Id, heartbeat: bool) {
        let (max_bytes, window) = (self.options.max_append_bytes, self.options.max_inflight_entries);
        let last = self.log.last();
        loop {
            let Role::Leader(leader) = &mut self.role else { return };
            let Some(progress) = leader.peers.get_mut(&id) else { return };
            let first = progress.next;
            let window_open = first <= progress.matched + window;
            let entries = if window_open { self.log.entries_from(first, max_bytes) } else { Vec::new() };
            progress.next += entries.len() as Index;
            let more = !entries.is_empty() && progress.next <= last;
            if entries.is_empty() && !heartbeat {
                return;
            }
            self.send_append(id, first, entries);
            if !more {
                return;
            }
        }
    }

    /// Sends these entries; `first` is the index of the first one, or of the next entry if there are none.
    fn send_append(&mut self, id: Id, first: Index, entries: Vec<Entry>) {
        let Role::Leader(leader) = &self.role else { return };
        let round = leader.round;
        let index = first - 1;
        // The previous entry is in memory, or is the base.
        let previous = LogPosition { index, term: self.log.term(index).unwrap_or_default() };
        let entries = entries.into_iter().map(WireEntry).collect();
        let append = AppendEntries { previous, commit: self.commit, round, entries };
        self.send(id, MessageBody::Append(append));
    }

    fn peer_mut(&mut self, id: Id) -> Option<&mut Progress> {
        let Role::Leader(leader) = &mut self.role else { return None };
        leader.peers.get_mut(&id)
    }

    /// Records that a member has replied and returns its progress; `None` at a non-leader or for an unknown member.
    pub(super) fn record_contact(&mut self, from: Id, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let progress = self.peer_mut(from)?;
        progress.last_contact = now;
        progress.acknowledged_round = progress.acknowledged_round.max(round);
        Some(progress)
    }

    pub(super) fn handle_append_reply(&mut self, from: Id, reply: &AppendReply) {
        let last = self.log.last();
        let Some(progress) = self.record_contact(from, reply.round) else { return };
        if !reply.accepted {
            progress.reject(reply.index, reply.hint);
        } else if reply.index <= last {
            progress.acknowledge(reply.index);
        }
        self.replicate_to(from, false);
        self.continue_transfer();
    }
}

// The follower's side.
impl Raft {
    pub(super) fn handle_append(&mut self, from: Id, append: AppendEntries) {
        let AppendEntries { previous, commit, round, entries } = append;
        if !self.matches_log(previous) {
            let hint = self.last_possible_match(previous.index);
            let reply = AppendReply { accepted: false, index: previous.index, hint, round };
            return self.send(from, MessageBody::AppendReply(reply));
        }
        let Some(last) = self.append_entries(previous.index, entries) else { return };
        let known = last.max(self.log.base());
        self.commit = self.commit.max(commit.min(known));
        let reply = AppendReply { accepted: true, index: known, hint: 0, round };
        self.send(from, MessageBody::AppendReply(reply));
    }

    /// Whether the log has the leader's entry at this position. Entries before the base were committed, so the leader
    /// has the same ones.
    fn matches_log(&self, position: LogPosition) -> bool {
        position.index < self.log.base() || self.log.term(position.index) == Some(position.term)
    }

    /// The last entry that may match the leader's log, given that the one at `index` does not.
    fn last_possible_match(&self, index: Index) -> Index {
        match self.log.term(index) {
            Some(_) => self.log.first_of_term(index) - 1,
            None => self.log.last(),
        }
    }

    /// Skips the entries that match and appends the rest. Returns the last entry that matches the leader's log; `None`
    /// if a committed entry would be overwritten, which a correct leader never causes.
    fn append_entries(&mut self, previous: Index, entries: Vec<WireEntry>) -> Option<Index> {
        let base = self.log.base();
        let mut last = previous;
        for WireEntry(entry) in entries {
            if entry.index != last + 1 {
                break; // a gap, which a correct leader never sends
            }
            last = entry.index;
            if last <= base || self.log.term(last) == Some(entry.term) {
                continue;
            }
            if self.log.get(last).is_some() {
                if last <= self.commit {
                    return None;
                }
                self.truncate(last);
            }
            self.append(entry);
        }
        Some(last)
    }

    /// Removes the entries from `from` on.
    fn truncate(&mut self, from: Index) {
        self.log.truncate(from);
        self.configurations.retain(|configuration| configuration.index < from);
        self.limit_durable(from - 1);
        // Entries that were appended by the current event have not been handed to the disk yet.
        self.batch.entries.retain(|entry| entry.index < from);
        let truncate = self.batch.truncate.map_or(from, |earlier| earlier.min(from));
        self.batch.truncate = Some(truncate);
    }
}
