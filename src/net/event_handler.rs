//! The interface between the event loop and the daemon's components.

use super::{Ready, Time};

/// A component of the daemon with descriptors, timers or both. The event loop calls all methods; none may
/// block. After each call the daemon collects what the handler has received.
pub trait EventHandler {
    /// The earliest time at which the handler has work that no descriptor will signal; `None` if there is
    /// none. Called before each wait of the event loop.
    fn next_deadline(&mut self) -> Option<Time>;

    /// Handles everything that is due. Called once in each iteration of the event loop, even if nothing is
    /// due.
    fn on_timer(&mut self, now: Time);

    /// One of the handler's descriptors is ready. Called for each poller event whose token names this handler
    /// as its owner; the descriptor may have been closed in the meantime.
    fn on_ready(&mut self, now: Time, ready: Ready);
}
