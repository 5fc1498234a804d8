//! A client's session: its state machine, and the loop that reads its packets.

use super::answer::encode_answer;
use super::error::{CommandError, MysqlError};
use super::large::{LargePayload, LongValue, ParameterId, PendingRequest};
use super::login;
use super::statement::Statement;
use super::Shared;
use crate::core::{Answer, Request};
use crate::limits::Limits;
use crate::listener::server::{ClientConnection, EvictionRank, ListenerState};
use crate::mysql::auth;
use crate::mysql::packet::{self, command, Malformed, Packet};
use crate::net::{BufferedStream, Connection, Flow, Time, Token};
use dahliaspoke::policy::RequestId;
use std::collections::HashMap;

/// The sequence number of the first packet of the response to a command.
pub(super) const FIRST_ANSWER_SEQUENCE: u8 = 1;

/// State of a session.
pub(super) enum SessionState {
    /// Waiting for the client's response to the greeting.
    AwaitingLogin,
    /// Waiting for the client to authenticate with the supported plugin.
    AwaitingAuthSwitch,
    /// Waiting for the next command.
    Idle,
    /// Receiving a large payload or long data.
    Receiving(LargePayload),
    /// Waiting until the bodies of a request are stored.
    Storing(PendingRequest),
    /// A request is open in the core.
    Running(RequestId),
    /// Scheduled to handle the next of several commands that were sent at once.
    Scheduled,
    /// The next command waits until the client has read the earlier answers.
    AwaitingReader,
}

/// A client's session.
pub struct Session {
    pub(super) stream: BufferedStream,
    pub(super) token: Token,
    pub(super) state: SessionState,
    pub(super) challenge: [u8; auth::CHALLENGE_BYTES],
    pub(super) account: String,
    /// Prepared statements by id.
    pub(super) statements: HashMap<u32, Statement>,
    pub(super) last_statement: u32,
    /// Parameters that were sent as long data, ahead of their execution.
    pub(super) parameters: HashMap<ParameterId, LongValue>,
    /// The sequence number of the next packet to the client.
    pub(super) next_sequence: u8,
    /// When the client of the open request stops waiting.
    request_deadline: Time,
    accepted_at: Time,
    /// When the client must have sent the data that is expected of it.
    pub(super) deadline: Time,
}

impl ClientConnection for Session {
    fn accepted(now: Time, mut stream: BufferedStream, token: Token, shared: &Shared) -> Option<Self> {
        let challenge = login::new_challenge()?;
        stream.push(packet::encode(0, &login::greeting(token.slot, &challenge)));
        Some(Session {
            stream,
            token,
            state: SessionState::AwaitingLogin,
            challenge,
            account: String::new(),
            statements: HashMap::new(),
            last_statement: 0,
            parameters: HashMap::new(),
            next_sequence: FIRST_ANSWER_SEQUENCE,
            request_deadline: 0.0,
            accepted_at: now,
            deadline: now + shared.state.limits.clients.request_timeout,
        })
    }

    fn deadline(&self) -> Option<Time> {
        let client_waits = match &self.state {
            SessionState::Storing(_) | SessionState::Running(_) | SessionState::Scheduled => true,
            SessionState::Receiving(payload) => payload.store_full,
            SessionState::AwaitingLogin
            | SessionState::AwaitingAuthSwitch
            | SessionState::Idle
            | SessionState::AwaitingReader => false,
        };
        (!client_waits).then_some(self.deadline)
    }

    fn on_deadline(&mut self, _: Time, _: &mut Shared) -> Flow {
        Flow::Close
    }

    fn on_scheduled(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if !matches!(self.state, SessionState::Scheduled) {
            return Flow::Open;
        }
        if self.has_unread_answers(shared) {
            self.state = SessionState::AwaitingReader;
            self.deadline = now + shared.state.limits.mysql.write_timeout;
            return Flow::Open;
        }
        self.state = SessionState::Idle;
        self.next_packet(now, shared)
    }

