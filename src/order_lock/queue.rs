//! Takes, checks and returns tickets in the lock file.

use super::lock_file::LockFile;
use super::ticket::{KeyRange, Ticket, TicketTime};
use rustix::time::{clock_gettime, ClockId};
use std::collections::BTreeSet;
use std::io;
use std::path::Path;

/// How often taking a ticket is repeated if other processes take tickets of the same key at the same time.
const MAX_TAKE_TRIES: usize = 8;
const NANOSECONDS_PER_S: f64 = 1e9;

/// The queues of all keys, shared by the processes that open the same file.
///
/// A process takes a ticket by locking its byte, and returns it by unlocking the byte. A process holds the lock
/// of a key with the lowest ticket of the key that is valid.
pub struct TicketQueue {
    file: LockFile,
    /// Tickets of this process. The kernel does not report a process's own locks to it.
    own: BTreeSet<Ticket>,
}

impl TicketQueue {
    /// Opens the queues in a file.
    ///
    /// # Errors
    /// If the file cannot be opened, or if its file system has no suitable locks.
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(Self { file: LockFile::open(path)?, own: BTreeSet::new() })
    }

    /// Takes a ticket behind all others of its key. It expires after `validity` seconds.
    ///
    /// # Errors
    /// If a system call fails, or if other processes were faster in every try.
    pub fn take(&mut self, key: KeyRange, validity: f64) -> io::Result<Ticket> {
        for _ in 0..MAX_TAKE_TRIES {
            let latest = self.latest_ticket(key)?;
            let ticket = key.next_ticket(now(), validity, latest).ok_or(io::ErrorKind::StorageFull)?;
            if self.try_take(ticket)? {
                return Ok(ticket);
            }
        }
        Err(io::ErrorKind::WouldBlock.into())
    }

    /// Takes this ticket. Returns false if another process has it or a later one: that process may already hold
    /// the key's lock, and a ticket must never come before one that does.
    ///
    /// # Errors
    /// If a system call fails.
    pub fn try_take(&mut self, ticket: Ticket) -> io::Result<bool> {
        if !self.file.try_lock(ticket.offset())? {
            return Ok(false);
        }
        let later = ticket.offset() + 1..ticket.key_range().offsets().end;
        let conflict = self.file.find_conflict(later);
        if let Ok(None) = conflict {
            self.own.insert(ticket);
            return Ok(true);
        }
        self.file.unlock(ticket.offset())?;
        conflict.map(|_| false)
    }

    /// Returns a ticket.
    ///
    /// # Errors
    /// If the system call fails. The ticket then remains until it expires or the process ends.
    pub fn release(&mut self, ticket: Ticket) -> io::Result<()> {
        self.own.remove(&ticket);
        self.file.unlock(ticket.offset())
    }

    /// Whether this process holds no ticket.
    pub fn is_unused(&self) -> bool {
        self.own.is_empty()
    }

    /// Whether no valid ticket of another process comes before this one. Once true, it remains true.
    ///
    /// # Errors
    /// If a system call fails.
    pub fn is_first(&self, ticket: Ticket) -> io::Result<bool> {
        let now = now();
        let ahead = ticket.key_range().offsets().start..ticket.offset();
        let mut unchecked = Vec::from_iter([ahead]);
        while let Some(range) = unchecked.pop() {
            let Some(locked) = self.file.find_conflict(range.clone())? else { continue };
            // Tickets are never adjacent: a longer range is a lock of some other program.
            let is_ticket = locked.end - locked.start == 1;
            if is_ticket && !Ticket::at(locked.start).is_expired(now) {
                return Ok(false);
            }
            unchecked.push(range.start..locked.start);
            unchecked.push(locked.end..range.end);
        }
        Ok(true)
    }

    /// The latest ticket of a key, in any process.
    fn latest_ticket(&self, key: KeyRange) -> io::Result<Option<Ticket>> {
        let offsets = key.offsets();
        let own = self.own.range(Ticket::at(offsets.start)..Ticket::at(offsets.end)).next_back().copied();
        let mut latest = own;
        let mut start = own.map_or(offsets.start, |ticket| ticket.offset() + 1);
        while let Some(locked) = self.file.find_conflict(start..offsets.end)? {
            start = locked.end.min(offsets.end);
            latest = Some(Ticket::at(start - 1));
        }
        Ok(latest)
    }
}

/// The time on the monotonic clock.
fn now() -> TicketTime {
    let time = clock_gettime(ClockId::Monotonic);
    TicketTime::from_seconds(time.tv_sec as f64 + time.tv_nsec as f64 / NANOSECONDS_PER_S)
}
