//! The `MySQL` front: sessions in, results and errors out. Each execution is a request of its own; nothing of
//! a session lives on an engine.

mod large;
mod setup;

use super::server::{ClientConnection, EvictionRank, ListenerState, Server};
use super::sql;
use crate::body_store;
use crate::core::{Answer, Listener, QueryPayload, Request};
use crate::limits::Limits;
use crate::mysql::auth;
use crate::mysql::config::Mysql;
use crate::mysql::packet::{self, capability, column, command, eof, error, ok, Malformed, Reader, Res};
use crate::net::{BufferedStream, Connection, Flow, Poller, Time, Token};
use dahliaspoke::policy::{RequestId, Settings};
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::spool::Wake;
use large::{Large, Parameter, Pending};
use setup::Plan;
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

/// What clients are told: one whose protocol this is, and who speaks it.
const VERSION: &str = "8.0.36-dahliaspoke";

/// What all sessions have in common.
pub struct Shared {
    state: ListenerState,
    config: Rc<Mysql>,
    /// Name and give-up time (seconds) by class.
    classes: Vec<(Arc<str>, f64)>,
    requests: u64,
    /// Keeps what is large, where the deployment has that.
    spool: Option<body_store::Shared>,
    /// The session that each body comes in by.
    uploads: HashMap<BodyId, Token>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// The client's answer to the greeting is due.
    Greeted,
    /// The client was asked to use the plugin that is spoken here.
    Switched,
    Ready,
}

/// A statement as the file and its hints have it.
#[derive(Clone)]
struct Statement {
    text: Arc<[u8]>,
    class: usize,
    tables: i64,
    deadline: f64,
    estimate: Option<f64>,
    memory: Option<f64>,
    key: Option<Key>,
    parameters: usize,
    /// Types as last bound: an execution may leave them out.
    types: Vec<u8>,
}

/// Where an idempotency key comes from.
#[derive(Clone)]
enum Key {
    Told(Arc<str>),
    /// The value of this parameter, from 0.
    Parameter(usize),
}

/// A client's session.
pub struct Session {
    channel: BufferedStream,
    token: Token,
    stage: Stage,
    challenge: [u8; auth::CHALLENGE],
    account: String,
    statements: HashMap<u32, Statement>,
    last_statement: u32,
    open: Option<RequestId>,
    /// The payload that does not come at once.
    large: Option<Large>,
    /// The request whose bodies are not all kept yet.
    pending: Option<Pending>,
    /// Parameters that came ahead of their execution, by statement and position.
    parameters: HashMap<(u32, u16), Parameter>,
    /// The number of the next packet to the client.
    answer_from: u8,
    deadline: Time,
    /// When it came.
    since: Time,
    until: Time,
}