    fn refusable_bytes(&self) -> Option<usize> {
        let is_refusable = match self.state {
            SessionState::AwaitingLogin
            | SessionState::AwaitingAuthSwitch
            | SessionState::Receiving(_)
            | SessionState::AwaitingReader => true,
            SessionState::Idle => !self.stream.input.is_empty() || self.stream.queued() > 0,
            SessionState::Storing(_) | SessionState::Running(_) | SessionState::Scheduled => false,
        };
        is_refusable.then(|| self.stream.buffered_bytes())
    }

    fn on_memory_pressure(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if matches!(self.state, SessionState::Idle) && !self.stream.input.is_empty() {
            return self.end(now, FIRST_ANSWER_SEQUENCE, &MysqlError::out_of_memory(), shared);
        }
        Flow::Close
    }

    fn max_buffered_bytes(limits: &Limits) -> usize {
        limits.mysql.max_buffered_bytes
    }

    /// Only a session that is not authenticated may be evicted: the client of an authenticated one relies on
    /// its prepared statements.
    fn eviction_rank(&self) -> Option<EvictionRank> {
        let rank = EvictionRank { has_sent_request: false, idle_since: self.accepted_at };
        (!self.is_authenticated()).then_some(rank)
    }

    fn state(shared: &mut Shared) -> &mut ListenerState {
        &mut shared.state
    }

    fn max_connections(limits: &Limits) -> usize {
        limits.mysql.max_sessions
    }
}

impl Connection for Session {
    type Shared = Shared;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        match self.state {
            SessionState::Receiving(_) => self.receive_large(now, shared),
            SessionState::AwaitingLogin | SessionState::AwaitingAuthSwitch | SessionState::Idle => {
                self.next_packet(now, shared)
            }
            SessionState::Storing(_)
            | SessionState::Running(_)
            | SessionState::Scheduled
            | SessionState::AwaitingReader => Flow::Open,
        }
    }

    /// The client has read some of its answers.
    fn writable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        if matches!(self.state, SessionState::AwaitingReader) {
            self.deadline = now + shared.state.limits.mysql.write_timeout;
            if !self.has_unread_answers(shared) {
                self.schedule(now, shared);
            }
        }
        Flow::Open
    }

    /// Commands that a client sends ahead of an answer stay in the socket, except for what one read returned.
    fn is_paused(&self) -> bool {
        match &self.state {
            SessionState::AwaitingLogin | SessionState::AwaitingAuthSwitch | SessionState::Idle => false,
            SessionState::Receiving(payload) => payload.store_full,
            SessionState::Storing(_) | SessionState::Running(_) => !self.stream.input.is_empty(),
            SessionState::Scheduled | SessionState::AwaitingReader => true,
        }
    }

    fn closed(&mut self, _: Time, shared: &mut Shared) {
        self.release_bodies(shared);
        for statement in self.statements.values() {
            shared.statement_memory.release(statement);
        }
        if let SessionState::Running(id) = std::mem::replace(&mut self.state, SessionState::Idle) {
            shared.state.report_client_gone(id);
        }
    }
}

impl Session {
    fn is_authenticated(&self) -> bool {
        !matches!(self.state, SessionState::AwaitingLogin | SessionState::AwaitingAuthSwitch)
    }

    /// Whether the client has left so many bytes of its answers unread that its next command must wait.
    fn has_unread_answers(&self, shared: &Shared) -> bool {
        self.stream.queued() > shared.state.limits.clients.max_unread_answer_bytes
    }

    /// Schedules the session if input is buffered behind the command that was just answered.
    pub(super) fn schedule_if_buffered(&mut self, now: Time, shared: &mut Shared) {
        if matches!(self.state, SessionState::Idle) && !self.stream.input.is_empty() {
            self.schedule(now, shared);
        }
    }

    fn schedule(&mut self, now: Time, shared: &mut Shared) {
        self.state = SessionState::Scheduled;
        shared.state.schedule(now, self.token);
    }

    /// Queues payloads as packets, numbered from `sequence`.
    pub(super) fn send(&mut self, sequence: u8, payloads: &[Vec<u8>]) {
        let mut out = Vec::new();
        for (index, payload) in payloads.iter().enumerate() {
            out.extend(packet::encode(sequence.wrapping_add(index as u8), payload));
        }
        if !out.is_empty() {
            self.stream.push(out);
        }
    }

