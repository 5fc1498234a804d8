//! What all connections of this upstream have in common.

use crate::body_store;
use crate::limits::Limits;
use crate::mysql::config::Mysql;
use crate::net::{TimerQueue, Token};
use crate::upstream::body_readers::BodyReaders;
use crate::upstream::events::EventQueue;
use dahliaspoke::policy::EngineId;
use std::rc::Rc;

/// What becomes due at a point in time.
pub enum TimerEvent {
    /// A connection must be ready by now, or has been idle.
    Connection(Token),
    /// Nothing may begin to go to this engine any more.
    DrainDeadline(EngineId),
}

/// What all connections of this upstream have in common.
pub struct Shared {
    /// Sizes and times.
    pub limits: Rc<Limits>,
    /// Account and port at the engines.
    pub config: Rc<Mysql>,
    /// Events that wait for the core.
    pub events: EventQueue,
    /// Deadlines of connections and engines.
    pub timers: TimerQueue<TimerEvent>,
    /// Attempts that went out complete on connections that have ended.
    pub sent_attempts: u64,
    /// Readers of large bodies.
    pub bodies: BodyReaders,
}

impl Shared {
    /// At the start: no event, timer or connection.
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
