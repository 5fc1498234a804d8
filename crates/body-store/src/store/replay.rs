//! Readers, each of which reads its body from the start, and chunks that are read back for them
//! from files.

use super::content::ChunkState;
use super::{Body, BodyEvent, BodyStore, Bytes, ReadOutcome, Reader, ReaderId};
use crate::io_threads::{ChunkRead, IoTask};
use crate::plan::{BodyId, Tier, REPLAY_WINDOW_CHUNKS};
use std::io;
use std::sync::Arc;

/// Number of chunks that are loaded for a reader in advance, including its next one.
const READ_AHEAD_CHUNKS: usize = REPLAY_WINDOW_CHUNKS / 2;

/// The state of a reader.
pub(super) struct ReaderState {
    pub(super) body: BodyId,
    /// Index of the next chunk to read.
    pub(super) next_chunk: usize,
    /// It has a replay window.
    pub(super) has_window: bool,
    /// It is waiting for a replay window.
    pub(super) waits_for_window: bool,
}

/// The result of looking up a reader's next chunk.
enum NextChunk {
    Found(Bytes),
    /// It has to be read back from its file.
    InFile,
    /// It is not available; contains the result to return to the reader.
    Absent(ReadOutcome),
}

impl BodyStore {
    /// Opens a reader at the start of a body. Returns `None` if bytes of the body were dropped or
    /// it is lost, if it is stored but not complete, or if it is passed through and already has a
    /// reader.
    pub fn open_reader(&mut self, now: f64, body: &Body) -> Option<Reader> {
        self.release_dropped(now);
        let id = body.id();
        if !self.plan.can_read(id) {
            return None;
        }
        let content =
            self.contents.get_mut(&id).filter(|content| !content.has_discarded_chunks && !content.lost)?;
        if std::mem::replace(&mut content.was_read, true) {
            self.plan.count_replay(id);
        }
        self.last_reader += 1;
        content.readers.push(self.last_reader);
        let needs_window = self.plan.body(id).is_some_and(|body| body.tier == Tier::File);
        let started = self.plan.start_read(id);
        if !started {
            self.waiting_readers.push_back(self.last_reader);
        }
        let has_window = needs_window && started;
        let state = ReaderState { body: id, next_chunk: 0, has_window, waits_for_window: !started };
        self.readers.insert(self.last_reader, state);
        Some(Reader::new(self.last_reader, self.dropped.clone()))
    }

    /// Reads the next bytes.
    pub fn read(&mut self, now: f64, reader: &Reader) -> ReadOutcome {
        let Some(state) = self.readers.get(&reader.id) else { return ReadOutcome::Lost };
        if state.waits_for_window {
            return ReadOutcome::NotReady;
        }
        let (id, chunk) = (state.body, state.next_chunk);
        match self.find_chunk(now, id, chunk) {
            NextChunk::Found(bytes) => {
                self.advance(reader.id);
                self.load(now, id, chunk + 1);
                self.notify_sender(id);
                ReadOutcome::Bytes(bytes)
            }
            NextChunk::InFile => {
                self.load(now, id, chunk);
                ReadOutcome::NotReady
            }
            NextChunk::Absent(reason) => reason,
        }
    }

    /// Looks up a chunk of a body. If the body is passed through, a partial chunk is finished
    /// first, whatever its length, so that it can be read.
    fn find_chunk(&mut self, now: f64, id: BodyId, chunk: usize) -> NextChunk {
        let Some(content) = self.contents.get(&id).filter(|content| !content.lost) else {
            return NextChunk::Absent(ReadOutcome::Lost);
        };
        if chunk >= content.chunks.len() {
            if content.is_fully_received() {
                return NextChunk::Absent(ReadOutcome::End);
            }
            if !self.is_passed_through(id) || content.partial.is_empty() {
                return NextChunk::Absent(ReadOutcome::NotReady);
            }
            self.finish_chunk(now, id);
        }
        let Some(content) = self.contents.get(&id) else { return NextChunk::Absent(ReadOutcome::Lost) };
        match &content.chunks[chunk].state {
            ChunkState::Memory(bytes) | ChunkState::Writing(bytes) | ChunkState::Written { bytes, .. } => {
                NextChunk::Found(bytes.clone())
            }
            ChunkState::File(_) => {
                content.loaded.get(&chunk).cloned().map_or(NextChunk::InFile, NextChunk::Found)
            }
            ChunkState::Discarded => NextChunk::Absent(ReadOutcome::Lost),
        }
    }

