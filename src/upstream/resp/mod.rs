//! Attempts over the platform's engine protocol: many on a connection, answers in any order, results in
//! pages.

mod reply;

use super::{ended_by, Engines};
use crate::body_store;
use crate::core::{Attempt, AttemptOutcome, AttemptReport, Upstream, UpstreamEvent};
use crate::limits::Limits;
use crate::net::resp::{array, head, Malformed};
use crate::net::{
    BufferedStream, Connection, ConnectionSlab, EventHandler, Flow, Poller, Ready, Time, TimerQueue, Token,
};
use dahliaspoke::policy::{EngineId, Lifecycle, RequestId};
use dahliaspoke_body_store::spool::{Pull, Reader};
use reply::{Reply, Word};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

enum TimerEvent {
    /// A connection must be up by now, or has been idle.
    Connection(Token),
    /// An answer that has begun there must be whole.
    Answer(Token),
    /// A call that waits for its connection tries a second one.
    Redial(RequestId, u32),
    /// A call must have begun to go out by now.
    Unsent(RequestId, u32),
    /// Nothing may begin to go to this engine any more.
    Drained(EngineId),
}

/// What all connections to engines have in common.
struct Shared {
    limits: Rc<Limits>,
    news: VecDeque<UpstreamEvent>,
    /// Calls of which no byte went out before their connection ended; they go by another one.
    again: Vec<Running>,
    timers: TimerQueue<TimerEvent>,
    /// Connections that have come up, or have become idle: calls that still wait for theirs may go there.
    free: Vec<Token>,
    /// Attempts that went out whole on connections that have ended.
    written: u64,
    /// Where large bodies are, if anywhere.
    spool: Option<body_store::Shared>,
    /// The connection that each of their readers sends on.
    readers: HashMap<u64, Token>,
}

/// A body on its way to its engine.
struct Sending {
    id: RequestId,
    reader: Reader,
    /// Nothing of it is here now.
    waits: bool,
}

/// An attempt on its connection.
struct Running {
    call: Attempt,
    sent: Time,
    /// When it must have begun to go out.
    by: Time,
    /// Connections that ended before it went out.
    moves: usize,
    /// By which its request can be taken back from the output.
    tag: u64,
    pages: Vec<Option<Vec<u8>>>,
    missing: usize,
    size: usize,
    told: AttemptReport,
}

/// A connection to an engine; it belongs to the engine's id, never to the address.
struct Line {
    channel: BufferedStream,
    token: Token,
    engine: EngineId,
    address: SocketAddr,
    running: HashMap<RequestId, Running>,
    /// Ids that were dropped here, and until when a late answer to them may still come.
    echoes: Vec<(Time, RequestId)>,
    /// While it connects, when it is given up; later, when it has been idle too long.
    until: Time,
    /// When an answer that has begun must be whole.
    answer_by: Time,
    /// When bytes last came.
    heard: Time,
    /// Something that was sent here found no answer: nothing more is sent.
    stale: bool,
    /// The large body that goes out here: nothing else can until it is out.
    sending: Option<Sending>,
}

/// The connections to all engines.
pub struct RespUpstream {
    table: ConnectionSlab<Line>,
    engines: Engines,
    /// The connection of every attempt that is out.
    calls: HashMap<(RequestId, u32), Token>,
    /// Nothing begins from then on: the list of engines may be believed until then.
    valid_until: Time,
    shared: Shared,
}

impl RespUpstream {
    pub fn new(part: u8, spool: Option<body_store::Shared>, poller: Rc<Poller>, limits: Rc<Limits>) -> Self {
        let (news, again, timers, free) = (VecDeque::new(), Vec::new(), TimerQueue::default(), Vec::new());
        let shared = Shared { limits, news, again, timers, free, written: 0, spool, readers: HashMap::new() };
        Self {
            table: ConnectionSlab::new(part, poller),
            engines: Engines::default(),
            calls: HashMap::new(),
            valid_until: Time::INFINITY,
            shared,
        }
    }

    pub fn take(&mut self) -> Option<UpstreamEvent> {
        let news = self.shared.news.pop_front()?;
        if let UpstreamEvent::AttemptEnd { id, attempt, .. } = &news {
            self.calls.remove(&(id.clone(), *attempt));
        }
        Some(news)
    }

