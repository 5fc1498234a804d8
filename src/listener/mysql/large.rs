//! What does not come in one small packet: statements and executions over the door's own limit, in packets of
//! up to 16 MB and over that in several, and parameters that come ahead of their execution. They go into the
//! spool as they come, and are always kept: a session that waits for its answer cannot be told to send again.

use super::{encode, sql, statement, unknown, Refusal, Session, Shared, Statement};
use crate::core::{Answer, LongParameter, ParameterValue, Request};
use crate::mysql::packet::{self, command, Malformed, Reader, Res, SPLIT};
use crate::net::{Flow, Time};
use dahliaspoke_body_store::plan::{BodyId, Refusal as NoPlace};
use dahliaspoke_body_store::spool::{Body, Wake};
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes of a payload that are looked at before the rest is taken: a statement's first words and hints, or an
/// execution's types.
const HEAD: usize = 16 << 10;
/// The longest key that an argument may hold.
const KEY: usize = 256;

/// A payload that is coming in.
pub struct Large {
    /// Bytes that have not come of the packet that is open.
    left: usize,
    /// That packet is a full one: another follows.
    goes_on: bool,
    target: Target,
    /// There is no room for more of it now.
    full: bool,
}

enum Target {
    /// The rest of a request: its statement, or its arguments' values.
    Request { body: Body, ask: Box<Request>, time: f64, values: Option<Values> },
    /// A parameter of a prepared statement.
    Parameter(u32, u16),
    /// Nobody's: it was answered already.
    Nothing,
}

/// A request that is whole, as soon as what the spool has of it is kept.
pub struct Pending {
    ask: Box<Request>,
    /// How long its client waits (s), from when its last byte came.
    time: f64,
    since: Time,
    missing: Vec<BodyId>,
}

/// A parameter as far as it has come.
pub enum Parameter {
    Here(Vec<u8>),
    Spool(Body),
    /// It could not be kept.
    Lost,
}

/// Reads an execution's values as they come: whether they are well formed, and what the key's value is.
struct Values {
    /// Position and type of those that are to come.
    kinds: VecDeque<(usize, u8)>,
    /// What has come of the number that tells a length.
    prefix: Vec<u8>,
    /// Bytes of the open value that are to come.
    left: usize,
    /// Position of the one that holds the key.
    wanted: Option<usize>,
    key: Vec<u8>,
    /// The open one is the key.
    takes: bool,
}

impl Values {
    fn go_on(&mut self, mut bytes: &[u8]) -> Res<()> {
        while !bytes.is_empty() {
            if self.left > 0 {
                let (value, rest) = bytes.split_at(self.left.min(bytes.len()));
                if self.takes && self.key.len() <= KEY {
                    self.key.extend_from_slice(value);
                }
                self.left -= value.len();
                bytes = rest;
                continue;
            }
            let Some((at, kind)) = self.kinds.front().copied() else { return Err(Malformed) };
            if let Some((0, length)) = packet::extent(&self.prefix, kind)? {
                self.open(at, length); // its type tells its length
                continue;
            }
            self.prefix.push(bytes[0]);
            bytes = &bytes[1..];
            if let Some((_, length)) = packet::extent(&self.prefix, kind)? {
                self.open(at, length);
            }
        }
        Ok(())
    }

    fn open(&mut self, at: usize, length: usize) {
        self.kinds.pop_front();
        self.prefix.clear();
        self.left = length;
        self.takes = self.wanted == Some(at);
    }

    /// Whether all of them have come. Those that are empty by their type need no byte.
    fn is_over(&mut self) -> bool {
        while self.left == 0 && self.kinds.front().is_some_and(|(_, kind)| *kind == 0x06) {
            self.kinds.pop_front();
        }
        self.left == 0 && self.prefix.is_empty() && self.kinds.is_empty()
    }
}

