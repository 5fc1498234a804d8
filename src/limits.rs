//! Every size, count and time that bounds the daemon, computed once at start from the platform's configuration and handed
//! down read-only.
//!
//! Sizes are bytes and times are seconds unless a field says otherwise. Values that the configuration does not name are
//! constants of this module.

use dahliaspoke::settings::{list, num, object, part, Res};
use serde_json::{Map, Value};

const MB: f64 = 1024.0 * 1024.0;

/// Share of the descriptors that client connections may use.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.45;
/// Share of the descriptors that `MySQL` sessions may use.
const SESSION_DESCRIPTOR_SHARE: f64 = 0.1;
/// Connections of operators to the admin interface.
const ADMIN_CONNECTIONS: usize = 8;
/// Descriptors that the daemon needs for itself: listeners, signals, the directory, standard streams.
const RESERVED_DESCRIPTORS: usize = 24 + ADMIN_CONNECTIONS;
/// Share of the memory that request bodies may take which are not complete yet.
const INCOMPLETE_BODY_MEMORY_SHARE: f64 = 0.125;
/// Bounds of the largest body that one request may have in memory (bytes).
const BODY_BYTES: (f64, f64) = (16.0 * 1024.0, 128.0 * 1024.0);
/// Share of the engines' idle timeout after which the daemon closes first: a request must not cross their close.
const ENGINE_IDLE_SHARE: f64 = 0.8;
/// The second connection attempt starts after the settings' connect time divided by this. A connection that is not late is
/// up in a small part of that time, and the rest leaves room for the second.
const SECOND_CONNECT_DIVISOR: f64 = 4.0;
/// A connection attempt may take so many times the settings' connect time: late connections are as good as others.
const CONNECT_TIMEOUT_FACTOR: f64 = 8.0;
/// Subtracted from the drain grace for a slow iteration of the event loop (s).
const DRAIN_GRACE_MARGIN: f64 = 0.1;
/// The platform's patience after SIGTERM is the longest deadline, at most this (s), and 0.7 s more.
const RESTART_PATIENCE: f64 = 3.0;
/// The same bound for a process that is replaced by one beside it (s).
const UPGRADE_PATIENCE: f64 = 5.0;
/// How much of the 0.7 s after the longest deadline is used before open requests are given up (s).
const PATIENCE_MARGIN: f64 = 0.3;
/// Time that clients have to receive the last answers (s).
const FLUSH_TIMEOUT: f64 = 0.3;
/// In an upgrade, how long before `force_after` the process may exit once it owes nothing (s): by then the clients' idle
/// connections, kept for 4 s at most, are closed.
const UPGRADE_EXIT_MARGIN: f64 = 0.7;
/// How long connections that came before SIGTERM are served at least (s), without a process beside this one.
const GRACE_PERIOD: f64 = 1.0;

/// All limits of the daemon, by concern.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections of all listeners.
    pub clients: ClientLimits,
    /// Messages that are read whole into memory.
    pub http: HttpLimits,
    /// Bodies that go through the body store.
    pub bodies: BodyLimits,
    /// The `MySQL` listener.
    pub mysql: MysqlLimits,
    /// Results of engines.
    pub results: ResultLimits,
    /// Connections to engines.
    pub engines: EngineLimits,
    /// Sources of the endpoint list.
    pub discovery: DiscoveryLimits,
    /// The replicated store.
    pub store: StoreLimits,
    /// The admin interface.
    pub admin: AdminLimits,
    /// The event loop.
    pub event_loop: EventLoopLimits,
    /// Graceful shutdown.
    pub shutdown: ShutdownLimits,
}

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

