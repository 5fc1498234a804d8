//! Admission of bodies and arrival of their bytes.

use super::content::Content;
use super::{Body, BodyEvent, BodyStore};
use crate::plan::{BodyId, Rejection, Tier};
use crate::storage::CHUNK_BYTES;

/// Initial reservation for a body of unknown length (bytes); doubled as the body arrives.
const INITIAL_RESERVATION: u64 = 256 << 10;

impl BodyStore {
    /// Admits a body of `length` bytes that is about to arrive, whose request ends at `deadline`
    /// (seconds on the caller's clock, like `now`). Returns its handle and its initial tier.
    ///
    /// # Errors
    /// [`Rejection::TooLarge`] if it exceeds the maximum size of its class,
    /// [`Rejection::NoCapacity`] if no tier can accept it.
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

    /// Admits a body of unknown length; [`BodyStore::finish`] marks its end. It is stored or
    /// rejected, never passed through.
    ///
    /// # Errors
    /// [`Rejection::NoCapacity`] if neither memory nor files have capacity for it.
    pub fn admit_unknown_length(&mut self, now: f64, class: usize, deadline: f64) -> Result<Body, Rejection> {
        self.release_dropped(now);
        let admission = self.plan.admit_unknown_length(now, class, INITIAL_RESERVATION, deadline)?;
        let length = self.plan.body(admission.id).map_or(0, |body| body.length);
        let content = Content { length, length_unknown: true, ..Content::default() };
        Ok(self.insert(admission.id, content))
    }

    /// Marks the end of a body of unknown length: what has been received is all of it. No effect on
    /// other bodies.
    pub fn finish(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id).filter(|content| content.length_unknown) else {
            return;
        };
        content.length_unknown = false;
        content.length = content.received;
        self.plan.set_length(id, content.received);
        self.finish_chunk(now, id);
        self.complete_if_received(now, id);
    }

    /// Number of bytes that the body can accept now. If it is 0, the sender has to wait for
    /// [`BodyEvent::CapacityAvailable`].
    pub fn capacity(&mut self, id: BodyId) -> usize {
        if !self.extend_if_full(id) {
            return 0;
        }
        let Some((content, body)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else { return 0 };
        let missing = content.missing_bytes();
        let capacity = match body.tier {
            Tier::Memory => missing,
            Tier::File => content.file_capacity(),
            Tier::PassThrough => content.pass_through_capacity(body, &self.readers),
        };
        let available = capacity.min(missing);
        content.sender_waits = available == 0 && missing > 0;
        available
    }

    /// Whether a body is complete and stored, that is, not passed through.
    #[must_use]
    pub fn is_stored(&self, id: BodyId) -> bool {
        self.plan.body(id).is_some_and(|body| body.complete && body.tier != Tier::PassThrough)
    }

    /// The maximum size of a body of a class (bytes).
    #[must_use]
    pub fn max_bytes(&self, class: usize) -> u64 {
        self.plan.max_bytes(class)
    }

    /// Bytes of a body that have been received.
    #[must_use]
    pub fn received_bytes(&self, id: BodyId) -> u64 {
        self.contents.get(&id).map_or(0, |content| content.received)
    }

    /// Appends as many of the bytes to a body as it has capacity for. Returns how many it accepted.
    pub fn append_available(&mut self, now: f64, id: BodyId, bytes: &[u8]) -> usize {
        let mut accepted = 0;
        while accepted < bytes.len() {
            let count = self.capacity(id).min(bytes.len() - accepted);
            if count == 0 {
                break;
            }
            self.append(now, id, &bytes[accepted..accepted + count]);
            accepted += count;
        }
        accepted
    }

    /// Appends bytes to a body. There must be no more than [`BodyStore::capacity`] returned.
    pub fn append(&mut self, now: f64, id: BodyId, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let Some(content) = self.contents.get_mut(&id) else { return };
            bytes = content.append(bytes);
            if content.partial.len() == CHUNK_BYTES || content.is_fully_received() {
                self.finish_chunk(now, id);
            }
        }
        if self.is_passed_through(id) {
            self.notify_readers(id);
        }
        self.complete_if_received(now, id);
    }

    fn insert(&mut self, id: BodyId, content: Content) -> Body {
        let body = Body::new(id, content.length, self.dropped.clone());
        self.contents.insert(id, content);
        body
    }

    /// Extends the reservation of a body of unknown length if it is used up. Returns whether the
    /// body can continue to arrive.
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

    /// Notifies a waiting sender if the body has capacity again.
    pub(super) fn notify_sender(&mut self, id: BodyId) {
        let waiting = self.contents.get(&id).is_some_and(|content| content.sender_waits);
        if waiting && self.capacity(id) > 0 {
            self.events.push_back(BodyEvent::CapacityAvailable(id));
        }
    }

    /// Finishes the partial chunk of a body: in a file, it is written; in a pass-through window,
    /// chunks that were already read are discarded to keep within the window.
    pub(super) fn finish_chunk(&mut self, now: f64, id: BodyId) {
        let Some((content, body)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else { return };
        let Some(chunk) = content.finish_chunk() else { return };
        match body.tier {
            Tier::File if !content.unwritable => self.write_chunk(now, id, chunk),
            Tier::PassThrough => self.discard_read_chunks(id),
            Tier::File | Tier::Memory => {}
        }
    }

    /// Marks a fully received body as complete: in memory at once; in a file once all of it is
    /// written, and it keeps its window until then.
    pub(super) fn complete_if_received(&mut self, now: f64, id: BodyId) {
        let Some((content, body)) = self.contents.get(&id).zip(self.plan.body(id)) else { return };
        let tier = body.tier;
        if body.complete || content.lost || !content.is_fully_received() {
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
