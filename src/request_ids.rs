//! The ids of requests that may have run. Clients choose a new id for each request, so one that comes again, on whatever
//! connection and at whichever process of an upgrade, is a request that must not run a second time.
//!
//! An id is kept while its request is open, and for [`RETENTION`] after it has ended if it may have run. During an upgrade
//! each process also locks the byte of a file that stands for the id, so that the other process knows. The kernel keeps
//! these locks in memory, and releases them when their process ends.

use crate::net::Time;
use crate::order_lock::lock_file::LockFile;
use dahliaspoke::policy::RequestId;
use std::collections::{HashSet, VecDeque};
use std::path::{Path, PathBuf};

/// How long the id of a request that may have run is kept after the request has ended (s).
const RETENTION: Time = 30.0;
/// Maximum number of ids that are kept of requests that have ended; beyond it, the oldest is forgotten.
const MAX_ENDED_IDS: usize = 8192;
/// The environment variable that names the folder for temporary files.
const FOLDER_VARIABLE: &str = "TMPDIR";
/// Name of the lock file.
const FILE_NAME: &str = "request-ids.lock";
/// Offsets in a file have 63 bits.
const OFFSET_MASK: u64 = u64::MAX >> 1;

/// The number that an id of the HTTP listener writes in hex digits; ids of other listeners, which never come again, have
/// none.
fn number_of(id: &RequestId) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}

/// An id whose request has ended.
struct EndedId {
    number: u64,
    forget_at: Time,
}

/// The ids of open requests, and of those that have ended not long ago.
#[derive(Default)]
pub struct RequestIds {
    /// `None` if this process shares its clients with no other.
    shared: Option<LockFile>,
    known: HashSet<u64>,
    /// In the order in which they are forgotten.
    ended: VecDeque<EndedId>,
}

impl RequestIds {
    /// Opens the ids that the processes of an upgrade share, in the folder for temporary files.
    pub fn open_shared() -> Self {
        let folder = std::env::var_os(FOLDER_VARIABLE).map(PathBuf::from);
        folder.map_or_else(Self::default, |folder| Self::in_folder(&folder))
    }

    /// Opens the ids that processes share in a folder. If the file cannot be opened, each process knows its own only.
    fn in_folder(folder: &Path) -> Self {
        let path = folder.join(FILE_NAME);
        let shared = LockFile::open(&path).inspect_err(|error| {
            let path = path.display();
            tracing::warn!("{path}: {error}: a request id used twice in an upgrade is not noticed");
        });
        Self { shared: shared.ok(), ..Self::default() }
    }

    /// Adds the id of a request that has just arrived. Returns false if a request with this id is open or may have run,
    /// in this process or another one.
    pub fn begin(&mut self, now: Time, id: &RequestId) -> bool {
        self.forget_expired(now);
        let Some(number) = number_of(id) else { return true };
        if self.known.contains(&number) || !self.lock(number) {
            return false;
        }
        self.known.insert(number)
    }

    /// The request with this id has ended; `may_have_run`: an attempt of it may have run.
    pub fn end(&mut self, now: Time, id: &RequestId, may_have_run: bool) {
        let Some(number) = number_of(id) else { return };
        if !may_have_run {
            return self.forget(number);
        }
        self.ended.push_back(EndedId { number, forget_at: now + RETENTION });
        if self.ended.len() > MAX_ENDED_IDS {
            self.forget_oldest();
        }
    }

    fn forget_expired(&mut self, now: Time) {
        while self.ended.front().is_some_and(|ended| ended.forget_at <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(EndedId { number, .. }) = self.ended.pop_front() {
            self.forget(number);
        }
    }

    fn forget(&mut self, number: u64) {
        self.known.remove(&number);
        if let Some(file) = &self.shared {
            let _ = file.unlock(number & OFFSET_MASK); // on failure, the id stays locked until the process ends
        }
    }

    /// Locks an id among the processes. Returns false if another process has locked it. If the kernel cannot lock it,
    /// only this process knows the id.
    fn lock(&self, number: u64) -> bool {
        self.shared.as_ref().is_none_or(|file| file.try_lock(number & OFFSET_MASK).unwrap_or(true))
    }
}