/// Limits of the sources of the endpoint list.
#[derive(Clone, Debug)]
pub struct DiscoveryLimits {
    /// Interval between two DNS queries.
    pub poll_interval: f64,
    /// DNS queries that an answer may still come to: 8 s of them. Lists come late, and what they tell counts as notified 7 s
    /// after it happened in any case.
    pub max_outstanding_queries: usize,
    /// A DNS answer: as much as a datagram holds. The protocol says 8,000 bytes, some 75 engines.
    pub max_datagram_bytes: usize,
    /// An answer of Consul.
    pub max_consul_answer_bytes: usize,
    /// How long Consul holds a blocking query. What it answers is true as of the query, so with a quarter more, after which
    /// a silent agent is queried anew, two in a row must fit in the lease on the list.
    pub consul_wait: f64,
    /// Delay before Consul is tried again.
    pub consul_retry_delay: f64,
    /// Interval between two reads of the maintenance file, which another process may have changed.
    pub maintenance_poll_interval: f64,
    /// An engine that has left the list may be put into maintenance for so long: it may be restarting.
    pub departed_retention: f64,
}

/// Limits of the replicated store.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    /// Connections of members, operators and watchers, where the store's file does not say.
    pub max_connections: usize,
}

/// Limits of the admin interface.
#[derive(Clone, Debug)]
pub struct AdminLimits {
    /// Connections open at once.
    pub max_connections: usize,
}

/// Limits of the event loop.
#[derive(Clone, Debug)]
pub struct EventLoopLimits {
    /// A loop that is later than this was suspended.
    pub suspend_threshold: f64,
    /// After a suspension the loop waits for the directory before it admits anything, for so long at the most.
    pub catch_up_timeout: f64,
}

/// Times of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct ShutdownLimits {
    /// From SIGTERM until the program may exit: connections that came before are still served.
    pub grace_period: f64,
    /// From SIGTERM until all open requests are given up, with an answer. The platform's patience ends soon after.
    pub force_after: f64,
    /// From then on, how long clients have to receive their answers.
    pub flush_timeout: f64,
}

/// What the machine offers to this process.
struct Machine {
    descriptors: f64,
    memory_mb: f64,
}

impl Machine {
    /// `in_pairs`: two processes run side by side during an upgrade, and each plans with half of the machine.
    fn from_config(config: &Map<String, Value>, in_pairs: bool) -> Res<Self> {
        let none = Map::new();
        let machine = part(config, "limits", &none)?;
        let processes = if in_pairs { 2.0 } else { 1.0 };
        Ok(Self {
            descriptors: num(machine, "sockets", 1024.0)? / processes,
            memory_mb: num(machine, "memory_mb", 2048.0)? / processes,
        })
    }

    /// Descriptors for client connections. At least one, also where that is more than the share allows.
    fn client_descriptors(&self) -> f64 {
        (self.descriptors * CLIENT_DESCRIPTOR_SHARE).max(1.0)
    }
}

impl Limits {
    /// Computes the limits from the platform's configuration. `in_pairs`: an upgrade runs two processes side by side.
    ///
    /// # Errors
    /// Names the setting that has a wrong type.
    pub fn from_config(config: &Value, in_pairs: bool) -> Res<Self> {
        let config = object(config, "the configuration")?;
        let none = Map::new();
        let settings = part(config, "settings", &none)?;
        let machine = Machine::from_config(config, in_pairs)?;
        Ok(Self {
            clients: ClientLimits::new(&machine),
            http: HttpLimits::new(&machine),
            bodies: BodyLimits::without_store(),
            mysql: MysqlLimits::new(&machine),
            results: ResultLimits::new(),
            engines: EngineLimits::from_settings(settings, &machine)?,
            discovery: DiscoveryLimits::new(),
            store: StoreLimits { max_connections: 32 },
            admin: AdminLimits { max_connections: ADMIN_CONNECTIONS },
            event_loop: EventLoopLimits { suspend_threshold: 0.5, catch_up_timeout: 0.1 },
            shutdown: ShutdownLimits::from_settings(settings, in_pairs)?,
        })
    }

    /// Leaves to each upstream's connections what the listeners that are open do not need.
    pub fn share_out(&mut self, mysql: bool, store: bool) {
        let sessions = if mysql { self.mysql.max_sessions } else { 0 };
        let members = if store { self.store.max_connections } else { 0 };
        let upstreams = if mysql { 2 } else { 1 };
        self.engines.max_connections =
            self.engines.max_connections.saturating_sub(sessions + members) / upstreams;
    }
}

