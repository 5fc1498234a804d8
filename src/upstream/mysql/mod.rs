//! Attempts over `MySQL`: one at a time on a connection. A prepared statement is prepared on each connection
//! when it first runs there, so an execution can go to any engine.

mod sending;

use super::{engines::Engines, events::outcome_of_close};
use crate::body_store;
use crate::core::{Attempt, AttemptOutcome, QueryPayload, Upstream, UpstreamEvent};
use crate::limits::Limits;
use crate::mysql::auth;
use crate::mysql::config::Mysql;
use crate::mysql::packet::{self, capability, command, Malformed, Reader, Res};
use crate::net::{
    BufferedStream, Connection, ConnectionSlab, EventHandler, Flow, Poller, Ready, Time, TimerQueue, Token,
};
use dahliaspoke::policy::{EngineId, Lifecycle, RequestId};
use sending::{Sending, Sent};
use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

enum TimerEvent {
    /// A connection must be ready by now, or has been idle.
    Connection(Token),
    /// Nothing may begin to go to this engine any more.
    Drained(EngineId),
}

/// What all connections to engines have in common.
struct Shared {
    limits: Rc<Limits>,
    config: Rc<Mysql>,
    news: VecDeque<UpstreamEvent>,
    timers: TimerQueue<TimerEvent>,
    /// Attempts that went out whole on connections that have ended.
    written: u64,
    /// Where large bodies are, if anywhere.
    spool: Option<body_store::Shared>,
    /// The connection that each of their readers sends on.
    readers: HashMap<u64, Token>,
}

/// Where a connection stands.
enum Stage {
    /// It connects, or the engine's greeting is due.
    Greeting,
    /// The engine's word on who we are is due.
    Login { plugin: String, challenge: Vec<u8> },
    /// Nothing is asked.
    Idle,
    /// The answer to a PREPARE is due: its first packet, then so many that define parameters and columns.
    Preparing { statement: Option<u32>, skip: usize },
    /// The result is due.
    Running(Answer),
}

/// A result as far as it has come.
#[derive(Default)]
struct Answer {
    packets: Vec<Vec<u8>>,
    size: usize,
    /// EOF packets so far: one ends the columns, the next the rows.
    ends: u8,
}

/// The attempt on a connection.
struct Running {
    id: RequestId,
    attempt: u32,
    /// When it must have begun to go out.
    by: Time,
    work: QueryPayload,
    /// By which what runs it can be taken back; none while the connection is not ready for it.
    tag: Option<u64>,
}

/// A connection to an engine.
struct Line {
    channel: BufferedStream,
    token: Token,
    stage: Stage,
    running: Option<Running>,
    /// What goes out bit by bit.
    sending: Option<Sending>,
    /// Statements that are prepared here, the latest last.
    prepared: VecDeque<(Arc<[u8]>, u32)>,
    /// When it must be ready, or has been idle too long.
    until: Time,
}

/// The connections to all engines.
pub struct MysqlUpstream {
    table: ConnectionSlab<Line>,
    engines: Engines,
    calls: HashMap<(RequestId, u32), Token>,
    /// Nothing begins from then on: the list of engines may be believed until then.
    valid_until: Time,
    shared: Shared,
}

