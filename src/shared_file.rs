//! A small file with its own I/O thread: a disk may delay a call for seconds, and the event loop must not
//! block on it.

use rustix::fs::{Mode, OFlags};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};

/// A task for the I/O thread.
enum Task {
    /// Read the file, to detect whether another process has replaced it.
    Read,
    /// Replace the content of the file.
    Replace(Vec<u8>),
}

/// The result of a completed task.
enum Completion {
    /// The content, if it differs from what this process last read or wrote.
    Read(Option<Vec<u8>>),
    /// The result of replacing the content.
    Replaced(io::Result<()>),
}

/// A small file that other processes may replace, too.
pub struct SharedFile {
    tasks: Sender<Task>,
    completions: Receiver<Completion>,
    /// Reads that are not completed yet.
    pending_reads: usize,
    /// Replacements that are not completed yet.
    pending_writes: usize,
}

impl SharedFile {
    /// Starts the I/O thread; also returns the current content, if the file can be read.
    pub fn open(path: PathBuf) -> (Self, Option<Vec<u8>>) {
        let content = read(&path);
        let (tasks, task_queue) = channel();
        let (completion_queue, completions) = channel();
        let worker =
            Worker { path, content: content.clone(), tasks: task_queue, completions: completion_queue };
        // The thread ends with the process, or when the channel is closed.
        std::thread::spawn(move || worker.run());
        (Self { tasks, completions, pending_reads: 0, pending_writes: 0 }, content)
    }

    /// Replaces the content asynchronously.
    pub fn replace(&mut self, bytes: Vec<u8>) {
        self.pending_writes += usize::from(self.tasks.send(Task::Replace(bytes)).is_ok());
    }

    /// Returns the content that another process has written since the last call, if a completed read has
    /// found any, and starts the next read.
    ///
    /// # Errors
    /// If an earlier replacement failed.
    pub fn poll(&mut self) -> io::Result<Option<Vec<u8>>> {
        let (mut latest, mut written) = (None, Ok(()));
        while let Ok(completion) = self.completions.try_recv() {
            match completion {
                Completion::Read(found) => {
                    self.pending_reads -= 1;
                    // Content read before a pending write of this process is about to be replaced.
                    latest = found.filter(|_| self.pending_writes == 0).or(latest);
                }
                Completion::Replaced(result) => {
                    self.pending_writes -= 1;
                    written = written.and(result);
                }
            }
        }
        if self.pending_reads == 0 {
            self.pending_reads += usize::from(self.tasks.send(Task::Read).is_ok());
        }
        written.map(|()| latest)
    }
}

/// Reads the file without updating its access time, which would be a write: startup must not wait for the
/// disk either.
fn read(path: &Path) -> Option<Vec<u8>> {
    let flags = OFlags::RDONLY | OFlags::NOATIME | OFlags::CLOEXEC;
    let mut bytes = Vec::new();
    File::from(rustix::fs::open(path, flags, Mode::empty()).ok()?).read_to_end(&mut bytes).ok()?;
    Some(bytes)
}

/// The state of the I/O thread.
struct Worker {
    path: PathBuf,
    /// The content that was last read or written.
    content: Option<Vec<u8>>,
    tasks: Receiver<Task>,
    completions: Sender<Completion>,
}

impl Worker {
    fn run(mut self) {
        while let Ok(task) = self.tasks.recv() {
            let completion = match task {
                Task::Read => Completion::Read(self.read_changed()),
                Task::Replace(bytes) => Completion::Replaced(self.replace(bytes)),
            };
            if self.completions.send(completion).is_err() {
                return;
            }
        }
    }

    fn read_changed(&mut self) -> Option<Vec<u8>> {
        let found = read(&self.path).filter(|bytes| self.content.as_ref() != Some(bytes))?;
        self.content = Some(found.clone());
        Some(found)
    }

    /// Replaces the file atomically, since other processes may read it at any time.
    fn replace(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        let result =
            std::fs::write(&temporary, &bytes).and_then(|()| std::fs::rename(&temporary, &self.path));
        self.content = Some(bytes);
        result
    }
}
