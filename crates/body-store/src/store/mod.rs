//! Bodies as they arrive, are kept and are read again. The event loop calls in, never waits for a disk, and is woken by a
//! descriptor when an I/O thread has completed something.
//!
//! - `arrival`: a body is admitted, and its bytes arrive.
//! - `memory_tier`: bodies that move to files while memory is short.
//! - `file_tier`: chunks that are written, writes that fail or hang, slots that are released.
//! - `passing`: bodies that are passed on, and what their windows hold.
//! - `replay`: readers, and chunks that are read back.
//! - `release`: what is released when handles are dropped.
//!
//! A chunk that is read back with another checksum than it was written with is never handed out: the body is lost from then on.

mod arrival;
mod content;
mod event;
mod file_tier;
mod handle;
mod memory_tier;
mod passing;
mod release;
mod replay;

pub use event::{BodyEvent, Bytes, ReadOutcome};
pub use handle::{Body, Reader, ReaderId};

use crate::io_threads::{Completion, IoThreads};
use crate::plan::{BodyId, Budgets, ClassCounters, Plan};
use crate::storage::ChunkStorage;
use content::Content;
use handle::DropList;
use replay::ReaderState;
use rustix::event::{eventfd, EventfdFlags};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use std::sync::Arc;

/// Size of an eventfd's counter (bytes).
const EVENTFD_BYTES: usize = 8;

/// Times of the store (seconds).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// A write that takes longer than this counts as one that hangs.
    pub write_timeout: f64,
    /// Files are tried again so long after one could not be written.
    pub file_retry_delay: f64,
}

/// All bodies. Times are seconds on the caller's clock.
pub struct BodyStore {
    plan: Plan,
    timing: Timing,
    /// `None` without files.
    io: Option<IoThreads>,
    waker: Arc<OwnedFd>,
    contents: HashMap<BodyId, Content>,
    readers: HashMap<ReaderId, ReaderState>,
    last_reader: ReaderId,
    /// Readers that wait for a window, in the order that they get one.
    waiting_readers: VecDeque<ReaderId>,
    events: VecDeque<BodyEvent>,
    dropped: DropList,
}

impl BodyStore {
    /// A store without bodies. `storage` is where files are, if there are any; `threads` is how many threads call it.
    ///
    /// # Errors
    /// Where the system has no descriptor for the waker.
    pub fn new(
        budgets: Budgets,
        timing: Timing,
        storage: Option<Arc<dyn ChunkStorage>>,
        threads: usize,
    ) -> io::Result<Self> {
        let waker = Arc::new(eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?);
        let file_bytes = if storage.is_some() { budgets.file_bytes } else { 0 };
        Ok(Self {
            plan: Plan::new(Budgets { file_bytes, ..budgets }),
            timing,
            io: storage.map(|storage| IoThreads::start(&storage, threads, &waker)),
            waker,
            contents: HashMap::new(),
            readers: HashMap::new(),
            last_reader: 0,
            waiting_readers: VecDeque::new(),
            events: VecDeque::new(),
            dropped: Rc::default(),
        })
    }

    /// A descriptor that is readable when an I/O thread has completed something: [`BodyStore::on_ready`] is to be called then.
    #[must_use]
    pub fn waker(&self) -> BorrowedFd<'_> {
        self.waker.as_fd()
    }

    /// What has happened so far, by class.
    #[must_use]
    pub fn counters(&self) -> &[ClassCounters] {
        self.plan.counters()
    }

    /// The plan, to look at.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Size of everything that is in memory now (bytes).
    #[must_use]
    pub fn resident_bytes(&self) -> u64 {
        self.contents.values().map(Content::resident_bytes).sum::<usize>() as u64
    }

    /// Whether every task of the I/O threads has completed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.io.as_ref().is_none_or(IoThreads::is_idle)
    }

    /// The next event for the caller.
    pub fn next_event(&mut self) -> Option<BodyEvent> {
        self.events.pop_front()
    }

    /// When a write counts as one that hangs, if one is under way (seconds on the caller's clock).
    #[must_use]
    pub fn next_deadline(&self) -> Option<f64> {
        self.next_write_timeout()
    }

    /// Releases what was dropped, and gives up writes that hang. To be called at each turn of the event loop.
    pub fn on_timer(&mut self, now: f64) {
        self.release_dropped(now);
        self.give_up_hanging_writes(now);
    }

    /// Takes in what the I/O threads have completed.
    pub fn on_ready(&mut self, now: f64) {
        let _ = rustix::io::read(&self.waker, &mut [0; EVENTFD_BYTES]); // its count does not matter
        while let Some(completion) = self.io.as_mut().and_then(IoThreads::next_completion) {
            match completion {
                Completion::Written { write, result } => self.on_written(now, write, result.is_ok()),
                Completion::Read { read, result } => self.on_read(read, result),
                Completion::Released { .. } => {}
            }
        }
        self.release_dropped(now);
    }
}
