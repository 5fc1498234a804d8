//! Where a body is kept, what moves when room runs short, and what that means for further attempts. Pure: no
//! I/O, no clock, no bytes; it counts them.
//!
//! The tiers, best first:
//!
//! | tier | what it means for further attempts |
//! | --- | --- |
//! | [`Tier::Memory`] | replayed at once, as often as the request's class allows |
//! | [`Tier::File`] | the same, read back from a file |
//! | [`Tier::Passed`] | passed on as it comes and not kept: repeated only while every byte is still here |
//!
//! What holds at all times (`tests/plan.rs` tries to break it):
//!
//! 1. Bytes in a tier stay within its budget, and those of a class within the class's share of it.
//! 2. Windows, counted in chunks, stay within their budget; those of arrivals leave some for replays.
//! 3. A body that is here whole never becomes a passed one.
//! 4. Only a body that is whole, in memory and not being read is demoted, and of those the one that is worth
//!    least by the byte and second.
//! 5. A body that is passed on has one reader at most.
//! 6. What was taken is given back when the body is closed, once.

use std::collections::HashMap;

/// Names a body; never used again.
pub type BodyId = u64;

/// Where a body is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Tier {
    /// In memory.
    Memory,
    /// In a file.
    File,
    /// Nowhere: passed on as it comes.
    Passed,
}

/// What one class of requests may use.
#[derive(Clone, Debug)]
pub struct ClassRules {
    /// A further attempt may follow one that may have run. Bodies of other classes are kept only for attempts
    /// that never ran, and give way first.
    pub repeats: bool,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Most of the memory that its bodies may hold (0 to 1).
    pub memory_share: f64,
    /// Most of the files that its bodies may hold (0 to 1).
    pub files_share: f64,
    /// Largest body (bytes).
    pub largest: u64,
    /// A body that fits nowhere may be passed on without being kept.
    pub pass: bool,
}

/// Budgets.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Bytes of bodies in memory.
    pub memory: u64,
    /// Bytes of bodies in files; 0 for no files.
    pub files: u64,
    /// Chunks for windows: what a body that goes by, to or from a file or passed on, holds in memory meanwhile.
    pub chunks: usize,
    /// By class.
    pub classes: Vec<ClassRules>,
}

/// Share of the memory past which bodies move to files: who comes next finds room at once.
const HIGH: f64 = 0.875;
/// Largest share of the memory that one body may take: a few large ones must not send all others to files.
const ONE: f64 = 0.25;
/// Window of a body on its way to a file (chunks): one that fills and one that is written.
pub const TO_FILE: usize = 2;
/// Window of a body that is passed on (chunks): one that fills and what is still here for an attempt that never ran.
pub const PASSED: usize = 5;
/// Window of a replay from a file (chunks): two read ahead and two on their way to the engine.
pub const REPLAY: usize = 4;
/// Share of the windows that arrivals may hold.
const ARRIVALS: f64 = 0.75;
/// Less time than this (s) counts as this: a move takes as long.
const SOON: f64 = 0.1;
/// What the worth of a body counts where no attempt can follow one that may have run.
const UNREPEATED: f64 = 0.1;

/// Why a body is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is larger than any of its class may be.
    TooLarge,
    /// There is no room now.
    NoRoom,
}

/// What has happened to bodies of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Bytes held now in memory, in files, and let pass now.
    pub held: [u64; 3],
    /// Bodies held now, by tier.
    pub bodies: [u64; 3],
    /// Bodies taken, by the tier that they began in.
    pub taken: [u64; 3],
    /// Moved from memory to a file.
    pub demoted: u64,
    /// Began in a file and had to be passed on instead.
    pub dropped: u64,
    /// Read once more for a further attempt.
    pub replayed: u64,
    /// Not taken for want of room.
    pub refused: u64,
    /// Not taken, as too large.
    pub too_large: u64,
    /// Could not be read back as they were written.
    pub spoilt: u64,
}