    /// Moves a reader to its next chunk.
    fn advance(&mut self, reader: ReaderId) {
        let Some(state) = self.readers.get_mut(&reader) else { return };
        state.next_chunk += 1;
        let body = state.body;
        self.unload(body);
    }

    /// Starts to read back the chunks from `first` on, as far as the read-ahead extends.
    fn load(&mut self, now: f64, body: BodyId, first: usize) {
        let Some((io, content)) = self.io.as_mut().zip(self.contents.get_mut(&body)) else { return };
        let end = (first + READ_AHEAD_CHUNKS).min(content.chunks.len());
        for chunk in first..end {
            let ChunkState::File(slot) = content.chunks[chunk].state else { continue };
            if content.loaded.contains_key(&chunk) || content.loading.contains(&chunk) {
                continue;
            }
            content.loading.push(chunk);
            let buffer = vec![0; content.chunks[chunk].length];
            io.submit(now, IoTask::Read { read: ChunkRead { body, chunk, slot }, buffer });
        }
    }

    /// Drops chunks that were read back, except those within the read-ahead of a reader.
    pub(super) fn unload(&mut self, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id).filter(|content| !content.loaded.is_empty()) else {
            return;
        };
        let readers = content.readers.iter().filter_map(|reader| self.readers.get(reader));
        let positions: Vec<usize> = readers.map(|reader| reader.next_chunk).collect();
        let is_needed = |chunk: &usize| {
            positions.iter().any(|position| (*position..position + READ_AHEAD_CHUNKS).contains(chunk))
        };
        content.loaded.retain(|chunk, _| is_needed(chunk));
    }

    /// Handles the end of a read. Bytes whose checksum does not match are never returned to
    /// readers.
    pub(super) fn on_read(&mut self, read: ChunkRead, result: io::Result<Vec<u8>>) {
        let ChunkRead { body: id, chunk, .. } = read;
        let Some(content) = self.contents.get_mut(&id) else { return };
        content.loading.retain(|loading| *loading != chunk);
        match result {
            Ok(bytes) if crc32fast::hash(&bytes) == content.chunks[chunk].checksum => {
                content.loaded.insert(chunk, Arc::new(bytes));
                self.unload(id);
            }
            _ if content.lost => {}
            _ => {
                content.lost = true;
                content.loaded.clear();
                self.plan.count_corrupt(id);
                self.events.push_back(BodyEvent::BytesDropped(id));
            }
        }
        self.notify_readers(id);
    }

    /// Notifies the readers of a body that they should read again.
    pub(super) fn notify_readers(&mut self, id: BodyId) {
        let Some(content) = self.contents.get(&id) else { return };
        self.events.extend(content.readers.iter().map(|reader| BodyEvent::DataReady(*reader)));
    }

    /// Assigns free windows to waiting readers, first come first served.
    pub(super) fn start_waiting_readers(&mut self) {
        while let Some(&reader) = self.waiting_readers.front() {
            let Some(state) = self.readers.get_mut(&reader) else {
                self.waiting_readers.pop_front();
                continue;
            };
            if !self.plan.start_read(state.body) {
                return;
            }
            self.waiting_readers.pop_front();
            state.waits_for_window = false;
            state.has_window = true;
            self.events.push_back(BodyEvent::DataReady(reader));
        }
    }
}