impl MysqlUpstream {
    pub fn new(
        part: u8,
        config: Rc<Mysql>,
        spool: Option<body_store::Shared>,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> Self {
        let (news, timers, readers) = (VecDeque::new(), TimerQueue::default(), HashMap::new());
        let shared = Shared { limits, config, news, timers, written: 0, spool, readers };
        let (table, engines) = (ConnectionSlab::new(part, poller), Engines::default());
        Self { table, engines, calls: HashMap::new(), valid_until: Time::INFINITY, shared }
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
    }

    /// Until when the list of engines may be believed.
    pub fn valid_until(&mut self, until: Time) {
        self.valid_until = until;
    }

    /// Follows the list of engines; `told` is since when this counts as told.
    pub fn engine(&mut self, told: Time, id: &EngineId, lifecycle: Lifecycle, address: Option<IpAddr>) {
        let address = self.shared.config.engine.address(id, address);
        let closes = told + self.shared.limits.engines.drain_grace;
        let Some(closes) = self.engines.update(id, lifecycle, address, closes) else { return };
        self.shared.timers.set(closes, TimerEvent::Drained(id.clone()));
        for token in self.engines.get(id).map(|e| e.connections.clone()).unwrap_or_default() {
            let running = self.table.get(token).and_then(|line| line.running.as_mut());
            running.into_iter().for_each(|run| run.by = run.by.min(closes));
        }
    }

    fn line_alarm(&mut self, now: Time, token: Token) {
        let Some(line) = self.table.get(token) else { return };
        let waits = line.running.is_none() || matches!(line.stage, Stage::Greeting | Stage::Login { .. });
        if waits && line.until <= now {
            self.table.close(now, token, &mut self.shared);
        } else {
            let again = line.until.max(now + self.shared.limits.engines.connection_wait);
            self.shared.timers.set(again, TimerEvent::Connection(token));
        }
    }

    /// The grace of a drain has passed: what still waits for a connection must not begin there.
    fn drained(&mut self, now: Time, id: &EngineId) {
        let Some(engine) = self.engines.get_mut(id).filter(|e| e.is_closed(now)) else { return };
        engine.connections.retain(|token| self.table.get(*token).is_some());
        for token in engine.connections.clone() {
            let Some(line) = self.table.get(token) else { continue };
            // Idle ones go as well: sessions have moved on.
            if line.running.is_none() || line.is_unsent() {
                self.table.close(now, token, &mut self.shared);
            }
        }
        if !self.engines.remove_closed(now, id) {
            self.shared
                .timers
                .set(now + self.shared.limits.engines.idle_timeout, TimerEvent::Drained(id.clone()));
        }
    }

    /// An idle connection to the engine, one that has the statement first, or a new one.
    fn line_for(&mut self, now: Time, call: &Attempt) -> Option<Token> {
        let limits = self.shared.limits.clone();
        let engine = self.engines.get_mut(&call.engine).filter(|e| !e.is_closed(now))?;
        let table = &mut self.table;
        engine.connections.retain(|token| table.get(*token).is_some());
        let mut best = None;
        for token in &engine.connections {
            let Some(line) = table.get(*token).filter(|line| matches!(line.stage, Stage::Idle)) else {
                continue;
            };
            if line.statement(&call.payload.statement).is_some() {
                return Some(*token);
            }
            best = best.or(Some(*token));
        }
        if best.is_some() {
            return best;
        }
        if engine.connections.len() >= limits.engines.max_mysql_connections_per_engine
            || table.len() >= limits.engines.max_connections
        {
            return None;
        }
        let channel = BufferedStream::connect(engine.address).ok()?;
        let until = (now + limits.engines.connection_wait).min(call.send_deadline);
        let line = |token| Line {
            channel,
            token,
            stage: Stage::Greeting,
            running: None,
            sending: None,
            prepared: VecDeque::new(),
            until,
        };
        let token = table.add(|token| Some(line(token))).ok()??;
        self.shared.timers.set(until, TimerEvent::Connection(token));
        engine.connections.push(token);
        Some(token)
    }
}

impl EventHandler for MysqlUpstream {
    fn next_deadline(&mut self) -> Option<Time> {
        self.shared.timers.next_deadline()
    }

    fn on_ready(&mut self, now: Time, ready: Ready) {
        self.table.on_ready(now, ready, &mut self.shared);
    }

    fn on_timer(&mut self, now: Time) {
        while let Some(on_timer) = self.shared.timers.due(now) {
            match on_timer {
                TimerEvent::Connection(token) => self.line_alarm(now, token),
                TimerEvent::Drained(id) => self.drained(now, &id),
            }
        }
    }
}

impl Upstream for MysqlUpstream {
    fn start(&mut self, now: Time, call: Attempt) {
        let closes = self.engines.drain_deadline(&call.engine);
        let by = call.send_deadline.min(closes).min(self.valid_until);
        if by <= now {
            return self.shared.news.push_back(UpstreamEvent::ended(
                &call.id,
                call.attempt,
                AttemptOutcome::Unsent,
            ));
        }
        let token = self.line_for(now, &call);
        let Some(line) = token.and_then(|t| self.table.get(t)) else {
            // There is no place for it here, which says nothing of whether the engine can be reached.
            return self.shared.news.push_back(UpstreamEvent::ended(
                &call.id,
                call.attempt,
                AttemptOutcome::Full,
            ));
        };
        let token = line.token;
        let (id, attempt, tag) = (call.id.clone(), call.attempt, None);
        line.running = Some(Running { id, attempt, by, work: call.payload, tag });
        let mut flow = Flow::Open;
        if matches!(line.stage, Stage::Idle) {
            line.begin(&self.shared.limits);
            flow = line.send_on(now, &mut self.shared);
        }
        self.calls.insert((call.id, call.attempt), token);
        self.table.settle(now, token, flow, &mut self.shared);
    }

