//! State shared by all connections of this upstream.

use crate::body_store;
use crate::limits::Limits;
use crate::mysql::config::Mysql;
use crate::net::{TimerQueue, Token};
use crate::upstream::body_readers::BodyReaders;
use crate::upstream::events::EventQueue;
use dahliaspoke::policy::EngineId;
use std::rc::Rc;

/// The events that timers trigger.
pub enum TimerEvent {
    /// The time for a connection to become ready is over, or the connection may have been idle too long.
    IdleDeadline(Token),
    /// No send to this engine may start any more.
    DrainDeadline(EngineId),
}

/// State shared by all connections of this upstream.
pub struct Shared {
    /// Size and time limits.
    pub limits: Rc<Limits>,
    /// The account and port at the engines.
    pub config: Rc<Mysql>,
    /// Events queued for the core.
    pub events: EventQueue,
    /// Deadlines of connections and engines.
    pub timers: TimerQueue<TimerEvent>,
    /// Attempts that were written completely on connections that have ended.
    pub sent_attempts: u64,
    /// Readers of large bodies.
    pub bodies: BodyReaders,
}

impl Shared {
    /// Creates the state of an upstream without events, timers and connections.
    pub fn new(
        config: Rc<Mysql>,
        body_store: Option<body_store::SharedBodyStore>,
        limits: Rc<Limits>,
    ) -> Self {
        Self {
            limits,
            config,
            events: EventQueue::default(),
            timers: TimerQueue::default(),
            sent_attempts: 0,
            bodies: BodyReaders::new(body_store),
        }
    }
}
