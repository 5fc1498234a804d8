//! The platform's front: HTTP/1.1 calls in, JSON answers out. A body that is too large to be held here goes
//! through the spool, where there is one: a request that is kept begins once its body is here whole, one that
//! is passed on as soon as its first bytes are.

pub mod codec;
mod upload;

use super::server::{ClientConnection, Server, State};
use super::sql;
use crate::body_store;
use crate::core::{Answer, Listener, QueryPayload, Request, ResultParts};
use crate::limits::Limits;
use crate::net::{BufferedStream, Connection, Flow, Poller, Time, Token};
use codec::{Bad, Call, Read};
use dahliaspoke::policy::RequestId;
use dahliaspoke_body_store::plan::BodyId;
use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use upload::Upload;

/// What calls may name, by position in the settings.
pub struct Names {
    pub classes: Vec<Arc<str>>,
    /// Tenants; none where the deployment has none.
    pub tenants: Vec<Arc<str>>,
}

/// What all client connections have in common.
pub struct Shared {
    state: State,
    names: Names,
    /// Keeps large bodies, where the deployment has that.
    spool: Option<body_store::Shared>,
    /// The connection that each body comes in by.
    uploads: HashMap<BodyId, Token>,
}

/// A client's connection: one call at a time.
pub struct Client {
    channel: BufferedStream,
    token: Token,
    open: Option<RequestId>,
    /// The large body that is coming in.
    upload: Option<Upload>,
    stays: bool,
    /// Told to send its body.
    continued: bool,
    /// A call has begun to come in, or is expected: it must be whole by `until`.
    calling: bool,
    /// It has made a call.
    asked: bool,
    /// When it came, or last was answered.
    since: Time,
    /// Its time is up then, if no request is open.
    until: Time,
}

/// The platform's front.
pub type HttpListener = Server<Client>;

impl HttpListener {
    pub fn open(
        part: u8,
        route: usize,
        socket: TcpListener,
        names: Names,
        spool: Option<body_store::Shared>,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> io::Result<Self> {
        let (state, uploads) = (State::new(route, limits), HashMap::new());
        Self::new(part, socket, Shared { state, names, spool, uploads }, poller)
    }
}

impl Listener for HttpListener {
    fn is_client_waiting(&mut self, id: &RequestId) -> bool {
        Server::is_client_waiting(self, id)
    }

    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer) {
        Server::answer(self, now, id, |client, shared| {
            client.open = None;
            // What still comes of its body is of no more use, and nothing behind it is read.
            client.stays &= client.upload.is_none();
            client.end_upload(shared);
            client.rest(now, shared);
            client.stays &= !shared.state.leaving;
            client.channel.push(encode(answer, client.stays));
            if client.stays {
                client.next_call(now, shared)
            } else {
                client.finish(now, shared)
            }
        });
    }
}

impl ClientConnection for Client {
    fn accepted(now: Time, channel: BufferedStream, token: Token, shared: &Shared) -> Option<Self> {
        // Whoever connects has a call to make.
        let until = now + shared.state.limits.clients.request_timeout;
        Some(Client {
            channel,
            token,
            open: None,
            upload: None,
            stays: true,
            continued: false,
            calling: true,
            asked: false,
            since: now,
            until,
        })
    }

    fn until(&self) -> Option<Time> {
        match &self.upload {
            // It is not its client's turn.
            Some(upload) if upload.waits() => None,
            Some(_) => Some(self.until),
            None => self.open.is_none().then_some(self.until),
        }
    }

    /// One that is idle, or has said all it had to, is closed; one that never ends its call is told so.
    fn overdue(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.channel.input.is_empty() && self.upload.is_none() {
            return Flow::Close;
        }
        self.bad(now, 408, shared)
    }

    /// One that has not taken its whole answer keeps its place: a request whose answer is cut is lost.
    fn spare(&self) -> Option<(bool, Time)> {
        let idle = self.open.is_none() && self.upload.is_none() && self.channel.queued() == 0;
        idle.then_some((self.asked, self.since))
    }

    fn state(shared: &mut Shared) -> &mut State {
        &mut shared.state
    }

    fn most(limits: &Limits) -> usize {
        limits.clients.max_connections
    }
}