    /// A reader of a body may find something.
    pub fn wake(&mut self, now: Time, reader: u64) {
        let Some(token) = self.shared.readers.get(&reader).copied() else { return };
        let Some(line) = self.table.get(token) else { return };
        let flow = line.send_on(now, &mut self.shared);
        self.table.settle(now, token, flow, &mut self.shared);
        self.send_waiting(now);
    }

    /// Until when the list of engines may be believed.
    pub fn valid_until(&mut self, until: Time) {
        self.valid_until = until;
    }

    /// Follows the list of engines; `told` is since when this counts as told. `address` is absent where the list does not
    /// tell it.
    pub fn engine(
        &mut self,
        now: Time,
        told: Time,
        id: &EngineId,
        lifecycle: Lifecycle,
        address: Option<SocketAddr>,
    ) {
        let closes = told + self.shared.limits.engines.drain_grace;
        if let Some(closes) = self.engines.follow(id, lifecycle, address, closes) {
            self.shared.timers.set(closes, TimerEvent::Drained(id.clone()));
            for token in self.engines.get(id).map(|e| e.lines.clone()).unwrap_or_default() {
                let Some(line) = self.table.get(token) else { continue };
                line.running.values_mut().for_each(|run| run.by = run.by.min(closes));
            }
        }
        let taken = address.filter(|_| lifecycle == Lifecycle::Ready);
        for former in taken.map(|address| self.engines.others_at(id, address)).unwrap_or_default() {
            // Its address is another's now: what still waits for a connection there must not reach that one.
            self.engines.close(now, &former);
            self.drained(now, &former);
        }
        self.send_waiting(now);
    }

    fn line_alarm(&mut self, now: Time, token: Token) {
        let Some(line) = self.table.get(token) else { return };
        let waits = line.channel.connecting || line.running.is_empty();
        if waits && line.until <= now {
            self.table.close(now, token, &mut self.shared);
        } else {
            let again = if waits { line.until } else { now + self.shared.limits.engines.idle_timeout };
            line.until = line.until.max(again);
            self.shared.timers.set(again, TimerEvent::Connection(token));
        }
    }

    /// The grace of a drain has passed. A request whose first byte is still here must not go out: the rule
    /// counts a send from its first byte. It never ran.
    fn drained(&mut self, now: Time, id: &EngineId) {
        let Some(engine) = self.engines.get(id).filter(|e| e.is_closed(now)) else {
            return;
        };
        for token in engine.lines.clone() {
            let Some(line) = self.table.get(token) else { continue };
            for id in line.running.keys().cloned().collect::<Vec<_>>() {
                if let Some(run) = self.take_unsent(now, token, &id) {
                    self.shared.news.push_back(UpstreamEvent::ended(
                        &id,
                        run.call.attempt,
                        AttemptOutcome::Unsent,
                    ));
                }
            }
            // A connection that comes up from now on is of no use.
            if self.table.get(token).is_some_and(|line| line.channel.connecting) {
                self.table.close(now, token, &mut self.shared);
            }
        }
        if !self.engines.forget(now, id) {
            self.shared
                .timers
                .set(now + self.shared.limits.engines.idle_timeout, TimerEvent::Drained(id.clone()));
        }
    }

    /// Takes a call off its connection, if no byte of it has gone out.
    fn take_unsent(&mut self, now: Time, token: Token, id: &RequestId) -> Option<Running> {
        let line = self.table.get(token)?;
        let tag = line.running.get(id)?.tag;
        if !line.channel.take_back(tag) {
            return None;
        }
        let run = line.running.remove(id);
        if line.sending.as_ref().is_some_and(|s| s.id == *id) {
            self.table.close(now, token, &mut self.shared); // what is queued of its body must not go out
        }
        run
    }

    /// The time for a call to begin to go out is over.
    fn unsent(&mut self, now: Time, id: &RequestId, attempt: u32) {
        let Some(token) = self.calls.get(&(id.clone(), attempt)).copied() else { return };
        let due = |line: &mut Line| line.running.get(id).is_some_and(|run| run.by <= now);
        if self.table.get(token).is_some_and(due) && self.take_unsent(now, token, id).is_some() {
            self.shared.news.push_back(UpstreamEvent::ended(id, attempt, AttemptOutcome::Unsent));
            self.spare_dials(now, token);
        }
    }

