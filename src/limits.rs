//! Every size, count and time that bounds the daemon, filled once at start and handed down.

use dahliaspoke::settings::{list, num, object, part, Res};
use serde_json::Value;

const MB: f64 = 1024.0 * 1024.0;

/// Sizes are bytes, times are seconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Client connections held at once; for a further one an idle one is closed, or it waits in the kernel's
    /// line.
    pub clients: usize,
    /// Request line and headers of one call.
    pub head: usize,
    /// Header fields of one call.
    pub fields: usize,
    /// Body of one call.
    pub body: usize,
    /// A body above this goes through the spool, where there is one.
    pub inline: usize,
    /// The largest that goes there; 0 where there is none.
    pub large: usize,
    /// A body that is coming in, and of which no byte comes for so long, is given up.
    pub stall: f64,
    /// From a body's head until all of it must be here.
    pub upload: f64,
    /// When a client that is turned away may come back; none where the settings allow no such word.
    pub come_back: Option<f64>,
    /// The longest that a request is worked on, however long its client would wait.
    pub allow: f64,
    /// From its first byte, or from connecting, until a call or a login must be here whole.
    pub call: f64,
    /// A new connection is not closed to make room before this.
    pub young: f64,
    /// A client connection without an open request is closed after this.
    pub client_idle: f64,
    /// A refused connection that is being closed gets this long to read its answer.
    pub linger: f64,
    /// Answer bytes that one client may leave unread.
    pub unread: usize,
    /// MySQL sessions held at once.
    pub sessions: usize,
    /// A MySQL session without an open request is closed after this.
    pub session_idle: f64,
    /// Prepared statements of one session, and of one connection to an engine.
    pub statements: usize,
    /// Packets of one MySQL result.
    pub rows: usize,
    /// Bytes of one MySQL result.
    pub table: usize,
    /// An answer so near its deadline came because of it.
    pub late: f64,
    /// Rows of one result.
    pub result: usize,
    /// Rows of one page.
    pub page: usize,
    /// Pages of one result: full ones are eight.
    pub pages: usize,
    /// One answer of an engine as it is framed.
    pub frame: usize,
    /// Bytes that one engine's connection may leave unwritten; beyond it nothing more is queued.
    pub unwritten: usize,
    /// Bytes of a large body that are queued to one engine before more are taken from the spool.
    pub chunks: usize,
    /// From an engine's first byte of an answer, or from one page, until the rest or the next must be here.
    pub answer: f64,
    /// Times that a call which has not gone out is moved from a connection that ended to another.
    pub moves: usize,
    /// Attempts on one engine connection.
    pub streams: usize,
    /// Connections to one engine.
    pub pool: usize,
    /// MySQL connections to one engine.
    pub engine_sessions: usize,
    /// Connections of one link to all engines.
    pub lines: usize,
    /// A call that waits for a connection to its engine is given up after this.
    pub connect: f64,
    /// It tries a second connection after this.
    pub redial: f64,
    /// A connection that is not up by then never comes up; those that come late serve later calls.
    pub dial: f64,
    /// Connections to one engine that no call waits for any more and that may still come up.
    pub spare_dials: usize,
    /// An engine connection without attempts is closed after this, before the engine does.
    pub engine_idle: f64,
    /// A call that was dropped bars its id from its connection for so long: a late answer must not be taken
    /// for one to the next attempt.
    pub echo: f64,
    /// From being told that an engine drains until nothing may begin to go there.
    pub drain_grace: f64,
    /// Pause between two queries to the directory.
    pub poll: f64,
    /// Queries to the directory that an answer may still come to: 8 s of them. Lists come late, and what they tell counts
    /// as told 7 s after it happened in any case.
    pub queries: usize,
    /// An answer of the directory: as much as a datagram holds. The protocol says 8,000 bytes, some 75 engines.
    pub datagram: usize,
    /// An answer of Consul.
    pub list: usize,
    /// How long Consul holds a blocking query. What it tells is true as of the question, so with a quarter more, after
    /// which a silent agent is asked anew, two in a row must fit in the lease on the list.
    pub watch: f64,
    /// Pause before Consul is tried again.
    pub again: f64,
    /// Connections of the store, of members, operators and watchers, where its file does not say.
    pub replicas: usize,
    /// Pause between two looks at what another process has left out.
    pub look: f64,
    /// A loop that is later than this has slept.
    pub slept: f64,
    /// One that slept hears the directory before it admits anything, for so long at the most.
    pub catch_up: f64,
    /// An engine that has left the list may be left out by operators for so long: it may be restarting.
    pub remembered: f64,
    /// Operators' connections held at once.
    pub callers: usize,
    /// After the system had no descriptor or memory for a further connection, none is taken for so long.
    pub accept_pause: f64,
    /// Connections taken at one turn of the loop.
    pub accepts: usize,
    /// From SIGTERM until the program may end: connections that came before are still served.
    pub grace: f64,
    /// From SIGTERM until all that is open is given up, with an answer: the platform's patience ends soon after.
    pub give_up: f64,
    /// From then on clients have so long to take their answers.
    pub last_answers: f64,
}

