//! Limits of clients: their connections, requests, request bodies and `MySQL` sessions.

use super::machine::Machine;

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// Share of the descriptors that `MySQL` sessions may use.
const SESSION_DESCRIPTOR_SHARE: f64 = 0.1;
/// Share of the memory that request bodies may take which are not complete yet.
const INCOMPLETE_BODY_MEMORY_SHARE: f64 = 0.125;
/// Least bound of a body that one request may have in memory (bytes).
const MIN_BODY_BYTES: f64 = 16.0 * 1024.0;
/// Greatest bound of such a body (bytes).
const MAX_BODY_BYTES: f64 = 128.0 * 1024.0;

/// Limits of client connections.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Connections open at once. For a further one an idle connection is closed, or it waits in the kernel's backlog.
    pub max_connections: usize,
    /// From its first byte, or from connecting, until a request or a login must be complete.
    pub request_timeout: f64,
    /// A new connection is not closed to make room before this age.
    pub min_connection_age: f64,
    /// A connection without an open request is closed after this.
    pub idle_timeout: f64,
    /// A rejected connection that is being closed has this long to read its answer.
    pub linger_timeout: f64,
    /// Answer bytes that one client may leave unread.
    pub max_unread_answer_bytes: usize,
    /// The longest that a request is worked on, however long its client would wait.
    pub max_request_time: f64,
    /// Connections accepted in one iteration of the event loop.
    pub accept_batch: usize,
    /// After the system had no descriptor or memory for a further connection, none is accepted for so long.
    pub accept_backoff: f64,
}

impl ClientLimits {
    pub(super) fn new(machine: &Machine) -> Self {
        Self {
            max_connections: machine.client_descriptors() as usize,
            request_timeout: 2.0,
            min_connection_age: 0.03,
            idle_timeout: 6.0,
            linger_timeout: 1.0,
            max_unread_answer_bytes: 64 << 10,
            max_request_time: 120.0,
            accept_batch: 64,
            accept_backoff: 0.05,
        }
    }
}

/// Limits of messages that are read whole into memory, on every listener.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Request line and headers of one request.
    pub max_head_bytes: usize,
    /// Header fields of one request.
    pub max_header_fields: usize,
    /// Body of one request.
    pub max_body_bytes: usize,
}

impl HttpLimits {
    pub(super) fn new(machine: &Machine) -> Self {
        let memory = machine.memory_mb * INCOMPLETE_BODY_MEMORY_SHARE * MEGABYTE;
        Self {
            max_head_bytes: 16 << 10,
            max_header_fields: 100,
            max_body_bytes: (memory / machine.client_descriptors()).clamp(MIN_BODY_BYTES, MAX_BODY_BYTES)
                as usize,
        }
    }
}

/// Limits of bodies that go through the body store.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// A body above this goes through the body store, where there is one.
    pub max_inline_bytes: usize,
    /// The largest body that the store takes; 0 without a store.
    pub max_bytes: usize,
    /// A body that is coming in is given up after so long without a byte.
    pub stall_timeout: f64,
    /// From the end of a request's head until its whole body must be here.
    pub upload_timeout: f64,
    /// Retry-After of rejected uploads; `None` where the settings do not allow it.
    pub retry_after: Option<f64>,
}

impl BodyLimits {
    /// Without a body store no body goes there; its configuration file changes that.
    pub(super) fn without_store() -> Self {
        Self { max_inline_bytes: 0, max_bytes: 0, stall_timeout: 0.0, upload_timeout: 0.0, retry_after: None }
    }
}

/// Limits of the `MySQL` listener.
#[derive(Clone, Debug)]
pub struct MysqlLimits {
    /// Sessions open at once.
    pub max_sessions: usize,
    /// A session without an open request is closed after this.
    pub session_idle_timeout: f64,
    /// Prepared statements of one session, and of one connection to an engine.
    pub max_statements: usize,
    /// Packets of one result.
    pub max_result_packets: usize,
    /// Bytes of one result.
    pub max_result_bytes: usize,
}

impl MysqlLimits {
    pub(super) fn new(machine: &Machine) -> Self {
        Self {
            max_sessions: (machine.descriptors * SESSION_DESCRIPTOR_SHARE) as usize,
            session_idle_timeout: 28_800.0,
            max_statements: 256,
            max_result_packets: 65_536,
            max_result_bytes: 1 << 20,
        }
    }
}
