//! Why a call to the store failed.

/// Why a call failed, or why its outcome is unknown. Each variant has the reason of the last failed attempt.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// A member rejected the call. Nothing was done.
    #[error("{0}")]
    Refused(String),
    /// No member carried the call out by the deadline: for example, none could be reached, or none leads. Nothing was done.
    #[error("nothing was done: {0}")]
    Unavailable(String),
    /// The outcome is unknown: the call may have been carried out.
    #[error("it may have been done: {0}")]
    Unknown(String),
}
