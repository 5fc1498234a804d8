//! The event loop's parts: epoll, connection objects with callbacks, buffers, timers, the clock, and
//! the framing that more than one part speaks.

mod backoff;
mod channel;
mod clock;
mod listener;
mod part;
mod poller;
pub mod resp;
mod sleep;
mod table;
mod timers;

pub use backoff::Backoff;
pub use channel::Channel;
pub use clock::{Clock, Time};
pub use listener::{inherited, Listener};
pub use part::Part;
pub use poller::{Poller, Ready, Token};
pub use sleep::Sleep;
pub use table::{Connection, Flow, Table};
pub use timers::Timers;
