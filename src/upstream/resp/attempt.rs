//! Attempts that wait for a connection or run on one.

use super::result_pages::ResultPages;
use crate::core::Attempt;
use crate::net::Time;
use dahliaspoke::policy::RequestId;
use dahliaspoke_body_store::Reader;

/// An attempt that is to be queued on a connection.
pub struct PendingAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// The time by which its first byte must have been written.
    pub send_deadline: Time,
    /// How often it has been moved because its connection ended before it was sent.
    pub moves: usize,
}

/// The state of an attempt's result.
pub enum ResultState {
    /// No page has arrived: the attempt is unsent, queued at the engine or running.
    Awaited,
    /// The first page has arrived and the others have been requested.
    Receiving(ResultPages),
}

/// An attempt on its connection.
pub struct RunningAttempt {
    /// The attempt, its send deadline and its number of moves.
    pub pending: PendingAttempt,
    /// When it was queued on its connection.
    pub queued_at: Time,
    /// The tag by which its command can be withdrawn from the output.
    pub message_tag: u64,
    /// The state of its result.
    pub result: ResultState,
}

impl RunningAttempt {
    /// The attempt's number.
    pub fn number(&self) -> u32 {
        self.pending.attempt.attempt
    }

    /// Whether the first page of its result has arrived; further pages follow.
    pub fn is_receiving(&self) -> bool {
        matches!(self.result, ResultState::Receiving(_))
    }
}

/// A body that is being sent on a connection. Nothing else is sent there until it is complete.
pub struct OutgoingBody {
    /// The request that it belongs to.
    pub id: RequestId,
    /// The source of its bytes.
    pub reader: Reader,
    /// Whether no bytes are available now; the body store reports when there are some.
    pub waits_for_bytes: bool,
}