impl Connection for Client {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.upload.is_some() {
            return self.take_body(now, shared);
        }
        if self.open.is_some() {
            // Calls sent ahead wait here; more than one call's worth is no client of ours.
            let most = shared.state.limits.http.max_head_bytes + shared.state.limits.http.max_body_bytes;
            return if self.channel.input.len() > most { Flow::Close } else { Flow::Open };
        }
        self.next_call(now, shared)
    }

    fn writable(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Open
    }

    fn is_paused(&self) -> bool {
        self.upload.as_ref().is_some_and(Upload::waits)
    }

    fn closed(&mut self, _: Time, shared: &mut Shared) {
        self.end_upload(shared);
        if let Some(id) = self.open.take() {
            shared.state.left(id);
        }
    }
}

impl Client {
    /// Reads calls until one needs the core, or no whole one is left.
    fn next_call(&mut self, now: Time, shared: &mut Shared) -> Flow {
        while self.open.is_none() && self.upload.is_none() && !self.channel.input.is_empty() {
            if self.channel.queued() > shared.state.limits.clients.max_unread_answer_bytes {
                return Flow::Close;
            }
            match codec::read(&self.channel.input, &shared.state.limits) {
                Ok(Read::Partial { expects }) => {
                    // What has begun must end: an unfinished call is no idle connection.
                    if !std::mem::replace(&mut self.calling, true) {
                        self.until = now + shared.state.limits.clients.request_timeout;
                    }
                    if expects && !std::mem::replace(&mut self.continued, true) {
                        self.channel.push(codec::CONTINUE.to_vec());
                    }
                    return Flow::Open;
                }
                Ok(Read::Whole(call, length)) => {
                    self.channel.input.drain(..length);
                    self.continued = false;
                    self.stays = call.stays && !shared.state.leaving;
                    self.asked = true;
                    self.rest(now, shared);
                    if let Err(Bad(status)) = self.call(now, call, shared) {
                        return self.bad(now, status, shared);
                    }
                    if self.open.is_none() && !self.stays {
                        return self.finish(now, shared);
                    }
                }
                Ok(Read::Large { call, head, length, expects }) => {
                    self.channel.input.drain(..head);
                    self.continued = false;
                    self.stays = call.stays && !shared.state.leaving;
                    self.asked = true;
                    return match self.begin_upload(now, &call, length, shared) {
                        Ok(Flow::Open) => {
                            // Only now is there room for it.
                            if expects {
                                self.channel.push(codec::CONTINUE.to_vec());
                            }
                            self.take_body(now, shared)
                        }
                        Ok(flow) => flow,
                        Err(Bad(status)) => self.bad(now, status, shared),
                    };
                }
                Err(Bad(status)) => return self.bad(now, status, shared),
            }
        }
        Flow::Open
    }

    fn bad(&mut self, now: Time, status: u16, shared: &mut Shared) -> Flow {
        shared.state.bad += 1;
        self.end_upload(shared);
        if let Some(id) = self.open.take() {
            // A part of its body was sent on; the rest cannot be.
            shared.state.left(id);
        }
        self.channel.push(codec::answer(status, None, b"{\"err\":\"Lost\"}", false));
        self.finish(now, shared)
    }

    /// Nothing is open: it may stay for a while.
    fn rest(&mut self, now: Time, shared: &Shared) {
        self.since = now;
        self.calling = false;
        self.until = now + shared.state.limits.clients.idle_timeout;
    }

    fn finish(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.channel.input = Vec::new();
        self.until = now + shared.state.limits.clients.linger_timeout;
        shared.state.look(self.until, self.token);
        Flow::Finish
    }

    /// Answers a call, or hands it on.
    fn call(&mut self, now: Time, call: Call, shared: &mut Shared) -> Result<(), Bad> {
        let path = call.path.split('?').next().unwrap_or_default();
        if path == "/_health" {
            if call.method != "GET" {
                return Err(Bad(405));
            }
            self.channel.push(codec::answer(200, None, b"{}", self.stays));
            return Ok(());
        }
        let Some(class) = path.strip_prefix("/invoke/") else {
            // Nothing hangs on it, so the connection stays.
            self.channel.push(codec::answer(404, None, b"{\"err\":\"Lost\"}", self.stays));
            return Ok(());
        };
        let told = told(&call, class, shared)?;
        let statement = std::str::from_utf8(&call.body).map_err(|_| Bad(400))?;
        let mut ask = told.ask(now, sql::tables(statement), shared);
        ask.payload.statement = statement.as_bytes().into();
        self.ask(ask, shared);
        Ok(())
    }

    /// Hands a request on.
    fn ask(&mut self, ask: Request, shared: &mut Shared) {
        self.open = Some(ask.id.clone());
        shared.state.ask(self.token, ask);
    }
}