    /// Of the connections to an engine that still do not come up and that no call waits for, a few are kept: those
    /// begun last.
    fn spare_dials(&mut self, now: Time, token: Token) {
        let Some(id) = self.table.get(token).map(|line| line.engine.clone()) else { return };
        let Some(engine) = self.engines.get(&id) else { return };
        let table = &mut self.table;
        let idle = |line: &mut Line| line.channel.connecting && line.running.is_empty();
        let idle: Vec<Token> =
            engine.lines.iter().copied().filter(|token| table.get(*token).is_some_and(idle)).collect();
        for token in idle.iter().rev().skip(self.shared.limits.engines.max_spare_connects) {
            self.table.close(now, *token, &mut self.shared);
        }
    }

    /// A call has waited for its connection for longer than those take that are not late: a second one races the
    /// first, and both stay for what comes next.
    fn redial(&mut self, now: Time, id: &RequestId, attempt: u32) {
        let Some(token) = self.calls.get(&(id.clone(), attempt)).copied() else { return };
        let Some(line) = self.table.get(token).filter(|line| line.channel.connecting) else { return };
        let engine = line.engine.clone();
        // One that cannot be begun is as one that never comes up.
        let _ = self.dial(now, &engine);
    }

    /// Whether there is no place for a further connection to an engine.
    fn is_full(&self, engine: &EngineId) -> bool {
        let lines = self.engines.get(engine).map_or(0, |e| e.lines.len());
        lines >= self.shared.limits.engines.max_connections_per_engine
            || self.table.len() >= self.shared.limits.engines.max_connections
    }

    /// Begins a connection to an engine that takes calls.
    fn dial(&mut self, now: Time, id: &EngineId) -> Result<Token, AttemptOutcome> {
        let limits = self.shared.limits.clone();
        let full = self.is_full(id);
        let engine = self.engines.get_mut(id).filter(|e| !e.is_closed(now)).ok_or(AttemptOutcome::Unsent)?;
        // That there is no place for it here says nothing of whether the engine can be reached.
        if full {
            return Err(AttemptOutcome::Full);
        }
        let address = engine.address;
        let channel = BufferedStream::connect(address).map_err(|error| match error.kind() {
            io::ErrorKind::ConnectionRefused => AttemptOutcome::ConnectionRefused,
            io::ErrorKind::HostUnreachable | io::ErrorKind::NetworkUnreachable => AttemptOutcome::Unsent,
            // No descriptor, port or memory for it here: that says nothing of the engine.
            _ => AttemptOutcome::Full,
        })?;
        let until = now + limits.engines.connect_timeout;
        let line = |token| Line {
            channel,
            token,
            engine: id.clone(),
            address,
            running: HashMap::new(),
            echoes: Vec::new(),
            until,
            answer_by: Time::INFINITY,
            heard: now,
            stale: false,
            sending: None,
        };
        let token = self.table.add(|token| Some(line(token))).ok().flatten().ok_or(AttemptOutcome::Full)?;
        self.shared.timers.set(until, TimerEvent::Connection(token));
        engine.lines.push(token);
        Ok(token)
    }

    /// A connection for the call: an idle one, or a new one, or the one that has least to do. Whatever ends a
    /// connection takes all attempts on it along, so each has one of its own while there are enough.
    fn line_for(&mut self, now: Time, call: &Attempt) -> Result<Token, AttemptOutcome> {
        let limits = self.shared.limits.clone();
        let engine = self.engines.get_mut(&call.engine).filter(|e| !e.is_closed(now));
        let engine = engine.ok_or(AttemptOutcome::Unsent)?;
        let (table, address) = (&mut self.table, engine.address);
        engine.lines.retain(|token| table.get(*token).is_some());
        let alone = call.payload.body.is_some();
        let fits = |line: &mut Line| {
            line.echoes.retain(|echo| echo.0 > now);
            let room = line.running.len() < limits.engines.max_streams
                && line.channel.queued() < limits.engines.max_unwritten_bytes;
            let room = room && !line.stale && line.sending.is_none() && line.address == address;
            let room = room && (!alone || line.running.is_empty());
            let apart = !line.running.contains_key(&call.id) && line.echoes.iter().all(|e| e.1 != call.id);
            room && apart
        };
        let mut best: Option<((bool, usize), Token)> = None;
        for token in &engine.lines {
            let Some(line) = table.get(*token) else { continue };
            let load = (line.channel.connecting, line.running.len());
            if best.is_none_or(|(least, _)| load < least) && fits(line) {
                best = Some((load, *token));
            }
        }
        if let Some((_, token)) = best.filter(|(load, _)| *load == (false, 0)) {
            return Ok(token);
        }
        match (self.dial(now, &call.engine), best) {
            // Without a place or a descriptor for one of its own it shares one.
            (Err(AttemptOutcome::Full), Some((_, token))) => Ok(token),
            (dialled, _) => dialled,
        }
    }

