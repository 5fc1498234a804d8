//! What the loop asks of each part of the daemon.

use super::{Ready, Time};

/// A part of the loop: something with descriptors, times, or both. What a part has to tell is taken from it by the
/// daemon after each of these calls; none of them waits.
pub trait EventHandler {
    /// When it next has something to do that no descriptor tells of.
    fn next_deadline(&mut self) -> Option<Time>;

    /// Does what is due by now. Called each turn of the loop.
    fn on_timer(&mut self, now: Time);

    /// One of its descriptors is ready.
    fn on_ready(&mut self, now: Time, ready: Ready);
}