/// An error's number, state and message.
struct Refusal(u16, &'static str, String);

impl Refusal {
    fn encode(&self) -> Vec<u8> {
        error(self.0, self.1, &self.2)
    }
}

/// The `MySQL` front.
pub type MysqlListener = Server<Session>;

impl MysqlListener {
    pub fn open(
        part: u8,
        route: usize,
        config: Rc<Mysql>,
        settings: &Settings,
        spool: Option<body_store::Shared>,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> io::Result<Self> {
        let (socket, state) = (TcpListener::bind(config.listen)?, ListenerState::new(route, limits));
        let classes = settings.classes.iter().map(|c| (c.name.as_str().into(), c.client_timeout)).collect();
        let uploads = HashMap::new();
        Self::new(part, socket, Shared { state, config, classes, requests: 0, spool, uploads }, poller)
    }

    /// Something has become of a body.
    pub fn wake(&mut self, now: Time, body: BodyId, wake: &Wake) {
        let Some(token) = self.shared.uploads.get(&body).copied() else { return };
        Server::reply(self, now, token, |session, shared| session.woken(now, body, wake, shared));
    }

    /// Large bodies are not begun after this.
    pub fn last_upload(&mut self, at: Time) {
        self.shared.state.upload_cutoff = at;
    }
}

impl ClientConnection for Session {
    fn accepted(now: Time, mut channel: BufferedStream, token: Token, shared: &Shared) -> Option<Self> {
        let mut challenge = [0; auth::CHALLENGE];
        getrandom::fill(&mut challenge).ok()?; // without a challenge nobody can be let in
                                               // A zero byte would end it, and a dollar sign is read otherwise by some.
        challenge.iter_mut().for_each(|b| *b = *b % 90 + 37);
        channel.push(packet::packet(0, &greeting(token.slot, &challenge)));
        Some(Session {
            channel,
            token,
            stage: Stage::Greeted,
            challenge,
            account: String::new(),
            statements: HashMap::new(),
            last_statement: 0,
            open: None,
            large: None,
            pending: None,
            parameters: HashMap::new(),
            answer_from: 1,
            deadline: 0.0,
            since: now,
            until: now + shared.state.limits.clients.request_timeout,
        })
    }

    fn deadline(&self) -> Option<Time> {
        (self.open.is_none() && !self.waits()).then_some(self.until)
    }

    fn on_deadline(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Close
    }

    /// A session that is up has prepared statements, which its client counts on; only a login can be let go.
    fn eviction_rank(&self) -> Option<EvictionRank> {
        let rank = EvictionRank { has_sent_request: false, idle_since: self.since };
        (self.stage != Stage::Ready).then_some(rank)
    }

    fn state(shared: &mut Shared) -> &mut ListenerState {
        &mut shared.state
    }

    fn max_connections(limits: &Limits) -> usize {
        limits.mysql.max_sessions
    }
}

fn greeting(connection: u32, challenge: &[u8; auth::CHALLENGE]) -> Vec<u8> {
    let mut out = vec![10];
    out.extend_from_slice(VERSION.as_bytes());
    out.push(0);
    out.extend_from_slice(&connection.to_le_bytes());
    out.extend_from_slice(&challenge[..8]);
    out.push(0);
    let flags =
        (capability::OURS | capability::CONNECT_WITH_DB | capability::PLUGIN_AUTH_LENENC).to_le_bytes();
    out.extend_from_slice(&flags[..2]);
    out.push(packet::CHARSET);
    out.extend_from_slice(&packet::AUTOCOMMIT.to_le_bytes());
    out.extend_from_slice(&flags[2..]);
    out.push(auth::CHALLENGE as u8 + 1);
    out.extend_from_slice(&[0; 10]);
    out.extend_from_slice(&challenge[8..]);
    out.push(0);
    out.extend_from_slice(auth::CACHING_SHA2.as_bytes());
    out.push(0);
    out
}

impl Listener for MysqlListener {
    fn is_client_waiting(&mut self, id: &RequestId) -> bool {
        Server::is_client_waiting(self, id)
    }

    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer) {
        Server::answer(self, now, id, |session, shared| {
            session.open = None;
            session.until = now + shared.state.limits.mysql.session_idle_timeout;
            let late = now + shared.state.limits.results.deadline_margin >= session.deadline;
            session.push(session.answer_from, &encode(answer, late));
            session.next_packet(now, shared)
        });
    }
}

/// The payloads of an answer.
fn encode(answer: Answer, late: bool) -> Vec<Vec<u8>> {
    let refusal = match answer {
        Answer::Served(packets) => return packets,
        _ if late => Refusal(
            3024,
            "HY000",
            "Query execution was interrupted, maximum statement execution time exceeded".into(),
        ),
        Answer::Rejected(wait) => refused(wait),
        Answer::Failed => Refusal(1317, "70100", "Query execution was interrupted".into()),
    };
    vec![refusal.encode()]
}

fn refused(wait: Option<f64>) -> Refusal {
    let when = wait.map_or(String::new(), |w| format!("; retry after {} ms", (w * 1000.0).ceil()));
    Refusal(3168, "HY000", format!("Server isn't available{when}"))
}

fn malformed() -> Refusal {
    Refusal(1835, "HY000", "Malformed communication packet".into())
}

fn unbound() -> Refusal {
    Refusal(1210, "HY000", "Incorrect arguments to mysqld_stmt_execute".into())
}

impl Connection for Session {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.large.is_some() {
            return self.take_large(now, shared);
        }
        if self.open.is_some() || self.pending.is_some() {
            // Commands sent ahead wait here, but not without bound.
            return if self.channel.input.len() > 2 * shared.state.limits.http.max_body_bytes {
                Flow::Close
            } else {
                Flow::Open
            };
        }
        self.next_packet(now, shared)
    }

    fn writable(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Open
    }

    fn is_paused(&self) -> bool {
        self.large.is_some() && self.waits()
    }

    fn closed(&mut self, _: Time, shared: &mut Shared) {
        self.drop_large(shared);
        if let Some(id) = self.open.take() {
            shared.state.report_client_gone(id);
        }
    }
}