    fn settle(&mut self, now: Time, token: Token) {
        self.table.settle(now, token, Flow::Open, &mut self.shared);
    }

    /// Sends a call, or has it wait for its connection until `by` at the latest.
    fn begin(&mut self, now: Time, call: Attempt, by: Time, moves: usize) {
        let mut reader = None;
        if let (Some(body), Some(spool)) = (&call.payload.body, &self.shared.spool) {
            reader = spool.borrow_mut().reader(now, body);
            if reader.is_none() {
                // Its body is gone: it is not sent, and cannot be.
                return self.shared.news.push_back(UpstreamEvent::ended(
                    &call.id,
                    call.attempt,
                    AttemptOutcome::Expired,
                ));
            }
        }
        let by = by.min(self.valid_until);
        let found = if now < by { self.line_for(now, &call) } else { Err(AttemptOutcome::Unsent) };
        let token = match found {
            Ok(token) => token,
            Err(ending) => {
                return self.shared.news.push_back(UpstreamEvent::ended(&call.id, call.attempt, ending));
            }
        };
        self.put(now, token, call, reader, by, moves);
    }

    /// Puts a call on a connection.
    fn put(
        &mut self,
        now: Time,
        token: Token,
        call: Attempt,
        reader: Option<Reader>,
        by: Time,
        moves: usize,
    ) {
        let by = by.min(self.valid_until);
        let Some(line) = self.table.get(token) else { return };
        let tag = match &reader {
            None => line.channel.push_counted(request(now, &call)),
            // It counts with the end of its body.
            Some(_) => line.channel.push(request(now, &call)),
        };
        if let Some(reader) = reader {
            self.shared.readers.insert(reader.id, token);
            line.sending = Some(Sending { id: call.id.clone(), reader, waits: false });
        }
        self.calls.insert((call.id.clone(), call.attempt), token);
        let (pages, missing, size, told) = (Vec::new(), 0, 0, AttemptReport::default());
        let (id, attempt) = (call.id.clone(), call.attempt);
        let run = Running { sent: now, by, moves, tag, pages, missing, size, told, call };
        line.running.insert(id.clone(), run);
        let connects = line.channel.connecting;
        let flow = line.send_on(now, &mut self.shared);
        self.table.settle(now, token, flow, &mut self.shared);
        if connects {
            let redial = now + self.shared.limits.engines.second_connect_after;
            self.shared.timers.set(redial, TimerEvent::Redial(id.clone(), attempt));
        }
        let queued = |line: &mut Line| line.running.contains_key(&id) && line.channel.queued() > 0;
        if connects || self.table.get(token).is_some_and(queued) {
            self.shared.timers.set(by, TimerEvent::Unsent(id, attempt));
        }
    }

    /// Calls that wait go on. A connection that was up, and ended before a call went out, says nothing of the engine:
    /// the call goes by another. One that has become free takes the call that has waited for longest.
    fn send_waiting(&mut self, now: Time) {
        loop {
            if let Some(run) = self.shared.again.pop() {
                self.begin(now, run.call, run.by, run.moves + 1);
            } else if let Some(free) = self.shared.free.pop() {
                self.relieve(now, free);
            } else {
                return;
            }
        }
    }

