//! A file on which processes lock single bytes (open file description locks). The kernel keeps such locks in
//! memory and releases them when their process ends, however it ends. The file stays empty.

use nix::errno::Errno;
use nix::fcntl::{fcntl, FcntlArg};
use nix::libc::{flock, F_UNLCK, F_WRLCK, SEEK_SET};
use rustix::fs::{Mode, OFlags};
use std::fs::File;
use std::io;
use std::ops::Range;
use std::path::Path;

/// The value of `l_len` for a range that ends with the file.
const TO_END_OF_FILE: i64 = 0;

/// A file whose bytes can be locked, one by one.
pub struct LockFile {
    file: File,
}

impl LockFile {
    /// Opens the file, and creates it if it does not exist.
    ///
    /// # Errors
    /// If it cannot be opened, or if its file system does not support these locks.
    pub fn open(path: &Path) -> io::Result<Self> {
        // Without `NONBLOCK`, opening a FIFO of this name could block.
        let flags = OFlags::RDWR | OFlags::CREATE | OFlags::CLOEXEC | OFlags::NONBLOCK;
        let file = File::from(rustix::fs::open(path, flags, Mode::RUSR | Mode::WUSR)?);
        let lock_file = Self { file };
        lock_file.find_conflict(0..1)?;
        Ok(lock_file)
    }

    /// Locks a byte, unless another process has locked it. Returns whether this process holds it now.
    ///
    /// # Errors
    /// If the kernel has no resources for another lock.
    pub fn try_lock(&self, offset: u64) -> io::Result<bool> {
        let byte = lock_description(F_WRLCK, &(offset..offset + 1));
        match fcntl(&self.file, FcntlArg::F_OFD_SETLK(&byte)) {
            Ok(_) => Ok(true),
            Err(Errno::EAGAIN | Errno::EACCES) => Ok(false),
            Err(error) => Err(error.into()),
        }
    }

    /// Unlocks a byte.
    ///
    /// # Errors
    /// If the kernel has no resources to split a range of locked bytes.
    pub fn unlock(&self, offset: u64) -> io::Result<()> {
        let byte = lock_description(F_UNLCK, &(offset..offset + 1));
        fcntl(&self.file, FcntlArg::F_OFD_SETLK(&byte))?;
        Ok(())
    }

    /// Returns a range of bytes that another process has locked and that overlaps with `range`; `None` if
    /// there is none.
    ///
    /// # Errors
    /// If the system call fails.
    pub fn find_conflict(&self, range: Range<u64>) -> io::Result<Option<Range<u64>>> {
        if range.is_empty() {
            return Ok(None);
        }
        let mut found = lock_description(F_WRLCK, &range);
        fcntl(&self.file, FcntlArg::F_OFD_GETLK(&mut found))?;
        if i32::from(found.l_type) == F_UNLCK {
            return Ok(None);
        }
        let start = found.l_start as u64;
        let end = if found.l_len == TO_END_OF_FILE { u64::MAX } else { start + found.l_len as u64 };
        Ok(Some(start..end))
    }
}

/// The kernel's description of a lock. Its process must be 0 for this kind of lock.
fn lock_description(kind: i32, range: &Range<u64>) -> flock {
    flock {
        l_type: kind as i16,
        l_whence: SEEK_SET as i16,
        l_start: range.start as i64,
        l_len: (range.end - range.start) as i64,
        l_pid: 0,
    }
}
