//! Admission: whether a body is accepted, and its initial tier.

use super::{BodyId, BodyState, Plan, Rejection, Tier, FILE_WINDOW_CHUNKS, PASS_THROUGH_WINDOW_CHUNKS};

/// Largest share of the memory that one body may use, so that a few large bodies do not push all
/// others to files.
const MAX_BODY_SHARE: f64 = 0.25;
/// Factor by which the reservation of a body of unknown length grows.
const GROWTH_FACTOR: u64 = 2;

/// The result of a successful admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The body.
    pub id: BodyId,
    /// Its initial tier.
    pub tier: Tier,
}

impl Plan {
    /// Admits a body of `length` bytes whose request ends at `deadline` (seconds on the caller's
    /// clock, like `now`). The whole length is reserved at once, so that a body does not run out of
    /// capacity while it arrives.
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
    ) -> Result<Admission, Rejection> {
        if length > self.max_bytes(class) {
            self.usage.counters_mut(class).too_large += 1;
            return Err(Rejection::TooLarge);
        }
        let Some(tier) = self.tier_for(now, class, length) else {
            return Err(self.reject(class));
        };
        Ok(self.insert(BodyState::new(class, length, deadline, tier)))
    }

    /// Admits a body of unknown length and reserves `length` bytes for it at first: in a file if
    /// possible, otherwise in memory. Such a body is never passed through. [`Plan::extend`]
    /// reserves more as it arrives; [`Plan::set_length`] releases the excess.
    ///
    /// # Errors
    /// [`Rejection::NoCapacity`] if neither tier has capacity for that many bytes.
    pub fn admit_unknown_length(
        &mut self,
        now: f64,
        class: usize,
        length: u64,
        deadline: f64,
    ) -> Result<Admission, Rejection> {
        let length = length.min(self.max_bytes(class));
        let tier = if self.file_has_capacity(now, class, length) {
            Tier::File
        } else if self.usage.fits(Tier::Memory, class, length) {
            Tier::Memory
        } else {
            return Err(self.reject(class));
        };
        let body = BodyState { length_unknown: true, ..BodyState::new(class, length, deadline, tier) };
        Ok(self.insert(body))
    }

    /// Doubles the reservation of a body of unknown length, up to the maximum size of its class.
    /// Returns the new reservation (bytes).
    ///
    /// # Errors
    /// [`Rejection::TooLarge`] if the maximum size is reserved already, [`Rejection::NoCapacity`]
    /// if its tier has no capacity.
    pub fn extend(&mut self, id: BodyId) -> Result<u64, Rejection> {
        let Some(body) = self.bodies.get(&id) else { return Err(Rejection::NoCapacity) };
        let (class, tier, reserved) = (body.class, body.tier, body.length);
        let length = (GROWTH_FACTOR * reserved).min(self.max_bytes(class));
        if length == reserved {
            self.usage.counters_mut(class).too_large += 1;
            return Err(Rejection::TooLarge);
        }
        if !self.usage.fits(tier, class, length - reserved) {
            return Err(self.reject(class));
        }
        self.resize(id, length);
        Ok(length)
    }

    /// Sets the final length of a body of unknown length once it has ended. `length` must not
    /// exceed the reservation.
    pub fn set_length(&mut self, id: BodyId, length: u64) {
        self.resize(id, length);
        if let Some(body) = self.bodies.get_mut(&id) {
            body.length_unknown = false;
        }
    }

    fn tier_for(&self, now: f64, class: usize, length: u64) -> Option<Tier> {
        let max_in_memory = (MAX_BODY_SHARE * self.usage.memory_bytes() as f64) as u64;
        if length <= max_in_memory && self.usage.fits(Tier::Memory, class, length) {
            return Some(Tier::Memory);
        }
        if self.file_has_capacity(now, class, length) {
            return Some(Tier::File);
        }
        let may_pass_through = self.usage.limits(class).pass_through
            && self.usage.has_arrival_window(PASS_THROUGH_WINDOW_CHUNKS);
        may_pass_through.then_some(Tier::PassThrough)
    }

    fn file_has_capacity(&self, now: f64, class: usize, length: u64) -> bool {
        self.usage.has_arrival_window(FILE_WINDOW_CHUNKS)
            && now >= self.files_suspended_until
            && self.usage.fits(Tier::File, class, length)
    }

    fn insert(&mut self, mut body: BodyState) -> Admission {
        self.last_id += 1;
        body.window_chunks = match body.tier {
            Tier::Memory => 0,
            Tier::File => FILE_WINDOW_CHUNKS,
            Tier::PassThrough => PASS_THROUGH_WINDOW_CHUNKS,
        };
        let admission = Admission { id: self.last_id, tier: body.tier };
        self.usage.reserve_arrival_window(body.window_chunks);
        self.usage.add(body.class, body.tier, body.length);
        self.usage.count_admission(body.class, body.tier);
        self.bodies.insert(self.last_id, body);
        admission
    }

    fn reject(&mut self, class: usize) -> Rejection {
        self.usage.counters_mut(class).rejected += 1;
        Rejection::NoCapacity
    }

    fn resize(&mut self, id: BodyId, length: u64) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        let reserved = std::mem::replace(&mut body.length, length);
        self.usage.remove(body.class, body.tier, reserved);
        self.usage.add(body.class, body.tier, length);
    }
}
