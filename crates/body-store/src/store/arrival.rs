//! A body is admitted, and its bytes arrive.

use super::content::Content;
use super::{Body, BodyEvent, BodyStore};
use crate::plan::{BodyId, Rejection, Tier};
use crate::storage::CHUNK_BYTES;

/// What is reserved at first for a body of unknown length (bytes); doubled as it arrives.
const INITIAL_RESERVATION: u64 = 256 << 10;

impl BodyStore {
    /// Admits a body of `length` bytes that is about to arrive, whose request ends at `deadline` (seconds on the caller's
    /// clock, as `now`). Returns its handle and the tier that it begins in.
    ///
    /// # Errors
    /// [`Rejection::TooLarge`] above the largest size of its class, [`Rejection::NoCapacity`] where no tier can take it.
    pub fn admit(
        &mut self,
        now: f64,
        class: usize,
        length: u64,
        deadline: f64,
    ) -> Result<(Body, Tier), Rejection> {
        self.release_dropped(now);
        let admission = self.plan.admit(now, class, length, deadline)?;
        let content = Content { length, ..Content::default() };
        Ok((self.insert(admission.id, content), admission.tier))
    }

    /// Admits a body of unknown length, which [`BodyStore::finish`] tells. It is kept, or not taken.
    ///
    /// # Errors
    /// [`Rejection::NoCapacity`] where neither memory nor files can take it.
    pub fn admit_unknown_length(&mut self, now: f64, class: usize, deadline: f64) -> Result<Body, Rejection> {
        self.release_dropped(now);
        let admission = self.plan.admit_unknown_length(now, class, INITIAL_RESERVATION, deadline)?;
        let length = self.plan.body(admission.id).map_or(0, |body| body.length);
        let content = Content { length, length_unknown: true, ..Content::default() };
        Ok(self.insert(admission.id, content))
    }

    /// A body of unknown length has ended with what has arrived of it. Nothing happens for others.
    pub fn finish(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id).filter(|content| content.length_unknown) else {
            return;
        };
        content.length_unknown = false;
        content.length = content.received;
        self.plan.set_length(id, content.received);
        self.end_chunk(now, id);
        self.complete_if_arrived(now, id);
    }

    /// Bytes that the body takes now. At 0 its sender has to wait for [`BodyEvent::CapacityAvailable`].
    pub fn capacity(&mut self, id: BodyId) -> usize {
        if !self.extend_if_full(id) {
            return 0;
        }
        let Some((content, body)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else { return 0 };
        let missing = content.missing_bytes();
        let capacity = match body.tier {
            Tier::Memory => missing,
            Tier::File => content.file_capacity(),
            Tier::PassThrough => content.passing_capacity(body, &self.readers),
        };
        let room = capacity.min(missing);
        content.sender_waits = room == 0 && missing > 0;
        room
    }

    /// Whether all of a body is here and kept.
    #[must_use]
    pub fn is_stored(&self, id: BodyId) -> bool {
        self.plan.body(id).is_some_and(|body| body.complete && body.tier != Tier::PassThrough)
    }

    /// The largest body that a class may have (bytes).
    #[must_use]
    pub fn max_bytes(&self, class: usize) -> u64 {
        self.plan.max_bytes(class)
    }

    /// What has arrived of a body (bytes).
    #[must_use]
    pub fn received_bytes(&self, id: BodyId) -> u64 {
        self.contents.get(&id).map_or(0, |content| content.received)
    }

    /// Takes the next bytes of a body, as many as it has capacity for. Returns how many it took.
    pub fn append_available(&mut self, now: f64, id: BodyId, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() {
            let count = self.capacity(id).min(bytes.len() - taken);
            if count == 0 {
                break;
            }
            self.append(now, id, &bytes[taken..taken + count]);
            taken += count;
        }
        taken
    }

    /// Takes the next bytes of a body, which must be no more than [`BodyStore::capacity`] returned.
    pub fn append(&mut self, now: f64, id: BodyId, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let Some(content) = self.contents.get_mut(&id) else { return };
            bytes = content.append(bytes);
            if content.partial.len() == CHUNK_BYTES || content.has_arrived() {
                self.end_chunk(now, id);
            }
        }
        if self.is_passed(id) {
            self.notify_readers(id);
        }
        self.complete_if_arrived(now, id);
    }

    fn insert(&mut self, id: BodyId, content: Content) -> Body {
        let body = Body::new(id, content.length, self.dropped.clone());
        self.contents.insert(id, content);
        body
    }

    /// Reserves more for a body of unknown length whose reservation is used up. Returns whether the body can go on.
    fn extend_if_full(&mut self, id: BodyId) -> bool {
        let Some(content) = self.contents.get_mut(&id).filter(|content| !content.lost) else { return false };
        if !content.length_unknown || content.missing_bytes() > 0 {
            return true;
        }
        let Ok(length) = self.plan.extend(id) else {
            content.lost = true;
            self.events.push_back(BodyEvent::Lost(id));
            return false;
        };
        content.length = length;
        true
    }

    /// Tells a sender that had to wait that the body has capacity again.
    pub(super) fn notify_sender(&mut self, id: BodyId) {
        let waits = self.contents.get(&id).is_some_and(|content| content.sender_waits);
        if waits && self.capacity(id) > 0 {
            self.events.push_back(BodyEvent::CapacityAvailable(id));
        }
    }

    /// The chunk that was arriving has ended: it goes to its file, or makes others in its window give way.
    pub(super) fn end_chunk(&mut self, now: f64, id: BodyId) {
        let Some((content, body)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else { return };
        let Some(chunk) = content.end_chunk() else { return };
        match body.tier {
            Tier::File if !content.unwritable => self.write_chunk(now, id, chunk),
            Tier::PassThrough => self.discard_read_chunks(id),
            Tier::File | Tier::Memory => {}
        }
    }

    /// A body that has arrived is complete: at once in memory; in a file, where it holds its window until then, once all of it
    /// is written.
    pub(super) fn complete_if_arrived(&mut self, now: f64, id: BodyId) {
        let Some((content, body)) = self.contents.get(&id).zip(self.plan.body(id)) else { return };
        let tier = body.tier;
        if body.complete || content.lost || !content.has_arrived() {
            return;
        }
        if tier == Tier::File && (content.unwritable || content.pending_writes > 0) {
            return;
        }
        self.plan.mark_complete(id);
        if tier != Tier::PassThrough {
            self.events.push_back(BodyEvent::Stored(id));
        }
        self.start_waiting_readers();
        self.demote(now);
    }
}
