//! The queue between the event loop and the I/O threads.

use super::IoTask;
use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};

/// A task and its id.
pub(super) struct QueuedTask {
    pub(super) task_id: u64,
    pub(super) task: IoTask,
}

/// Tasks that no thread has started, in the order of submission.
#[derive(Default)]
pub(super) struct TaskQueue {
    tasks: Mutex<VecDeque<QueuedTask>>,
    not_empty: Condvar,
}

impl TaskQueue {
    pub(super) fn push(&self, task: QueuedTask) {
        self.tasks.lock().unwrap_or_else(PoisonError::into_inner).push_back(task);
        self.not_empty.notify_one();
    }

    /// Removes the oldest task; blocks while the queue is empty.
    pub(super) fn pop(&self) -> QueuedTask {
        let mut tasks = self.tasks.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(task) = tasks.pop_front() {
                return task;
            }
            tasks = self.not_empty.wait(tasks).unwrap_or_else(PoisonError::into_inner);
        }
    }
}