/// A body, as the plan sees it.
#[derive(Clone, Debug)]
pub struct Held {
    /// Position of its class.
    pub class: usize,
    /// Its length (bytes).
    pub length: u64,
    /// When its request ends (seconds on the caller's clock).
    pub deadline: f64,
    /// Where it is kept.
    pub tier: Tier,
    /// All of it is here.
    pub whole: bool,
    /// Readers that it has now.
    pub readers: usize,
    /// It is being moved to a file; it counts in both tiers.
    pub moving: bool,
    /// It began in a file and is passed on; what is there counts until it is closed.
    pub fallen: bool,
    /// Chunks of the window that it holds.
    pub window: usize,
    /// Its length is not known yet.
    pub open: bool,
}

/// The decisions on bodies.
pub struct Plan {
    rules: Rules,
    held: HashMap<BodyId, Held>,
    figures: Vec<Figures>,
    /// Bytes by tier: memory, files.
    used: [u64; 2],
    /// The same by class.
    by_class: Vec<[u64; 2]>,
    arrivals: usize,
    replays: usize,
    last: BodyId,
    /// No file is begun before this (seconds on the caller's clock).
    files_from: f64,
}

fn place(tier: Tier) -> usize {
    tier as usize
}

impl Plan {
    /// With nothing held.
    #[must_use]
    pub fn new(rules: Rules) -> Self {
        let classes = rules.classes.len();
        Self {
            held: HashMap::new(),
            figures: vec![Figures::default(); classes],
            used: [0; 2],
            by_class: vec![[0; 2]; classes],
            arrivals: 0,
            replays: 0,
            last: 0,
            files_from: f64::NEG_INFINITY,
            rules,
        }
    }

    /// What has happened so far, by class.
    #[must_use]
    pub fn figures(&self) -> &[Figures] {
        &self.figures
    }

    /// The largest body that a class may have (bytes).
    #[must_use]
    pub fn largest(&self, class: usize) -> u64 {
        self.rules.classes[class].largest
    }

    /// A body that is held.
    #[must_use]
    pub fn get(&self, id: BodyId) -> Option<&Held> {
        self.held.get(&id)
    }

    /// Bytes held in memory, and in files.
    #[must_use]
    pub fn used(&self) -> [u64; 2] {
        self.used
    }

    /// Chunks of windows that are taken, by arrivals and by replays.
    #[must_use]
    pub fn windows(&self) -> (usize, usize) {
        (self.arrivals, self.replays)
    }

    /// Takes a body in, or says why not. Its length is set aside at once, so that one which has begun does not
    /// run out of room halfway.
    pub fn admit(
        &mut self,
        now: f64,
        class: usize,
        length: u64,
        deadline: f64,
    ) -> Result<(BodyId, Tier), Refusal> {
        let rules = &self.rules.classes[class];
        if length > rules.largest {
            self.figures[class].too_large += 1;
            return Err(Refusal::TooLarge);
        }
        let (pass, one) = (rules.pass, (ONE * self.rules.memory as f64) as u64);
        let tier = if length <= one && self.fits(Tier::Memory, class, length) {
            Tier::Memory
        } else if self.has(TO_FILE) && now >= self.files_from && self.fits(Tier::File, class, length) {
            Tier::File
        } else if self.has(PASSED) && pass {
            Tier::Passed
        } else {
            return Err(self.no_room(class));
        };
        Ok((self.hold(class, length, deadline, tier), tier))
    }

    fn hold(&mut self, class: usize, length: u64, deadline: f64, tier: Tier) -> BodyId {
        self.last += 1;
        let window = [0, TO_FILE, PASSED][place(tier)];
        let (whole, readers, moving, fallen) = (false, 0, false, false);
        let held =
            Held { class, length, deadline, tier, whole, readers, moving, fallen, window, open: false };
        self.arrivals += window;
        self.held.insert(self.last, held);
        self.count(class, tier, length, true);
        self.figures[class].taken[place(tier)] += 1;
        self.last
    }

    fn no_room(&mut self, class: usize) -> Refusal {
        self.figures[class].refused += 1;
        Refusal::NoRoom
    }

    /// Whether an arrival may have a window of so many chunks.
    fn has(&self, chunks: usize) -> bool {
        let most = (ARRIVALS * self.rules.chunks as f64) as usize;
        self.arrivals + chunks <= most && self.arrivals + self.replays + chunks <= self.rules.chunks
    }

