//! The links between nodes.

use super::{node_of, Simulation, Task, MILLISECOND};
use dahliaspoke_raft::codec::{decode, encode};
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::raft::Event;
use dahliaspoke_raft::Micros;

/// Minimum delay of a message (us).
const MIN_DELAY: Micros = 200;
/// Upper limit of the random delay that is added without a fault (us).
const MAX_JITTER: Micros = 1500;

/// One direction of a link; nodes are given by position.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Route {
    pub from: usize,
    pub to: usize,
}

/// The faults of one direction of a link.
#[derive(Clone, Copy, Default)]
pub struct Link {
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that are delivered twice.
    pub duplication: f64,
    /// Upper limit of the additional random delay (ms).
    pub delay_ms: u64,
    /// Messages are not delivered before this time (us); they are delayed, not lost.
    pub blocked_until: Micros,
}

impl Simulation {
    pub fn send(&mut self, from: usize, message: &Message) {
        let route = Route { from, to: node_of(message.to) };
        let link = self.links.get(&route).copied().unwrap_or_default();
        let copies = 1 + usize::from(self.random_bool(link.duplication));
        for _ in 0..copies {
            if self.random_bool(link.loss) {
                continue;
            }
            let delay = (MIN_DELAY + self.random_below(MAX_JITTER))
                + self.random_below(link.delay_ms + 1) * MILLISECOND;
            let delay = delay.max(link.blocked_until.saturating_sub(self.now));
            // Encoded and decoded as on a real network.
            let received = decode(&encode(message)).expect("it was encoded here");
            self.schedule(delay, Task::Deliver(received));
        }
    }

    pub fn deliver(&mut self, message: Message) {
        let to = node_of(message.to);
        let stalled_until = self.nodes[to].stalled_until;
        if stalled_until > self.now {
            self.schedule(stalled_until - self.now, Task::Deliver(message));
        } else {
            self.handle_event(to, Event::Message(message));
        }
    }
}
