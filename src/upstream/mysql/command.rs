//! Payloads of commands to engines, without packet headers.

use crate::mysql::packet::command;

/// Cursor flags of an execution: no cursor.
const NO_CURSOR: u8 = 0;
/// The iteration count of an execution; the protocol allows only 1.
const ITERATION_COUNT: u32 = 1;

/// Runs a statement in the text protocol.
pub fn query(statement: &[u8]) -> Vec<u8> {
    [&[command::QUERY], statement].concat()
}

/// Prepares a statement.
pub fn prepare(statement: &[u8]) -> Vec<u8> {
    [&[command::PREPARE], statement].concat()
}

/// Runs a prepared statement, by its id at the engine. `arguments` are encoded as the client sent them.
pub fn execute(statement: u32, arguments: &[u8]) -> Vec<u8> {
    [
        &[command::EXECUTE][..],
        &statement.to_le_bytes(),
        &[NO_CURSOR],
        &ITERATION_COUNT.to_le_bytes(),
        arguments,
    ]
    .concat()
}

/// Closes a prepared statement at the engine.
pub fn close(statement: u32) -> Vec<u8> {
    [&[command::CLOSE][..], &statement.to_le_bytes()].concat()
}

/// Appends bytes to a parameter of a prepared statement, before it is executed.
pub fn long_data(statement: u32, parameter: u16, bytes: &[u8]) -> Vec<u8> {
    [&[command::LONG_DATA][..], &statement.to_le_bytes(), &parameter.to_le_bytes(), bytes].concat()
}
