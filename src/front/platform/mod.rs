//! The platform's front: HTTP/1.1 calls in, JSON answers out.

mod http;

use super::sql;
use crate::core::{Answer, Ask, Front, Parts, Wish, Work};
use crate::limits::Limits;
use crate::net::{Channel, Connection, Flow, Listener, Poller, Ready, Table, Time, Timers, Token};
use dahliaspoke::interface::RequestId;
use http::{Bad, Call, Read};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// What all client connections have in common.
struct Shared {
    limits: Rc<Limits>,
    door: usize,
    classes: Vec<Arc<str>>,
    wishes: VecDeque<Wish>,
    /// The connection that each open request came by.
    open: HashMap<RequestId, Token>,
    timers: Timers<Token>,
    bad: u64,
}

/// A client's connection: one call at a time.
struct Client {
    channel: Channel,
    token: Token,
    open: Option<RequestId>,
    stays: bool,
    /// Told to send its body.
    continued: bool,
    /// Closed then, if no request is open.
    until: Time,
}

/// The listener and the clients' connections.
pub struct Platform {
    listener: Listener,
    table: Table<Client>,
    shared: Shared,
}

impl Platform {
    pub fn new(
        part: u8,
        door: usize,
        listen: SocketAddr,
        classes: Vec<Arc<str>>,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> io::Result<Self> {
        let listener = Listener::bind(part, listen, poller.clone())?;
        let (wishes, open) = (VecDeque::new(), HashMap::new());
        Ok(Self {
            listener,
            table: Table::new(part, poller),
            shared: Shared { limits, door, classes, wishes, open, timers: Timers::default(), bad: 0 },
        })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    pub fn take(&mut self) -> Option<Wish> {
        self.shared.wishes.pop_front()
    }

    /// Calls that could not be read.
    pub fn bad(&self) -> u64 {
        self.shared.bad
    }

    pub fn next(&self) -> Option<Time> {
        self.shared.timers.next()
    }

    pub fn ready(&mut self, now: Time, ready: Ready) {
        if ready.token.place == Listener::PLACE {
            self.accept(now);
        } else {
            self.table.ready(now, ready, &mut self.shared);
        }
        self.make_room();
    }

    /// Closes the connections whose time is up.
    pub fn alarm(&mut self, now: Time) {
        while let Some(token) = self.shared.timers.due(now) {
            let Some(client) = self.table.get(token) else { continue };
            if client.open.is_none() && client.until <= now {
                self.table.close(now, token, &mut self.shared);
            } else {
                let open = client.open.is_some();
                let again = if open { now + self.shared.limits.client_idle } else { client.until };
                self.shared.timers.set(again, token);
            }
        }
        self.make_room();
    }

    /// Takes no new connections from here on.
    pub fn stop(&mut self) {
        self.listener.stop();
        self.make_room();
    }

    fn make_room(&mut self) {
        self.listener.room(self.table.len() < self.shared.limits.clients);
    }

    /// Whether every answer is out.
    pub fn idle(&mut self) -> bool {
        self.table.is_flushed()
    }

    fn accept(&mut self, now: Time) {
        while self.table.len() < self.shared.limits.clients {
            let Some(channel) = self.listener.accept() else { return };
            let until = now + self.shared.limits.client_idle;
            let client = |token| Client { channel, token, open: None, stays: true, continued: false, until };
            let Ok(token) = self.table.add(client) else { continue };
            self.shared.timers.set(until, token);
        }
    }
}

impl Front for Platform {
    fn answer(&mut self, now: Time, id: &RequestId, answer: Answer) {
        let Some(token) = self.shared.open.remove(id) else { return };
        let Some(client) = self.table.get(token) else { return };
        client.open = None;
        client.until = now + self.shared.limits.client_idle;
        let bytes = encode(answer, client.stays);
        client.channel.push(bytes);
        let shared = &mut self.shared;
        let flow = if client.stays { client.next_call(now, shared) } else { client.finish(now, shared) };
        self.table.settle(now, token, flow, &mut self.shared);
    }
}

impl Connection for Client {
    type Shared = Shared;

    fn channel(&mut self) -> &mut Channel {
        &mut self.channel
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.open.is_some() {
            // Calls sent ahead wait here; more than one call's worth is no client of ours.
            let most = shared.limits.head + shared.limits.body;
            return if self.channel.input.len() > most { Flow::Close } else { Flow::Open };
        }
        self.next_call(now, shared)
    }

    fn writable(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Open
    }

    fn closed(&mut self, _: Time, shared: &mut Shared) {
        if let Some(id) = self.open.take() {
            shared.open.remove(&id);
            shared.wishes.push_back(Wish::Left(id));
        }
    }
}

impl Client {
    /// Reads calls until one needs the core, or no whole one is left.
    fn next_call(&mut self, now: Time, shared: &mut Shared) -> Flow {
        while self.open.is_none() && !self.channel.input.is_empty() {
            if self.channel.queued() > shared.limits.unread {
                return Flow::Close;
            }
            match http::read(&self.channel.input, &shared.limits) {
                Ok(Read::Partial { expects }) => {
                    if expects && !std::mem::replace(&mut self.continued, true) {
                        self.channel.push(http::CONTINUE.to_vec());
                    }
                    return Flow::Open;
                }
                Ok(Read::Whole(call, length)) => {
                    self.channel.input.drain(..length);
                    self.continued = false;
                    self.stays = call.stays;
                    self.until = now + shared.limits.client_idle;
                    if let Err(Bad(status)) = self.call(now, call, shared) {
                        return self.bad(now, status, shared);
                    }
                    if self.open.is_none() && !self.stays {
                        return self.finish(now, shared);
                    }
                }
                Err(Bad(status)) => return self.bad(now, status, shared),
            }
        }
        Flow::Open
    }

    fn bad(&mut self, now: Time, status: u16, shared: &mut Shared) -> Flow {
        shared.bad += 1;
        self.channel.push(http::answer(status, None, b"{\"err\":\"Lost\"}", false));
        self.finish(now, shared)
    }

    fn finish(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.until = now + shared.limits.linger;
        shared.timers.set(self.until, self.token);
        Flow::Finish
    }

    /// Answers a call, or hands it on.
    fn call(&mut self, now: Time, call: Call, shared: &mut Shared) -> Result<(), Bad> {
        let path = call.path.split('?').next().unwrap_or_default();
        if path == "/_health" {
            if call.method != "GET" {
                return Err(Bad(405));
            }
            self.channel.push(http::answer(200, None, b"{}", self.stays));
            return Ok(());
        }
        let Some(class) = path.strip_prefix("/invoke/") else {
            // Nothing hangs on it, so the connection stays.
            self.channel.push(http::answer(404, None, b"{\"err\":\"Lost\"}", self.stays));
            return Ok(());
        };
        if call.method != "POST" {
            return Err(Bad(405));
        }
        let class = shared.classes.iter().position(|c| **c == *class).ok_or(Bad(404))?;
        let ask = ask(now, class, &call, shared)?;
        if shared.open.contains_key(&ask.id) {
            return Err(Bad(400));
        }
        shared.open.insert(ask.id.clone(), self.token);
        self.open = Some(ask.id.clone());
        shared.wishes.push_back(Wish::Ask(ask));
        Ok(())
    }
}

/// The request in a call.
fn ask(now: Time, class: usize, call: &Call, shared: &Shared) -> Result<Ask, Bad> {
    let id = call.field("X-Job-Id").ok_or(Bad(400))?;
    if id.len() != 16 || !id.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Bad(400));
    }
    let allow = number(call, "X-Allow-Ms")?.ok_or(Bad(400))?;
    // A key goes on in a list of fields, where these would end it.
    let key = call.field("X-Unique");
    if key.is_some_and(|k| k.is_empty() || k.bytes().any(|b| b == b',' || b == b'=' || !b.is_ascii_graphic()))
    {
        return Err(Bad(400));
    }
    let statement = std::str::from_utf8(&call.body).map_err(|_| Bad(400))?;
    Ok(Ask {
        door: shared.door,
        id: id.into(),
        class,
        deadline: now + allow / 1000.0,
        estimate: number(call, "X-Size-Ms")?.filter(|ms| *ms > 0.0),
        memory: number(call, "X-Est-Mb")?.filter(|mb| *mb > 0.0),
        tables: sql::tables(statement).unwrap_or(-1),
        work: Work {
            class: shared.classes[class].clone(),
            statement: statement.as_bytes().into(),
            arguments: None,
            key: key.map(Arc::from),
        },
    })
}

/// A field that holds a number, none of them negative.
fn number(call: &Call, name: &str) -> Result<Option<f64>, Bad> {
    let Some(text) = call.field(name) else { return Ok(None) };
    let number = text.parse::<f64>().map_err(|_| Bad(400))?;
    if (0.0..1e9).contains(&number) {
        Ok(Some(number))
    } else {
        Err(Bad(400))
    }
}

fn encode(answer: Answer, stays: bool) -> Vec<u8> {
    match answer {
        Answer::Served(parts) => http::answer(200, None, &rows(&parts), stays),
        Answer::Refused(wait) => {
            // Rounded up: a client must not come back before its time.
            let wait = wait.map(|w| ("X-Wait-Ms", format!("{}", (w * 1000.0).ceil().max(1.0))));
            http::answer(503, wait, b"{\"err\":\"Backoff\"}", stays)
        }
        Answer::Failed => http::answer(502, None, b"{\"err\":\"Lost\"}", stays),
    }
}

/// Rows as JSON. The engine's pages hold a line a row and a tab between columns.
fn rows(parts: &Parts) -> Vec<u8> {
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
