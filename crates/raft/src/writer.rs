//! The log's thread: a disk may hold a call up for seconds, and the event loop must not wait for it. What has gathered
//! while one write was under way goes out with the next, under one sync.

use crate::disk::DiskLog;
use crate::raft::WriteBatch;
use rustix::event::{eventfd, EventfdFlags};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// The point before a write at which a test may end the program.
const POINT_BEFORE_WRITE: &str = "store.write";
/// The point after the sync at which a test may end the program.
const POINT_AFTER_SYNC: &str = "store.synced";

/// What the thread reports.
pub enum WriteResult {
    /// All batches up to that number are on disk.
    Persisted(u64),
    /// The disk has failed: nothing more will be on it.
    Failed(io::Error),
}

/// A handle on the thread, which ends once this is dropped.
pub struct LogWriter {
    batches: Sender<WriteBatch>,
    results: Receiver<WriteResult>,
    waker: Arc<OwnedFd>,
}

impl LogWriter {
    /// Starts the thread. `point` is called with a name at each point at which a test may end the program.
    ///
    /// # Errors
    /// Where the system has no descriptor for the waker.
    pub fn start(log: DiskLog, point: fn(&str)) -> io::Result<Self> {
        let waker = Arc::new(eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?);
        let (batches, queue) = channel();
        let (report, results) = channel();
        let worker = Worker { log, point, queue, report, waker: waker.clone() };
        std::thread::spawn(move || worker.run());
        Ok(Self { batches, results, waker })
    }

    /// Queues a batch to be written after all that were given before.
    pub fn write(&self, batch: WriteBatch) {
        let _ = self.batches.send(batch); // a thread that has ended has reported why
    }

    /// The next result, if there is one.
    #[must_use]
    pub fn next_result(&self) -> Option<WriteResult> {
        self.results.try_recv().ok()
    }

    /// Readable when there may be a result.
    #[must_use]
    pub fn waker(&self) -> BorrowedFd<'_> {
        self.waker.as_fd()
    }

    /// Makes the waker wait for the next result.
    pub fn reset_waker(&self) {
        let _ = rustix::io::read(&*self.waker, &mut [0; 8]); // its count says nothing
    }
}

/// What the thread has.
struct Worker {
    log: DiskLog,
    point: fn(&str),
    queue: Receiver<WriteBatch>,
    report: Sender<WriteResult>,
    waker: Arc<OwnedFd>,
}

impl Worker {
    fn run(mut self) {
        while let Ok(first) = self.queue.recv() {
            let batches: Vec<WriteBatch> = std::iter::once(first).chain(self.queue.try_iter()).collect();
            let result = self.write(&batches);
            if self.report.send(result).is_err() {
                return;
            }
            let _ = rustix::io::write(&*self.waker, &1u64.to_ne_bytes()); // full: it is readable already
        }
    }

    fn write(&mut self, batches: &[WriteBatch]) -> WriteResult {
        let last = batches.last().map_or(0, |batch| batch.number);
        (self.point)(POINT_BEFORE_WRITE);
        let result = match self.log.write(batches) {
            Ok(()) => WriteResult::Persisted(last),
            Err(error) => WriteResult::Failed(error),
        };
        (self.point)(POINT_AFTER_SYNC);
        result
    }
}
