//! State shared by all connections of this upstream.

use super::attempt::PendingAttempt;
use crate::body_store;
use crate::limits::Limits;
use crate::net::{TimerQueue, Token};
use crate::upstream::body_readers::BodyReaders;
use crate::upstream::events::{AttemptKey, EventQueue};
use dahliaspoke::policy::EngineId;
use std::rc::Rc;

/// The events that timers trigger.
pub enum TimerEvent {
    /// The time to establish a connection is over, or the connection may have been idle too long.
    IdleDeadline(Token),
    /// The next reply on this connection must be complete by now.
    ReplyDeadline(Token),
    /// The attempt has waited long enough for its connection that a second one is opened.
    SecondConnect(AttemptKey),
    /// The first byte of the attempt must have been written by now.
    SendDeadline(AttemptKey),
    /// No send to this engine may start any more.
    DrainDeadline(EngineId),
}

/// State shared by all connections of this upstream.
pub struct Shared {
    /// Size and time limits.
    pub limits: Rc<Limits>,
    /// Events queued for the core.
    pub events: EventQueue,
    /// Deadlines of connections, attempts and engines.
    pub timers: TimerQueue<TimerEvent>,
    /// Attempts of which no byte was written before their established connection ended; they are moved to
    /// another.
    pub moved: Vec<PendingAttempt>,
    /// Connections that have been established or have become idle: they can run attempts that wait for
    /// another connection.
    pub idle: Vec<Token>,
    /// Attempts that were written completely on connections that have ended.
    pub sent_attempts: u64,
    /// Readers of large bodies.
    pub bodies: BodyReaders,
}

impl Shared {
    /// Creates the state of an upstream without events, timers and connections.
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
