//! Handles the commands of an authenticated session.

use super::arguments;
use super::error::{code, sql_state, CommandError, MysqlError};
use super::large::ParameterId;
use super::session::{Session, FIRST_ANSWER_SEQUENCE};
use super::setup::{self, Setup};
use super::statement::{KeySource, Statement};
use super::Shared;
use crate::mysql::packet::{self, command, Malformed, Reader};
use crate::net::Time;

/// Bytes of an execution between the statement's id and its arguments: flags and an iteration count. A cursor
/// that the flags ask for is not opened; all rows are sent at once, which the protocol allows.
pub(super) const EXECUTE_SKIPPED: usize = 1 + 4;
/// The function named in the error for an execution whose statement does not exist.
pub(super) const EXECUTE_FUNCTION: &str = "mysqld_stmt_execute";
const RESET_FUNCTION: &str = "mysqld_stmt_reset";

impl Session {
    /// Handles a command. Commands that an engine must answer become requests.
    pub(super) fn handle_command(
        &mut self,
        now: Time,
        payload: &[u8],
        shared: &mut Shared,
    ) -> Result<(), CommandError> {
        let mut reader = Reader(payload);
        match reader.number(1)? as u8 {
            command::PING => {
                self.send(FIRST_ANSWER_SEQUENCE, &[packet::ok()]);
                Ok(())
            }
            command::QUERY => self.query(now, decode_text(&reader)?, shared),
            command::PREPARE => Ok(self.prepare(decode_text(&reader)?, shared)?),
            command::EXECUTE => self.execute(now, reader, shared),
            command::RESET => self.reset(reader.number(4)? as u32, shared),
            command::CLOSE => {
                self.close_statement(reader.number(4)? as u32, shared);
                Ok(())
            }
            command::LONG_DATA => self.long_data(now, reader, shared),
            _ => {
                let (code, state) = (code::UNKNOWN_COM_ERROR, sql_state::CONNECTION_FAILURE);
                Err(MysqlError::new(code, state, "Unknown command").into())
            }
        }
    }

    fn query(&mut self, now: Time, text: &str, shared: &mut Shared) -> Result<(), CommandError> {
        match setup::handle(text, shared.max_payload_bytes()) {
            Setup::Answered(payloads) => self.send(FIRST_ANSWER_SEQUENCE, &payloads),
            Setup::Rejected(error) => self.send(FIRST_ANSWER_SEQUENCE, &[error.encode()]),
            Setup::Forward => {
                let statement = Statement::classify(text, shared)?;
                let request = shared.new_request(&statement, None, None);
                self.submit(now, request, statement.timeout, shared);
            }
        }
        Ok(())
    }

    /// Stores a prepared statement. An engine prepares it when it is first executed there.
    fn prepare(&mut self, text: &str, shared: &mut Shared) -> Result<(), MysqlError> {
        match setup::handle(text, shared.max_payload_bytes()) {
            Setup::Forward => {}
            Setup::Rejected(error) => {
                self.send(FIRST_ANSWER_SEQUENCE, &[error.encode()]);
                return Ok(());
            }
            Setup::Answered(_) => return Err(not_preparable()),
        }
        let statement = Statement::classify(text, shared)?;
        let max_statements = shared.state.limits.mysql.max_statements;
        if self.statements.len() >= max_statements {
            return Err(too_many_statements(max_statements));
        }
        let parameter_count = u16::try_from(statement.parameter_count).map_err(|_| too_many_parameters())?;
        shared.statement_memory.reserve(&statement)?;
        self.last_statement = self.last_statement.wrapping_add(1);
        self.statements.insert(self.last_statement, statement);
        self.send(FIRST_ANSWER_SEQUENCE, &encode_prepared(self.last_statement, parameter_count));
        Ok(())
    }

