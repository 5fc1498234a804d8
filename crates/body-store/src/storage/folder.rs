//! The folder that holds the files for bodies.

use rustix::fs::{flock, FlockOperation, Mode, OFlags};
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// The file whose lock marks the folder as in use by a process.
const LOCK_FILE: &str = "bodies.lock";
/// Prefix of the names of files that are not unlinked yet.
const FILE_PREFIX: &str = "body-";

/// A folder in which this process creates files for bodies.
pub struct StorageFolder {
    path: PathBuf,
    /// Held for the lifetime of this value; leftover files of other processes are removed only
    /// while holding it.
    _lock: Option<File>,
    files_created: AtomicU64,
}

impl StorageFolder {
    /// Opens the folder, creates it if it does not exist, and removes files that a terminated
    /// process left behind. If another process has the folder open, nothing is removed.
    ///
    /// # Errors
    /// If the folder or its lock file cannot be created or read, or a file cannot be removed.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK_FILE))?;
        let locked = flock(&lock, FlockOperation::NonBlockingLockExclusive).is_ok();
        if locked {
            remove_leftovers(path)?;
        }
        Ok(Self { path: path.into(), _lock: locked.then_some(lock), files_created: AtomicU64::new(0) })
    }

    /// Creates an unnamed file, which no other process can open and which is deleted when its last
    /// descriptor is closed.
    ///
    /// # Errors
    /// If the file system supports neither unnamed files nor unlinking a file that is open.
    pub fn create_file(&self) -> io::Result<File> {
        let flags = OFlags::RDWR | OFlags::CLOEXEC | OFlags::TMPFILE;
        if let Ok(file) = rustix::fs::open(&self.path, flags, Mode::RUSR | Mode::WUSR) {
            return Ok(file.into());
        }
        self.create_unlinked_file()
    }

    /// Fallback for file systems without `O_TMPFILE`.
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
