//! Limits of engines: connections to them and their results.

use super::machine::Machine;
use super::ADMIN_CONNECTIONS;
use dahliaspoke::settings::{number, object_field, SettingsError};
use serde_json::{Map, Value};

/// Descriptors that the daemon needs for itself: listeners, signals, the directory, standard streams.
const RESERVED_DESCRIPTORS: usize = 24 + ADMIN_CONNECTIONS;
/// Share of the engines' idle timeout after which the daemon closes first: a request must not cross their close.
const ENGINE_IDLE_SHARE: f64 = 0.8;
/// The second connection attempt starts after the settings' connect time divided by this. A connection that is not late is
/// up in a small part of that time, and the rest leaves room for the second.
const SECOND_CONNECT_DIVISOR: f64 = 4.0;
/// A connection attempt may take so many times the settings' connect time: late connections are as good as others.
const CONNECT_TIMEOUT_FACTOR: f64 = 8.0;
/// Subtracted from the drain grace for a slow iteration of the event loop (s).
const DRAIN_GRACE_MARGIN: f64 = 0.1;

/// Limits of connections to engines.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    /// Bytes that one connection may leave unwritten; beyond it nothing more is queued.
    pub max_unwritten_bytes: usize,
    /// Bytes of a large body that are queued to one engine before more are taken from the body store.
    pub max_queued_body_bytes: usize,
    /// Times that an attempt of which nothing was sent is moved from a connection that ended to another.
    pub max_moves: usize,
    /// Attempts on one connection.
    pub max_streams: usize,
    /// Connections to one engine.
    pub max_connections_per_engine: usize,
    /// `MySQL` connections to one engine.
    pub max_mysql_connections_per_engine: usize,
    /// Connections of one upstream to all engines.
    pub max_connections: usize,
    /// An attempt that waits for a connection to its engine is given up after this.
    pub connection_wait: f64,
    /// It opens a second connection after this.
    pub second_connect_after: f64,
    /// A connection that is not up by then never comes up; those that come up late serve later attempts.
    pub connect_timeout: f64,
    /// Connections to one engine that no attempt waits for any more and that may still come up.
    pub max_spare_connects: usize,
    /// A connection without attempts is closed after this, before the engine does.
    pub idle_timeout: f64,
    /// An attempt that was abandoned bars its id from its connection for so long: a late answer must not be taken for one to
    /// the next attempt.
    pub late_answer_window: f64,
    /// From being notified that an engine drains until nothing new may be sent to it.
    pub drain_grace: f64,
}

impl EngineLimits {
    pub(super) fn from_settings(
        settings: &Map<String, Value>,
        machine: &Machine,
    ) -> Result<Self, SettingsError> {
        let limits = object_field(settings, "limits")?;
        let rules = object_field(settings, "rules")?;
        let connect = number(limits, "connectTimeout", 0.25)?;
        let descriptors = (machine.descriptors - machine.client_descriptors()) as usize;
        Ok(Self {
            max_unwritten_bytes: 256 << 10,
            max_queued_body_bytes: 64 << 10,
            max_moves: 4,
            max_streams: number(limits, "streamsPerConn", 100.0)?.max(1.0) as usize,
            max_connections_per_engine: 128,
            max_mysql_connections_per_engine: 16,
            max_connections: descriptors.saturating_sub(RESERVED_DESCRIPTORS),
            connection_wait: connect,
            second_connect_after: connect / SECOND_CONNECT_DIVISOR,
            connect_timeout: connect * CONNECT_TIMEOUT_FACTOR,
            max_spare_connects: 2,
            idle_timeout: number(limits, "connIdle", 15.0)? * ENGINE_IDLE_SHARE,
            late_answer_window: 30.0,
            drain_grace: (number(rules, "drainGrace", 1.0)? - DRAIN_GRACE_MARGIN).max(0.0),
        })
    }
}

/// Limits of engines' results.
#[derive(Clone, Debug)]
pub struct ResultLimits {
    /// Rows of one result.
    pub max_rows: usize,
    /// Rows of one page.
    pub page_rows: usize,
    /// Pages of one result: full ones are eight.
    pub max_pages: usize,
    /// One answer of an engine as it is framed.
    pub max_frame_bytes: usize,
    /// From the first byte of an answer, or from one page, until the rest or the next page must be here.
    pub stall_timeout: f64,
    /// An answer that comes so near its deadline came because of it.
    pub deadline_margin: f64,
}

impl ResultLimits {
    pub(super) fn new() -> Self {
        Self {
            max_rows: 48_000,
            page_rows: 6_000,
            max_pages: 64,
            max_frame_bytes: 16 << 10,
            stall_timeout: 0.5,
            deadline_margin: 0.05,
        }
    }
}
