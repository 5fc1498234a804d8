//! Threads that call the disk, so that the event loop never waits for it. Tasks go to them through a queue; their completions
//! come back through a channel, and an eventfd wakes the loop.

mod queue;
mod slots;
mod task;

pub use task::{ChunkRead, ChunkWrite, Completion, IoTask};

use crate::plan::BodyId;
use crate::storage::{ChunkStorage, Slot};
use queue::{QueuedTask, TaskQueue};
use slots::SlotAllocator;
use std::collections::BTreeMap;
use std::os::fd::OwnedFd;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// What an eventfd takes to wake whoever waits for it.
const WAKE: [u8; 8] = 1u64.to_ne_bytes();

/// A task that has not completed.
struct PendingTask {
    /// Seconds on the caller's clock.
    submitted_at: f64,
    /// The body that is written, if it is a write.
    written_body: Option<BodyId>,
}

/// A write that has not completed.
pub struct PendingWrite {
    /// When it was submitted (seconds on the caller's clock).
    pub submitted_at: f64,
    /// The body that it is for.
    pub body: BodyId,
}

struct Completed {
    number: u64,
    completion: Completion,
}

/// The threads, the tasks that they were given, and the slots of their storage.
pub struct IoThreads {
    queue: Arc<TaskQueue>,
    completed: Receiver<Completed>,
    /// By number, in the order of their submission.
    pending: BTreeMap<u64, PendingTask>,
    last_number: u64,
    slots: SlotAllocator,
}

impl IoThreads {
    /// Starts `count` threads, at least one. `waker` is an eventfd that becomes readable with each completion.
    pub fn start(storage: &Arc<dyn ChunkStorage>, count: usize, waker: &Arc<OwnedFd>) -> Self {
        let queue = Arc::new(TaskQueue::default());
        let (report, completed) = channel();
        for _ in 0..count.max(1) {
            let worker = Worker {
                storage: storage.clone(),
                queue: queue.clone(),
                report: report.clone(),
                waker: waker.clone(),
            };
            std::thread::spawn(move || worker.run());
        }
        Self { queue, completed, pending: BTreeMap::new(), last_number: 0, slots: SlotAllocator::default() }
    }

    /// Queues a task; `now` in seconds on the caller's clock.
    pub fn submit(&mut self, now: f64, task: IoTask) {
        self.last_number += 1;
        let pending = PendingTask { submitted_at: now, written_body: task.written_body() };
        self.pending.insert(self.last_number, pending);
        self.queue.push(QueuedTask { number: self.last_number, task });
    }

    /// The next completion, if there is one. Slots that were released can be allocated from then on.
    pub fn next_completion(&mut self) -> Option<Completion> {
        let Completed { number, completion } = self.completed.try_recv().ok()?;
        self.pending.remove(&number);
        if let Completion::Released { slots } = &completion {
            self.slots.release(slots);
        }
        Some(completion)
    }

    /// A slot that holds nothing.
    pub fn allocate_slot(&mut self) -> Slot {
        self.slots.allocate()
    }

    /// Whether every task has completed.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Writes that have not completed, the oldest first.
    pub fn pending_writes(&self) -> impl Iterator<Item = PendingWrite> + '_ {
        self.pending.values().filter_map(|task| {
            task.written_body.map(|body| PendingWrite { submitted_at: task.submitted_at, body })
        })
    }
}

/// What one thread works with.
struct Worker {
    storage: Arc<dyn ChunkStorage>,
    queue: Arc<TaskQueue>,
    report: Sender<Completed>,
    waker: Arc<OwnedFd>,
}

impl Worker {
    /// Runs tasks until nobody receives their completions.
    fn run(&self) {
        loop {
            let QueuedTask { number, task } = self.queue.pop();
            let completion = task.run(&*self.storage);
            if self.report.send(Completed { number, completion }).is_err() {
                return;
            }
            let _ = rustix::io::write(&self.waker, &WAKE); // one that is full is readable already
        }
    }
}
