//! The disk that bodies go to. Nothing of it outlives the process: files have no name once they are open, and
//! what a crash between the two left behind is removed at the next start, under a lock.

use rustix::fs::{fallocate, flock, FallocateFlags, FlockOperation, Mode, OFlags};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of one slot: what is written, read and summed at once.
pub const CHUNK: usize = 64 << 10;

/// Where chunks are written. Called on the spool's threads, several at a time, each with a slot of its own.
pub trait Store: Send + Sync {
    /// Writes all of it to the slot, or fails.
    fn write(&self, body: u64, slot: u32, bytes: &[u8]) -> io::Result<()>;
    /// Fills all of `into` from the slot, or fails.
    fn read(&self, body: u64, slot: u32, into: &mut [u8]) -> io::Result<()>;
    /// The body is over, and these were its slots, in order. They are used again once this is done.
    fn end(&self, body: u64, slots: &[u32]);
}

/// Where a slot begins (bytes).
#[must_use]
pub fn offset(slot: u32) -> u64 {
    u64::from(slot) * CHUNK as u64
}

/// A folder that a process writes bodies in.
pub struct Folder {
    path: PathBuf,
    /// Held for as long as the process lives; what others left is removed only under it.
    _lock: Option<File>,
    count: AtomicU64,
}

/// Begins the names of files that have not lost theirs yet.
const STEM: &str = "body-";

impl Folder {
    /// Takes the folder, made if it is not there, and removes what a process that is gone has left in it.
    /// Another live process may use it at the same time; then nothing is removed.
    pub fn open(path: &Path) -> io::Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock =
            OpenOptions::new().create(true).truncate(false).write(true).open(path.join("bodies.lock"))?;
        let free = flock(&lock, FlockOperation::NonBlockingLockExclusive).is_ok();
        if free {
            for entry in std::fs::read_dir(path)? {
                let entry = entry?;
                if entry.file_name().to_string_lossy().starts_with(STEM) {
                    std::fs::remove_file(entry.path())?;
                }
            }
        }
        Ok(Self { path: path.into(), _lock: free.then_some(lock), count: AtomicU64::new(0) })
    }

    /// A file that nobody else can open, and that is gone with its last descriptor.
    pub fn file(&self) -> io::Result<File> {
        let flags = OFlags::RDWR | OFlags::CLOEXEC | OFlags::TMPFILE;
        if let Ok(file) = rustix::fs::open(&self.path, flags, Mode::RUSR | Mode::WUSR) {
            return Ok(file.into());
        }
        // The file system has no files without a name: it loses the name at once.
        let number = self.count.fetch_add(1, Ordering::Relaxed);
        let path = self.path.join(format!("{STEM}{}-{number}", std::process::id()));
        let file = OpenOptions::new().read(true).write(true).create_new(true).open(&path)?;
        std::fs::remove_file(&path)?;
        Ok(file)
    }
}

/// All bodies in one file, by slot.
pub struct Segment {
    file: File,
    /// Held with its lock.
    _folder: Option<Folder>,
}

impl Segment {
    /// In that folder.
    ///
    /// # Errors
    /// Where no file can be made there.
    pub fn open(folder: Folder) -> io::Result<Self> {
        Ok(Self { file: folder.file()?, _folder: Some(folder) })
    }

    /// In that file, which may be any: `/dev/full` fails every write.
    #[must_use]
    pub fn on(file: File) -> Self {
        Self { file, _folder: None }
    }
}

impl Store for Segment {
    fn write(&self, _: u64, slot: u32, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all_at(bytes, offset(slot))
    }

    fn read(&self, _: u64, slot: u32, into: &mut [u8]) -> io::Result<()> {
        self.file.read_exact_at(into, offset(slot))
    }

    fn end(&self, _: u64, slots: &[u32]) {
        let flags = FallocateFlags::PUNCH_HOLE | FallocateFlags::KEEP_SIZE;
        for run in slots.chunk_by(|a, b| a + 1 == *b) {
            // The space goes back to the disk; where that is not possible the slots are used again all the same.
            let _ = fallocate(&self.file, flags, offset(run[0]), (run.len() * CHUNK) as u64);
        }
    }
}
