//! The responses to commands, and their HTTP status and body.

use dahliaspoke::policy::EngineId;

/// The response to a [`Command`](super::Command).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// This process serves clients.
    Healthy,
    /// This process is shutting down.
    ShuttingDown,
    /// The statistics, one line `NAME=VALUE` per value.
    Statistics(String),
    /// The engine's maintenance has been set as requested.
    Done,
    /// No engine with this id is known.
    UnknownEngine(EngineId),
}

impl Response {
    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Response::Healthy | Response::Statistics(_) | Response::Done => 200,
            Response::UnknownEngine(_) => 404,
            Response::ShuttingDown => 503,
        }
    }

    /// The body, in plain text.
    #[must_use]
    pub fn body(&self) -> String {
        match self {
            Response::Healthy => "ok\n".into(),
            Response::ShuttingDown => "leaving\n".into(),
            Response::Statistics(text) => text.clone(),
            Response::Done => "done\n".into(),
            Response::UnknownEngine(engine) => format!("no worker group {engine}\n"),
        }
    }
}
