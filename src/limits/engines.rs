//! Limits on connections to engines and on their results.

use super::machine::Machine;
use super::ADMIN_CONNECTIONS;
use dahliaspoke::settings::{number, object_field, SettingsError};
use serde_json::{Map, Value};

/// Descriptors that the daemon needs for itself: listeners, signals, the directory, standard streams.
const RESERVED_DESCRIPTORS: usize = 24 + ADMIN_CONNECTIONS;
/// Share of the engines' idle timeout after which the daemon closes a connection first, so that no request
/// is under way when the engine closes it.
const ENGINE_IDLE_SHARE: f64 = 0.8;
/// The second connection attempt starts after the settings' connect time divided by this. An undelayed
/// connection is established in a small part of that time, and the rest of the connect time is enough for the
/// second one.
const SECOND_CONNECT_DIVISOR: f64 = 4.0;
/// A connection attempt may take this many times the settings' connect time, because a connection that is
/// established late is as good as any other.
const CONNECT_TIMEOUT_FACTOR: f64 = 8.0;
/// Subtracted from the drain grace to allow for a slow iteration of the event loop (s).
const DRAIN_GRACE_MARGIN: f64 = 0.1;

/// Limits on connections to engines.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    /// Maximum number of unwritten bytes of one connection; beyond it nothing more is queued.
    pub max_unwritten_bytes: usize,
    /// Bytes of a large body that are queued to one engine before more are read from the body store.
    pub max_queued_body_bytes: usize,
    /// How many times an unsent attempt is moved to another connection after its own has closed.
    pub max_moves: usize,
    /// Maximum number of concurrent attempts on one connection.
    pub max_streams: usize,
    /// Maximum number of connections to one engine.
    pub max_connections_per_engine: usize,
    /// Maximum number of `MySQL` connections to one engine.
    pub max_mysql_connections_per_engine: usize,
    /// Maximum number of connections of one upstream to all engines.
    pub max_connections: usize,
    /// An attempt that waits for a connection to its engine gives up after this time.
    pub connection_wait: f64,
    /// A waiting attempt opens a second connection after this time.
    pub second_connect_after: f64,
    /// A connection that is not established after this time is assumed to have failed; one that is
    /// established late serves later attempts.
    pub connect_timeout: f64,
    /// Maximum number of connections to one engine that are still being established although no attempt waits
    /// for them any more.
    pub max_spare_connects: usize,
    /// A connection without attempts is closed after this time, before the engine closes it.
    pub idle_timeout: f64,
    /// How long the id of an abandoned attempt is barred from its connection, so that a late answer cannot be
    /// mistaken for one to the next attempt.
    pub late_answer_window: f64,
    /// How long new attempts may still be sent to an engine after the notification that it drains.
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

/// Limits on engines' results.
#[derive(Clone, Debug)]
pub struct ResultLimits {
    /// Maximum size of one result, as the protocol specifies.
    pub max_bytes: usize,
    /// Maximum size of one page of a result, as the protocol specifies.
    pub max_page_bytes: usize,
    /// Maximum number of pages in one result. Eight full pages reach `max_bytes`; pages need not be full.
    pub max_pages: usize,
    /// Maximum size of one framed answer of an engine.
    pub max_frame_bytes: usize,
    /// Time limit for the rest of an answer after its first byte, or for the next page after a page.
    pub stall_timeout: f64,
    /// A failure that is answered this close to the request's deadline is reported as a timeout.
    pub deadline_margin: f64,
}

impl ResultLimits {
    pub(super) fn new() -> Self {
        Self {
            max_bytes: 48_000,
            max_page_bytes: 6_000,
            max_pages: 64,
            max_frame_bytes: 16 << 10,
            stall_timeout: 0.5,
            deadline_margin: 0.05,
        }
    }
}
