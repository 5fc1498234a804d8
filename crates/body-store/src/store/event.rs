//! Events that the store reports to the event loop, and results of reads.

use super::handle::ReaderId;
use crate::plan::BodyId;
use std::sync::Arc;

/// Shared bytes, cheap to clone.
pub type Bytes = Arc<Vec<u8>>;

/// An event of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// A waiting sender may continue: the body has capacity again.
    CapacityAvailable(BodyId),
    /// The body is complete and stored: its request may start.
    Stored(BodyId),
    /// The body can no longer be written to its file and is passed through from now on, beginning
    /// with its first byte.
    FellBackToPassThrough(BodyId),
    /// The body cannot be stored after all. No byte of it was read.
    Lost(BodyId),
    /// Bytes of the body were dropped or cannot be read back: it is not available for retries.
    BytesDropped(BodyId),
    /// A waiting reader should read again.
    DataReady(ReaderId),
}

/// The result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The next bytes.
    Bytes(Bytes),
    /// No bytes are available yet; [`BodyEvent::DataReady`] signals when to read again.
    NotReady,
    /// The body has ended.
    End,
    /// The rest is not available.
    Lost,
}