    /// `MySQL` has no way to call a statement off on its own connection: the connection ends with it.
    fn abandon(&mut self, now: Time, id: &RequestId, attempt: u32) -> bool {
        let Some(token) = self.calls.remove(&(id.clone(), attempt)) else { return false };
        let Some(line) = self.table.get(token) else { return false };
        if line.running.as_ref().is_none_or(|run| run.id != *id || run.attempt != attempt) {
            return false;
        }
        let unsent = line.is_unsent();
        line.running = None;
        self.table.close(now, token, &mut self.shared);
        unsent
    }

    /// The protocol has no priorities.
    fn set_priority(&mut self, _: Time, _: &RequestId, _: u32, _: u8) {}

    fn written(&self) -> u64 {
        self.shared.written + self.table.all().map(|line| line.channel.whole).sum::<u64>()
    }
}

impl Connection for Line {
    type Shared = Shared;

    const ANSWERS: bool = true;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.channel
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if self.send_on(now, shared) == Flow::Close {
            return Flow::Close;
        }
        loop {
            let (sequence, payload) =
                match packet::read(&self.channel.input, shared.limits.mysql.max_result_bytes) {
                    Ok(None) => return Flow::Open,
                    Ok(Some((sequence, payload, length))) => {
                        let payload = payload.to_vec();
                        self.channel.input.drain(..length);
                        (sequence, payload)
                    }
                    Err(Malformed) => return Flow::Close,
                };
            // With half a command on it a connection is of no more use, whatever the answer was.
            let halfway = self.sending.is_some();
            if self.packet(now, sequence, payload, shared).is_err() || halfway {
                return Flow::Close;
            }
            if self.send_on(now, shared) == Flow::Close {
                return Flow::Close;
            }
        }
    }

    fn writable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.send_on(now, shared)
    }

    /// A call whose time to begin is over is not begun: a process may have slept since it was queued.
    fn before_write(&mut self, now: Time, _: &mut Shared) -> Flow {
        let late = self.running.as_ref().is_some_and(|run| run.by <= now);
        if late && self.is_unsent() {
            Flow::Close
        } else {
            Flow::Open
        }
    }

    fn has_more(&self) -> bool {
        self.sending.as_ref().is_some_and(|sending| !sending.waits)
    }

    /// What was not begun never ran; the rest may have.
    fn closed(&mut self, _: Time, shared: &mut Shared) {
        shared.written += self.channel.whole;
        let unsent = self.is_unsent();
        self.end_sending(shared);
        if let Some(run) = self.running.take() {
            let ending = outcome_of_close(&self.channel, unsent);
            shared.news.push_back(UpstreamEvent::ended(&run.id, run.attempt, ending));
        }
    }
}

impl Line {
    /// Whether no byte of what would run the attempt has gone out. A PREPARE runs nothing.
    fn is_unsent(&mut self) -> bool {
        let Some(run) = &self.running else { return false };
        run.tag.is_none_or(|tag| self.channel.take_back(tag))
    }

    fn statement(&self, text: &Arc<[u8]>) -> Option<u32> {
        self.prepared.iter().find(|(known, _)| known == text).map(|(_, id)| *id)
    }

    fn send(&mut self, command: u8, parts: &[&[u8]]) -> u64 {
        let payload = [&[command], parts.concat().as_slice()].concat();
        let packet = packet::packet(0, &payload);
        if matches!(command, command::QUERY | command::EXECUTE) {
            self.channel.push_counted(packet)
        } else {
            self.channel.push(packet)
        }
    }

    /// Queues what the socket will take of what goes out bit by bit.
    fn send_on(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let Some(sending) = &mut self.sending else { return Flow::Open };
        let (token, readers) = (self.token, &mut shared.readers);
        let reads = |reader| {
            readers.insert(reader, token);
        };
        let sent = sending.go_on(
            now,
            &mut self.channel,
            shared.limits.engines.max_queued_body_bytes,
            shared.spool.as_ref(),
            reads,
        );
        if let Some(run) = &mut self.running {
            run.tag = sending.tag;
        }
        match sent {
            Sent::EventHandler => Flow::Open,
            Sent::All => {
                self.end_sending(shared);
                Flow::Open
            }
            // The engine must not take a part for the whole.
            Sent::Lost => Flow::Close,
        }
    }

