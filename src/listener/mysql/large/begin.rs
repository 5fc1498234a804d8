//! Chooses the destination of a large payload from its start.

use super::values::{ExpectedValue, ValueScanner};
use super::{Destination, IncomingRequest, LargePayload, LargeStart, ParameterId};
use crate::core::Request;
use crate::listener::mysql::arguments;
use crate::listener::mysql::commands::{EXECUTE_FUNCTION, EXECUTE_SKIPPED};
use crate::listener::mysql::error::{code, CommandError, MysqlError};
use crate::listener::mysql::session::{Session, SessionState};
use crate::listener::mysql::setup::{self, Setup};
use crate::listener::mysql::statement::{KeySource, Statement};
use crate::listener::mysql::{sql, Shared};
use crate::mysql::packet::{self, command, Malformed, PacketHeader, Reader, MAX_PACKET_PAYLOAD};
use crate::net::{Flow, Time};
use dahliaspoke_body_store::plan::Rejection;

/// Bytes at the start of a payload that are inspected before the rest is received. They contain a statement's
/// first words and hints, or an execution's types.
const START_BYTES: usize = 16 << 10;

/// The start of a payload.
struct PayloadStart<'a> {
    bytes: &'a [u8],
    /// The length of the whole payload, if it consists of one packet.
    length: Option<usize>,
}

/// A request whose body has not been admitted yet.
struct NewRequest {
    request: Request,
    /// How long its client waits (s).
    timeout: f64,
    /// Bytes at the start of the payload that are not part of the body.
    consumed: usize,
    /// Checks the body, if it consists of arguments.
    values: Option<ValueScanner>,
}

impl Session {
    /// The header of the packet at the start of the input, if the packet is too large for memory and there is
    /// a body store.
    pub fn large_packet_header(&self, shared: &Shared) -> Option<PacketHeader> {
        let limits = &shared.state.limits;
        let header = PacketHeader::decode(&self.stream.input)?;
        (limits.bodies.max_bytes > 0 && header.length > limits.http.max_body_bytes).then_some(header)
    }

    /// Starts to receive a payload whose first packet is large, once its start has arrived.
    pub fn begin_large(&mut self, now: Time, header: PacketHeader, shared: &mut Shared) -> Flow {
        let PacketHeader { length, sequence } = header;
        let start_end = packet::HEADER_BYTES + length.min(START_BYTES);
        if self.stream.input.len() < start_end {
            self.await_rest_of_packet(now, shared);
            return Flow::Open;
        }
        self.next_sequence = sequence.wrapping_add(1);
        let start: Vec<u8> = self.stream.input.drain(..start_end).skip(packet::HEADER_BYTES).collect();
        let payload = PayloadStart { bytes: &start, length: (length < MAX_PACKET_PAYLOAD).then_some(length) };
        let LargeStart { consumed, destination } = match self.choose_destination(now, &payload, shared) {
            Ok(start) => start,
            Err(CommandError::Rejected(error)) if error.code != code::NET_PACKET_TOO_LARGE => {
                self.send(self.next_sequence, &[error.encode()]);
                LargeStart { consumed: start.len(), destination: Destination::Discard }
            }
            Err(CommandError::Rejected(error)) => {
                return self.end(now, self.next_sequence, &error, shared);
            }
            Err(CommandError::Malformed) => {
                return self.end(now, self.next_sequence, &MysqlError::malformed(), shared);
            }
        };
        self.state = SessionState::Receiving(LargePayload {
            remaining: length - consumed,
            continues: length == MAX_PACKET_PAYLOAD,
            destination,
            store_full: false,
        });
        shared.state.uploads.begin();
        // The part of the start that was not consumed is received like the rest.
        self.stream.input.splice(..0, start[consumed..].iter().copied());
        self.receive_large(now, shared)
    }

    /// Chooses the destination of a payload from its start. Returns it with the length of what it consumed.
    fn choose_destination(
        &mut self,
        now: Time,
        payload: &PayloadStart,
        shared: &mut Shared,
    ) -> Result<LargeStart, CommandError> {
        let mut reader = Reader(payload.bytes);
        match reader.number(1)? as u8 {
            command::QUERY => self.begin_large_query(now, reader, payload, shared),
            command::EXECUTE => self.begin_large_execution(now, reader, payload, shared),
            command::LONG_DATA => {
                let id = ParameterId::decode(&mut reader)?;
                let consumed = payload.bytes.len() - reader.0.len();
                Ok(LargeStart { consumed, destination: Destination::Parameter(id) })
            }
            _ => Err(MysqlError::too_large().into()),
        }
    }

    /// Creates the request for a large statement. It is classified by the start of its text.
    fn begin_large_query(
        &mut self,
        now: Time,
        reader: Reader,
        payload: &PayloadStart,
        shared: &mut Shared,
    ) -> Result<LargeStart, CommandError> {
        let text = decode_start(reader.0)?;
        if sql::sets_variable(text) || setup::handle(text, 0) != Setup::Forward {
            return Err(MysqlError::too_large().into());
        }
        let statement = Statement::classify(text, shared)?;
        let request = shared.new_request(&statement.without_text(), None, None);
        let consumed = payload.bytes.len() - reader.0.len();
        let request = NewRequest { request, timeout: statement.timeout, consumed, values: None };
        Ok(self.admit(now, request, payload.length, shared)?)
    }