    fn execute(&mut self, now: Time, mut reader: Reader, shared: &mut Shared) -> Result<(), CommandError> {
        let id = reader.number(4)? as u32;
        let statement = self.statements.get_mut(&id);
        let statement = statement.ok_or_else(|| MysqlError::unknown_statement(id, EXECUTE_FUNCTION))?;
        reader.read_bytes(EXECUTE_SKIPPED)?;
        let is_long_data = |position: usize| {
            self.parameters.contains_key(&ParameterId { statement: id, position: position as u16 })
        };
        let arguments = arguments::decode(&mut reader, statement, is_long_data)?;
        let statement = statement.clone();
        let key = match statement.key {
            Some(KeySource::Parameter(position)) if !is_long_data(position) => {
                arguments::key_at(&arguments, &statement, position, is_long_data)?
            }
            _ => None,
        };
        let long_parameters = self.take_parameters(id)?;
        let mut request = shared.new_request(&statement, Some(arguments), key);
        if long_parameters.is_empty() {
            self.submit(now, request, statement.timeout, shared);
        } else {
            request.payload.long_parameters = long_parameters;
            self.submit_when_stored(now, Box::new(request), statement.timeout, shared);
        }
        Ok(())
    }

    fn reset(&mut self, id: u32, shared: &mut Shared) -> Result<(), CommandError> {
        if !self.statements.contains_key(&id) {
            return Err(MysqlError::unknown_statement(id, RESET_FUNCTION).into());
        }
        self.drop_parameters(id, shared);
        self.send(FIRST_ANSWER_SEQUENCE, &[packet::ok()]);
        Ok(())
    }

    /// Removes a prepared statement. The command has no response.
    fn close_statement(&mut self, id: u32, shared: &mut Shared) {
        self.drop_parameters(id, shared);
        if let Some(statement) = self.statements.remove(&id) {
            shared.statement_memory.release(&statement);
        }
    }

    /// Appends long data to a parameter, ahead of the execution. The command has no response, so errors are
    /// reported by the execution.
    fn long_data(&mut self, now: Time, mut reader: Reader, shared: &mut Shared) -> Result<(), CommandError> {
        let id = ParameterId::decode(&mut reader)?;
        let appended = self.append_to_parameter(now, id, reader.0, shared);
        if appended < reader.0.len() {
            self.defer_long_data(id, &reader.0[appended..], shared);
        }
        Ok(())
    }
}

fn decode_text<'a>(reader: &Reader<'a>) -> Result<&'a str, Malformed> {
    std::str::from_utf8(reader.0).map_err(|_| Malformed)
}

/// The response to a PREPARE. The columns of the result are not known yet; they are sent with each result.
fn encode_prepared(id: u32, parameter_count: u16) -> Vec<Vec<u8>> {
    const NO_COLUMNS: [u8; 2] = [0, 0];
    /// A filler byte and the number of warnings.
    const NO_WARNINGS: [u8; 3] = [0, 0, 0];
    let mut head = vec![packet::OK];
    head.extend_from_slice(&id.to_le_bytes());
    head.extend_from_slice(&NO_COLUMNS);
    head.extend_from_slice(&parameter_count.to_le_bytes());
    head.extend_from_slice(&NO_WARNINGS);
    let mut payloads = vec![head];
    if parameter_count > 0 {
        payloads.extend((0..parameter_count).map(|_| packet::column("?")));
        payloads.push(packet::eof());
    }
    payloads
}

fn not_preparable() -> MysqlError {
    let message = "This command is not supported in the prepared statement protocol yet";
    MysqlError::new(code::UNSUPPORTED_PS, sql_state::GENERAL, message)
}

fn too_many_statements(max_statements: usize) -> MysqlError {
    let message = format!(
        "Can't create more than max_prepared_stmt_count statements (current value: {max_statements})"
    );
    MysqlError::new(code::MAX_PREPARED_STMT_COUNT_REACHED, sql_state::SYNTAX_OR_ACCESS, message)
}

fn too_many_parameters() -> MysqlError {
    let message = "Prepared statement contains too many placeholders";
    MysqlError::new(code::PS_MANY_PARAM, sql_state::GENERAL, message)
}
