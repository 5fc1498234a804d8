//! Why a trial could not be run.

use crate::file_error::FileError;
use crate::sockets::TargetError;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Why a trial could not be run.
#[derive(Debug, Error)]
pub enum TrialError {
    /// The path of this program is not known, or a stand-in cannot listen.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A file cannot be written, or the daemon cannot be started.
    #[error(transparent)]
    File(#[from] FileError),
    /// The daemon's executable does not exist and cannot be built.
    #[error("{} does not exist; build it with: cargo build --release", .0.display())]
    NoProgram(PathBuf),
    /// A coordinator has no standard output.
    #[error("the coordinator has no standard output")]
    NoOutput,
    /// A coordinator exited before it listened.
    #[error("{0} did not start")]
    NotStarted(String),
    /// A coordinator did not print the address on which it listens.
    #[error("the coordinator did not print its listening address")]
    NoAddress,
    /// Requests cannot be sent to the coordinators.
    #[error(transparent)]
    Target(#[from] TargetError),
    /// The thread that injects the faults panicked.
    #[error("the thread that injects the faults panicked")]
    FaultThread,
}
