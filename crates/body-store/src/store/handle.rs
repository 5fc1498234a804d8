//! Handles on bodies and readers. Dropping the last one releases what it stands for, at the store's next turn.

use crate::plan::BodyId;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// Identifies a reader. An identifier is never used again.
pub type ReaderId = u64;

/// What handles were dropped for, since the store looked last.
pub(super) type DropList = Rc<RefCell<Vec<Dropped>>>;

/// What the last handle was dropped for.
#[derive(Clone, Copy)]
pub(super) enum Dropped {
    Body(BodyId),
    Reader(ReaderId),
}

impl fmt::Debug for Dropped {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::Body(id) => write!(formatter, "body {id}"),
            Self::Reader(id) => write!(formatter, "reader {id}"),
        }
    }
}

/// A handle on a body, which is kept until the last clone is dropped.
#[derive(Clone)]
pub struct Body(Rc<SharedBody>);

struct SharedBody {
    id: BodyId,
    length: u64,
    dropped: DropList,
}

impl Body {
    pub(super) fn new(id: BodyId, length: u64, dropped: DropList) -> Self {
        Self(Rc::new(SharedBody { id, length, dropped }))
    }

    /// Its identifier, as events have it.
    #[must_use]
    pub fn id(&self) -> BodyId {
        self.0.id
    }

    /// Its length; of a body that began with an unknown length, what was reserved for it at first (bytes).
    #[must_use]
    pub fn length(&self) -> u64 {
        self.0.length
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "body {} of {} bytes", self.0.id, self.0.length)
    }
}

impl Drop for SharedBody {
    fn drop(&mut self) {
        self.dropped.borrow_mut().push(Dropped::Body(self.id));
    }
}

/// Reads a body from its start. The reader ends when it is dropped.
#[derive(Debug)]
pub struct Reader {
    /// Its identifier, as events have it.
    pub id: ReaderId,
    dropped: DropList,
}

impl Reader {
    pub(super) fn new(id: ReaderId, dropped: DropList) -> Self {
        Self { id, dropped }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.dropped.borrow_mut().push(Dropped::Reader(self.id));
    }
}
