//! Actions: what a [`Policy`](super::Policy) asks its caller to do.

use super::{EngineId, RequestId};

/// What a policy asks its caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        id: RequestId,
        /// The engine to send it to.
        engine: EngineId,
        /// Timeout of the attempt (seconds); `None`: until the client gives up.
        timeout: Option<f64>,
        /// Time within which the first byte must be sent, or the attempt is dropped (seconds); `None`: the
        /// timeout.
        within: Option<f64>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: not served, and a retry by the client is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which the client may try again (seconds).
        retry_after: Option<f64>,
    },
    /// Final answer: not served, and the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set memory and priority of the request's attempts from here on.
    SetTerms {
        /// The request.
        id: RequestId,
        /// Memory to grant (MB); `None`: the engine decides.
        memory: Option<f64>,
        /// Priority, 0 to 3; 3 is the most urgent.
        rank: u8,
    },
    /// Set a timer, which leads to an [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Time from now (seconds).
        after: f64,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribe to the set of engines.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
