//! The event loop's parts: epoll, connection objects with callbacks, buffers, timers, the clock, and
//! the framing that more than one part speaks.

mod acceptor;
mod backoff;
mod clock;
mod event_handler;
mod poller;
pub mod resp;
mod slab;
mod stream;
mod suspend;
mod timers;

pub use acceptor::{inherited, Acceptor};
pub use backoff::Backoff;
pub use clock::{Clock, Time};
pub use event_handler::EventHandler;
pub use poller::{Poller, Ready, Token};
pub use slab::{Connection, ConnectionSlab, Flow};
pub use stream::BufferedStream;
pub use suspend::SuspendDetector;
pub use timers::TimerQueue;
