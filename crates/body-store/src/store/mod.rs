//! Receives, stores and replays bodies. Calls by the event loop never block on a disk; a descriptor
//! wakes the loop when an I/O thread has completed a task.
//!
//! - `arrival`: admission of bodies and arrival of their bytes.
//! - `memory_tier`: demotion of bodies to files while memory is short.
//! - `file_tier`: writes of chunks, failed and hanging writes, release of slots.
//! - `pass_through`: bodies that are passed through, and their windows.
//! - `replay`: readers, and chunks that are read back.
//! - `release`: release of bodies and readers whose handles were dropped.
//!
//! A chunk whose checksum does not match when it is read back is never returned: the body is lost
//! from then on.

mod arrival;
mod content;
mod event;
mod file_tier;
mod handle;
mod memory_tier;
mod pass_through;
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

/// Time limits and delays of the store (seconds).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// A write that takes longer than this is treated as hanging.
    pub write_timeout: f64,
    /// Files are not used for this long after a failed write.
    pub file_retry_delay: f64,
}

/// The body store. Times are seconds on the caller's clock.
pub struct BodyStore {
    plan: Plan,
    timing: Timing,
    /// `None` without files.
    io: Option<IoThreads>,
    waker: Arc<OwnedFd>,
    contents: HashMap<BodyId, Content>,
    readers: HashMap<ReaderId, ReaderState>,
    last_reader: ReaderId,
    /// Readers that wait for a window, first come first served.
    waiting_readers: VecDeque<ReaderId>,
    events: VecDeque<BodyEvent>,
    dropped: DropList,
}

impl BodyStore {
    /// Creates a store without bodies. `storage` stores the chunks of the file tier, if there is
    /// one; `threads` is the number of I/O threads.
    ///
    /// # Errors
    /// If the eventfd of the waker cannot be created.
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

    /// A descriptor that becomes readable when an I/O thread has completed a task;
    /// [`BodyStore::on_ready`] must be called then.
    #[must_use]
    pub fn waker(&self) -> BorrowedFd<'_> {
        self.waker.as_fd()
    }

    /// Counters by class.
    #[must_use]
    pub fn counters(&self) -> &[ClassCounters] {
        self.plan.counters()
    }

    /// The plan, for inspection.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Size of all content that is in memory now (bytes).
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

    /// When the oldest pending write times out, if there is one (seconds on the caller's clock).
    #[must_use]
    pub fn next_deadline(&self) -> Option<f64> {
        self.next_write_timeout()
    }

    /// Releases what was dropped, and gives up hanging writes. Must be called in each iteration of
    /// the event loop.
    pub fn on_timer(&mut self, now: f64) {
        self.release_dropped(now);
        self.give_up_hanging_writes(now);
    }

    /// Processes the completions of the I/O threads.
    pub fn on_ready(&mut self, now: f64) {
        let _ = rustix::io::read(&self.waker, &mut [0; EVENTFD_BYTES]); // its value is irrelevant
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