impl Session {
    /// Queues payloads, numbered from `sequence`.
    fn push(&mut self, sequence: u8, payloads: &[Vec<u8>]) {
        let mut out = Vec::new();
        for (at, payload) in payloads.iter().enumerate() {
            out.extend(packet::packet(sequence.wrapping_add(at as u8), payload));
        }
        if !out.is_empty() {
            self.channel.push(out);
        }
    }

    /// Reads packets until one needs the core, or no whole one is left.
    fn next_packet(&mut self, now: Time, shared: &mut Shared) -> Flow {
        while self.open.is_none() && self.pending.is_none() && self.large.is_none() {
            if self.channel.queued() > shared.state.limits.clients.max_unread_answer_bytes {
                return Flow::Close;
            }
            self.answer_from = 1;
            if self.stage == Stage::Ready {
                if let Some((length, sequence)) = self.large_packet(shared) {
                    return self.begin_large(now, length, sequence, shared);
                }
            }
            let (sequence, payload) =
                match packet::read(&self.channel.input, shared.state.limits.http.max_body_bytes) {
                    Ok(None) => {
                        // What has begun must end: an unfinished packet is no idle session.
                        if !self.channel.input.is_empty() {
                            self.until = self.until.min(now + shared.state.limits.clients.request_timeout);
                        }
                        return Flow::Open;
                    }
                    Ok(Some((sequence, payload, length))) => {
                        let payload = payload.to_vec();
                        self.channel.input.drain(..length);
                        (sequence, payload)
                    }
                    Err(Malformed) => {
                        let message = "Got a packet bigger than 'max_allowed_packet' bytes".into();
                        return self.end(now, 1, Refusal(1153, "08S01", message), shared);
                    }
                };
            let next = sequence.wrapping_add(1);
            let done = match self.stage {
                Stage::Ready if payload.first() == Some(&command::QUIT) => return Flow::Close,
                Stage::Ready => self.command(now, &payload, shared),
                Stage::Greeted => self.login(next, &payload, shared),
                Stage::Switched => Ok(self.prove(next, &payload, shared)),
            };
            if self.stage == Stage::Ready {
                self.until = now + shared.state.limits.mysql.session_idle_timeout;
            }
            match done {
                Ok(None) => {}
                Ok(Some(refusal)) if self.stage == Stage::Ready => self.push(next, &[refusal.encode()]),
                Ok(Some(refusal)) => return self.end(now, next, refusal, shared),
                Err(Malformed) => return self.end(now, next, malformed(), shared),
            }
        }
        Flow::Open
    }

    /// Says why, and closes.
    fn end(&mut self, now: Time, sequence: u8, refusal: Refusal, shared: &mut Shared) -> Flow {
        shared.state.bad_requests += 1;
        self.push(sequence, &[refusal.encode()]);
        self.until = now + shared.state.limits.clients.linger_timeout;
        shared.state.schedule_check(self.until, self.token);
        Flow::Finish
    }

    /// The client's answer to the greeting.
    fn login(&mut self, next: u8, payload: &[u8], shared: &Shared) -> Res<Option<Refusal>> {
        let mut reader = Reader(payload);
        let flags = reader.number(4)? as u32;
        if flags & capability::PROTOCOL_41 == 0 || flags & capability::SECURE_CONNECTION == 0 {
            return Ok(Some(Refusal(
                1251,
                "08004",
                "Client does not support authentication protocol".into(),
            )));
        }
        reader.take(4 + 1 + 23)?;
        self.account = reader.text()?.into();
        let length = if flags & capability::PLUGIN_AUTH_LENENC != 0 {
            reader.length()?
        } else {
            reader.number(1)? as usize
        };
        let answer = reader.take(length)?;
        if flags & capability::CONNECT_WITH_DB != 0 {
            let schema = reader.text()?;
            if !schema.is_empty() {
                // Statements name their schema: a default one would be state of a session on one engine.
                return Ok(Some(Refusal(1049, "42000", format!("Unknown database '{schema}'"))));
            }
        }
        let plugin = if flags & capability::PLUGIN_AUTH != 0 { reader.text()? } else { auth::NATIVE };
        if plugin == auth::CACHING_SHA2 {
            return Ok(self.prove(next, answer, shared));
        }
        let mut switch = vec![packet::EOF];
        switch.extend_from_slice(auth::CACHING_SHA2.as_bytes());
        switch.push(0);
        switch.extend_from_slice(&self.challenge);
        switch.push(0);
        self.push(next, &[switch]);
        self.stage = Stage::Switched;
        Ok(None)
    }

