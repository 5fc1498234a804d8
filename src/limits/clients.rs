//! Limits on clients: their connections, requests, request bodies and `MySQL` sessions.

use super::machine::Machine;

/// Bytes per megabyte.
const MEGABYTE: f64 = 1024.0 * 1024.0;

/// Share of the descriptors that `MySQL` sessions may use.
const SESSION_DESCRIPTOR_SHARE: f64 = 0.1;
/// Share of the memory that the buffers of HTTP connections may occupy.
const HTTP_BUFFER_MEMORY_SHARE: f64 = 0.15;
/// Share of the memory that the buffers of `MySQL` sessions may occupy.
const MYSQL_BUFFER_MEMORY_SHARE: f64 = 0.1;
/// Share of the memory that prepared statements may occupy, in all sessions together.
const STATEMENT_MEMORY_SHARE: f64 = 0.1;
/// Lower bound of the answers that one client may leave unread before it is no longer read from (bytes).
const MIN_UNREAD_ANSWER_BYTES: f64 = 8.0 * 1024.0;
/// Upper bound of the same (bytes).
const MAX_UNREAD_ANSWER_BYTES: f64 = 64.0 * 1024.0;
/// Share of the memory that incomplete request bodies may occupy.
const INCOMPLETE_BODY_MEMORY_SHARE: f64 = 0.125;
/// Lower bound of the limit on the body that one request may have in memory (bytes).
const MIN_BODY_BYTES: f64 = 16.0 * 1024.0;
/// Upper bound of that limit (bytes).
const MAX_BODY_BYTES: f64 = 128.0 * 1024.0;

/// Limits on client connections.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Maximum number of open connections. At the limit, an idle connection is closed to admit a new one;
    /// otherwise the new one waits in the kernel's backlog.
    pub max_connections: usize,
    /// Time limit for completing a request or a login, from its first byte or from connecting.
    pub request_timeout: f64,
    /// A connection younger than this is not closed to admit a new one.
    pub min_connection_age: f64,
    /// A connection without an open request is closed after this time.
    pub idle_timeout: f64,
    /// How long the client of a rejected connection has to read its answer before the connection is closed.
    pub linger_timeout: f64,
    /// A client that leaves more bytes of its answers than this unread is not read from.
    pub max_unread_answer_bytes: usize,
    /// Maximum memory of the buffers of all HTTP connections: requests that are arriving and answers that are not
    /// read. Beyond it, the connection that occupies the most is closed.
    pub max_buffered_bytes: usize,
    /// Maximum time spent on a request, however long its client would wait.
    pub max_request_time: f64,
    /// Maximum number of connections accepted in one iteration of the event loop.
    pub accept_batch: usize,
    /// How long accepting pauses after the system lacked a descriptor or memory for a new connection.
    pub accept_backoff: f64,
}

impl ClientLimits {
    pub(super) fn new(machine: &Machine) -> Self {
        let max_buffered_bytes = machine.memory_mb * HTTP_BUFFER_MEMORY_SHARE * MEGABYTE;
        Self {
            max_connections: machine.client_descriptors() as usize,
            request_timeout: 2.0,
            min_connection_age: 0.03,
            idle_timeout: 6.0,
            linger_timeout: 1.0,
            max_unread_answer_bytes: (max_buffered_bytes / machine.client_descriptors())
                .clamp(MIN_UNREAD_ANSWER_BYTES, MAX_UNREAD_ANSWER_BYTES)
                as usize,
            max_buffered_bytes: max_buffered_bytes as usize,
            max_request_time: 120.0,
            accept_batch: 64,
            accept_backoff: 0.05,
        }
    }
}

/// Limits on messages that are read into memory as a whole, on every listener.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Maximum size of the request line and headers of one request.
    pub max_head_bytes: usize,
    /// Maximum number of header fields of one request.
    pub max_header_fields: usize,
    /// Maximum size of the body of one request.
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

/// Limits on bodies that are received into the body store.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// A body larger than this is received into the body store, if there is one.
    pub max_inline_bytes: usize,
    /// The largest body that the store accepts; 0 without a store.
    pub max_bytes: usize,
    /// An incoming body is abandoned after this long without a byte.
    pub stall_timeout: f64,
    /// Time limit for receiving a complete body, from the end of the request's head.
    pub upload_timeout: f64,
    /// Retry-After of rejected uploads; `None` where the settings do not allow it.
    pub retry_after: Option<f64>,
}

impl BodyLimits {
    /// Limits without a body store, into which no body is received. They are overwritten if the store's
    /// configuration file is present.
    pub(super) fn without_store() -> Self {
        Self { max_inline_bytes: 0, max_bytes: 0, stall_timeout: 0.0, upload_timeout: 0.0, retry_after: None }
    }
}

/// Limits of the `MySQL` listener.
#[derive(Clone, Debug)]
pub struct MysqlLimits {
    /// Maximum number of open sessions.
    pub max_sessions: usize,
    /// A session without an open request is closed after this time.
    pub session_idle_timeout: f64,
    /// A session whose client reads none of its answers for this long, while it has sent further commands, is
    /// closed.
    pub write_timeout: f64,
    /// Maximum number of prepared statements of one session, and of one connection to an engine.
    pub max_statements: usize,
    /// Maximum memory of the buffers of all sessions. Beyond it, the session that occupies the most is closed.
    pub max_buffered_bytes: usize,
    /// Maximum memory of the prepared statements of all sessions.
    pub max_statement_bytes: usize,
    /// Maximum number of packets in one result.
    pub max_result_packets: usize,
    /// Maximum size of one result.
    pub max_result_bytes: usize,
}

impl MysqlLimits {
    pub(super) fn new(machine: &Machine) -> Self {
        Self {
            max_sessions: (machine.descriptors * SESSION_DESCRIPTOR_SHARE) as usize,
            session_idle_timeout: 28_800.0,
            write_timeout: 60.0,
            max_statements: 256,
            max_buffered_bytes: (machine.memory_mb * MYSQL_BUFFER_MEMORY_SHARE * MEGABYTE) as usize,
            max_statement_bytes: (machine.memory_mb * STATEMENT_MEMORY_SHARE * MEGABYTE) as usize,
            max_result_packets: 65_536,
            max_result_bytes: 1 << 20,
        }
    }
}
