//! One connection to an engine. It runs one attempt at a time.

use super::command;
use super::large_command::{CommandOutput, LargeCommand, SendStatus};
use super::prepared::{Preparation, PreparedStatements};
use super::query_result::{outcome_of_execution, outcome_of_failed_preparation, QueryResult};
use super::shared::Shared;
use crate::core::{AttemptOutcome, QueryPayload};
use crate::limits::MysqlLimits;
use crate::mysql::packet::{self, Malformed};
use crate::net::{BufferedStream, Connection, Flow, Time, Token};
use crate::upstream::events::{outcome_of_close, AttemptKey};
use crate::upstream::pool::EngineConnection;
use std::net::SocketAddr;

/// What a connection is waiting for.
pub enum ConnectionState {
    /// The connect to complete, or the engine's greeting.
    AwaitingGreeting,
    /// The engine's reply to our authentication.
    Authenticating,
    /// Nothing: no attempt is in flight.
    Idle,
    /// The answer to a PREPARE.
    Preparing(Preparation),
    /// The result.
    AwaitingResult(QueryResult),
}

/// The attempt on a connection.
pub struct RunningAttempt {
    /// Which attempt it is.
    pub key: AttemptKey,
    /// The time by which its first byte must have been written.
    pub send_deadline: Time,
    /// The query that the engine runs.
    pub payload: QueryPayload,
    /// The tag by which its command can be withdrawn from the output; `None` while the command is not queued.
    pub message_tag: Option<u64>,
}

/// A connection to an engine.
pub struct MysqlConnection {
    /// The socket.
    pub stream: BufferedStream,
    /// Its own token.
    pub token: Token,
    /// The address that it was opened to.
    address: SocketAddr,
    /// What it is waiting for.
    pub state: ConnectionState,
    /// The attempt in flight on this connection.
    pub running: Option<RunningAttempt>,
    /// The statements that are prepared on this connection.
    pub prepared: PreparedStatements,
    /// The time by which it must be ready or, later, from which it has been idle too long.
    pub idle_deadline: Time,
    /// A command that is sent in parts.
    large_command: Option<LargeCommand>,
}

impl MysqlConnection {
    /// Wraps a connection that has just been opened to `address` and must be ready by `ready_deadline`.
    pub fn new(token: Token, stream: BufferedStream, address: SocketAddr, ready_deadline: Time) -> Self {
        Self {
            stream,
            token,
            address,
            state: ConnectionState::AwaitingGreeting,
            running: None,
            prepared: PreparedStatements::default(),
            idle_deadline: ready_deadline,
            large_command: None,
        }
    }

    /// Whether the engine has accepted our account.
    pub fn is_ready(&self) -> bool {
        !matches!(self.state, ConnectionState::AwaitingGreeting | ConnectionState::Authenticating)
    }

    /// Withdraws the command that runs the attempt if no byte of it has been written. Returns whether there
    /// is an attempt and this command is unsent; a PREPARE may have been sent, because it runs nothing.
    pub fn withdraw(&mut self) -> bool {
        let Some(running) = &self.running else { return false };
        running.message_tag.is_none_or(|tag| self.stream.withdraw(tag))
    }

    /// Queues the command that runs the attempt or, if its statement is not prepared yet, the one that
    /// prepares it.
    pub fn start_attempt(&mut self, limits: &MysqlLimits) {
        let Some(running) = &self.running else { return };
        let (statement, arguments) = (running.payload.statement.clone(), running.payload.arguments.clone());
        let prepared = arguments.as_ref().and_then(|_| self.prepared.find(&statement));
        if arguments.is_none() || prepared.is_some() {
            self.large_command = LargeCommand::new(&running.payload, prepared.unwrap_or_default());
            if self.large_command.is_some() {
                self.state = ConnectionState::AwaitingResult(QueryResult::default());
                return;
            }
        }
        let message_tag = match (arguments, prepared) {
            (None, _) => Some(self.push_execution(&command::query(&statement))),
            (Some(arguments), Some(number)) => {
                Some(self.push_execution(&command::execute(number, &arguments)))
            }
            (Some(_), None) => {
                self.push_preparation(&statement, limits);
                None
            }
        };
        self.state = match message_tag {
            None => ConnectionState::Preparing(Preparation::default()),
            Some(_) => ConnectionState::AwaitingResult(QueryResult::default()),
        };
        if let Some(running) = &mut self.running {
            running.message_tag = message_tag;
        }
    }

    /// Queues a command that runs an attempt, and returns its message tag.
    fn push_execution(&mut self, payload: &[u8]) -> u64 {
        self.stream.push_counted(packet::encode(0, payload))
    }

    fn push_preparation(&mut self, statement: &[u8], limits: &MysqlLimits) {
        if let Some(oldest) = self.prepared.evict_oldest(limits.max_statements) {
            self.stream.push(packet::encode(0, &command::close(oldest)));
        }
        self.stream.push(packet::encode(0, &command::prepare(statement)));
    }

    /// Stops sending a command in parts, whether or not all of it is queued.
    fn end_large_command(&mut self, shared: &mut Shared) {
        if self.large_command.take().is_some() {
            shared.bodies.remove_connection(self.token);
        }
    }

