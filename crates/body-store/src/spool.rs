//! Bodies as they come, are kept and are read again. The caller's loop calls in, never waits, and is woken by a
//! descriptor when a disk has done something.
//!
//! A body is a row of chunks. Each is in memory, or on its way to a slot of the store, or there with its sum.
//! A chunk that is read back with another sum is never handed out: the body is lost from then on.

use crate::plan::{
    BodyId, BodyState, Budgets, ClassCounters, Plan, Refusal, Tier, FILE_WINDOW_CHUNKS, REPLAY_WINDOW_CHUNKS,
};
use crate::store::{Store, CHUNK};
use rustix::event::{eventfd, EventfdFlags};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// Bytes that are handed on without being copied.
pub type Bytes = Arc<Vec<u8>>;

/// What is set aside at first for a body whose length is not known (bytes); doubled as it fills.
const OPEN: u64 = 256 << 10;
/// Chunks that are read ahead of a reader, its own among them.
const AHEAD: usize = REPLAY_WINDOW_CHUNKS / 2;

/// Bytes of whole chunks that a body which is passed on may hold; one more chunk is filled.
fn window(held: &BodyState) -> usize {
    held.window_chunks.saturating_sub(1) * CHUNK
}

/// Times of the spool (seconds).
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// A call to the disk that takes longer than this counts as one that hangs.
    pub hangs: f64,
    /// Files are tried again so long after one could not be written.
    pub again: f64,
}

/// What the caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wake {
    /// The body takes bytes again.
    Room(BodyId),
    /// All of the body is here and kept: its request may begin.
    Kept(BodyId),
    /// The body is not kept any more: it is to be passed on now, from its start.
    Passed(BodyId),
    /// The body cannot be taken after all; nothing of it was handed out.
    Lost(BodyId),
    /// Bytes of the body are gone: no further attempt can have it.
    Spent(BodyId),
    /// A reader may find something.
    Data(u64),
}

/// What a reader finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pull {
    /// The next bytes.
    Bytes(Bytes),
    /// They are not here yet; a wake tells when.
    Wait,
    /// That was all of it.
    End,
    /// The rest cannot be had.
    Lost,
}

type Gone = Rc<RefCell<Vec<Left>>>;

#[derive(Clone, Copy)]
enum Left {
    Body(BodyId),
    Reader(u64),
}

/// Keeps a body: it is let go with the last copy.
#[derive(Clone)]
pub struct Body(Rc<Hold>);

struct Hold {
    id: BodyId,
    length: u64,
    gone: Gone,
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "body {} of {} bytes", self.0.id, self.0.length)
    }
}

impl Body {
    /// Its name.
    #[must_use]
    pub fn id(&self) -> BodyId {
        self.0.id
    }

    /// Its length (bytes).
    #[must_use]
    pub fn length(&self) -> u64 {
        self.0.length
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.gone.borrow_mut().push(Left::Body(self.id));
    }
}

/// Reads a body from its start; over when it is dropped.
#[derive(Debug)]
pub struct Reader {
    /// Its name, as wakes have it.
    pub id: u64,
    gone: Gone,
}

impl std::fmt::Debug for Left {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Left::Body(id) => write!(f, "body {id}"),
            Left::Reader(id) => write!(f, "reader {id}"),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.gone.borrow_mut().push(Left::Reader(self.id));
    }
}

/// Where a chunk is.
enum State {
    Memory(Bytes),
    /// On its way to the slot, and still here.
    Writing(Bytes),
    /// In the slot, and still here: others of its body are on their way.
    Written(Bytes, u32),
    Slot(u32),
    /// Handed on, and not kept.
    Gone,
}

struct Chunk {
    length: usize,
    sum: u32,
    state: State,
}

/// A body's content.
#[derive(Default)]
struct Content {
    /// Its length; of one that is open, what is set aside for it.
    length: u64,
    /// Its length is not known yet.
    open: bool,
    came: u64,
    chunks: Vec<Chunk>,
    /// What has come of the chunk that is not full yet.
    last: Vec<u8>,
    /// Chunks whose write has not ended.
    writing: usize,
    /// Writes that have failed or hang: nothing more goes to its file.
    unwritable: bool,
    /// The sender was told to wait.
    waits: bool,
    /// Some of its chunks are gone.
    spent: bool,
    lost: bool,
    readers: Vec<u64>,
    ever_read: bool,
    /// Chunks read back, and those that are asked for.
    loaded: BTreeMap<usize, Bytes>,
    asked: Vec<usize>,
}

