//! What the event loop asks of each part of the daemon.

use super::{Ready, Time};

/// A part of the daemon with descriptors, timers, or both. The event loop calls all of it; nothing here may block. What a
/// handler has received is fetched from it by the daemon after each call.
pub trait EventHandler {
    /// The earliest time at which it has something to do that no descriptor tells of; `None` for never. Called before each
    /// wait of the loop.
    fn next_deadline(&mut self) -> Option<Time>;

    /// Does what is due by now. Called once in each iteration of the loop, also when nothing is due.
    fn on_timer(&mut self, now: Time);

    /// One of its descriptors is ready. Called for each event of the poller whose token names this handler as its owner; the
    /// descriptor may have been closed meanwhile.
    fn on_ready(&mut self, now: Time, ready: Ready);
}