    fn end_sending(&mut self, shared: &mut Shared) {
        if let Some(sending) = self.sending.take() {
            shared.readers.retain(|_, token| *token != self.token);
            drop(sending);
        }
    }

    /// Sends the attempt, or first what prepares its statement.
    fn begin(&mut self, limits: &Limits) {
        let Some(run) = &self.running else { return };
        let (statement, arguments) = (run.work.statement.clone(), run.work.arguments.clone());
        let known = arguments.as_ref().and_then(|_| self.statement(&statement));
        if arguments.is_none() || known.is_some() {
            self.sending = Sending::of(&run.work, known.unwrap_or_default());
            if self.sending.is_some() {
                self.stage = Stage::Running(Answer::default());
                return;
            }
        }
        let tag = match arguments {
            None => Some(self.send(command::QUERY, &[&statement])),
            Some(arguments) => {
                if let Some(id) = known {
                    let (id, one) = (id.to_le_bytes(), 1u32.to_le_bytes());
                    Some(self.send(command::EXECUTE, &[&id, &[0], &one, &arguments]))
                } else {
                    if self.prepared.len() >= limits.mysql.max_statements {
                        if let Some((_, oldest)) = self.prepared.pop_front() {
                            self.send(command::CLOSE, &[&oldest.to_le_bytes()]);
                        }
                    }
                    self.send(command::PREPARE, &[&statement]);
                    None
                }
            }
        };
        self.stage = match tag {
            None => Stage::Preparing { statement: None, skip: 0 },
            Some(_) => Stage::Running(Answer::default()),
        };
        if let Some(run) = &mut self.running {
            run.tag = tag;
        }
    }

    fn packet(&mut self, now: Time, sequence: u8, payload: Vec<u8>, shared: &mut Shared) -> Res<()> {
        match &mut self.stage {
            Stage::Greeting => self.greeting(&payload, shared),
            Stage::Login { .. } => self.login(now, sequence, &payload, shared),
            Stage::Idle => Err(Malformed),
            Stage::Preparing { .. } => self.preparing(now, payload, shared),
            Stage::Running(answer) => {
                answer.size += payload.len();
                answer.ends += u8::from(packet::is_eof(&payload));
                let first = answer.packets.is_empty();
                let kind = payload.first().copied().ok_or(Malformed)?;
                // A word alone, or the end of the rows, ends it; so does an error at any place.
                let over = kind == packet::ERR || first && kind == packet::OK || answer.ends == 2;
                if over && more_follows(&payload) {
                    return Err(Malformed); // a second result: none was asked for
                }
                answer.packets.push(payload);
                if answer.packets.len() > shared.limits.mysql.max_result_packets
                    || answer.size > shared.limits.mysql.max_result_bytes
                {
                    return Err(Malformed);
                }
                if over {
                    let packets = std::mem::take(&mut answer.packets);
                    self.end(now, packets, shared)?;
                }
                Ok(())
            }
        }
    }

    /// Answers the engine's greeting.
    fn greeting(&mut self, payload: &[u8], shared: &Shared) -> Res<()> {
        let mut reader = Reader(payload);
        if reader.number(1)? != 10 {
            return Err(Malformed); // an error such as "too many connections", or another protocol
        }
        reader.text()?;
        reader.take(4)?;
        let mut challenge = reader.take(8)?.to_vec();
        reader.take(1 + 2 + 1 + 2 + 2 + 1 + 10)?;
        challenge.extend_from_slice(reader.take(auth::CHALLENGE - 8)?);
        reader.take(1)?;
        let plugin = reader.text().unwrap_or(auth::NATIVE).to_string();
        let engine = &shared.config.engine;
        let (name, answer) = match auth::answer(&plugin, &engine.password, &challenge) {
            Some(answer) => (plugin, answer),
            None => (auth::CACHING_SHA2.to_string(), Vec::new()), // the engine asks to switch then
        };
        let mut out = capability::OURS.to_le_bytes().to_vec();
        out.extend_from_slice(&(packet::SPLIT as u32).to_le_bytes());
        out.push(packet::CHARSET);
        out.extend_from_slice(&[0; 23]);
        out.extend_from_slice(engine.user.as_bytes());
        out.extend_from_slice(&[0, answer.len() as u8]);
        out.extend_from_slice(&answer);
        out.extend_from_slice(name.as_bytes());
        out.push(0);
        self.channel.push(packet::packet(1, &out));
        self.stage = Stage::Login { plugin: name, challenge };
        Ok(())
    }