fn too_large() -> Refusal {
    Refusal(1153, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes".into())
}

impl Session {
    /// Whether its client can do nothing now.
    pub fn waits(&self) -> bool {
        self.pending.is_some() || self.large.as_ref().is_some_and(|large| large.full)
    }

    /// Length and number of the packet at the start of the input, if it is one that does not come at once.
    pub fn large_packet(&self, shared: &Shared) -> Option<(usize, u8)> {
        let limits = &shared.state.limits;
        packet::header(&self.channel.input)
            .filter(|(length, _)| limits.bodies.max_bytes > 0 && *length > limits.http.max_body_bytes)
    }

    /// Begins to take a payload whose first packet is that large; nothing while its beginning is not here.
    pub fn begin_large(&mut self, now: Time, length: usize, sequence: u8, shared: &mut Shared) -> Flow {
        let head = packet::HEADER + length.min(HEAD);
        if self.channel.input.len() < head {
            self.until = self.until.min(now + shared.state.limits.clients.request_timeout);
            return Flow::Open;
        }
        self.answer_from = sequence.wrapping_add(1);
        let start: Vec<u8> = self.channel.input.drain(..head).skip(packet::HEADER).collect();
        let known = (length < SPLIT).then_some(length);
        let (used, target) = match self.target(now, &start, known, shared) {
            Ok(Ok(target)) => target,
            Ok(Err(refusal)) if refusal.0 != 1153 => {
                self.push(self.answer_from, &[refusal.encode()]);
                (start.len(), Target::Nothing)
            }
            Ok(Err(refusal)) => return self.end(now, self.answer_from, refusal, shared),
            Err(Malformed) => return self.end(now, self.answer_from, super::malformed(), shared),
        };
        self.large = Some(Large { left: length - used, goes_on: length == SPLIT, target, full: false });
        shared.state.open_uploads += 1;
        // What was looked at and not used is taken like the rest.
        let rest = start.len() - used;
        self.channel.input.splice(..0, start[start.len() - rest..].iter().copied());
        self.take_large(now, shared)
    }

    /// Where a payload that begins like this goes, and how much of its beginning that takes.
    #[allow(clippy::type_complexity)]
    fn target(
        &mut self,
        now: Time,
        start: &[u8],
        length: Option<usize>,
        shared: &mut Shared,
    ) -> Res<Result<(usize, Target), Refusal>> {
        let mut reader = Reader(start);
        match reader.number(1)? as u8 {
            command::QUERY => {
                // Its first words decide; it may end in the middle of a letter here.
                let text = match std::str::from_utf8(reader.0) {
                    Ok(text) => text,
                    Err(e) if e.error_len().is_some() => return Err(Malformed),
                    Err(e) => std::str::from_utf8(&reader.0[..e.valid_up_to()]).unwrap_or_default(),
                };
                if sql::sets_variable(text) || !matches!(super::setup::plan(text, 0), super::Plan::Forward) {
                    return Ok(Err(too_large()));
                }
                let found = match statement(text, shared) {
                    Ok(found) => found,
                    Err(refusal) => return Ok(Err(refusal)),
                };
                let ask = self.make(&Statement { text: Arc::default(), ..found.clone() }, None, None, shared);
                Ok(self.request(now, ask, found.deadline, 1, length, None, shared))
            }
            command::EXECUTE => {
                let id = reader.number(4)? as u32;
                reader.take(1 + 4)?;
                let Some(found) = self.statements.get(&id).cloned() else {
                    return Ok(Err(unknown(id, "mysqld_stmt_execute")));
                };
                let before = reader.0.len();
                let count = found.parameters;
                if count == 0 || count.div_ceil(8) + 1 + 2 * count > before {
                    return Ok(Err(too_large()));
                }
                let mut bound = found.clone();
                let nulls = reader.take(count.div_ceil(8))?.to_vec();
                if reader.number(1)? == 1 {
                    bound.types = reader.take(2 * count)?.to_vec();
                }
                if bound.types.len() != 2 * count {
                    return Ok(Err(super::unbound()));
                }
                let used = start.len() - reader.0.len();
                let ahead = |at: usize| self.parameters.contains_key(&(id, at as u16));
                let comes = |at: &usize| nulls[at / 8] >> (at % 8) & 1 == 0 && !ahead(*at);
                let kinds = (0..count).filter(comes).map(|at| (at, bound.types[2 * at])).collect();
                let wanted = match bound.key {
                    Some(super::Key::Parameter(at)) => Some(at),
                    _ => None,
                };
                let (prefix, key) = (Vec::new(), Vec::new());
                let values = Values { kinds, prefix, left: 0, wanted, key, takes: false };
                let arguments = [&nulls[..], &[1], &bound.types].concat();
                self.statements.insert(id, bound.clone());
                let mut ask = self.make(&bound, Some(arguments), None, shared);
                match self.take_parameters(id) {
                    Ok(long) => ask.payload.long_parameters = long,
                    Err(refusal) => return Ok(Err(refusal)),
                }
                Ok(self.request(now, ask, bound.deadline, used, length, Some(values), shared))
            }
            command::LONG_DATA => {
                let (id, at) = (reader.number(4)? as u32, reader.number(2)? as u16);
                Ok(Ok((start.len() - reader.0.len(), Target::Parameter(id, at))))
            }
            _ => Ok(Err(too_large())),
        }
    }

    /// Finds room for what a request still brings.
    #[allow(clippy::too_many_arguments)]
    fn request(
        &mut self,
        now: Time,
        ask: Request,
        time: f64,
        used: usize,
        length: Option<usize>,
        values: Option<Values>,
        shared: &mut Shared,
    ) -> Result<(usize, Target), Refusal> {
        let spool = shared.spool.clone().ok_or_else(too_large)?;
        let by = now + shared.state.limits.bodies.upload_timeout + time;
        let open = now < shared.state.upload_cutoff;
        // Its length may be known, and still it is asked for as one that is not: it must be kept.
        if (length.unwrap_or(SPLIT) - used) as u64 > spool.borrow().largest(ask.class) {
            return Err(too_large());
        }
        let taken = spool.borrow_mut().admit_open(now, ask.class, by);
        match taken {
            Ok(body) if open => {
                shared.uploads.insert(body.id(), self.token);
                Ok((used, Target::Request { body, ask: Box::new(ask), time, values }))
            }
            Err(NoPlace::TooLarge) => Err(too_large()),
            Ok(_) | Err(NoPlace::NoRoom) => {
                shared.state.report_rejected(ask.class);
                Err(busy(shared))
            }
        }
    }

    /// Takes what has come of the payload that is open.
    pub fn take_large(&mut self, now: Time, shared: &mut Shared) -> Flow {
        while let Some(mut large) = self.large.take() {
            let count = large.left.min(self.channel.input.len());
            let bytes: Vec<u8> = self.channel.input[..count].to_vec();
            let taken = self.give(now, &mut large, &bytes, shared);
            let Ok(taken) = taken else {
                self.end_large(&large, shared);
                return self.end(now, self.answer_from, super::malformed(), shared);
            };
            self.channel.input.drain(..taken);
            large.left -= taken;
            if taken > 0 {
                self.until = now + shared.state.limits.bodies.stall_timeout;
            }
            if large.left > 0 {
                large.full = taken < count;
                self.large = Some(large);
                return Flow::Open;
            }
            if large.goes_on {
                let Some((length, sequence)) = packet::header(&self.channel.input) else {
                    self.large = Some(large);
                    return Flow::Open;
                };
                (large.left, large.goes_on) = (length, length == SPLIT);
                self.answer_from = sequence.wrapping_add(1);
                self.channel.input.drain(..packet::HEADER);
                self.large = Some(large);
                continue;
            }
            return self.whole(now, large, shared);
        }
        Flow::Open
    }

    /// Hands bytes on to where they go: how many were taken.
    fn give(&mut self, now: Time, large: &mut Large, bytes: &[u8], shared: &mut Shared) -> Res<usize> {
        match &mut large.target {
            Target::Nothing => Ok(bytes.len()),
            Target::Parameter(id, at) => Ok(self.put(now, (*id, *at), bytes, shared)),
            Target::Request { body, values, .. } => {
                let Some(spool) = &shared.spool else { return Ok(bytes.len()) };
                let taken = spool.borrow_mut().take_in(now, body.id(), bytes);
                if let Some(values) = values {
                    values.go_on(&bytes[..taken])?;
                }
                Ok(taken)
            }
        }
    }

    /// Nothing more of a payload is taken.
    fn end_large(&mut self, large: &Large, shared: &mut Shared) {
        shared.state.open_uploads -= 1;
        if let Target::Request { body, .. } = &large.target {
            shared.uploads.remove(&body.id());
        }
    }

    /// The connection is over.
    pub fn drop_large(&mut self, shared: &mut Shared) {
        if let Some(large) = self.large.take() {
            self.end_large(&large, shared);
        }
        let bodies = self.pending.take().map_or(Vec::new(), |pending| pending.missing);
        shared.uploads.retain(|body, _| !bodies.contains(body));
        for parameter in self.parameters.values() {
            if let Parameter::Spool(body) = parameter {
                shared.uploads.remove(&body.id());
            }
        }
    }

    /// All of a payload has come.
    fn whole(&mut self, now: Time, large: Large, shared: &mut Shared) -> Flow {
        shared.state.open_uploads -= 1;
        self.until = now + shared.state.limits.mysql.session_idle_timeout;
        let Target::Request { body, mut ask, time, values } = large.target else {
            return self.next_packet(now, shared);
        };
        if let Some(mut values) = values {
            if !values.is_over() {
                shared.uploads.remove(&body.id());
                return self.end(now, self.answer_from, super::malformed(), shared);
            }
            if !values.key.is_empty() && values.key.len() <= KEY {
                ask.payload.idempotency_key = Some(super::key_text(&values.key));
            }
        }
        ask.payload.body = Some(body);
        self.wait_for(now, ask, time, shared)
    }

    /// Hands a request on once all that the spool has of it is kept.
    pub fn wait_for(&mut self, now: Time, ask: Box<Request>, time: f64, shared: &mut Shared) -> Flow {
        let mut missing = Vec::new();
        for body in ask.payload.stored_bodies() {
            let Some(spool) = &shared.spool else { continue };
            spool.borrow_mut().end(now, body.id());
            if !spool.borrow().is_kept(body.id()) {
                shared.uploads.insert(body.id(), self.token);
                missing.push(body.id());
            }
        }
        self.pending = Some(Pending { ask, time, since: now, missing });
        self.go(shared)
    }

    fn go(&mut self, shared: &mut Shared) -> Flow {
        if self.pending.as_ref().is_some_and(|pending| pending.missing.is_empty()) {
            if let Some(pending) = self.pending.take() {
                self.hand_on(pending.since, *pending.ask, pending.time, shared);
            }
        }
        Flow::Open
    }

    /// Takes a part of a parameter that comes ahead of its execution: how many bytes, where there is room.
    pub fn put(&mut self, now: Time, place: (u32, u16), bytes: &[u8], shared: &mut Shared) -> usize {
        let Some(class) = self.statements.get(&place.0).map(|statement| statement.class) else {
            return bytes.len(); // told at the execution
        };
        let here: usize =
            self.parameters.values().map(|p| if let Parameter::Here(b) = p { b.len() } else { 0 }).sum();
        let many = self.parameters.len() >= shared.state.limits.mysql.max_statements;
        let most = shared.state.limits.http.max_body_bytes;
        let held = self.parameters.entry(place).or_insert_with(|| {
            if many {
                Parameter::Lost
            } else {
                Parameter::Here(Vec::new())
            }
        });
        if let Parameter::Here(held) = held {
            if here + bytes.len() <= most {
                held.extend_from_slice(bytes);
                return bytes.len();
            }
        }
        let Some(spool) = shared.spool.clone() else {
            *held = Parameter::Lost;
            return bytes.len();
        };
        if let Parameter::Here(held_here) = held {
            // It has outgrown the door's own room.
            let by = now + shared.state.limits.mysql.session_idle_timeout;
            let begun = std::mem::take(held_here);
            let taken = spool.borrow_mut().admit_open(now, class, by);
            *held = match taken {
                Ok(body) => {
                    shared.uploads.insert(body.id(), self.token);
                    // At most what the door itself holds, which is what an open body begins with.
                    spool.borrow_mut().room(body.id());
                    spool.borrow_mut().push(now, body.id(), &begun);
                    Parameter::Spool(body)
                }
                Err(_) => Parameter::Lost,
            };
        }
        let Parameter::Spool(body) = held else { return bytes.len() };
        let taken = spool.borrow_mut().take_in(now, body.id(), bytes);
        taken
    }

    /// The rest of a part of a parameter waits until there is room, and with it all that comes behind.
    pub fn hold_back(&mut self, place: (u32, u16), rest: &[u8], shared: &mut Shared) {
        self.channel.input.splice(..0, rest.iter().copied());
        let target = Target::Parameter(place.0, place.1);
        self.large = Some(Large { left: rest.len(), goes_on: false, target, full: true });
        shared.state.open_uploads += 1;
    }

    /// Parameters that came ahead of an execution which does not come.
    pub fn forget_parameters(&mut self, id: u32, shared: &mut Shared) {
        self.parameters.retain(|place, parameter| {
            if let (true, Parameter::Spool(body)) = (place.0 == id, parameter) {
                shared.uploads.remove(&body.id());
            }
            place.0 != id
        });
    }

    /// The parameters that came ahead of an execution of this statement; they count for one only.
    pub(super) fn take_parameters(&mut self, id: u32) -> Result<Vec<LongParameter>, Refusal> {
        let places: Vec<(u32, u16)> = self.parameters.keys().copied().filter(|p| p.0 == id).collect();
        let (mut long, mut lost) = (Vec::new(), false);
        for place in places {
            let mut add = |value| long.push(LongParameter { position: place.1, value });
            match self.parameters.remove(&place) {
                Some(Parameter::Here(bytes)) => add(ParameterValue::Inline(bytes.into())),
                Some(Parameter::Spool(body)) => add(ParameterValue::Stored(body)),
                Some(Parameter::Lost) | None => lost = true,
            }
        }
        long.sort_by_key(|parameter| parameter.position);
        if lost {
            let message =
                "Parameter of prepared statement which is set through mysql_send_long_data() is longer \
                           than 'max_long_data_size' bytes, or there was no room for it";
            return Err(Refusal(1105, "HY000", message.into()));
        }
        Ok(long)
    }

    /// Something has become of a body.
    pub fn woken(&mut self, now: Time, body: BodyId, wake: &Wake, shared: &mut Shared) -> Flow {
        match wake {
            Wake::Room(_) => {
                if let Some(large) = &mut self.large {
                    large.full = false;
                    self.until = now + shared.state.limits.bodies.stall_timeout;
                }
                self.take_large(now, shared)
            }
            Wake::Kept(_) => {
                if let Some(pending) = &mut self.pending {
                    pending.missing.retain(|missing| *missing != body);
                }
                if !self.parameters.values().any(|p| matches!(p, Parameter::Spool(b) if b.id() == body)) {
                    shared.uploads.remove(&body);
                }
                self.go(shared)
            }
            Wake::Lost(_) | Wake::Passed(_) => self.lost(now, body, shared),
            Wake::Spent(_) | Wake::Data(_) => Flow::Open,
        }
    }

    /// The spool cannot keep a body. What it belongs to has not run: it is refused, and the session goes on.
    fn lost(&mut self, now: Time, body: BodyId, shared: &mut Shared) -> Flow {
        shared.uploads.remove(&body);
        for parameter in self.parameters.values_mut() {
            if matches!(parameter, Parameter::Spool(b) if b.id() == body) {
                *parameter = Parameter::Lost; // told at the execution
                if let Some(large) = &mut self.large {
                    large.full = false;
                }
                return self.take_large(now, shared);
            }
        }
        if self.pending.as_ref().is_some_and(|pending| pending.missing.contains(&body)) {
            if let Some(pending) = self.pending.take() {
                return self.turn_away(now, pending.ask.class, shared);
            }
        }
        if let Some(large) = &mut self.large {
            if let Target::Request { ask, body: own, .. } = &large.target {
                if own.id() == body {
                    let class = ask.class;
                    let outgrown = |spool: &crate::body_store::Shared| {
                        spool.borrow().came(body) >= spool.borrow().largest(class)
                    };
                    if shared.spool.as_ref().is_some_and(outgrown) {
                        return self.end(now, self.answer_from, too_large(), shared);
                    }
                    (large.target, large.full) = (Target::Nothing, false);
                    shared.state.report_rejected(class);
                    let refusal = busy(shared);
                    self.push(self.answer_from, &[refusal.encode()]);
                    return self.take_large(now, shared);
                }
            }
        }
        Flow::Open
    }

    fn turn_away(&mut self, now: Time, class: usize, shared: &mut Shared) -> Flow {
        shared.state.report_rejected(class);
        self.push(self.answer_from, &encode(Answer::Rejected(shared.state.limits.bodies.retry_after), false));
        self.next_packet(now, shared)
    }
}

/// There is no room now.
fn busy(shared: &Shared) -> Refusal {
    super::refused(shared.state.limits.bodies.retry_after)
}