    /// The client's answer to the challenge.
    fn prove(&mut self, next: u8, answer: &[u8], shared: &Shared) -> Option<Refusal> {
        const FAST: [u8; 2] = [packet::MORE, 3];
        let answer = if answer == [0] { &[] } else { answer };
        let stored = shared.config.account(&self.account);
        if !stored.is_some_and(|stored| auth::is_right(&stored, &self.challenge, answer)) {
            return Some(Refusal(1045, "28000", format!("Access denied for user '{}'", self.account)));
        }
        self.stage = Stage::Ready;
        if answer.is_empty() {
            self.push(next, &[ok()]);
        } else {
            self.push(next, &[FAST.to_vec(), ok()]);
        }
        None
    }

    fn command(&mut self, now: Time, payload: &[u8], shared: &mut Shared) -> Res<Option<Refusal>> {
        let mut reader = Reader(payload);
        let command = reader.number(1)? as u8;
        match command {
            command::PING => self.push(1, &[ok()]),
            command::QUERY => {
                let text = std::str::from_utf8(reader.0).map_err(|_| Malformed)?;
                match setup::plan(text, most(shared)) {
                    Plan::Here(payloads) => self.push(1, &payloads),
                    Plan::Forward => match statement(text, shared) {
                        Ok(statement) => {
                            let ask = self.make(&statement, None, None, shared);
                            self.hand_on(now, ask, statement.deadline, shared);
                        }
                        Err(refusal) => return Ok(Some(refusal)),
                    },
                }
            }
            command::PREPARE => {
                let text = std::str::from_utf8(reader.0).map_err(|_| Malformed)?;
                return self.prepare(text, shared);
            }
            command::EXECUTE => return self.execute(now, reader, shared),
            command::RESET => {
                let id = reader.number(4)? as u32;
                if !self.statements.contains_key(&id) {
                    return Ok(Some(unknown(id, "mysqld_stmt_reset")));
                }
                self.forget_parameters(id, shared);
                self.push(1, &[ok()]);
            }
            command::CLOSE => {
                let id = reader.number(4)? as u32;
                self.forget_parameters(id, shared);
                self.statements.remove(&id);
            }
            // There is no answer to it: what is wrong with it is told at the execution.
            command::LONG_DATA => {
                let place = (reader.number(4)? as u32, reader.number(2)? as u16);
                let taken = self.put(now, place, reader.0, shared);
                if taken < reader.0.len() {
                    self.hold_back(place, &reader.0[taken..], shared);
                }
            }
            _ => return Ok(Some(Refusal(1047, "08S01", "Unknown command".into()))),
        }
        Ok(None)
    }

