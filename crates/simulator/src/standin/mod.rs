//! Stand-ins on sockets, in real time: engines of the model, and the directory that lists them. Written from the public
//! protocols of the platform; loopback only.

mod directory;
mod engine_server;
mod wire;

pub use directory::{directory_answer, Directory, DirectoryEntry};
pub use engine_server::EngineServer;
pub use wire::read_command;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of another thread: each update leaves the state valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
