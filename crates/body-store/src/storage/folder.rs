//! The folder that files for bodies are created in.

use rustix::fs::{flock, FlockOperation, Mode, OFlags};
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// The file whose lock tells that a process uses the folder.
const LOCK_FILE: &str = "bodies.lock";
/// How the names of files begin that are not unlinked yet.
const FILE_PREFIX: &str = "body-";

/// A folder in which this process creates files for bodies.
pub struct StorageFolder {
    path: PathBuf,
    /// Held for the life of the process; files that others left are removed only under it.
    _lock: Option<File>,
    files_created: AtomicU64,
}

impl StorageFolder {
    /// Opens the folder, creates it if it is absent, and removes what a process that has ended left in it. If another live
    /// process uses it at the same time, nothing is removed.
    ///
    /// # Errors
    /// Where the folder or its lock file cannot be created or read, or a file cannot be removed.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        let locked = flock(&lock, FlockOperation::NonBlockingLockExclusive).is_ok();
        if locked {
            remove_leftovers(path)?;
        }
        Ok(Self { path: path.into(), _lock: locked.then_some(lock), files_created: AtomicU64::new(0) })
    }

    /// Creates a file without a name, which nobody else can open and which is gone with its last descriptor.
    ///
    /// # Errors
    /// Where the file system allows neither a file without a name nor one that is unlinked at once.
    pub fn create_file(&self) -> io::Result<File> {
        let flags = OFlags::RDWR | OFlags::CLOEXEC | OFlags::TMPFILE;
        if let Ok(file) = rustix::fs::open(&self.path, flags, Mode::RUSR | Mode::WUSR) {
            return Ok(file.into());
        }
        self.create_unlinked_file()
    }

    /// For file systems without `O_TMPFILE`.
    fn create_unlinked_file(&self) -> io::Result<File> {
        let number = self.files_created.fetch_add(1, Ordering::Relaxed);
        let path = self.path.join(format!("{FILE_PREFIX}{}-{number}", std::process::id()));
        let file = OpenOptions::new().read(true).write(true).create_new(true).open(&path)?;
        std::fs::remove_file(&path)?;
        Ok(file)
    }
}

fn remove_leftovers(path: &Path) -> io::Result<()> {
    for entry in std::fs::read_dir(path)? {
        let entry = entry?;
        if entry.file_name().to_string_lossy().starts_with(FILE_PREFIX) {
            std::fs::remove_file(entry.path())?;
        }
    }
    Ok(())
}
