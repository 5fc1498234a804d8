//! Actions: the commands of a [`Policy`](super::Policy) to its caller.

use super::{EngineId, RequestId};

/// A command that the caller of a policy must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the next attempt of a request.
    Send {
        /// The request.
        id: RequestId,
        /// The engine to send it to.
        engine: EngineId,
        /// Timeout of the attempt (seconds); `None`: no timeout before the client gives up.
        timeout: Option<f64>,
        /// Send deadline: time within which the first byte must be sent, or the attempt is dropped (seconds);
        /// `None`: the timeout applies.
        within: Option<f64>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// Final answer: not served, and the client can safely retry.
    Reject {
        /// The request.
        id: RequestId,
        /// Time after which the client may try again (seconds).
        retry_after: Option<f64>,
    },
    /// Final answer: not served, but the request may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set the memory and priority of the request's attempts from now on.
    SetTerms {
        /// The request.
        id: RequestId,
        /// Memory to grant (MB); `None`: the engine decides.
        memory: Option<f64>,
        /// Priority, 0 to 3; 3 is the most urgent.
        rank: u8,
    },
    /// Release the lock on the key of a request, or stop waiting for it. Only for requests whose key is
    /// shared with other processes ([`OrderLock`](super::OrderLock)).
    ReleaseOrderLock {
        /// The request.
        id: RequestId,
        /// Earliest time of the release (seconds on the caller's clock); it may have passed.
        not_before: f64,
    },
    /// Set a timer, which leads to an [`Event::Timer`](super::Event::Timer).
    SetTimer {
        /// Delay until it expires (seconds).
        after: f64,
        /// Returned with the event.
        token: u64,
    },
    /// Subscribe to the set of engines.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
