//! Long data: parameters that are sent ahead of their execution, in parts.

use super::{Destination, LargePayload};
use crate::core::{LongParameter, ParameterValue};
use crate::listener::mysql::error::{code, sql_state, MysqlError};
use crate::listener::mysql::session::{Session, SessionState};
use crate::listener::mysql::Shared;
use crate::mysql::packet::{Malformed, Reader};
use crate::net::{Time, Token};
use dahliaspoke_body_store::plan::BodyId;
use dahliaspoke_body_store::Body;

/// Identifies a parameter of a prepared statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ParameterId {
    /// The statement's id.
    pub statement: u32,
    /// The parameter's position, from 0.
    pub position: u16,
}

impl ParameterId {
    /// Reads the id from the start of a command.
    ///
    /// # Errors
    /// The command is too short.
    pub fn decode(reader: &mut Reader) -> Result<Self, Malformed> {
        let statement = reader.number(4)? as u32;
        let position = reader.number(2)? as u16;
        Ok(Self { statement, position })
    }
}

/// A parameter's value, as far as it has arrived.
pub enum LongValue {
    /// It is in memory.
    Inline(Vec<u8>),
    /// It is in the body store.
    Stored(Body),
    /// It could not be stored; the execution reports the error.
    Lost,
}

impl LongValue {
    /// Whether the value is stored in this body.
    pub fn is_body(&self, id: BodyId) -> bool {
        matches!(self, Self::Stored(body) if body.id() == id)
    }

    fn inline_bytes(&self) -> usize {
        match self {
            Self::Inline(bytes) => bytes.len(),
            Self::Stored(_) | Self::Lost => 0,
        }
    }
}

impl Session {
    /// Appends bytes to a parameter. Returns how many were accepted: fewer than given if the body store
    /// currently has no capacity for the rest.
    pub fn append_to_parameter(
        &mut self,
        now: Time,
        id: ParameterId,
        bytes: &[u8],
        shared: &mut Shared,
    ) -> usize {
        let Some(class) = self.statements.get(&id.statement).map(|statement| statement.class) else {
            return bytes.len();
        };
        let inline_bytes: usize = self.parameters.values().map(LongValue::inline_bytes).sum();
        let has_too_many = self.parameters.len() >= shared.state.limits.mysql.max_statements;
        let first = || if has_too_many { LongValue::Lost } else { LongValue::Inline(Vec::new()) };
        let value = self.parameters.entry(id).or_insert_with(first);
        if let LongValue::Inline(buffered) = value {
            if inline_bytes + bytes.len() <= shared.state.limits.http.max_body_bytes {
                buffered.extend_from_slice(bytes);
                return bytes.len();
            }
        }
        let Some(store) = shared.state.uploads.store().cloned() else {
            *value = LongValue::Lost;
            return bytes.len();
        };
        if let LongValue::Inline(buffered) = value {
            let buffered = std::mem::take(buffered);
            *value = move_to_store(now, class, &buffered, self.token, shared);
        }
        let LongValue::Stored(body) = value else { return bytes.len() };
        let accepted = store.borrow_mut().append_available(now, body.id(), bytes);
        accepted
    }

    /// Returns the rest of a part to the input until the body store has capacity. Later input waits too.
    pub fn defer_long_data(&mut self, id: ParameterId, rest: &[u8], shared: &mut Shared) {
        self.stream.input.splice(..0, rest.iter().copied());
        self.state = SessionState::Receiving(LargePayload {
            remaining: rest.len(),
            continues: false,
            destination: Destination::Parameter(id),
            store_full: true,
        });
        shared.state.uploads.begin();
    }

    /// Drops the long data of a statement that will not be executed with it.
    pub fn drop_parameters(&mut self, statement: u32, shared: &mut Shared) {
        self.parameters.retain(|id, value| {
            if id.statement != statement {
                return true;
            }
            if let LongValue::Stored(body) = value {
                shared.state.uploads.remove_receiver(body.id());
            }
            false
        });
    }

    /// Removes the long data of a statement for its execution, and returns it in the order of the parameters'
    /// positions. Long data applies to one execution only.
    ///
    /// # Errors
    /// One of the parameters could not be stored.
    pub fn take_parameters(&mut self, statement: u32) -> Result<Vec<LongParameter>, MysqlError> {
        let ids: Vec<ParameterId> =
            self.parameters.keys().copied().filter(|id| id.statement == statement).collect();
        let mut parameters = Vec::new();
        let mut is_lost = false;
        for ParameterId { position, .. } in ids {
            let value = match self.parameters.remove(&ParameterId { statement, position }) {
                Some(LongValue::Inline(bytes)) => ParameterValue::Inline(bytes.into()),
                Some(LongValue::Stored(body)) => ParameterValue::Stored(body),
                Some(LongValue::Lost) | None => {
                    is_lost = true;
                    continue;
                }
            };
            parameters.push(LongParameter { position, value });
        }
        parameters.sort_by_key(|parameter| parameter.position);
        if is_lost {
            return Err(lost_parameter());
        }
        Ok(parameters)
    }
}

/// Moves a value that has become too large for memory into the body store.
fn move_to_store(now: Time, class: usize, buffered: &[u8], session: Token, shared: &mut Shared) -> LongValue {
    let Some(store) = shared.state.uploads.store().cloned() else { return LongValue::Lost };
    let deadline = now + shared.state.limits.mysql.session_idle_timeout;
    let Ok(body) = store.borrow_mut().admit_unknown_length(now, class, deadline) else {
        return LongValue::Lost;
    };
    shared.state.uploads.add_receiver(body.id(), session);
    // The value is no larger than the limit in memory, which is the initial capacity of a body of unknown
    // length.
    store.borrow_mut().capacity(body.id());
    store.borrow_mut().append(now, body.id(), buffered);
    LongValue::Stored(body)
}

fn lost_parameter() -> MysqlError {
    let message = "Parameter of prepared statement which is set through mysql_send_long_data() is longer \
                   than 'max_long_data_size' bytes, or there was no room for it";
    MysqlError::new(code::UNKNOWN_ERROR, sql_state::GENERAL, message)
}
