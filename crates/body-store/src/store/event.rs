//! What the store reports to the event loop, and what a reader gets.

use super::handle::ReaderId;
use crate::plan::BodyId;
use std::sync::Arc;

/// Bytes that are shared rather than copied.
pub type Bytes = Arc<Vec<u8>>;

/// An event of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// A sender that had to wait may go on: the body has capacity again.
    CapacityAvailable(BodyId),
    /// The body is complete and kept: its request may begin.
    Stored(BodyId),
    /// The body can no longer be written to its file: from now on it is to be passed on, from its start.
    PassedThrough(BodyId),
    /// The body cannot be taken after all. Nothing of it was read.
    Lost(BodyId),
    /// Bytes of the body are gone: no retry can have it.
    BytesDropped(BodyId),
    /// A reader that had to wait may find bytes.
    DataReady(ReaderId),
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The next bytes.
    Bytes(Bytes),
    /// They are not here yet; [`BodyEvent::DataReady`] tells when to read again.
    NotReady,
    /// The body has ended.
    End,
    /// The rest cannot be had.
    Lost,
}