    fn fits(&self, tier: Tier, class: usize, length: u64) -> bool {
        let rules = &self.rules.classes[class];
        let (most, share) = match tier {
            Tier::Memory => (self.rules.memory, rules.memory_share),
            Tier::File => (self.rules.files, rules.files_share),
            Tier::Passed => return true,
        };
        let own = (share * most as f64) as u64;
        let at = place(tier);
        self.used[at] + length <= most && self.by_class[class][at] + length <= own
    }

    fn count(&mut self, class: usize, tier: Tier, length: u64, comes: bool) {
        let at = place(tier);
        let figures = &mut self.figures[class];
        let change = |sum: &mut u64, by: u64| *sum = if comes { *sum + by } else { *sum - by };
        change(&mut figures.held[at], length);
        change(&mut figures.bodies[at], 1);
        if tier != Tier::Passed {
            change(&mut self.used[at], length);
            change(&mut self.by_class[class][at], length);
        }
    }

    /// Takes in a body whose length is not known, to be kept: in a file if there are any, else in memory. It is
    /// never passed on. [`Plan::extend`] sets more aside as it comes, [`Plan::end`] gives back what was too much.
    ///
    /// # Errors
    /// Where there is no room for `length` bytes, with which it begins.
    pub fn admit_open(
        &mut self,
        now: f64,
        class: usize,
        length: u64,
        deadline: f64,
    ) -> Result<(BodyId, Tier), Refusal> {
        let length = length.min(self.rules.classes[class].largest);
        let filed = self.has(TO_FILE) && now >= self.files_from && self.fits(Tier::File, class, length);
        let tier = match filed {
            true => Tier::File,
            false if self.fits(Tier::Memory, class, length) => Tier::Memory,
            false => return Err(self.no_room(class)),
        };
        let id = self.hold(class, length, deadline, tier);
        if let Some(held) = self.held.get_mut(&id) {
            held.open = true;
        }
        Ok((id, tier))
    }

    /// Sets twice as much aside for a body whose length is not known, up to the largest that its class may have:
    /// the bytes in all.
    ///
    /// # Errors
    /// Why not.
    pub fn extend(&mut self, id: BodyId) -> Result<u64, Refusal> {
        let Some(held) = self.held.get(&id) else { return Err(Refusal::NoRoom) };
        let (class, tier, had) = (held.class, held.tier, held.length);
        let length = (2 * had).min(self.rules.classes[class].largest);
        if length == had {
            self.figures[class].too_large += 1;
            return Err(Refusal::TooLarge);
        }
        if !self.fits(tier, class, length - had) {
            return Err(self.no_room(class));
        }
        self.resize(id, length);
        Ok(length)
    }

    /// The body has ended with that length, which is no more than was set aside.
    pub fn end(&mut self, id: BodyId, length: u64) {
        self.resize(id, length);
        if let Some(held) = self.held.get_mut(&id) {
            held.open = false;
        }
    }

