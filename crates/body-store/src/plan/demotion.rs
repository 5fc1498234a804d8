//! Demotion: which bodies move from memory to files when memory runs short.

use super::{BodyId, BodyState, Plan, Tier};

/// Share of the memory in use above which bodies are demoted to files, so that new bodies find free
/// memory at once.
const DEMOTION_THRESHOLD: f64 = 0.875;
/// Lower bound of the remaining time in [`Plan::retention_value`] (s): moving a body to a file
/// takes about as long.
const MIN_REMAINING_TIME: f64 = 0.1;
/// Factor on the priority weight of classes where no retry may follow an attempt that may have run.
const UNREPEATABLE_FACTOR: f64 = 0.1;

impl Plan {
    /// Selects the next body to move from memory to a file, if memory is short: the one of least
    /// [`Plan::retention_value`] among the complete bodies without readers. It is counted in both
    /// tiers until [`Plan::finish_demotion`].
    pub fn start_demotion(&mut self, now: f64) -> Option<BodyId> {
        if now < self.files_suspended_until || !self.is_memory_short() {
            return None;
        }
        let id = self.least_valuable(now)?;
        let body = self.bodies.get_mut(&id)?;
        body.demoting = true;
        self.usage.add(body.class, Tier::File, body.length);
        Some(id)
    }

    /// Ends a demotion: if it succeeded, the body is in its file; otherwise it stays in memory.
    pub fn finish_demotion(&mut self, id: BodyId, succeeded: bool) {
        let Some(body) = self.bodies.get_mut(&id).filter(|body| body.demoting) else { return };
        body.demoting = false;
        if succeeded {
            body.tier = Tier::File;
            self.usage.counters_mut(body.class).demoted += 1;
        }
        let left_tier = if succeeded { Tier::Memory } else { Tier::File };
        self.usage.remove(body.class, left_tier, body.length);
    }

    /// The value of keeping a body in memory (priority weight per byte and second). A small body is
    /// as likely to be needed again as a large one and uses less memory; a body with a near
    /// deadline will soon release its memory anyway.
    #[must_use]
    pub fn retention_value(&self, now: f64, body: &BodyState) -> f64 {
        let limits = self.usage.limits(body.class);
        let factor = if limits.repeatable { 1.0 } else { UNREPEATABLE_FACTOR };
        let remaining_time = (body.deadline - now).max(MIN_REMAINING_TIME);
        factor * limits.priority_weight / (body.length.max(1) as f64 * remaining_time)
    }

    /// Whether the memory in use, excluding bodies that are being demoted, is above the threshold.
    fn is_memory_short(&self) -> bool {
        let threshold = (DEMOTION_THRESHOLD * self.usage.memory_bytes() as f64) as u64;
        let demoting: u64 = self.bodies.values().filter(|body| body.demoting).map(|body| body.length).sum();
        self.usage.used().memory - demoting > threshold
    }

    /// The demotable body of least value that fits into the files; ties go to the oldest.
    fn least_valuable(&self, now: f64) -> Option<BodyId> {
        let candidates = self
            .bodies
            .iter()
            .filter(|(_, body)| body.is_demotable() && self.usage.fits(Tier::File, body.class, body.length));
        let least = candidates.min_by(|(id, body), (other_id, other)| {
            let value = self.retention_value(now, body);
            value.total_cmp(&self.retention_value(now, other)).then(id.cmp(other_id))
        });
        least.map(|(id, _)| *id)
    }
}
