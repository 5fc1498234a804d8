//! The thread that writes the log: a disk may block a call for seconds, and the event loop must not wait for it.
//! Batches queued during a write are written together by the next one, with a single sync.

use crate::disk::DiskLog;
use crate::entry::LogPosition;
use crate::raft::WriteBatch;
use rustix::event::{eventfd, EventfdFlags};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// Name of the failpoint before a write.
const FAILPOINT_BEFORE_WRITE: &str = "store.write";
/// Name of the failpoint after a write has been synced.
const FAILPOINT_AFTER_SYNC: &str = "store.synced";

/// The result of a write, as reported by the thread.
pub enum WriteResult {
    /// All batches up to this number are on disk.
    Persisted(u64),
    /// The disk has failed; nothing more will be written.
    Failed(io::Error),
}

/// What the thread writes.
enum Job {
    Batch(WriteBatch),
    Commit(LogPosition),
}

/// A handle to the thread, which ends when the handle is dropped.
pub struct LogWriter {
    jobs: Sender<Job>,
    results: Receiver<WriteResult>,
    waker: Arc<OwnedFd>,
}

impl LogWriter {
    /// Starts the thread. `failpoint` is called with the name of each failpoint that is reached.
    ///
    /// # Errors
    /// If the system cannot create the waker's file descriptor.
    pub fn start(log: DiskLog, failpoint: fn(&str)) -> io::Result<Self> {
        let waker = Arc::new(eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?);
        let (jobs, queue) = channel();
        let (report, results) = channel();
        let worker = Worker { log, failpoint, queue, report, waker: waker.clone() };
        std::thread::spawn(move || worker.run());
        Ok(Self { jobs, results, waker })
    }

    /// Queues a batch, to be written after those queued before.
    pub fn write(&self, batch: WriteBatch) {
        let _ = self.jobs.send(Job::Batch(batch)); // fails only if the thread has ended, for a reason that it has reported
    }

    /// Queues the record of how far the log is committed. It has no result.
    pub fn record_commit(&self, commit: LogPosition) {
        let _ = self.jobs.send(Job::Commit(commit)); // as above
    }

    /// Returns the next result, if there is one.
    #[must_use]
    pub fn next_result(&self) -> Option<WriteResult> {
        self.results.try_recv().ok()
    }

    /// The descriptor that becomes readable when there may be a result.
    #[must_use]
    pub fn waker(&self) -> BorrowedFd<'_> {
        self.waker.as_fd()
    }

    /// Clears the waker until the next result.
    pub fn reset_waker(&self) {
        let _ = rustix::io::read(&*self.waker, &mut [0; 8]); // the counter's value does not matter
    }
}

/// The state of the thread.
struct Worker {
    log: DiskLog,
    failpoint: fn(&str),
    queue: Receiver<Job>,
    report: Sender<WriteResult>,
    waker: Arc<OwnedFd>,
}

impl Worker {
    fn run(mut self) {
        while let Ok(first) = self.queue.recv() {
            let (mut batches, mut commit) = (Vec::new(), None);
            for job in std::iter::once(first).chain(self.queue.try_iter()) {
                match job {
                    Job::Batch(batch) => batches.push(batch),
                    Job::Commit(position) => commit = Some(position),
                }
            }
            let result = (!batches.is_empty()).then(|| self.write(&batches));
            if let Some(commit) = commit {
                self.log.record_commit(commit);
            }
            let Some(result) = result else { continue };
            if self.report.send(result).is_err() {
                return;
            }
            let _ = rustix::io::write(&*self.waker, &1u64.to_ne_bytes()); // fails only if full, and so readable already
        }
    }

    fn write(&mut self, batches: &[WriteBatch]) -> WriteResult {
        let last = batches.last().map_or(0, |batch| batch.number);
        (self.failpoint)(FAILPOINT_BEFORE_WRITE);
        let result = match self.log.write(batches) {
            Ok(()) => WriteResult::Persisted(last),
            Err(error) => WriteResult::Failed(error),
        };
        (self.failpoint)(FAILPOINT_AFTER_SYNC);
        result
    }
}