    /// Moves the call that waits for longest for a connection to that engine to this one, if it is idle.
    fn relieve(&mut self, now: Time, free: Token) {
        let idle = |line: &&mut Line| !line.channel.connecting && !line.stale && line.running.is_empty();
        let Some(line) = self.table.get(free).filter(idle) else { return };
        let (id, address) = (line.engine.clone(), line.address);
        let Some(engine) = self.engines.get(&id).filter(|e| !e.is_closed(now) && e.address == address) else {
            return self.table.close(now, free, &mut self.shared);
        };
        let mut longest: Option<(Time, Token, RequestId)> = None;
        for token in &engine.lines {
            let Some(line) = self.table.get(*token).filter(|line| line.channel.connecting) else { continue };
            for (id, run) in &line.running {
                if longest.as_ref().is_none_or(|(by, ..)| run.by < *by) && run.call.payload.body.is_none() {
                    longest = Some((run.by, *token, id.clone()));
                }
            }
        }
        let Some((_, token, id)) = longest else { return };
        let barred = |line: &mut Line| line.echoes.iter().any(|echo| echo.0 > now && echo.1 == id);
        if self.table.get(free).is_some_and(barred) {
            return;
        }
        if let Some(run) = self.take_unsent(now, token, &id) {
            self.put(now, free, run.call, None, run.by, run.moves);
            self.spare_dials(now, token);
        }
    }
}

impl EventHandler for RespUpstream {
    fn next_deadline(&mut self) -> Option<Time> {
        self.shared.timers.next_deadline()
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        self.table.on_ready(now, ready, &mut self.shared);
        self.send_waiting(now);
    }

    fn on_timer(&mut self, now: Time) {
        while let Some(on_timer) = self.shared.timers.due(now) {
            match on_timer {
                TimerEvent::Connection(token) => self.line_alarm(now, token),
                TimerEvent::Answer(token) => {
                    // What stopped halfway goes no further, and nothing behind it is heard.
                    if self.table.get(token).is_some_and(|line| line.answer_by <= now) {
                        self.table.close(now, token, &mut self.shared);
                    }
                }
                TimerEvent::Redial(id, attempt) => self.redial(now, &id, attempt),
                TimerEvent::Unsent(id, attempt) => self.unsent(now, &id, attempt),
                TimerEvent::Drained(id) => self.drained(now, &id),
            }
        }
        self.send_waiting(now);
    }
}

impl Upstream for RespUpstream {
    fn start(&mut self, now: Time, call: Attempt) {
        let closes = self.engines.get(&call.engine).and_then(|e| e.closes).unwrap_or(Time::INFINITY);
        let by = call.send_deadline.min(now + self.shared.limits.engines.connection_wait).min(closes);
        self.begin(now, call, by, 0);
        self.send_waiting(now);
    }

    fn abandon(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool {
        let unsent = self.take_off(now, id, attempt);
        // Its connection may have ended with it: what waited there is on another before anything else is asked of it.
        self.send_waiting(now);
        unsent
    }

    fn set_priority(&mut self, now: Time, id: &RequestId, attempt: u32, rank: u8) {
        let Some(token) = self.calls.get(&(id.clone(), attempt)).copied() else { return };
        // In the middle of a body no other word can go out.
        let free = |line: &&mut Line| line.running.contains_key(id) && line.sending.is_none();
        let Some(line) = self.table.get(token).filter(free) else { return };
        line.channel.push(array(&[b"RANK", id.as_bytes(), rank.to_string().as_bytes()]));
        self.settle(now, token);
        self.send_waiting(now);
    }

    fn written(&self) -> u64 {
        self.shared.written + self.table.all().map(|line| line.channel.whole).sum::<u64>()
    }
}

impl RespUpstream {
    /// Takes an attempt off its connection, and tells its engine where it has heard of it. True if it has not.
    fn take_off(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool {
        // Its end may be on its way to the core already; the core passes over what comes second.
        let Some(token) = self.calls.remove(&(id.clone(), attempt)) else { return false };
        let Some(line) = self.table.get(token) else { return false };
        let Some(run) = line.running.remove(id) else { return false };
        if line.running.is_empty() && !line.channel.connecting {
            line.until = now + self.shared.limits.engines.idle_timeout;
        }
        let unsent = line.channel.take_back(run.tag);
        if line.sending.as_ref().is_some_and(|s| s.id == *id) {
            // Half a body is on it: it is of no more use, and ends what runs there.
            self.table.close(now, token, &mut self.shared);
            return unsent;
        }
        if unsent {
            self.spare_dials(now, token);
            return true;
        }
        // Silent since, or stopped in the middle: it may be of no more use.
        line.stale |= line.heard < run.sent || !line.channel.input.is_empty();
        if line.stale && line.running.is_empty() {
            self.table.close(now, token, &mut self.shared); // which gives the attempt up
            return false;
        }
        line.echoes.push((now + self.shared.limits.engines.late_answer_window, id.clone()));
        let word: &[u8] = if run.pages.is_empty() { b"DROP" } else { b"CLOSE" };
        line.channel.push(array(&[word, id.as_bytes()]));
        self.settle(now, token);
        false
    }
}

/// The command that starts an attempt.
fn request(now: Time, call: &Attempt) -> Vec<u8> {
    let patience = ((call.deadline - now) * 1000.0).ceil().max(1.0);
    let mut fields = format!("sort={},patience={patience}", call.payload.class_name);
    if let Some(key) = &call.payload.idempotency_key {
        fields += &format!(",op={key}");
    }
    if let Some(memory) = call.memory {
        fields += &format!(",pool={}", memory.ceil());
    }
    fields += &format!(",band={}", call.priority);
    let words: [&[u8]; 3] = [b"GET", call.id.as_bytes(), fields.as_bytes()];
    match &call.payload.body {
        None => array(&[words[0], words[1], words[2], &call.payload.statement]),
        Some(body) => head(&words, body.length()),
    }
}

impl Connection for Line {
    type Shared = Shared;