/// Share of the descriptors that clients may hold.
const CLIENT_SHARE: f64 = 0.45;
/// The same for MySQL sessions.
const SESSION_SHARE: f64 = 0.1;
/// Descriptors of the daemon's own: listeners, signals, the directory, standard streams.
const OWN: usize = 24 + CALLERS;
/// Operators' connections.
const CALLERS: usize = 8;
/// The platform gives a process so long after SIGTERM (s), or the longest deadline if that is less ...
const RESTART_MOST: f64 = 3.0;
/// ... an old one beside its successor so long ...
const UPGRADE_MOST: f64 = 5.0;
/// ... and 0.7 s more, of which it uses so much (s).
const HANDOVER_SPARE: f64 = 0.3;
/// ... and then so much again, while the last answers go out (s).
const LAST_ANSWERS: f64 = 0.3;
/// Before that, one that owes nothing may end: its clients' idle connections, of 4 s at most, are over (s).
const ANSWERS_OUT: f64 = 0.7;
/// Share of the memory that calls may take which are not whole yet.
const BODY_SHARE: f64 = 0.125;
/// Share of the engines' idle limit after which the daemon closes first: a send must not cross their close.
const IDLE_SHARE: f64 = 0.8;
/// The part of the time to connect after which a second connection races the first: one that is not late is up in a
/// small part of that time, or the settings' time would leave no room for it.
const REDIAL_PART: f64 = 4.0;
/// So many times that time a connection may take to come up: some come late, and are as good as others.
const DIAL_TIMES: f64 = 8.0;
/// Taken off the drain grace for a slow turn of the loop.
const GRACE_MARGIN: f64 = 0.1;

impl Limits {
    /// Leaves to each link's connections to engines what the doors that are open do not need.
    pub fn share_out(&mut self, mysql: bool, store: bool) {
        let taken = if mysql { self.sessions } else { 0 } + if store { self.replicas } else { 0 };
        self.lines = self.lines.saturating_sub(taken) / if mysql { 2 } else { 1 };
    }

    /// From the platform's configuration; what it does not name has a value here.
    /// Where an upgrade runs two processes beside each other, each plans with half of the machine.
    pub fn from_config(config: &Value, in_pairs: bool) -> Res<Self> {
        let config = object(config, "the configuration")?;
        let none = serde_json::Map::new();
        let settings = part(config, "settings", &none)?;
        let (held, rules) = (part(settings, "limits", &none)?, part(settings, "rules", &none)?);
        let machine = part(config, "limits", &none)?;
        let part_of = if in_pairs { 2.0 } else { 1.0 };
        let sockets = num(machine, "sockets", 1024.0)? / part_of;
        let memory = num(machine, "memory_mb", 2048.0)? / part_of;
        let mut longest: f64 = 0.0;
        for class in list(settings, "classes")? {
            longest = longest.max(num(object(class, "a class")?, "giveUp", 30.0)?);
        }
        // Before the platform's own patience ends: the longest deadline, up to a bound, and a little more.
        let give_up = longest.min(if in_pairs { UPGRADE_MOST } else { RESTART_MOST }) + HANDOVER_SPARE;
        let connect = num(held, "connectTimeout", 0.25)?;
        let clients = (sockets * CLIENT_SHARE).max(1.0);
        Ok(Self {
            clients: clients as usize,
            head: 16 << 10,
            fields: 100,
            body: (memory * BODY_SHARE * MB / clients).clamp(16.0 * 1024.0, 128.0 * 1024.0) as usize,
            inline: 0,
            large: 0,
            stall: 0.0,
            upload: 0.0,
            come_back: None,
            allow: 120.0,
            call: 2.0,
            young: 0.03,
            client_idle: 6.0,
            linger: 1.0,
            unread: 64 << 10,
            sessions: (sockets * SESSION_SHARE) as usize,
            session_idle: 28_800.0,
            statements: 256,
            rows: 65_536,
            table: 1 << 20,
            late: 0.05,
            result: 48_000,
            page: 6_000,
            pages: 64,
            frame: 16 << 10,
            unwritten: 256 << 10,
            chunks: 64 << 10,
            answer: 0.5,
            moves: 4,
            streams: num(held, "streamsPerConn", 100.0)?.max(1.0) as usize,
            pool: 128,
            engine_sessions: 16,
            lines: ((sockets - clients) as usize).saturating_sub(OWN),
            connect,
            redial: connect / REDIAL_PART,
            spare_dials: 2,
            dial: connect * DIAL_TIMES,
            engine_idle: num(held, "connIdle", 15.0)? * IDLE_SHARE,
            echo: 30.0,
            drain_grace: (num(rules, "drainGrace", 1.0)? - GRACE_MARGIN).max(0.0),
            poll: 0.2,
            queries: 40,
            datagram: 65_535,
            list: 1 << 20,
            watch: 2.0,
            again: 1.0,
            replicas: 32,
            look: 0.2,
            slept: 0.5,
            catch_up: 0.1,
            remembered: 60.0,
            callers: CALLERS,
            accept_pause: 0.05,
            accepts: 64,
            grace: if in_pairs { give_up - ANSWERS_OUT } else { 1.0 },
            give_up,
            last_answers: LAST_ANSWERS,
        })
    }
}
