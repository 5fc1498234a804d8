//! What all connections of this upstream have in common.

use super::attempt::PendingAttempt;
use crate::body_store;
use crate::limits::Limits;
use crate::net::{TimerQueue, Token};
use crate::upstream::body_readers::BodyReaders;
use crate::upstream::events::{AttemptKey, EventQueue};
use dahliaspoke::policy::EngineId;
use std::rc::Rc;

/// What becomes due at a point in time.
pub enum TimerEvent {
    /// A connection must be up by now, or has been idle.
    Connection(Token),
    /// An answer that has begun there must be complete.
    Answer(Token),
    /// An attempt that waits for its connection opens a second one.
    SecondConnect(AttemptKey),
    /// An attempt must have begun to go out by now.
    SendDeadline(AttemptKey),
    /// Nothing may begin to go to this engine any more.
    DrainDeadline(EngineId),
}

/// What all connections of this upstream have in common.
pub struct Shared {
    /// Sizes and times.
    pub limits: Rc<Limits>,
    /// Events that wait for the core.
    pub events: EventQueue,
    /// Deadlines of connections, attempts and engines.
    pub timers: TimerQueue<TimerEvent>,
    /// Attempts of which no byte went out before their connection ended; they are moved to another one.
    pub moved: Vec<PendingAttempt>,
    /// Connections that have come up, or have become idle: attempts that still wait for theirs may go there.
    pub idle: Vec<Token>,
    /// Attempts that went out complete on connections that have ended.
    pub sent_attempts: u64,
    /// Readers of large bodies.
    pub bodies: BodyReaders,
}

impl Shared {
    /// At the start: no event, timer or connection.
    pub fn new(body_store: Option<body_store::SharedBodyStore>, limits: Rc<Limits>) -> Self {
        Self {
            limits,
            events: EventQueue::default(),
            timers: TimerQueue::default(),
            moved: Vec::new(),
            idle: Vec::new(),
            sent_attempts: 0,
            bodies: BodyReaders::new(body_store),
        }
    }
}
