//! The log's thread: a disk may hold a call up for seconds, and the loop must not wait for it. What has gathered while
//! one write was under way goes out with the next, under one sync.

use crate::disk::DiskLog;
use crate::raft::WriteBatch;
use rustix::event::{eventfd, EventfdFlags};
use std::io;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// What the thread tells.
pub enum WriteResult {
    /// All up to that number is on disk.
    Up(u64),
    /// The disk has failed: nothing more will be on it.
    Failed(io::Error),
}

/// A handle on the thread; it ends once this is dropped.
pub struct LogWriter {
    tasks: Sender<WriteBatch>,
    done: Receiver<WriteResult>,
    bell: Arc<OwnedFd>,
}

impl LogWriter {
    /// Starts the thread. `point` is called with a name at each point at which a test may end the program.
    ///
    /// # Errors
    /// Where the system has no descriptor for the bell.
    pub fn start(mut log: DiskLog, point: fn(&str)) -> io::Result<Self> {
        let bell = Arc::new(eventfd(0, EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC)?);
        let ((tasks, asked), (tell, done)) = (channel::<WriteBatch>(), channel());
        let rings = bell.clone();
        std::thread::spawn(move || {
            while let Ok(first) = asked.recv() {
                let stores: Vec<WriteBatch> = std::iter::once(first).chain(asked.try_iter()).collect();
                let last = stores.last().map_or(0, |store| store.number);
                point("store.write");
                let wrote = match log.write(&stores) {
                    Ok(()) => WriteResult::Up(last),
                    Err(e) => WriteResult::Failed(e),
                };
                point("store.synced");
                if tell.send(wrote).is_err() {
                    return;
                }
                let _ = rustix::io::write(&*rings, &1u64.to_ne_bytes()); // full means that it rings already
            }
        });
        Ok(Self { tasks, done, bell })
    }

    /// Has this written, after all that was given before.
    pub fn write(&self, store: WriteBatch) {
        let _ = self.tasks.send(store); // a thread that has ended has told why
    }

    /// What has been done since.
    #[must_use]
    pub fn take(&self) -> Option<WriteResult> {
        self.done.try_recv().ok()
    }

    /// Rings when there is something to take.
    #[must_use]
    pub fn bell(&self) -> BorrowedFd<'_> {
        self.bell.as_fd()
    }

    /// The bell was heard.
    pub fn heard(&self) {
        let _ = rustix::io::read(&*self.bell, &mut [0; 8]); // it only rings
    }
}