/// What a call's head tells of its request.
struct Told {
    class: usize,
    id: RequestId,
    /// How long its client waits (s).
    allow: f64,
    estimate: Option<f64>,
    memory: Option<f64>,
    key: Option<Arc<str>>,
    tenant: Option<usize>,
    /// Requests of a class that keeps order run one at a time where this is the same.
    order: Option<Arc<str>>,
}

/// The longest name that a call may give to a key of its order (bytes).
const ORDER: usize = 128;

/// Reads the head of a call for that class.
fn told(call: &Call, class: &str, shared: &Shared) -> Result<Told, Bad> {
    if call.method != "POST" {
        return Err(Bad(405));
    }
    let class = shared.names.classes.iter().position(|c| **c == *class).ok_or(Bad(404))?;
    let id = call.single("X-Job-Id")?.ok_or(Bad(400))?;
    if id.len() != 16 || !id.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Bad(400));
    }
    let allow = number(call, "X-Allow-Ms")?.ok_or(Bad(400))?;
    // A key goes on in a list of fields, where these would end it.
    let key = call.single("X-Unique")?;
    if key.is_some_and(|k| k.is_empty() || k.bytes().any(|b| b == b',' || b == b'=' || !b.is_ascii_graphic()))
    {
        return Err(Bad(400));
    }
    // A call of no tenant is served; one of a tenant that nobody knows is not.
    let tenant = match call.single("X-Team")? {
        Some(team) if !shared.names.tenants.is_empty() => {
            Some(shared.names.tenants.iter().position(|t| **t == *team).ok_or(Bad(400))?)
        }
        _ => None,
    };
    let order = call.single("X-Item")?;
    if order.is_some_and(|o| o.is_empty() || o.len() > ORDER || !o.bytes().all(|b| b.is_ascii_graphic())) {
        return Err(Bad(400));
    }
    let id: RequestId = id.into();
    if shared.state.is_open(&id) {
        return Err(Bad(400));
    }
    Ok(Told {
        class,
        id,
        allow: (allow / 1000.0).min(shared.state.limits.clients.max_request_time),
        estimate: number(call, "X-Size-Ms")?.filter(|ms| *ms > 0.0),
        memory: number(call, "X-Est-Mb")?.filter(|mb| *mb > 0.0),
        key: key.map(Arc::from),
        tenant,
        order: order.map(Arc::from),
    })
}

impl Told {
    /// The request, but for its statement. Its time runs from now.
    fn ask(&self, now: Time, tables: Option<i64>, shared: &Shared) -> Request {
        Request {
            route: shared.state.route,
            id: self.id.clone(),
            class: self.class,
            tenant: self.tenant,
            order_key: self.order.clone(),
            deadline: now + self.allow,
            estimated_work: self.estimate,
            estimated_memory: self.memory,
            table_group: tables.unwrap_or(-1),
            uploading: false,
            payload: QueryPayload {
                class_name: shared.names.classes[self.class].clone(),
                idempotency_key: self.key.clone(),
                ..QueryPayload::default()
            },
        }
    }
}

/// A field that holds a number, none of them negative.
fn number(call: &Call, name: &str) -> Result<Option<f64>, Bad> {
    let Some(text) = call.single(name)? else { return Ok(None) };
    let number = text.parse::<f64>().map_err(|_| Bad(400))?;
    if (0.0..1e9).contains(&number) {
        Ok(Some(number))
    } else {
        Err(Bad(400))
    }
}

fn encode(answer: Answer, stays: bool) -> Vec<u8> {
    match answer {
        Answer::Served(parts) => codec::answer(200, None, &rows(&parts), stays),
        Answer::Rejected(wait) => {
            // Rounded up: a client must not come back before its time.
            let wait = wait.map(|w| ("X-Wait-Ms", format!("{}", (w * 1000.0).ceil().max(1.0))));
            codec::answer(503, wait, b"{\"err\":\"Backoff\"}", stays)
        }
        Answer::Failed => codec::answer(502, None, b"{\"err\":\"Lost\"}", stays),
    }
}

/// Rows as JSON. The engine's pages hold a line a row and a tab between columns.
fn rows(parts: &ResultParts) -> Vec<u8> {
    let mut out = b"{\"page\":[".to_vec();
    let mut first_row = true;
    for part in parts {
        for row in String::from_utf8_lossy(part).split_terminator('\n') {
            out.extend_from_slice(if std::mem::take(&mut first_row) { b"[" } else { b",[" });
            for (at, column) in row.split('\t').enumerate() {
                if at > 0 {
                    out.push(b',');
                }
                out.extend_from_slice(serde_json::Value::from(column).to_string().as_bytes());
            }
            out.push(b']');
        }
    }
    out.extend_from_slice(b"]}");
    out
}
