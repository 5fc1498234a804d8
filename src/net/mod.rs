//! The event loop's building blocks. There is one thread and one epoll instance; nothing here blocks but [`Poller::wait`].
//!
//! - `poller`: epoll, and the tokens that name descriptors
//! - `event_handler`: what the loop calls on each part of the daemon
//! - `connection`, `slab`, `open_connection`: connections as objects with callbacks, kept by index
//! - `stream`, `output`: a non-blocking socket with its buffers
//! - `acceptor`: listening sockets
//! - `timers`, `clock`, `backoff`, `suspend`: time
//! - `resp`: the framing that engines and the store's members have in common

mod acceptor;
mod backoff;
mod clock;
mod connection;
mod event_handler;
mod open_connection;
mod output;
mod poller;
pub mod resp;
mod slab;
mod stream;
mod suspend;
mod timers;

pub use acceptor::{inherited_listener, Acceptor};
pub use backoff::Backoff;
pub use clock::{Clock, Time};
pub use connection::{Connection, Flow};
pub use event_handler::EventHandler;
pub use poller::{Poller, Ready, Token};
pub use slab::ConnectionSlab;
pub use stream::{BufferedStream, ConnectState};
pub use suspend::SuspendDetector;
pub use timers::TimerQueue;
