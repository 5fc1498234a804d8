//! Why a trial could not be played.

use crate::file_error::FileError;
use crate::sockets::TargetError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a trial could not be played.
#[derive(Debug, Error)]
pub enum TrialError {
    /// The path of this program is not known, or a stand-in cannot listen.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file cannot be written, or the daemon cannot be started.
    #[error(transparent)]
    File(#[from] FileError),
    /// The daemon's program is not there and cannot be built.
    #[error("{} is not there: cargo build --release", .0.display())]
    NoProgram(PathBuf),
    /// A coordinator has no standard output.
    #[error("no output")]
    NoOutput,
    /// A coordinator ended before it listened.
    #[error("{0} did not start")]
    NotStarted(String),
    /// A coordinator did not name the address on which it listens.
    #[error("it listens nowhere")]
    NoAddress,
    /// Requests cannot be sent to the coordinators.
    #[error(transparent)]
    Target(#[from] TargetError),
    /// The thread that injects the faults panicked.
    #[error("the trial's own thread ended")]
    FaultThread,
}
