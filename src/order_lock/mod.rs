//! Locks of order keys between the processes of an upgrade.
//!
//! Requests of an ordered class with the same key run one at a time. Within one process the policy ensures
//! that. During an upgrade two processes serve the same clients, so a request also needs the lock of its key
//! among both. The processes queue for it with tickets in a file of the folder for temporary files, in the
//! order in which they received their requests:
//!
//! - a process that ends, for whatever reason, loses its tickets;
//! - the tickets of a process that is stuck expire with the deadlines of their requests, since engines stop
//!   working on a request at its deadline;
//! - a ticket that cannot be taken because a system call failed is taken later: the request waits.
//!
//! The locks are kept in memory by the kernel, so no call waits for a disk after the file was opened.

pub mod lock_file;
pub mod queue;
pub mod ticket;

use dahliaspoke::policy::{OrderLock, RequestId};
use queue::TicketQueue;
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use ticket::{KeyRange, Ticket};

/// The environment variable that names the folder for temporary files.
const FOLDER_VARIABLE: &str = "TMPDIR";
/// Name of the lock file.
const FILE_NAME: &str = "order.lock";

/// The progress of a request towards the lock of its key.
#[derive(Clone, Copy, Debug)]
enum LockState {
    /// It has no ticket yet.
    Unqueued(KeyRange, Validity),
    /// It waits for tickets of other processes.
    Queued(Ticket),
    /// It holds the lock.
    Held(Ticket),
}

/// How long a request needs its ticket at most, from its arrival (s).
type Validity = f64;

impl LockState {
    /// Takes the next steps towards the lock that are possible now.
    ///
    /// # Errors
    /// If a system call fails.
    fn advance(&mut self, queue: &mut TicketQueue) -> io::Result<()> {
        if let Self::Unqueued(key, validity) = *self {
            *self = Self::Queued(queue.take(key, validity)?);
        }
        if let Self::Queued(ticket) = *self {
            if queue.is_first(ticket)? {
                *self = Self::Held(ticket);
            }
        }
        Ok(())
    }
}

/// The locks of order keys that requests of this process hold or wait for.
pub struct OrderLocks {
    /// `None` if this process shares its clients with no other.
    queue: Option<TicketQueue>,
    requests: HashMap<RequestId, LockState>,
    /// Requests that do not hold their lock yet, in the order of arrival.
    waiting: Vec<RequestId>,
    /// Whether the last system call failed: failures are logged once.
    is_failing: bool,
}

impl OrderLocks {
    /// Locks of a process that shares its clients with no other: no request needs one.
    pub fn unshared() -> Self {
        Self { queue: None, requests: HashMap::new(), waiting: Vec::new(), is_failing: false }
    }

    /// Opens the locks that the processes of an upgrade share, in the folder for temporary files.
    pub fn open() -> Self {
        let folder = std::env::var_os(FOLDER_VARIABLE).map(PathBuf::from);
        folder.map_or_else(Self::unshared, |folder| Self::in_folder(&folder))
    }

    /// Opens the locks that processes share in a folder. If the file cannot be opened, requests are ordered
    /// within this process only.
    pub fn in_folder(folder: &Path) -> Self {
        let path = folder.join(FILE_NAME);
        let queue = TicketQueue::open(&path).inspect_err(|error| {
            let path = path.display();
            tracing::warn!("{path}: {error}: requests are not ordered across processes during an upgrade");
        });
        Self { queue: queue.ok(), ..Self::unshared() }
    }

    /// Whether this process holds no lock and waits for none.
    pub fn is_unused(&self) -> bool {
        self.queue.as_ref().is_none_or(TicketQueue::is_unused)
    }

    /// Queues a request for the lock of its key, which it needs for `validity` seconds at most, and returns
    /// the state of its lock.
    pub fn acquire(&mut self, id: &RequestId, key: &str, validity: f64) -> OrderLock {
        let Some(queue) = &mut self.queue else { return OrderLock::NotShared };
        let mut state = LockState::Unqueued(KeyRange::of(key), validity);
        // Requests ahead that have no ticket yet must get theirs first.
        let is_next = !self.waiting.iter().any(|id| matches!(self.requests[id], LockState::Unqueued(..)));
        let result = if is_next { state.advance(queue) } else { Ok(()) };
        let lock = match state {
            LockState::Held(_) => OrderLock::Held,
            LockState::Unqueued(..) | LockState::Queued(_) => OrderLock::Waiting,
        };
        if lock == OrderLock::Waiting {
            self.waiting.push(id.clone());
        }
        self.requests.insert(id.clone(), state);
        self.log_failure(result);
        lock
    }

    /// Whether a request waits for its lock, so that [`Self::poll`] must be called again.
    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Checks the waiting requests and returns those that now hold the lock of their key.
    pub fn poll(&mut self) -> Vec<RequestId> {
        let result = self.advance_waiting();
        self.log_failure(result);
        let is_held = |id: &RequestId| matches!(self.requests[id], LockState::Held(_));
        let (held, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(is_held);
        self.waiting = waiting;
        held
    }

    /// Advances the waiting requests in the order of arrival, up to the first that a system call fails for.
    fn advance_waiting(&mut self) -> io::Result<()> {
        let Some(queue) = &mut self.queue else { return Ok(()) };
        for id in &self.waiting {
            if let Some(state) = self.requests.get_mut(id) {
                state.advance(queue)?;
            }
        }
        Ok(())
    }

    fn log_failure(&mut self, result: io::Result<()>) {
        if let (Err(error), false) = (&result, self.is_failing) {
            tracing::warn!("cannot lock an order key: {error}: its requests wait");
        }
        self.is_failing = result.is_err();
    }

    /// Ends a request's need for its lock. Returns its ticket, which must be passed to
    /// [`Self::release`] for other requests to proceed; `None` if it has none.
    pub fn remove(&mut self, id: &RequestId) -> Option<Ticket> {
        self.waiting.retain(|waiting| waiting != id);
        match self.requests.remove(id)? {
            LockState::Unqueued(..) => None,
            LockState::Queued(ticket) | LockState::Held(ticket) => Some(ticket),
        }
    }

    /// Releases the lock that a ticket holds or waits for.
    pub fn release(&mut self, ticket: Ticket) {
        let result = self.queue.as_mut().map_or(Ok(()), |queue| queue.release(ticket));
        if let Err(error) = result {
            tracing::warn!("cannot unlock an order key: {error}: it is locked until its request's deadline");
        }
    }
}