    fn resize(&mut self, id: BodyId, length: u64) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let (class, tier, had) = (held.class, held.tier, std::mem::replace(&mut held.length, length));
        self.count(class, tier, had, false);
        self.count(class, tier, length, true);
    }

    /// All of it is here and, if it belongs in a file, there. Its window is free again unless it is passed on.
    pub fn whole(&mut self, id: BodyId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.whole = true;
        if held.tier != Tier::Passed {
            self.arrivals -= std::mem::take(&mut held.window);
        }
    }

    /// The body that is to go from memory to a file now, if one is: of those that are whole and not being read
    /// the one worth least by the byte. It counts in both tiers until [`Plan::moved`].
    pub fn demote(&mut self, now: f64) -> Option<BodyId> {
        let high = (HIGH * self.rules.memory as f64) as u64;
        let moving: u64 = self.held.values().filter(|h| h.moving).map(|h| h.length).sum();
        if now < self.files_from || self.used[0] - moving <= high {
            return None;
        }
        let movable = |h: &Held| h.tier == Tier::Memory && h.whole && h.readers == 0 && !h.moving;
        let fitting = |h: &Held| movable(h) && self.fits(Tier::File, h.class, h.length);
        let (&id, _) = self
            .held
            .iter()
            .filter(|(_, h)| fitting(h))
            .min_by(|(a, x), (b, y)| self.value(now, x).total_cmp(&self.value(now, y)).then(a.cmp(b)))?;
        let held = self.held.get_mut(&id)?;
        held.moving = true;
        let (class, length) = (held.class, held.length);
        self.count(class, Tier::File, length, true);
        Some(id)
    }

    /// What keeping a body in memory is worth (worth a byte and second): a small one is as likely to be needed
    /// again as a large one, and takes less; one whose time is nearly over gives its room back by itself.
    #[must_use]
    pub fn value(&self, now: f64, held: &Held) -> f64 {
        let rules = &self.rules.classes[held.class];
        let counts = if rules.repeats { 1.0 } else { UNREPEATED };
        let left = (held.deadline - now).max(SOON);
        counts * rules.priority_weight / (held.length.max(1) as f64 * left)
    }

    /// A demotion has ended: the body is in its file, or stays in memory.
    pub fn moved(&mut self, id: BodyId, done: bool) {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.moving) else { return };
        held.moving = false;
        let (class, length) = (held.class, held.length);
        let left = if done { Tier::Memory } else { Tier::File };
        if done {
            held.tier = Tier::File;
            self.figures[class].demoted += 1;
        }
        self.count(class, left, length, false);
    }

    /// Files cannot be written: none is begun before `until` (seconds on the caller's clock).
    pub fn files_fail(&mut self, until: f64) {
        self.files_from = self.files_from.max(until);
    }

    /// A body that is coming in cannot go to its file: whether it is passed on from here, in the window that it
    /// has. If not, it cannot be taken. One that is whole is left as it is.
    pub fn fall(&mut self, id: BodyId) -> bool {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.tier == Tier::File && !h.whole) else {
            return false;
        };
        let (class, length) = (held.class, held.length);
        if held.open || !self.rules.classes[class].pass {
            return false;
        }
        (held.tier, held.fallen) = (Tier::Passed, true);
        self.count(class, Tier::Passed, length, true);
        self.figures[class].dropped += 1;
        true
    }

    /// Whether a reader may begin: of a body that is here whole, or the only one of a body that is passed on.
    #[must_use]
    pub fn readable(&self, id: BodyId) -> bool {
        self.held.get(&id).is_some_and(|h| if h.tier == Tier::Passed { h.readers == 0 } else { h.whole })
    }

    /// A reader begins: whether there is a window for it, where it needs one. A body that is passed on has one.
    pub fn read(&mut self, id: BodyId) -> bool {
        let Some(held) = self.held.get_mut(&id) else { return false };
        if held.tier == Tier::File {
            if self.arrivals + self.replays + REPLAY > self.rules.chunks {
                return false;
            }
            self.replays += REPLAY;
        }
        held.readers += 1;
        true
    }

    /// A reader has ended; `windowed` if it took a window.
    pub fn read_over(&mut self, id: BodyId, windowed: bool) {
        self.replays -= if windowed { REPLAY } else { 0 };
        if let Some(held) = self.held.get_mut(&id) {
            held.readers -= 1;
        }
    }

    /// Counts a body's second and further readers.
    pub fn replayed(&mut self, id: BodyId) {
        if let Some(held) = self.held.get(&id) {
            self.figures[held.class].replayed += 1;
        }
    }

    /// Counts a body that was not read back as it was written.
    pub fn spoilt(&mut self, id: BodyId) {
        if let Some(held) = self.held.get(&id) {
            self.figures[held.class].spoilt += 1;
        }
    }

    /// Gives back all that the body held.
    pub fn close(&mut self, id: BodyId) {
        let Some(held) = self.held.remove(&id) else { return };
        self.arrivals -= held.window;
        self.count(held.class, held.tier, held.length, false);
        if held.moving || held.fallen {
            self.count(held.class, Tier::File, held.length, false);
        }
    }
}
