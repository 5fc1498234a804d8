//! Statements that are prepared on a connection.

use crate::mysql::packet::{self, Malformed, Reader};
use std::collections::VecDeque;
use std::sync::Arc;

/// A statement that is prepared on a connection.
struct PreparedStatement {
    text: Arc<[u8]>,
    /// Its number at the engine, on this connection.
    number: u32,
}

/// The statements that are prepared on a connection, the latest last.
#[derive(Default)]
pub struct PreparedStatements(VecDeque<PreparedStatement>);

impl PreparedStatements {
    /// The number of a statement.
    pub fn find(&self, text: &Arc<[u8]>) -> Option<u32> {
        self.0.iter().find(|known| known.text == *text).map(|known| known.number)
    }

    /// Adds a statement.
    pub fn add(&mut self, text: Arc<[u8]>, number: u32) {
        self.0.push_back(PreparedStatement { text, number });
    }

    /// Removes the oldest statement where there are `max` or more, so that one can be added. Returns its number.
    pub fn remove_surplus(&mut self, max: usize) -> Option<u32> {
        if self.0.len() < max {
            return None;
        }
        self.0.pop_front().map(|oldest| oldest.number)
    }
}

/// The answer to a PREPARE as far as it has come: one packet, then those that define parameters and columns.
#[derive(Default)]
pub struct Preparation {
    /// The statement's number, once the first packet is here.
    number: Option<u32>,
    /// Packets that still define parameters and columns.
    missing: usize,
}

impl Preparation {
    /// Whether the first packet is not here yet.
    pub fn is_unanswered(&self) -> bool {
        self.number.is_none()
    }

    /// Adds a packet's payload, which is no error. Returns the statement's number once the answer is complete.
    ///
    /// # Errors
    /// Where the first packet is no answer to a PREPARE.
    pub fn add(&mut self, payload: &[u8]) -> Result<Option<u32>, Malformed> {
        if self.number.is_some() {
            self.missing = self.missing.checked_sub(1).ok_or(Malformed)?;
        } else {
            let mut reader = Reader(payload);
            if reader.number(1)? as u8 != packet::OK {
                return Err(Malformed);
            }
            self.number = Some(reader.number(4)? as u32);
            let (columns, parameters) = (reader.number(2)? as usize, reader.number(2)? as usize);
            self.missing = definition_packets(columns) + definition_packets(parameters);
        }
        Ok(self.number.filter(|_| self.missing == 0))
    }
}

/// Packets that define so many columns or parameters: an EOF packet ends them.
fn definition_packets(count: usize) -> usize {
    if count > 0 {
        count + 1
    } else {
        0
    }
}