    const ANSWERS: bool = true;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.heard = now;
        let mut at = 0;
        let flow = loop {
            match reply::read(&self.channel.input[at..], &shared.limits) {
                Ok(Some((reply, length))) => {
                    at += length;
                    if self.reply(now, reply, shared).is_err() {
                        break Flow::Close;
                    }
                }
                Ok(None) => break Flow::Open,
                Err(Malformed) => break Flow::Close,
            }
        };
        self.channel.input.drain(..at);
        let begun = !self.channel.input.is_empty() || self.running.values().any(|run| run.missing > 0);
        if !begun {
            self.answer_by = Time::INFINITY;
        } else if at > 0 || self.answer_by == Time::INFINITY {
            self.answer_by = now + shared.limits.results.stall_timeout;
            shared.timers.set(self.answer_by, TimerEvent::Answer(self.token));
        }
        flow
    }

    fn writable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.until = now + shared.limits.engines.idle_timeout;
        if self.running.is_empty() {
            shared.free.push(self.token);
        }
        self.send_on(now, shared)
    }

    /// Calls whose time to begin is over stay here: a process may have slept since they were queued.
    fn before_write(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let (channel, sending) = (&mut self.channel, &self.sending);
        let mut flow = Flow::Open;
        self.running.retain(|id, run| {
            let late = run.by <= now && channel.take_back(run.tag);
            if late {
                shared.news.push_back(UpstreamEvent::ended(id, run.call.attempt, AttemptOutcome::Unsent));
                if sending.as_ref().is_some_and(|s| s.id == *id) {
                    flow = Flow::Close; // what is queued of its body must not go out
                }
            }
            !late
        });
        flow
    }

    fn has_more(&self) -> bool {
        self.sending.as_ref().is_some_and(|sending| !sending.waits)
    }

    /// What was still unsent never ran; the rest may have.
    fn closed(&mut self, _: Time, shared: &mut Shared) {
        shared.written += self.channel.whole;
        self.end_sending(shared);
        for (id, run) in self.running.drain() {
            let unsent = self.channel.take_back(run.tag);
            let was_up = !self.channel.connecting || self.channel.reset;
            if unsent && was_up && run.moves < shared.limits.engines.max_moves {
                shared.again.push(run);
                continue;
            }
            let ending = ended_by(&self.channel, unsent);
            shared.news.push_back(UpstreamEvent::ended(&id, run.call.attempt, ending));
        }
    }
}

impl Line {
    /// Queues what the socket will take of the body that goes out.
    fn send_on(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let (Some(sending), Some(spool)) = (&mut self.sending, shared.spool.clone()) else {
            return Flow::Open;
        };
        while !self.channel.connecting && self.channel.queued() < shared.limits.engines.max_queued_body_bytes
        {
            let pulled = spool.borrow_mut().pull(now, &sending.reader);
            match pulled {
                Pull::Bytes(bytes) => drop(self.channel.push_shared(bytes)),
                Pull::Wait => {
                    sending.waits = true;
                    return Flow::Open;
                }
                Pull::End => {
                    self.channel.push_counted(b"\r\n".to_vec());
                    self.end_sending(shared);
                    return Flow::Open;
                }
                // The engine must not take a part for the whole.
                Pull::Lost => return Flow::Close,
            }
        }
        sending.waits = false;
        Flow::Open
    }

