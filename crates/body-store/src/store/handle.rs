//! Handles of bodies and readers. When the last handle is dropped, the store releases the body or
//! reader the next time that it processes the drop list.

use crate::plan::BodyId;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

/// Identifies a reader. Identifiers are never reused.
pub type ReaderId = u64;

/// Bodies and readers whose last handle was dropped and which the store has not released yet.
pub(super) type DropList = Rc<RefCell<Vec<Dropped>>>;

/// A body or reader whose last handle was dropped.
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

/// The owning handle of a body, which stays in the store until the last clone is dropped.
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

    /// Its identifier, as used in events.
    #[must_use]
    pub fn id(&self) -> BodyId {
        self.0.id
    }

    /// Its length, or its initial reservation if it was admitted with an unknown length (bytes).
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

/// The handle of a reader, which reads a body from its start. Dropping it closes the reader.
#[derive(Debug)]
pub struct Reader {
    /// Its identifier, as used in events.
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