    /// Keeps a statement; engines prepare it when it first runs on them.
    fn prepare(&mut self, text: &str, shared: &Shared) -> Res<Option<Refusal>> {
        if let Plan::Here(payloads) = setup::plan(text, most(shared)) {
            let refused = payloads.first().is_some_and(|p| p.first() == Some(&packet::ERR));
            let message = "This command is not supported in the prepared statement protocol yet".into();
            if refused {
                self.push(1, &payloads);
                return Ok(None);
            }
            return Ok(Some(Refusal(1295, "HY000", message)));
        }
        let statement = match statement(text, shared) {
            Ok(statement) => statement,
            Err(refusal) => return Ok(Some(refusal)),
        };
        if self.statements.len() >= shared.state.limits.mysql.max_statements {
            let most = shared.state.limits.mysql.max_statements;
            let message =
                format!("Can't create more than max_prepared_stmt_count statements (current value: {most})");
            return Ok(Some(Refusal(1461, "42000", message)));
        }
        let count = statement.parameters;
        let Ok(parameters) = u16::try_from(count) else {
            return Ok(Some(Refusal(
                1390,
                "HY000",
                "Prepared statement contains too many placeholders".into(),
            )));
        };
        self.last_statement = self.last_statement.wrapping_add(1);
        self.statements.insert(self.last_statement, statement);
        let mut first = vec![packet::OK];
        first.extend_from_slice(&self.last_statement.to_le_bytes());
        first.extend_from_slice(&[0, 0]); // columns: told with each result
        first.extend_from_slice(&parameters.to_le_bytes());
        first.extend_from_slice(&[0, 0, 0]);
        let mut payloads = vec![first];
        if count > 0 {
            payloads.extend((0..count).map(|_| column("?")));
            payloads.push(eof());
        }
        self.push(1, &payloads);
        Ok(None)
    }

    fn execute(&mut self, now: Time, mut reader: Reader, shared: &mut Shared) -> Res<Option<Refusal>> {
        let id = reader.number(4)? as u32;
        let Some(statement) = self.statements.get_mut(&id) else {
            return Ok(Some(unknown(id, "mysqld_stmt_execute")));
        };
        // Cursors are not opened: all rows come at once, which the protocol allows.
        reader.take(1 + 4)?;
        let ahead = |at: usize| self.parameters.contains_key(&(id, at as u16));
        let Some(arguments) = arguments(&mut reader, statement, ahead)? else { return Ok(Some(unbound())) };
        let statement = statement.clone();
        let key = match statement.key {
            Some(Key::Parameter(at)) if !ahead(at) => key_of(&arguments, &statement, at, ahead)?,
            _ => None,
        };
        let long = match self.take_parameters(id) {
            Ok(long) => long,
            Err(refusal) => return Ok(Some(refusal)),
        };
        let mut ask = self.make(&statement, Some(arguments), key, shared);
        if long.is_empty() {
            self.hand_on(now, ask, statement.deadline, shared);
        } else {
            ask.payload.long_parameters = long;
            self.wait_for(now, Box::new(ask), statement.deadline, shared);
        }
        Ok(None)
    }

    /// A request for a statement, with its key where an argument holds it.
    fn make(
        &mut self,
        statement: &Statement,
        arguments: Option<Vec<u8>>,
        key: Option<Arc<str>>,
        shared: &mut Shared,
    ) -> Request {
        let key = match &statement.key {
            Some(Key::Told(key)) => Some(key.clone()),
            _ => key,
        };
        shared.requests += 1;
        Request {
            route: shared.state.route,
            id: format!("mysql-{:x}", shared.requests).into(),
            class: statement.class,
            tenant: None,
            order_key: None,
            deadline: Time::INFINITY,
            estimated_work: statement.estimate,
            estimated_memory: statement.memory,
            table_group: statement.tables,
            uploading: false,
            payload: QueryPayload {
                class_name: shared.classes[statement.class].0.clone(),
                statement: statement.text.clone(),
                arguments: arguments.map(Arc::from),
                idempotency_key: key,
                ..QueryPayload::default()
            },
        }
    }

    /// Hands a request on to the core. Its time runs from now.
    fn hand_on(&mut self, now: Time, mut ask: Request, time: f64, shared: &mut Shared) {
        self.deadline = now + time.min(shared.state.limits.clients.max_request_time);
        ask.deadline = self.deadline;
        self.open = Some(ask.id.clone());
        shared.state.submit(self.token, ask);
    }
}

/// The largest packet that is taken.
fn most(shared: &Shared) -> usize {
    shared.state.limits.http.max_body_bytes.max(shared.state.limits.bodies.max_bytes)
}

fn unknown(id: u32, place: &str) -> Refusal {
    Refusal(1243, "HY000", format!("Unknown prepared statement handler ({id}) given to {place}"))
}