    /// Creates the request for a large execution. The null bitmap and the types are in its start, the values
    /// are its body.
    fn begin_large_execution(
        &mut self,
        now: Time,
        mut reader: Reader,
        payload: &PayloadStart,
        shared: &mut Shared,
    ) -> Result<LargeStart, CommandError> {
        let id = reader.number(4)? as u32;
        reader.read_bytes(EXECUTE_SKIPPED)?;
        let statement = self.statements.get(&id).cloned();
        let mut statement = statement.ok_or_else(|| MysqlError::unknown_statement(id, EXECUTE_FUNCTION))?;
        let nulls = decode_types(&mut reader, &mut statement)?;
        let consumed = payload.bytes.len() - reader.0.len();
        let values = self.value_scanner(id, &statement, &nulls);
        let arguments = arguments::encode_types(&nulls, &statement.types);
        self.statements.insert(id, statement.clone());
        let mut request = shared.new_request(&statement, Some(arguments), None);
        request.payload.long_parameters = self.take_parameters(id)?;
        let timeout = statement.timeout;
        let request = NewRequest { request, timeout, consumed, values: Some(values) };
        Ok(self.admit(now, request, payload.length, shared)?)
    }

    /// Builds the scanner of an execution's values, except those that are null or were sent as long data.
    fn value_scanner(&self, id: u32, statement: &Statement, nulls: &[u8]) -> ValueScanner {
        let is_expected = |position: &usize| {
            let id = ParameterId { statement: id, position: *position as u16 };
            !arguments::is_null(nulls, *position) && !self.parameters.contains_key(&id)
        };
        let expected = (0..statement.parameter_count).filter(is_expected).map(|position| ExpectedValue {
            position,
            value_type: arguments::type_at(&statement.types, position),
        });
        let key_position = match statement.key {
            Some(KeySource::Parameter(position)) => Some(position),
            _ => None,
        };
        ValueScanner::new(expected.collect(), key_position)
    }

    /// Reserves capacity for a request's body in the body store.
    fn admit(
        &mut self,
        now: Time,
        new: NewRequest,
        length: Option<usize>,
        shared: &mut Shared,
    ) -> Result<LargeStart, MysqlError> {
        let NewRequest { request, timeout, consumed, values } = new;
        let store = shared.state.uploads.store().cloned().ok_or_else(MysqlError::too_large)?;
        let deadline = now + shared.state.limits.bodies.upload_timeout + timeout;
        if (length.unwrap_or(MAX_PACKET_PAYLOAD) - consumed) as u64 > store.borrow().max_bytes(request.class)
        {
            return Err(MysqlError::too_large());
        }
        // A body of known length could be passed through, but this one must be stored, so it is admitted as
        // one of unknown length.
        let admitted = store.borrow_mut().admit_unknown_length(now, request.class, deadline);
        match admitted {
            Ok(body) if shared.state.uploads.are_accepted(now) => {
                shared.state.uploads.add_receiver(body.id(), self.token);
                let incoming = IncomingRequest { body, request: Box::new(request), timeout, values };
                Ok(LargeStart { consumed, destination: Destination::Request(incoming) })
            }
            Err(Rejection::TooLarge) => Err(MysqlError::too_large()),
            Ok(_) | Err(Rejection::NoCapacity) => {
                shared.state.report_rejected(request.class);
                Err(MysqlError::rejected(shared.state.limits.bodies.retry_after))
            }
        }
    }
}

/// Decodes the start of a statement, which may end within a character.
fn decode_start(bytes: &[u8]) -> Result<&str, Malformed> {
    match std::str::from_utf8(bytes) {
        Ok(text) => Ok(text),
        Err(error) if error.error_len().is_some() => Err(Malformed),
        Err(error) => Ok(std::str::from_utf8(&bytes[..error.valid_up_to()]).unwrap_or_default()),
    }
}

/// Reads the part of an execution that precedes its values. Returns the null bitmap, and binds the types if
/// they are present.
fn decode_types(reader: &mut Reader, statement: &mut Statement) -> Result<Vec<u8>, CommandError> {
    let count = statement.parameter_count;
    let max_head = arguments::bitmap_bytes(count) + 1 + arguments::types_bytes(count);
    if count == 0 || max_head > reader.0.len() {
        return Err(MysqlError::too_large().into());
    }
    let nulls = reader.read_bytes(arguments::bitmap_bytes(count))?.to_vec();
    if arguments::types_follow(reader)? {
        statement.types = reader.read_bytes(arguments::types_bytes(count))?.to_vec();
    }
    if statement.types.len() != arguments::types_bytes(count) {
        return Err(MysqlError::unbound_parameters().into());
    }
    Ok(nulls)
}