struct Reading {
    body: BodyId,
    /// The chunk that it is handed next.
    at: usize,
    /// It holds a window.
    windowed: bool,
    /// It waits for one.
    queued: bool,
}

enum Job {
    Write { body: BodyId, slot: u32, bytes: Bytes },
    Read { body: BodyId, slot: u32, into: Vec<u8> },
    End { body: BodyId, slots: Vec<u32> },
}

enum Done {
    Wrote(io::Result<()>),
    Read(io::Result<Vec<u8>>),
    Ended(Vec<u32>),
}

/// What a finished call to the disk was for.
enum Errand {
    Write { body: BodyId, at: usize, slot: u32 },
    Read { body: BodyId, at: usize },
    End,
}

/// What the threads are to do, by number, and the bell for those that wait.
type Jobs = (Mutex<VecDeque<(u64, Job)>>, Condvar);

/// The threads that call the disk, and what they were asked for.
struct Disk {
    jobs: Arc<Jobs>,
    done: Receiver<(u64, Done)>,
    /// By number, with when it was asked for (seconds on the caller's clock).
    errands: BTreeMap<u64, (f64, Errand)>,
    last: u64,
    /// Slots that were used and are free, lowest first, so that the file stays short.
    free: BinaryHeap<Reverse<u32>>,
    fresh: u32,
}

/// All bodies.
pub struct Spool {
    plan: Plan,
    pace: Pace,
    disk: Option<Disk>,
    bell: Arc<OwnedFd>,
    contents: HashMap<BodyId, Content>,
    readings: HashMap<u64, Reading>,
    last_reader: u64,
    /// Readers that wait for a window.
    line: VecDeque<u64>,
    wakes: VecDeque<Wake>,
    gone: Gone,
}

fn work(store: &dyn Store, jobs: &Jobs, done: &Sender<(u64, Done)>, bell: &OwnedFd) {
    loop {
        let mut queue = jobs.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (number, job) = loop {
            match queue.pop_front() {
                Some(job) => break job,
                None => queue = jobs.1.wait(queue).unwrap_or_else(PoisonError::into_inner),
            }
        };
        drop(queue);
        let end = match job {
            Job::Write { body, slot, bytes } => Done::Wrote(store.write(body, slot, &bytes)),
            Job::Read { body, slot, mut into } => {
                Done::Read(store.read(body, slot, &mut into).map(|()| into))
            }
            Job::End { body, slots } => {
                store.end(body, &slots);
                Done::Ended(slots)
            }
        };
        // Whoever asked has ended, and with it the program.
        if done.send((number, end)).is_err() {
            return;
        }
        let _ = rustix::io::write(bell, &1u64.to_ne_bytes()); // full means that it rings already
    }
}

impl Disk {
    fn start(store: Arc<dyn Store>, threads: usize, bell: &Arc<OwnedFd>) -> Self {
        let jobs = Arc::new((Mutex::new(VecDeque::new()), Condvar::new()));
        let (tell, done) = channel();
        for _ in 0..threads.max(1) {
            let (store, jobs, tell, bell) = (store.clone(), jobs.clone(), tell.clone(), bell.clone());
            std::thread::spawn(move || work(&*store, &jobs, &tell, &bell));
        }
        let (errands, free) = (BTreeMap::new(), BinaryHeap::new());
        Self { jobs, done, errands, last: 0, free, fresh: 0 }
    }

    fn ask(&mut self, now: f64, errand: Errand, job: Job) {
        self.last += 1;
        self.errands.insert(self.last, (now, errand));
        self.jobs.0.lock().unwrap_or_else(PoisonError::into_inner).push_back((self.last, job));
        self.jobs.1.notify_one();
    }

    fn slot(&mut self) -> u32 {
        if let Some(Reverse(slot)) = self.free.pop() {
            return slot;
        }
        self.fresh += 1;
        self.fresh - 1
    }
}

impl Chunk {
    /// Bytes of it that are in memory.
    fn resident(&self) -> usize {
        match &self.state {
            State::Memory(bytes) | State::Writing(bytes) | State::Written(bytes, _) => bytes.len(),
            State::Slot(_) | State::Gone => 0,
        }
    }
}