    /// Handles one packet from the engine.
    fn handle_packet(
        &mut self,
        now: Time,
        sequence: u8,
        payload: Vec<u8>,
        shared: &mut Shared,
    ) -> Result<(), Malformed> {
        match &mut self.state {
            ConnectionState::AwaitingGreeting => self.handle_greeting(&payload, shared),
            ConnectionState::Authenticating => self.handle_authentication(now, sequence, &payload, shared),
            ConnectionState::Idle => Err(Malformed),
            ConnectionState::Preparing(preparation) => {
                if preparation.is_unanswered() && payload.first() == Some(&packet::ERR) {
                    return self.end_attempt(now, outcome_of_failed_preparation(payload), shared);
                }
                if let Some(number) = preparation.add(&payload)? {
                    self.end_preparation(number, &shared.limits.mysql);
                }
                Ok(())
            }
            ConnectionState::AwaitingResult(result) => match result.add(payload, &shared.limits.mysql)? {
                Some(packets) => self.end_attempt(now, outcome_of_execution(packets), shared),
                None => Ok(()),
            },
        }
    }

    /// The attempt's statement is prepared: runs the attempt.
    fn end_preparation(&mut self, number: u32, limits: &MysqlLimits) {
        if let Some(running) = &self.running {
            self.prepared.add(running.payload.statement.clone(), number);
        }
        self.start_attempt(limits);
    }

    /// The attempt has its outcome, and the connection becomes idle.
    fn end_attempt(
        &mut self,
        now: Time,
        outcome: Result<AttemptOutcome, Malformed>,
        shared: &mut Shared,
    ) -> Result<(), Malformed> {
        self.state = ConnectionState::Idle;
        self.idle_deadline = now + shared.limits.engines.idle_timeout;
        let running = self.running.take().ok_or(Malformed)?;
        shared.events.attempt_ended(&running.key.id, running.key.number, outcome?);
        Ok(())
    }

    /// Removes one packet from the input and handles it. Returns false if the packet is still incomplete.
    ///
    /// # Errors
    /// If the connection is unusable.
    fn read_packet(&mut self, now: Time, shared: &mut Shared) -> Result<bool, Malformed> {
        let max_bytes = shared.limits.mysql.max_result_bytes;
        let Some((sequence, payload, length)) = packet::decode_tuple(&self.stream.input, max_bytes)? else {
            return Ok(false);
        };
        let payload = payload.to_vec();
        self.stream.input.drain(..length);
        // A connection on which a command was sent only in part is unusable, whatever the answer was.
        let sends_command = self.large_command.is_some();
        self.handle_packet(now, sequence, payload, shared)?;
        if sends_command {
            Err(Malformed)
        } else {
            Ok(true)
        }
    }
}

impl EngineConnection for MysqlConnection {
    fn sent_attempts(&self) -> u64 {
        self.stream.counted_sent()
    }

    fn address(&self) -> SocketAddr {
        self.address
    }

    fn limit_send_deadlines(&mut self, deadline: Time) {
        if let Some(running) = &mut self.running {
            running.send_deadline = running.send_deadline.min(deadline);
        }
    }

    fn continue_body(&mut self, now: Time, shared: &mut Shared) -> Flow {
        let Some(command) = &mut self.large_command else { return Flow::Open };
        let mut output = CommandOutput {
            stream: &mut self.stream,
            bodies: &mut shared.bodies,
            connection: self.token,
            max_queued_bytes: shared.limits.engines.max_queued_body_bytes,
        };
        let status = command.send(now, &mut output);
        if let Some(running) = &mut self.running {
            running.message_tag = command.message_tag;
        }
        match status {
            SendStatus::Partial => Flow::Open,
            SendStatus::Complete => {
                self.end_large_command(shared);
                Flow::Open
            }
            // The engine must not mistake a partial body for the complete one.
            SendStatus::Lost => Flow::Close,
        }
    }
}

impl Connection for MysqlConnection {
    type Shared = Shared;

    const READ_AFTER_WRITE_ERROR: bool = true;

    fn channel(&mut self) -> &mut BufferedStream {
        &mut self.stream
    }

    fn readable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        loop {
            if self.continue_body(now, shared) == Flow::Close {
                return Flow::Close;
            }
            match self.read_packet(now, shared) {
                Ok(true) => {}
                Ok(false) => return Flow::Open,
                Err(Malformed) => return Flow::Close,
            }
        }
    }

    fn writable(&mut self, now: Time, shared: &mut Shared) -> Flow {
        self.continue_body(now, shared)
    }

    /// An attempt whose send deadline has passed is not sent, and its connection is closed: the process may
    /// have been suspended since it was queued.
    fn before_write(&mut self, now: Time, _: &mut Shared) -> Flow {
        let is_late = self.running.as_ref().is_some_and(|running| running.send_deadline <= now);
        if is_late && self.withdraw() {
            Flow::Close
        } else {
            Flow::Open
        }
    }

    fn has_unqueued_output(&self) -> bool {
        self.large_command.as_ref().is_some_and(|command| !command.waits_for_bytes)
    }

    /// An unsent attempt never ran; one that was sent in whole or in part may have.
    fn closed(&mut self, _: Time, shared: &mut Shared) {
        shared.sent_attempts += self.stream.counted_sent();
        let is_unsent = self.withdraw();
        self.end_large_command(shared);
        if let Some(running) = self.running.take() {
            let outcome = outcome_of_close(&self.stream, is_unsent);
            shared.events.attempt_ended(&running.key.id, running.key.number, outcome);
        }
    }
}
