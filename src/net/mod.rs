//! Building blocks of the event loop. There is one thread and one epoll instance; only [`Poller::wait`]
//! blocks.
//!
//! - `poller`: epoll, and the tokens that identify descriptors
//! - `event_handler`: the interface that the event loop calls on each component of the daemon
//! - `connection`, `slab`, `open_connection`: connections as objects with callbacks, stored by index
//! - `stream`, `output`: non-blocking sockets with their buffers
//! - `acceptor`: listening sockets
//! - `timers`, `clock`, `backoff`, `suspend`: timers, time, retry delays and detection of suspensions
//! - `resp`: the framing shared by the engine protocol and the store's members

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