impl Content {
    fn is_whole(&self) -> bool {
        !self.open && self.came == self.length
    }

    /// The first chunk that a reader has not had, and the bytes in memory from there on.
    fn unread(&self, readings: &HashMap<u64, Reading>) -> (usize, usize) {
        let at = self.readers.iter().filter_map(|r| readings.get(r)).map(|r| r.at).min().unwrap_or(0);
        (at, self.chunks[at..].iter().map(Chunk::resident).sum())
    }
}

impl Spool {
    /// With a store for files, if there is one, and so many threads that call it.
    ///
    /// # Errors
    /// Where the kernel gives no descriptor to be woken by.
    pub fn new(
        budgets: Budgets,
        pace: Pace,
        store: Option<Arc<dyn Store>>,
        threads: usize,
    ) -> io::Result<Self> {
        let bell = Arc::new(eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?);
        let file_bytes = if store.is_some() { budgets.file_bytes } else { 0 };
        let budgets = Budgets { file_bytes, ..budgets };
        Ok(Self {
            plan: Plan::new(budgets),
            pace,
            disk: store.map(|store| Disk::start(store, threads, &bell)),
            bell,
            contents: HashMap::new(),
            readings: HashMap::new(),
            last_reader: 0,
            line: VecDeque::new(),
            wakes: VecDeque::new(),
            gone: Rc::default(),
        })
    }