    /// Sends the final answer to the open request.
    pub(super) fn answer(&mut self, now: Time, answer: Answer, shared: &mut Shared) -> Flow {
        self.state = SessionState::Idle;
        self.deadline = now + shared.state.limits.mysql.session_idle_timeout;
        let is_late = now + shared.state.limits.results.deadline_margin >= self.request_deadline;
        self.send(self.next_sequence, &encode_answer(answer, is_late));
        self.schedule_if_buffered(now, shared);
        Flow::Open
    }

    /// Submits a request. Its client waits for `timeout` seconds from `received_at`, at most
    /// `max_request_time`.
    pub(super) fn submit(
        &mut self,
        received_at: Time,
        mut request: Request,
        timeout: f64,
        shared: &mut Shared,
    ) {
        self.request_deadline = received_at + timeout.min(shared.state.limits.clients.max_request_time);
        request.deadline = self.request_deadline;
        self.state = SessionState::Running(request.id.clone());
        shared.state.submit(self.token, request);
    }

    /// Handles the packet at the start of the input, if it is complete. Commands behind it are
    /// handled in later iterations of the event loop.
    fn next_packet(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.next_sequence = FIRST_ANSWER_SEQUENCE;
        if self.is_authenticated() {
            if let Some(header) = self.large_packet_header(shared) {
                return self.begin_large(now, header, shared);
            }
        }
        let max_length = shared.state.limits.http.max_body_bytes;
        let (sequence, payload) = match packet::decode(&self.stream.input, max_length) {
            Ok(Some(Packet { sequence, payload, length })) => {
                let payload = payload.to_vec();
                self.stream.input.drain(..length);
                (sequence, payload)
            }
            Ok(None) => {
                self.await_rest_of_packet(now, shared);
                return Flow::Open;
            }
            Err(Malformed) => {
                return self.end(now, FIRST_ANSWER_SEQUENCE, &MysqlError::too_large(), shared);
            }
        };
        let flow = self.handle_packet(now, sequence.wrapping_add(1), &payload, shared);
        if flow == Flow::Open && !self.is_authenticated() && !self.stream.input.is_empty() {
            return self.next_packet(now, shared);
        }
        if flow == Flow::Open {
            self.schedule_if_buffered(now, shared);
        }
        flow
    }

    /// Sets the deadline by which an incomplete packet must be complete; a session with one is not idle.
    pub(super) fn await_rest_of_packet(&mut self, now: Time, shared: &Shared) {
        if !self.stream.input.is_empty() {
            self.deadline = self.deadline.min(now + shared.state.limits.clients.request_timeout);
        }
    }

    /// Handles a packet. `sequence` is the sequence number of the next packet to the client.
    fn handle_packet(&mut self, now: Time, sequence: u8, payload: &[u8], shared: &mut Shared) -> Flow {
        let result = match self.state {
            SessionState::AwaitingLogin => self.login(sequence, payload, shared),
            SessionState::AwaitingAuthSwitch => {
                self.authenticate(sequence, payload, shared).map_err(CommandError::from)
            }
            _ if payload.first() == Some(&command::QUIT) => return Flow::Close,
            _ => self.handle_command(now, payload, shared),
        };
        if self.is_authenticated() {
            self.deadline = now + shared.state.limits.mysql.session_idle_timeout;
        }
        match result {
            Ok(()) => Flow::Open,
            Err(CommandError::Rejected(error)) if self.is_authenticated() => {
                self.send(sequence, &[error.encode()]);
                Flow::Open
            }
            Err(CommandError::Rejected(error)) => self.end(now, sequence, &error, shared),
            Err(CommandError::Malformed) => self.end(now, sequence, &MysqlError::malformed(), shared),
        }
    }

    /// Sends an error and closes the session. Input that is left is dropped.
    pub(super) fn end(&mut self, now: Time, sequence: u8, error: &MysqlError, shared: &mut Shared) -> Flow {
        shared.state.bad_requests += 1;
        self.stream.input = Vec::new();
        self.send(sequence, &[error.encode()]);
        self.deadline = shared.state.begin_linger(now, self.token);
        Flow::Finish
    }
}