    fn end_sending(&mut self, shared: &mut Shared) {
        if let Some(sending) = self.sending.take() {
            shared.readers.remove(&sending.reader.id);
        }
    }

    fn reply(&mut self, now: Time, reply: Reply, shared: &mut Shared) -> Result<(), Malformed> {
        // Late answers to what was dropped.
        let Some((id, run)) = self.running.get_key_value(reply.id.as_str()) else { return Ok(()) };
        let (id, attempt) = (id.clone(), run.call.attempt);
        let halfway = self.sending.as_ref().is_some_and(|s| s.id == id);
        let ending = match reply.word {
            Word::Full => AttemptOutcome::Full,
            Word::Failed => AttemptOutcome::Error,
            Word::Expired => AttemptOutcome::Expired,
            Word::UpstreamEvent(progress) => {
                shared.news.extend(progress.map(|progress| UpstreamEvent::Progress {
                    id,
                    attempt,
                    progress,
                }));
                return Ok(());
            }
            // It cannot have run what it does not have yet.
            Word::Data { .. } | Word::Page { .. } if halfway => return Err(Malformed),
            Word::Health => return Err(Malformed),
            Word::Data { total } => {
                if !self.data(&id, total, reply.told, shared)? {
                    return Ok(());
                }
                return self.page(now, id, 0, reply.body, shared);
            }
            Word::Page { index } => return self.page(now, id, index, reply.body, shared),
        };
        self.end(now, &id, ending, reply.told, shared);
        // With half a body on it the connection is of no more use.
        if halfway {
            Err(Malformed)
        } else {
            Ok(())
        }
    }

    /// The result is ready: asks for all further pages at once. False for a second copy, which harms nothing.
    fn data(
        &mut self,
        id: &RequestId,
        total: usize,
        told: AttemptReport,
        shared: &Shared,
    ) -> Result<bool, Malformed> {
        let run = self.running.get_mut(id).ok_or(Malformed)?;
        if !run.pages.is_empty() {
            return Ok(false);
        }
        if total > shared.limits.results.max_pages {
            return Err(Malformed);
        }
        let total = total.max(1); // the first page is here in any case
        run.pages = vec![None; total];
        run.missing = total;
        run.told = told;
        for index in 1..total {
            self.channel.push(array(&[b"PAGE", id.as_bytes(), index.to_string().as_bytes()]));
        }
        Ok(true)
    }

    fn page(
        &mut self,
        now: Time,
        id: RequestId,
        index: usize,
        body: Vec<u8>,
        shared: &mut Shared,
    ) -> Result<(), Malformed> {
        let run = self.running.get_mut(&id).ok_or(Malformed)?;
        let place = run.pages.get_mut(index).ok_or(Malformed)?;
        if place.is_some() {
            return Ok(()); // a second copy
        }
        run.size += body.len();
        if body.len() > shared.limits.results.page_rows || run.size > shared.limits.results.max_rows {
            return Err(Malformed);
        }
        *place = Some(body);
        run.missing -= 1;
        if run.missing > 0 {
            return Ok(());
        }
        let (pages, told) = (std::mem::take(&mut run.pages), run.told);
        if pages.len() > 1 {
            self.channel.push(array(&[b"CLOSE", id.as_bytes()]));
        }
        self.end(now, &id, AttemptOutcome::Served(pages.into_iter().flatten().collect()), told, shared);
        Ok(())
    }

    fn end(
        &mut self,
        now: Time,
        id: &RequestId,
        ending: AttemptOutcome,
        told: AttemptReport,
        shared: &mut Shared,
    ) {
        let Some(run) = self.running.remove(id) else { return };
        if !matches!(ending, AttemptOutcome::Served(_)) {
            // A second copy of this end must not be taken for one of the next attempt.
            self.echoes.push((now + shared.limits.engines.late_answer_window, id.clone()));
        }
        let (id, attempt) = (id.clone(), run.call.attempt);
        shared.news.push_back(UpstreamEvent::AttemptEnd { id, attempt, outcome: ending, report: told });
        if self.running.is_empty() {
            self.until = now + shared.limits.engines.idle_timeout;
            shared.free.push(self.token);
        }
    }
}