    /// Readable when a disk has done something: [`Spool::on_ready`] is to be called then.
    #[must_use]
    pub fn bell(&self) -> BorrowedFd<'_> {
        self.bell.as_fd()
    }

    /// What has happened so far, by class.
    #[must_use]
    pub fn figures(&self) -> &[ClassCounters] {
        self.plan.counters()
    }

    /// What has been decided, to look at.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Bytes that are in memory now, whatever for.
    #[must_use]
    pub fn resident(&self) -> u64 {
        let bytes = |c: &Content| {
            let here: usize = c.chunks.iter().map(Chunk::resident).sum();
            here + c.last.len() + c.loaded.values().map(|b| b.len()).sum::<usize>()
        };
        self.contents.values().map(bytes).sum::<usize>() as u64
    }

    /// Whether no call to the disk is under way.
    #[must_use]
    pub fn is_quiet(&self) -> bool {
        self.disk.as_ref().is_none_or(|disk| disk.errands.is_empty())
    }

    /// Takes a body in that is about to come, or says why not. Times are seconds on the caller's clock.
    pub fn admit(
        &mut self,
        now: f64,
        class: usize,
        length: u64,
        deadline: f64,
    ) -> Result<(Body, Tier), Refusal> {
        self.collect(now);
        let admission = self.plan.admit(now, class, length, deadline)?;
        Ok((self.hold(admission.id, length, false), admission.tier))
    }

    /// The same for a body whose length is not known: [`Spool::end`] tells it. It is kept, or not taken.
    ///
    /// # Errors
    /// Where there is no room.
    pub fn admit_open(&mut self, now: f64, class: usize, deadline: f64) -> Result<Body, Refusal> {
        self.collect(now);
        let id = self.plan.admit_unknown_length(now, class, OPEN, deadline)?.id;
        let length = self.plan.body(id).map_or(0, |held| held.length);
        Ok(self.hold(id, length, true))
    }

    fn hold(&mut self, id: BodyId, length: u64, open: bool) -> Body {
        self.contents.insert(id, Content { length, open, ..Content::default() });
        Body(Rc::new(Hold { id, length, gone: self.gone.clone() }))
    }

    /// Nothing more comes of a body whose length was not known.
    pub fn end(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id).filter(|c| c.open) else { return };
        (content.open, content.length) = (false, content.came);
        self.plan.set_length(id, content.came);
        self.seal(now, id);
        self.settle(now, id);
    }

    /// Bytes that the body takes now. At 0 its sender has to wait for [`Wake::Room`].
    pub fn room(&mut self, id: BodyId) -> usize {
        let Some(content) = self.contents.get_mut(&id).filter(|c| !c.lost) else { return 0 };
        if content.open && content.came == content.length {
            // More is set aside, as long as there is any.
            let Ok(length) = self.plan.extend(id) else {
                content.lost = true;
                self.wakes.push_back(Wake::Lost(id));
                return 0;
            };
            content.length = length;
        }
        let Some((content, held)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else { return 0 };
        let rest = (content.length - content.came) as usize;
        let room = match held.tier {
            Tier::Memory => rest,
            Tier::File if content.unwritable => 0,
            Tier::File => {
                (FILE_WINDOW_CHUNKS * CHUNK).saturating_sub(content.writing * CHUNK + content.last.len())
            }
            // What its reader has had can make room.
            Tier::Passed => {
                let unread = content.unread(&self.readings).1 + content.last.len();
                window(held).saturating_sub(unread)
            }
        };
        let room = room.min(rest);
        content.waits = room == 0 && rest > 0;
        room
    }

    /// Whether all of a body is here and kept.
    #[must_use]
    pub fn is_kept(&self, id: BodyId) -> bool {
        self.plan.body(id).is_some_and(|held| held.complete && held.tier != Tier::Passed)
    }

    /// The largest body that a class may have (bytes).
    #[must_use]
    pub fn largest(&self, class: usize) -> u64 {
        self.plan.largest(class)
    }

    /// Bytes of a body that have come.
    #[must_use]
    pub fn came(&self, id: BodyId) -> u64 {
        self.contents.get(&id).map_or(0, |content| content.came)
    }

    /// Takes as many of the next bytes of a body as there is room for: how many.
    pub fn take_in(&mut self, now: f64, id: BodyId, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() {
            let room = self.room(id).min(bytes.len() - taken);
            if room == 0 {
                break;
            }
            self.push(now, id, &bytes[taken..taken + room]);
            taken += room;
        }
        taken
    }

    /// Takes the next bytes of a body, [`Spool::room`] of them at most.
    pub fn push(&mut self, now: f64, id: BodyId, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let Some(content) = self.contents.get_mut(&id) else { return };
            if content.last.is_empty() {
                let rest = (content.length - content.came) as usize;
                content.last.reserve_exact(rest.min(CHUNK));
            }
            let count = bytes.len().min(CHUNK - content.last.len());
            let (taken, rest) = bytes.split_at(count);
            content.last.extend_from_slice(taken);
            content.came += count as u64;
            bytes = rest;
            if content.last.len() == CHUNK || content.is_whole() {
                self.seal(now, id);
            }
        }
        let passed = self.plan.body(id).is_some_and(|held| held.tier == Tier::Passed);
        if passed {
            self.wake_readers(id);
        }
        self.settle(now, id);
    }

    /// A body that is here whole is kept: at once in memory; in a file, where its window is held until then, once
    /// all of it is there.
    fn settle(&mut self, now: f64, id: BodyId) {
        let Some((content, held)) = self.contents.get(&id).zip(self.plan.body(id)) else { return };
        let (tier, lost) = (held.tier, content.lost || content.unwritable && held.tier == Tier::File);
        if held.complete || lost || !content.is_whole() || tier == Tier::File && content.writing > 0 {
            return;
        }
        self.plan.mark_complete(id);
        if tier != Tier::Passed {
            self.wakes.push_back(Wake::Kept(id));
        }
        self.next_in_line();
        self.demote(now);
    }

    /// The chunk that was coming in is a chunk now.
    fn seal(&mut self, now: f64, id: BodyId) {
        let Some((content, held)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else { return };
        if content.last.is_empty() {
            return;
        }
        let bytes: Bytes = Arc::new(std::mem::take(&mut content.last));
        let (length, sum) = (bytes.len(), crc32fast::hash(&bytes));
        content.chunks.push(Chunk { length, sum, state: State::Memory(bytes) });
        if held.tier == Tier::File {
            if !content.unwritable {
                let at = content.chunks.len() - 1;
                self.write(now, id, at);
            }
        } else if held.tier == Tier::Passed {
            self.make_way(id);
        }
    }

    /// A body that is passed on keeps what its window holds; what its reader has had goes first.
    fn make_way(&mut self, id: BodyId) {
        let Some((content, held)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else { return };
        let read = content.unread(&self.readings).0;
        let mut here: usize = content.chunks.iter().map(Chunk::resident).sum();
        let was = content.spent;
        for chunk in &mut content.chunks[..read] {
            if here <= window(held) {
                break;
            }
            here -= chunk.resident();
            if matches!(chunk.state, State::Memory(_)) {
                chunk.state = State::Gone;
                content.spent = true;
            }
        }
        if content.spent && !was {
            self.wakes.push_back(Wake::Spent(id));
        }
    }

    fn write(&mut self, now: f64, body: BodyId, at: usize) {
        let Some((disk, content)) = self.disk.as_mut().zip(self.contents.get_mut(&body)) else { return };
        let Some(chunk) = content.chunks.get_mut(at) else { return };
        let State::Memory(bytes) = &chunk.state else { return };
        let (bytes, slot) = (bytes.clone(), disk.slot());
        chunk.state = State::Writing(bytes.clone());
        content.writing += 1;
        disk.ask(now, Errand::Write { body, at, slot }, Job::Write { body, slot, bytes });
    }

    /// Moves bodies to files while memory is nearly full.
    fn demote(&mut self, now: f64) {
        while let Some(id) = self.plan.start_demotion(now) {
            let count = self.contents.get(&id).map_or(0, |c| c.chunks.len());
            (0..count).for_each(|at| self.write(now, id, at));
        }
    }

    /// Begins to read a body from its start. `None` where bytes of it are gone, where it is not here yet, or
    /// where it is passed on and has its reader.
    pub fn reader(&mut self, now: f64, body: &Body) -> Option<Reader> {
        self.collect(now);
        let id = body.id();
        if !self.plan.can_read(id) {
            return None;
        }
        let content = self.contents.get_mut(&id).filter(|c| !c.spent && !c.lost)?;
        if std::mem::replace(&mut content.ever_read, true) {
            self.plan.count_replay(id);
        }
        self.last_reader += 1;
        let reader = self.last_reader;
        content.readers.push(reader);
        let filed = self.plan.body(id).is_some_and(|held| held.tier == Tier::File);
        let queued = !self.plan.start_read(id);
        self.readings.insert(reader, Reading { body: id, at: 0, windowed: filed && !queued, queued });
        if queued {
            self.line.push_back(reader);
        }
        Some(Reader { id: reader, gone: self.gone.clone() })
    }

    /// The next bytes for a reader.
    pub fn pull(&mut self, now: f64, reader: &Reader) -> Pull {
        let Some(reading) = self.readings.get(&reader.id) else { return Pull::Lost };
        if reading.queued {
            return Pull::Wait;
        }
        let (id, at) = (reading.body, reading.at);
        let Some(content) = self.contents.get_mut(&id).filter(|c| !c.lost) else { return Pull::Lost };
        if at >= content.chunks.len() {
            if content.is_whole() {
                return Pull::End;
            }
            let passed = self.plan.body(id).is_some_and(|held| held.tier == Tier::Passed);
            if !passed || content.last.is_empty() {
                return Pull::Wait;
            }
            self.seal(now, id); // what has come goes on, however little
        }
        let Some(content) = self.contents.get_mut(&id) else { return Pull::Lost };
        let found = match &content.chunks[at].state {
            State::Memory(bytes) | State::Writing(bytes) | State::Written(bytes, _) => Some(bytes.clone()),
            State::Slot(_) => content.loaded.get(&at).cloned(),
            State::Gone => return Pull::Lost,
        };
        if found.is_some() {
            if let Some(reading) = self.readings.get_mut(&reader.id) {
                reading.at += 1;
            }
            self.trim(id);
        }
        self.load(now, id, if found.is_some() { at + 1 } else { at });
        match found {
            Some(bytes) => {
                // A sender that was told to wait may go on.
                if self.contents.get(&id).is_some_and(|c| c.waits) && self.room(id) > 0 {
                    self.wakes.push_back(Wake::Room(id));
                }
                Pull::Bytes(bytes)
            }
            None => Pull::Wait,
        }
    }

    /// Has chunks read back, from `at` on.
    fn load(&mut self, now: f64, body: BodyId, at: usize) {
        let Some((disk, content)) = self.disk.as_mut().zip(self.contents.get_mut(&body)) else { return };
        for at in at..(at + AHEAD).min(content.chunks.len()) {
            let State::Slot(slot) = content.chunks[at].state else { continue };
            if content.loaded.contains_key(&at) || content.asked.contains(&at) {
                continue;
            }
            content.asked.push(at);
            let into = vec![0; content.chunks[at].length];
            disk.ask(now, Errand::Read { body, at }, Job::Read { body, slot, into });
        }
    }

    /// Lets go of what was read back and no reader needs soon.
    fn trim(&mut self, body: BodyId) {
        let Some(content) = self.contents.get_mut(&body).filter(|c| !c.loaded.is_empty()) else { return };
        let at: Vec<usize> =
            content.readers.iter().filter_map(|r| self.readings.get(r)).map(|r| r.at).collect();
        content.loaded.retain(|chunk, _| at.iter().any(|at| (*at..at + AHEAD).contains(chunk)));
    }

    /// What the caller is told next.
    pub fn take(&mut self) -> Option<Wake> {
        self.wakes.pop_front()
    }

    /// When a call to the disk counts as one that hangs, if one is under way (seconds on the caller's clock).
    #[must_use]
    pub fn next(&self) -> Option<f64> {
        let oldest = self.disk.as_ref()?.errands.values().find_map(|(since, errand)| match errand {
            Errand::Write { body, .. } => {
                let coming = self.contents.get(body).is_some_and(|c| !c.unwritable);
                coming.then_some(since + self.pace.hangs)
            }
            _ => None,
        });
        oldest
    }

    /// Lets go of what was dropped, and looks for calls that hang. To be called each turn of the loop.
    pub fn on_timer(&mut self, now: f64) {
        self.collect(now);
        while self.next().is_some_and(|at| at <= now) {
            self.plan.suspend_files(now + self.pace.again);
            // Nothing that is on its way there can be counted on: its bytes may be there, or never will.
            let stuck: Vec<BodyId> = self.contents.iter().filter(|c| c.1.writing > 0).map(|c| *c.0).collect();
            for id in stuck {
                let Some(content) = self.contents.get_mut(&id) else { continue };
                content.unwritable = true;
                let coming = self.plan.body(id).is_some_and(|h| h.tier == Tier::File && !h.complete);
                if coming {
                    content.lost = true;
                    self.wakes.push_back(Wake::Lost(id));
                }
            }
        }
    }

    /// What the disk has done.
    pub fn on_ready(&mut self, now: f64) {
        let _ = rustix::io::read(&self.bell, &mut [0; 8]); // it only rings
        while let Some((number, done)) = self.disk.as_ref().and_then(|disk| disk.done.try_recv().ok()) {
            let errand = self.disk.as_mut().and_then(|disk| disk.errands.remove(&number));
            match (errand.map(|e| e.1), done) {
                (Some(Errand::Write { body, at, slot }), Done::Wrote(end)) => {
                    self.wrote(now, body, at, slot, end.is_ok());
                }
                (Some(Errand::Read { body, at }), Done::Read(end)) => self.was_read(body, at, end),
                (_, Done::Ended(slots)) => {
                    if let Some(disk) = &mut self.disk {
                        disk.free.extend(slots.into_iter().map(Reverse));
                    }
                }
                _ => {}
            }
        }
        self.collect(now);
    }

    fn wrote(&mut self, now: f64, id: BodyId, at: usize, slot: u32, done: bool) {
        if !done {
            self.plan.suspend_files(now + self.pace.again);
        }
        let Some((content, held)) = self.contents.get_mut(&id).zip(self.plan.body(id)) else {
            return self.give_back(now, id, vec![slot]);
        };
        content.writing -= 1;
        content.unwritable |= !done;
        let settled = content.writing == 0;
        let chunk = &mut content.chunks[at];
        if let State::Writing(bytes) = &chunk.state {
            chunk.state = match done {
                true if held.demoting => State::Written(bytes.clone(), slot),
                true => State::Slot(slot),
                false => State::Memory(bytes.clone()),
            };
        }
        let (unwritable, lost, whole) = (content.unwritable, content.lost, content.is_whole());
        let (moving, coming) = (held.demoting, held.tier == Tier::File && !held.complete && !lost);
        if !done {
            self.give_back(now, id, vec![slot]);
        }
        if moving && settled {
            self.moved(now, id);
        }
        if moving || !coming {
            return;
        }
        if unwritable {
            self.fall(id, settled);
        } else if whole {
            self.settle(now, id);
        } else if self.contents.get(&id).is_some_and(|c| c.waits) && self.room(id) > 0 {
            self.wakes.push_back(Wake::Room(id));
        }
    }

    /// The file of a body that is coming in cannot be written. What is there can be read: it is passed on, once
    /// no write is under way.
    fn fall(&mut self, id: BodyId, settled: bool) {
        if !settled {
            return;
        }
        if self.plan.fall_back_to_passing(id) {
            self.wakes.push_back(Wake::Passed(id));
            if self.contents.get(&id).is_some_and(Content::is_whole) {
                self.plan.mark_complete(id);
            }
        } else if let Some(content) = self.contents.get_mut(&id) {
            content.lost = true;
            self.wakes.push_back(Wake::Lost(id));
        }
    }

    /// All writes of a move to a file have ended. If one failed, or somebody reads it from memory, it stays
    /// there whole, and the slots go back.
    fn moved(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.get_mut(&id) else { return };
        let done = !std::mem::take(&mut content.unwritable) && content.readers.is_empty();
        let mut slots = Vec::new();
        for chunk in &mut content.chunks {
            if let State::Written(bytes, slot) = &chunk.state {
                let slot = *slot;
                if done {
                    chunk.state = State::Slot(slot);
                } else {
                    slots.push(slot);
                    chunk.state = State::Memory(bytes.clone());
                }
            }
        }
        self.plan.finish_demotion(id, done);
        if !slots.is_empty() {
            self.give_back(now, id, slots);
        }
    }

    fn was_read(&mut self, id: BodyId, at: usize, end: io::Result<Vec<u8>>) {
        let Some(content) = self.contents.get_mut(&id) else { return };
        content.asked.retain(|asked| *asked != at);
        match end {
            Ok(bytes) if crc32fast::hash(&bytes) == content.chunks[at].sum => {
                content.loaded.insert(at, Arc::new(bytes));
                self.trim(id);
            }
            _ if content.lost => {}
            _ => {
                content.lost = true;
                content.loaded.clear();
                self.plan.count_corrupt(id);
                self.wakes.push_back(Wake::Spent(id));
            }
        }
        self.wake_readers(id);
    }

    fn wake_readers(&mut self, id: BodyId) {
        let Some(content) = self.contents.get(&id) else { return };
        self.wakes.extend(content.readers.iter().map(|reader| Wake::Data(*reader)));
    }

    fn give_back(&mut self, now: f64, body: BodyId, slots: Vec<u32>) {
        if let Some(disk) = &mut self.disk {
            disk.ask(now, Errand::End, Job::End { body, slots });
        }
    }

    /// Lets go of bodies and readers whose last owner is gone.
    fn collect(&mut self, now: f64) {
        let gone = std::mem::take(&mut *self.gone.borrow_mut());
        for left in gone {
            match left {
                Left::Reader(reader) => self.read_over(reader),
                Left::Body(id) => self.close(now, id),
            }
        }
        self.next_in_line();
    }

    fn read_over(&mut self, reader: u64) {
        let Some(reading) = self.readings.remove(&reader) else { return };
        self.line.retain(|waits| *waits != reader);
        if !reading.queued {
            self.plan.end_read(reading.body, reading.windowed);
        }
        if let Some(content) = self.contents.get_mut(&reading.body) {
            content.readers.retain(|r| *r != reader);
            if content.readers.is_empty() {
                content.loaded.clear();
            }
        }
        self.trim(reading.body);
    }

    fn close(&mut self, now: f64, id: BodyId) {
        let Some(content) = self.contents.remove(&id) else { return };
        self.plan.release(id);
        let slots: Vec<u32> = content
            .chunks
            .iter()
            .filter_map(|chunk| match chunk.state {
                State::Slot(slot) | State::Written(_, slot) => Some(slot),
                _ => None, // what is on its way is given back when that has ended
            })
            .collect();
        if !slots.is_empty() {
            self.give_back(now, id, slots);
        }
    }

    /// Readers that have waited for a window get those that are free.
    fn next_in_line(&mut self) {
        while let Some(&reader) = self.line.front() {
            let Some(reading) = self.readings.get_mut(&reader) else {
                self.line.pop_front();
                continue;
            };
            if !self.plan.start_read(reading.body) {
                return;
            }
            self.line.pop_front();
            (reading.queued, reading.windowed) = (false, true);
            self.wakes.push_back(Wake::Data(reader));
        }
    }
}