impl ClientLimits {
    fn new(machine: &Machine) -> Self {
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

impl HttpLimits {
    fn new(machine: &Machine) -> Self {
        let memory = machine.memory_mb * INCOMPLETE_BODY_MEMORY_SHARE * MB;
        let (least, most) = BODY_BYTES;
        Self {
            max_head_bytes: 16 << 10,
            max_header_fields: 100,
            max_body_bytes: (memory / machine.client_descriptors()).clamp(least, most) as usize,
        }
    }
}

impl BodyLimits {
    /// Without a body store no body goes there; its configuration file changes that.
    fn without_store() -> Self {
        Self { max_inline_bytes: 0, max_bytes: 0, stall_timeout: 0.0, upload_timeout: 0.0, retry_after: None }
    }
}

impl MysqlLimits {
    fn new(machine: &Machine) -> Self {
        Self {
            max_sessions: (machine.descriptors * SESSION_DESCRIPTOR_SHARE) as usize,
            session_idle_timeout: 28_800.0,
            max_statements: 256,
            max_result_packets: 65_536,
            max_result_bytes: 1 << 20,
        }
    }
}

impl ResultLimits {
    fn new() -> Self {
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

impl EngineLimits {
    fn from_settings(settings: &Map<String, Value>, machine: &Machine) -> Res<Self> {
        let none = Map::new();
        let limits = part(settings, "limits", &none)?;
        let rules = part(settings, "rules", &none)?;
        let connect = num(limits, "connectTimeout", 0.25)?;
        let descriptors = (machine.descriptors - machine.client_descriptors()) as usize;
        Ok(Self {
            max_unwritten_bytes: 256 << 10,
            max_queued_body_bytes: 64 << 10,
            max_moves: 4,
            max_streams: num(limits, "streamsPerConn", 100.0)?.max(1.0) as usize,
            max_connections_per_engine: 128,
            max_mysql_connections_per_engine: 16,
            max_connections: descriptors.saturating_sub(RESERVED_DESCRIPTORS),
            connection_wait: connect,
            second_connect_after: connect / SECOND_CONNECT_DIVISOR,
            connect_timeout: connect * CONNECT_TIMEOUT_FACTOR,
            max_spare_connects: 2,
            idle_timeout: num(limits, "connIdle", 15.0)? * ENGINE_IDLE_SHARE,
            late_answer_window: 30.0,
            drain_grace: (num(rules, "drainGrace", 1.0)? - DRAIN_GRACE_MARGIN).max(0.0),
        })
    }
}

impl DiscoveryLimits {
    fn new() -> Self {
        Self {
            poll_interval: 0.2,
            max_outstanding_queries: 40,
            max_datagram_bytes: 65_535,
            max_consul_answer_bytes: 1 << 20,
            consul_wait: 2.0,
            consul_retry_delay: 1.0,
            maintenance_poll_interval: 0.2,
            departed_retention: 60.0,
        }
    }
}

impl ShutdownLimits {
    /// Before the platform's own patience ends: the longest deadline, up to a bound, and a little more.
    fn from_settings(settings: &Map<String, Value>, in_pairs: bool) -> Res<Self> {
        let mut longest_deadline: f64 = 0.0;
        for class in list(settings, "classes")? {
            longest_deadline = longest_deadline.max(num(object(class, "a class")?, "giveUp", 30.0)?);
        }
        let patience = if in_pairs { UPGRADE_PATIENCE } else { RESTART_PATIENCE };
        let force_after = longest_deadline.min(patience) + PATIENCE_MARGIN;
        let grace_period = if in_pairs { force_after - UPGRADE_EXIT_MARGIN } else { GRACE_PERIOD };
        Ok(Self { grace_period, force_after, flush_timeout: FLUSH_TIMEOUT })
    }
}
