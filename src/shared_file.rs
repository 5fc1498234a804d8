//! A small file with a thread of its own. A disk may delay a call for seconds, and the event loop must not wait for it.

use rustix::fs::{Mode, OFlags};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};

/// What the thread is to do.
enum Task {
    /// Read the file, to see whether another process has replaced it.
    Read,
    /// Replace its content.
    Replace(Vec<u8>),
}

/// A task that the thread has done.
enum Completion {
    /// The content, where it is not what was read or written here last.
    Read(Option<Vec<u8>>),
    /// The content was replaced, or that failed.
    Replaced(io::Result<()>),
}

/// A small file that other processes may replace as well.
pub struct SharedFile {
    tasks: Sender<Task>,
    completions: Receiver<Completion>,
    /// Reads that are not complete yet.
    pending_reads: usize,
    /// Replacements that are not complete yet.
    pending_writes: usize,
}

impl SharedFile {
    /// Starts the thread; returns the content as well, if the file is there.
    pub fn open(path: PathBuf) -> (Self, Option<Vec<u8>>) {
        let content = read(&path);
        let (tasks, task_queue) = channel();
        let (completion_queue, completions) = channel();
        let worker =
            Worker { path, content: content.clone(), tasks: task_queue, completions: completion_queue };
        // It ends with the program, or with the channel.
        std::thread::spawn(move || worker.run());
        (Self { tasks, completions, pending_reads: 0, pending_writes: 0 }, content)
    }

    /// Replaces the content, soon.
    pub fn replace(&mut self, bytes: Vec<u8>) {
        self.pending_writes += usize::from(self.tasks.send(Task::Replace(bytes)).is_ok());
    }

    /// The content that another process has put in place since the last call, as far as that is known, and starts the next
    /// read.
    ///
    /// # Errors
    /// Where an earlier replacement failed.
    pub fn poll(&mut self) -> io::Result<Option<Vec<u8>>> {
        let (mut latest, mut written) = (None, Ok(()));
        while let Ok(completion) = self.completions.try_recv() {
            match completion {
                Completion::Read(found) => {
                    self.pending_reads -= 1;
                    // What was found before one's own bytes were there is about to be replaced.
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

/// Reads the file without an access time on the disk, which would be a write: a start must not wait for that either.
fn read(path: &Path) -> Option<Vec<u8>> {
    let flags = OFlags::RDONLY | OFlags::NOATIME | OFlags::CLOEXEC;
    let mut bytes = Vec::new();
    File::from(rustix::fs::open(path, flags, Mode::empty()).ok()?).read_to_end(&mut bytes).ok()?;
    Some(bytes)
}

/// The thread's side.
struct Worker {
    path: PathBuf,
    /// What was read or written last.
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

    /// Replaces the file whole or not at all: others read it at any time.
    fn replace(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        let result =
            std::fs::write(&temporary, &bytes).and_then(|()| std::fs::rename(&temporary, &self.path));
        self.content = Some(bytes);
        result
    }
}
