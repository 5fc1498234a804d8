//! Why a call to the store failed.

/// Why a call was not done, or may not have been. Each holds the reason that the last member asked gave.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// A member rejected it. Nothing was done.
    #[error("{0}")]
    Refused(String),
    /// No member could be reached, or none leads. Nothing was done.
    #[error("nothing was done: {0}")]
    Unavailable(String),
    /// The outcome is unknown: it may have been done.
    #[error("it may have been done: {0}")]
    Unknown(String),
}
