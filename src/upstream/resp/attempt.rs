//! Attempts before and while they are on a connection.

use super::result_pages::ResultPages;
use crate::core::Attempt;
use crate::net::Time;
use dahliaspoke::policy::RequestId;
use dahliaspoke_body_store::Reader;

/// An attempt that is to be put on a connection.
pub struct PendingAttempt {
    /// The attempt.
    pub attempt: Attempt,
    /// When it must have begun to go out.
    pub send_deadline: Time,
    /// Connections that ended before it went out.
    pub moves: usize,
}

/// What has come of an attempt's result.
pub enum ResultState {
    /// Nothing: it has not been sent, waits, or runs.
    Awaited,
    /// Its first page, at least; the others have been asked for.
    Receiving(ResultPages),
}

/// An attempt on its connection.
pub struct RunningAttempt {
    /// The attempt, its deadline for sending and its moves.
    pub pending: PendingAttempt,
    /// When it was put on its connection.
    pub queued_at: Time,
    /// By which its command can be withdrawn from the output.
    pub message_tag: u64,
    /// What has come of its result.
    pub result: ResultState,
}

impl RunningAttempt {
    /// The number of the attempt.
    pub fn number(&self) -> u32 {
        self.pending.attempt.attempt
    }

    /// Whether its result has begun to come; further pages follow.
    pub fn is_receiving(&self) -> bool {
        matches!(self.result, ResultState::Receiving(_))
    }
}

/// A body that goes out on a connection. Nothing else goes out there until it is complete.
pub struct OutgoingBody {
    /// The request that it belongs to.
    pub id: RequestId,
    /// Where its bytes come from.
    pub reader: Reader,
    /// None of its bytes is here now; the body store reports when there are some.
    pub waits_for_bytes: bool,
}
