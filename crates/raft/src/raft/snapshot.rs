//! Snapshots (Ongaro's thesis, chapter 5): they replace applied entries, and are sent in chunks to members that lack
//! those entries.

use super::role::Role;
use super::{is_planted, Action, Raft};
use crate::codec::{decode, encode};
use crate::entry::{LogPosition, Members, Snapshot};
use crate::log::Log;
use crate::message::{MessageBody, SnapshotChunk, SnapshotChunkReply};
use crate::progress::ProgressState;
use crate::{Id, Index};
use std::sync::Arc;

/// A snapshot that is being received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    position: LogPosition,
    total_bytes: u64,
    received: Vec<u8>,
}

impl IncomingSnapshot {
    fn new(chunk: &SnapshotChunk) -> Self {
        Self { position: chunk.position, total_bytes: chunk.total_bytes, received: Vec::new() }
    }

    fn is_same_snapshot(&self, chunk: &SnapshotChunk) -> bool {
        self.position == chunk.position && self.total_bytes == chunk.total_bytes
    }

    fn received_bytes(&self) -> u64 {
        self.received.len() as u64
    }

    fn is_complete(&self) -> bool {
        self.received_bytes() == self.total_bytes
    }

    /// Adds a chunk if it is the next one and does not exceed the total size.
    fn add(&mut self, chunk: &SnapshotChunk) {
        let is_next = self.received_bytes() == chunk.offset;
        if is_next && chunk.offset + chunk.data.len() as u64 <= self.total_bytes {
            self.received.extend_from_slice(&chunk.data);
        }
    }

    /// Decodes the snapshot; `None` if it is invalid or covers another position than announced.
    fn into_snapshot(self) -> Option<Snapshot> {
        let snapshot: Snapshot = decode(&self.received).ok()?;
        (snapshot.position() == self.position).then_some(snapshot)
    }
}

/// The encoded snapshot, cached for sending to all members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct EncodedSnapshot {
    index: Index,
    bytes: Arc<Vec<u8>>,
}

// The leader's side.
impl Raft {
    pub(super) fn send_snapshot_chunk(&mut self, id: Id, offset: u64) {
        let Role::Leader(leader) = &self.role else { return };
        let round = leader.round;
        let bytes = self.encoded_snapshot();
        let start = (offset as usize).min(bytes.len());
        let end = (start + self.options.snapshot_chunk_bytes).min(bytes.len());
        let chunk = SnapshotChunk {
            position: self.snapshot.position(),
            total_bytes: bytes.len() as u64,
            offset,
            data: bytes[start..end].to_vec(),
            round,
        };
        self.send(id, MessageBody::SnapshotChunk(chunk));
    }

    fn encoded_snapshot(&mut self) -> Arc<Vec<u8>> {
        let index = self.snapshot.index;
        if let Some(encoded) = self.encoded_snapshot.as_ref().filter(|encoded| encoded.index == index) {
            return encoded.bytes.clone();
        }
        let bytes = Arc::new(encode(&*self.snapshot));
        self.encoded_snapshot = Some(EncodedSnapshot { index, bytes: bytes.clone() });
        bytes
    }

    pub(super) fn handle_snapshot_chunk_reply(&mut self, from: Id, reply: &SnapshotChunkReply) {
        let SnapshotChunkReply { index, received_bytes, round } = *reply;
        let Some(progress) = self.record_contact(from, round) else { return };
        match &mut progress.state {
            // The reply to a resent chunk repeats the offset, and must not trigger another chunk.
            ProgressState::Snapshot { index: sent, offset, paused }
                if *sent == index && *offset != received_bytes =>
            {
                *offset = received_bytes;
                *paused = false;
            }
            _ => return,
        }
        let encoded = self.encoded_snapshot.as_ref().filter(|encoded| encoded.index == index);
        if encoded.is_some_and(|encoded| encoded.bytes.len() as u64 == received_bytes) {
            if let Some(progress) = self.record_contact(from, round) {
                progress.acknowledge(index);
            }
        }
        self.replicate_to(from, false);
    }
}

// The follower's side.
impl Raft {
    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: Id,
        chunk: SnapshotChunk,
        actions: &mut Vec<Action>,
    ) {
        let SnapshotChunk { position, total_bytes, round, .. } = chunk;
        let index = position.index;
        let received_bytes = if index <= self.commit {
            total_bytes // everything that it covers is committed here already
        } else if total_bytes > self.options.max_snapshot_bytes {
            return;
        } else {
            self.receive_snapshot_chunk(&chunk, actions)
        };
        let reply = SnapshotChunkReply { index, received_bytes, round };
        self.send(from, MessageBody::SnapshotChunkReply(reply));
    }

    /// Adds a chunk, and restores the snapshot once it is complete. Returns the number of bytes received so far.
    fn receive_snapshot_chunk(&mut self, chunk: &SnapshotChunk, actions: &mut Vec<Action>) -> u64 {
        let in_progress = self.incoming_snapshot.take().filter(|incoming| incoming.is_same_snapshot(chunk));
        let mut incoming = in_progress.unwrap_or_else(|| IncomingSnapshot::new(chunk));
        incoming.add(chunk);
        let received_bytes = incoming.received_bytes();
        if !incoming.is_complete() {
            self.incoming_snapshot = Some(incoming);
            return received_bytes;
        }
        let Some(snapshot) = incoming.into_snapshot() else { return 0 };
        self.restore(Arc::new(snapshot), actions);
        received_bytes
    }

    fn restore(&mut self, snapshot: Arc<Snapshot>, actions: &mut Vec<Action>) {
        let index = snapshot.index;
        let log_continues = self.log.term(index) == Some(snapshot.term);
        self.restore_configuration(index, snapshot.members.clone(), log_continues);
        if log_continues {
            self.log.compact(index);
            self.batch.compact = Some(index);
        } else {
            self.log = Log::new(snapshot.position());
            self.batch.reset = true;
            self.batch.truncate = None;
            self.batch.compact = None;
            self.batch.entries.clear();
            self.reset_durable();
        }
        self.commit = index;
        self.applied = index;
        self.snapshot = snapshot.clone();
        self.batch.snapshot = Some(snapshot.clone());
        actions.push(Action::Restore(snapshot));
    }
}

// All members.
impl Raft {
    /// Takes a snapshot at `index` and removes the entries up to there, except for those retained for members that are
    /// slightly behind.
    pub(super) fn compact(&mut self, index: Index, data: Arc<Vec<u8>>) {
        let Some(term) = self.log.term(index) else { return };
        if index <= self.snapshot.index || index > self.applied {
            return;
        }
        let mut members = self.compact_configurations(index);
        if is_planted!(self, SnapshotForgets) {
            members = Members::new();
        }
        self.snapshot = Arc::new(Snapshot { index, term, members, data });
        self.batch.snapshot = Some(self.snapshot.clone());
        let start_of_tail = self.log.start_of_tail(index, self.options.retained_bytes);
        let to = index.saturating_sub(self.options.retained_entries).max(start_of_tail);
        if to > self.log.base() {
            self.log.compact(to);
            self.batch.compact = Some(to);
        }
    }
}
