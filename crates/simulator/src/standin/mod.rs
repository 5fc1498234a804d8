//! Stand-ins on sockets, in real time: engines of the model, and the directory that lists them. They
//! implement the platform's public protocols, on loopback only.

mod directory;
mod engine_server;
mod wire;

pub use directory::{directory_answer, Directory, DirectoryEntry};
pub use engine_server::EngineServer;
pub use wire::read_command;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: each update leaves the state valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