    fn login(&mut self, now: Time, sequence: u8, payload: &[u8], shared: &mut Shared) -> Res<()> {
        let Stage::Login { plugin, challenge } = &mut self.stage else { return Err(Malformed) };
        match payload {
            [packet::OK, ..] => {
                self.stage = Stage::Idle;
                self.until = now + shared.limits.engines.idle_timeout;
                self.begin(&shared.limits);
                Ok(())
            }
            // The engine knows the password already; its OK follows.
            [packet::MORE, 3] => Ok(()),
            [packet::EOF, rest @ ..] => {
                let mut reader = Reader(rest);
                *plugin = reader.text()?.to_string();
                *challenge = reader.0.to_vec();
                let answer =
                    auth::answer(plugin, &shared.config.engine.password, challenge).ok_or(Malformed)?;
                self.channel.push(packet::packet(sequence.wrapping_add(1), &answer));
                Ok(())
            }
            // Denied, or the password is wanted as it is, which needs TLS.
            _ => Err(Malformed),
        }
    }

    fn preparing(&mut self, now: Time, payload: Vec<u8>, shared: &mut Shared) -> Res<()> {
        let Stage::Preparing { statement, skip } = &mut self.stage else { return Err(Malformed) };
        if statement.is_none() {
            if payload.first() == Some(&packet::ERR) {
                return self.end(now, vec![payload], shared);
            }
            let mut reader = Reader(&payload);
            if reader.number(1)? as u8 != packet::OK {
                return Err(Malformed);
            }
            *statement = Some(reader.number(4)? as u32);
            let (columns, parameters) = (reader.number(2)? as usize, reader.number(2)? as usize);
            let block = |count: usize| if count > 0 { count + 1 } else { 0 };
            *skip = block(columns) + block(parameters);
        } else {
            *skip = skip.checked_sub(1).ok_or(Malformed)?;
        }
        if let (Some(id), 0) = (*statement, *skip) {
            if let Some(run) = &self.running {
                self.prepared.push_back((run.work.statement.clone(), id));
            }
            self.begin(&shared.limits);
        }
        Ok(())
    }

    /// The attempt has its answer, and the connection is free.
    fn end(&mut self, now: Time, packets: Vec<Vec<u8>>, shared: &mut Shared) -> Res<()> {
        self.stage = Stage::Idle;
        self.until = now + shared.limits.engines.idle_timeout;
        let run = self.running.take().ok_or(Malformed)?;
        let ending = ending(packets)?;
        shared.news.push_back(UpstreamEvent::ended(&run.id, run.attempt, ending));
        Ok(())
    }
}

/// What an engine's answer says of the attempt. Errors of the statement itself are its answer: another
/// engine would say the same.
fn ending(packets: Vec<Vec<u8>>) -> Res<AttemptOutcome> {
    let last = packets.last().ok_or(Malformed)?;
    if last.first() != Some(&packet::ERR) {
        return Ok(AttemptOutcome::Served(packets));
    }
    Ok(match packet::error_number(last)? {
        // Too many connections, of one user too; shutting down: turned away unseen.
        1040 | 1053 | 1203 | 1226 => AttemptOutcome::Full,
        // Locks, kills, limits of time and space, a statement that was forgotten: of that engine, at that time.
        1021 | 1037 | 1041 | 1105 | 1114 | 1180 | 1205 | 1213 | 1243 | 1290 | 1317 | 1836 | 3024 => {
            AttemptOutcome::Error
        }
        _ => AttemptOutcome::Served(packets),
    })
}

/// Whether the status in an OK or EOF packet announces another result.
fn more_follows(payload: &[u8]) -> bool {
    let mut reader = Reader(payload);
    let status = match reader.number(1) {
        Ok(kind) if kind as u8 == packet::OK => {
            reader.length().and_then(|_| reader.length()).and_then(|_| reader.number(2))
        }
        Ok(kind) if kind as u8 == packet::EOF => reader.take(2).and_then(|_| reader.number(2)),
        _ => Ok(0),
    };
    status.is_ok_and(|status| status as u16 & packet::MORE_RESULTS != 0)
}
