//! A file on a thread of its own. A disk may hold a call up for seconds, and the loop must not wait for it.

use rustix::fs::{Mode, OFlags};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};

enum Task {
    /// See whether another process has replaced it.
    Look,
    Replace(Vec<u8>),
}

enum News {
    Looked(Option<Vec<u8>>),
    Replaced(io::Result<()>),
}

/// A small file that other processes may replace as well.
pub struct SharedFile {
    tasks: Sender<Task>,
    news: Receiver<News>,
    /// What was asked for and is not done yet.
    looks: usize,
    writes: usize,
}

impl SharedFile {
    /// With what it holds now, if it is there.
    pub fn open(path: PathBuf) -> (Self, Option<Vec<u8>>) {
        let first = read(&path);
        let ((tasks, asked), (tell, news)) = (channel(), channel());
        let held = first.clone();
        // It ends with the program, or with the channel.
        std::thread::spawn(move || keep(&path, held, &asked, &tell));
        (Self { tasks, news, looks: 0, writes: 0 }, first)
    }

    /// Puts these bytes in its place, soon.
    pub fn replace(&mut self, bytes: Vec<u8>) {
        self.writes += usize::from(self.tasks.send(Task::Replace(bytes)).is_ok());
    }

    /// What another process has put in its place since, as far as that is known, and has it looked at again.
    pub fn look(&mut self) -> io::Result<Option<Vec<u8>>> {
        let (mut latest, mut failed) = (None, Ok(()));
        while let Ok(news) = self.news.try_recv() {
            match news {
                News::Looked(found) => {
                    self.looks -= 1;
                    // What was found before one's own bytes were there is about to be replaced.
                    latest = found.filter(|_| self.writes == 0).or(latest);
                }
                News::Replaced(done) => {
                    self.writes -= 1;
                    failed = failed.and(done);
                }
            }
        }
        if self.looks == 0 {
            self.looks += usize::from(self.tasks.send(Task::Look).is_ok());
        }
        failed.map(|()| latest)
    }
}

/// Reads it without a note of that on the disk, which would be a write: a start must not wait either.
fn read(path: &Path) -> Option<Vec<u8>> {
    let flags = OFlags::RDONLY | OFlags::NOATIME | OFlags::CLOEXEC;
    let mut bytes = Vec::new();
    File::from(rustix::fs::open(path, flags, Mode::empty()).ok()?).read_to_end(&mut bytes).ok()?;
    Some(bytes)
}

fn keep(path: &Path, mut held: Option<Vec<u8>>, asked: &Receiver<Task>, tell: &Sender<News>) {
    while let Ok(task) = asked.recv() {
        let news = match task {
            Task::Look => {
                let found = read(path).filter(|bytes| held.as_ref() != Some(bytes));
                held = found.clone().or(held);
                News::Looked(found)
            }
            Task::Replace(bytes) => {
                // Whole or not at all: others read it at any time.
                let part = path.with_extension(std::process::id().to_string());
                let done = std::fs::write(&part, &bytes).and_then(|()| std::fs::rename(&part, path));
                held = Some(bytes);
                News::Replaced(done)
            }
        };
        if tell.send(news).is_err() {
            return;
        }
    }
}
