//! Threads for blocking disk I/O, so that the event loop never waits for a disk. Tasks are
//! submitted through a queue; completions are returned through a channel, and an eventfd wakes the
//! event loop.

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

/// The value that is written to an eventfd to make it readable.
const WAKE: [u8; 8] = 1u64.to_ne_bytes();

/// A task that has not completed.
struct PendingTask {
    /// Seconds on the caller's clock.
    submitted_at: f64,
    /// The body, if the task is a write.
    written_body: Option<BodyId>,
}

/// A write that has not completed.
pub struct PendingWrite {
    /// When it was submitted (seconds on the caller's clock).
    pub submitted_at: f64,
    /// The body whose chunk is written.
    pub body: BodyId,
}

struct Completed {
    task_id: u64,
    completion: Completion,
}

/// The threads, their pending tasks, and the allocation of slots.
pub struct IoThreads {
    queue: Arc<TaskQueue>,
    completed: Receiver<Completed>,
    /// By task id, which is the order of submission.
    pending: BTreeMap<u64, PendingTask>,
    last_task_id: u64,
    slots: SlotAllocator,
}

impl IoThreads {
    /// Starts `count` threads, at least one. `waker` is an eventfd that becomes readable with each
    /// completion.
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
        Self { queue, completed, pending: BTreeMap::new(), last_task_id: 0, slots: SlotAllocator::default() }
    }

    /// Queues a task; `now` in seconds on the caller's clock.
    pub fn submit(&mut self, now: f64, task: IoTask) {
        self.last_task_id += 1;
        let pending = PendingTask { submitted_at: now, written_body: task.written_body() };
        self.pending.insert(self.last_task_id, pending);
        self.queue.push(QueuedTask { task_id: self.last_task_id, task });
    }

    /// The next completion, if there is one. The slots that it released can be allocated again.
    pub fn next_completion(&mut self) -> Option<Completion> {
        let Completed { task_id, completion } = self.completed.try_recv().ok()?;
        self.pending.remove(&task_id);
        if let Completion::Released { slots } = &completion {
            self.slots.release(slots);
        }
        Some(completion)
    }

    /// Allocates a free slot.
    pub fn allocate_slot(&mut self) -> Slot {
        self.slots.allocate()
    }

    /// Whether every task has completed.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// The pending writes, the oldest first.
    pub fn pending_writes(&self) -> impl Iterator<Item = PendingWrite> + '_ {
        self.pending.values().filter_map(|task| {
            task.written_body.map(|body| PendingWrite { submitted_at: task.submitted_at, body })
        })
    }
}

/// The state of one thread.
struct Worker {
    storage: Arc<dyn ChunkStorage>,
    queue: Arc<TaskQueue>,
    report: Sender<Completed>,
    waker: Arc<OwnedFd>,
}

impl Worker {
    /// Runs tasks until the receiver of their completions is dropped.
    fn run(&self) {
        loop {
            let QueuedTask { task_id, task } = self.queue.pop();
            let completion = task.run(&*self.storage);
            if self.report.send(Completed { task_id, completion }).is_err() {
                return;
            }
            let _ = rustix::io::write(&self.waker, &WAKE); // if its counter is full, it is readable already
        }
    }
}