/// What the file and the hints say of a statement.
fn statement(text: &str, shared: &Shared) -> Result<Statement, Refusal> {
    let words = sql::words(text, 4).join(" ");
    let lower = text.to_ascii_lowercase();
    let fits = |rule: &&crate::mysql::config::Rule| {
        let starts = rule.starts.to_ascii_lowercase();
        let begins =
            words.strip_prefix(starts.as_str()).is_some_and(|rest| rest.is_empty() || rest.starts_with(' '));
        begins && lower.contains(&rule.holds.to_ascii_lowercase())
    };
    let rule = shared.config.statement.iter().find(fits);
    let class = rule.and_then(|rule| shared.classes.iter().position(|(name, _)| **name == *rule.class));
    let Some(class) = class else {
        let message =
            "This version of MySQL doesn't yet support 'statements of no class in deploy/mysql.toml'";
        return Err(Refusal(1235, "42000", message.into()));
    };
    let (name, give_up) = &shared.classes[class];
    let defaults = shared.config.class.get(&**name).cloned().unwrap_or_default();
    let hints = sql::hints(text);
    let positive = |value: Option<f64>| value.filter(|v| *v > 0.0 && *v < 1e9);
    let key = hints.key.map(|key| match key.strip_prefix('?').and_then(|n| n.parse::<usize>().ok()) {
        Some(number) => Key::Parameter(number.saturating_sub(1)),
        None => Key::Told(key.into()),
    });
    let parameters = sql::parameters(text);
    if let Some(Key::Parameter(at)) = key {
        if at >= parameters {
            let message = format!("The key hint names parameter {}, and there are {parameters}", at + 1);
            return Err(Refusal(1210, "HY000", message));
        }
    }
    Ok(Statement {
        text: text.as_bytes().into(),
        class,
        tables: sql::tables(text).unwrap_or(-1),
        deadline: positive(hints.deadline_ms).or(defaults.deadline_ms).map_or(*give_up, |ms| ms / 1000.0),
        estimate: positive(hints.estimate_ms).or(defaults.estimate_ms),
        memory: positive(hints.memory_mb).or(defaults.memory_mb),
        key,
        parameters,
        types: Vec::new(),
    })
}

/// An execution's arguments with their types, checked: null bitmap, a 1, types, values. `None` if types were
/// never bound.
fn arguments(
    reader: &mut Reader,
    statement: &mut Statement,
    ahead: impl Fn(usize) -> bool,
) -> Res<Option<Vec<u8>>> {
    let count = statement.parameters;
    if count == 0 {
        return Ok(Some(Vec::new()));
    }
    let nulls = reader.take(count.div_ceil(8))?;
    match reader.number(1)? {
        0 => {}
        1 => statement.types = reader.take(2 * count)?.to_vec(),
        _ => return Err(Malformed),
    }
    if statement.types.len() != 2 * count {
        return Ok(None);
    }
    let values = reader.0;
    for at in 0..count {
        if nulls[at / 8] >> (at % 8) & 1 == 0 && !ahead(at) {
            packet::value(reader, statement.types[2 * at])?;
        }
    }
    if !reader.0.is_empty() {
        return Err(Malformed);
    }
    Ok(Some([nulls, &[1], &statement.types, values].concat()))
}

/// The key in an argument; none if it is null. Those that came `ahead` have no value here.
fn key_of(
    arguments: &[u8],
    statement: &Statement,
    wanted: usize,
    ahead: impl Fn(usize) -> bool,
) -> Res<Option<Arc<str>>> {
    let mut reader = Reader(arguments);
    let nulls = reader.take(statement.parameters.div_ceil(8))?;
    reader.take(1 + 2 * statement.parameters)?;
    for at in 0..=wanted {
        let null = nulls[at / 8] >> (at % 8) & 1 == 1 || ahead(at);
        let value = if null { &[] } else { packet::value(&mut reader, statement.types[2 * at])? };
        if at == wanted && !value.is_empty() {
            return Ok(Some(key_text(value)));
        }
    }
    Ok(None)
}

/// A key as it goes on: plain text as it is, all else in hex.
fn key_text(value: &[u8]) -> Arc<str> {
    let text = std::str::from_utf8(value).ok().filter(|t| t.chars().all(|c| c.is_ascii_graphic()));
    let hex = || value.iter().map(|b| format!("{b:02x}")).collect::<String>();
    text.map_or_else(hex, String::from).into()
}
