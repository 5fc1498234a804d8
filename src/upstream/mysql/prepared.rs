//! The statements that are prepared on a connection.

use crate::mysql::packet::{self, Malformed, Reader};
use std::collections::VecDeque;
use std::sync::Arc;

/// A statement that is prepared on a connection.
struct PreparedStatement {
    text: Arc<[u8]>,
    /// Its id at the engine, on this connection.
    number: u32,
}

/// The statements that are prepared on a connection, oldest first.
#[derive(Default)]
pub struct PreparedStatements(VecDeque<PreparedStatement>);

impl PreparedStatements {
    /// The id of a prepared statement.
    pub fn find(&self, text: &Arc<[u8]>) -> Option<u32> {
        self.0.iter().find(|known| known.text == *text).map(|known| known.number)
    }

    /// Adds a statement.
    pub fn add(&mut self, text: Arc<[u8]>, number: u32) {
        self.0.push_back(PreparedStatement { text, number });
    }

    /// If there are `max` statements or more, removes the oldest one to leave capacity for another. Returns
    /// its id.
    pub fn evict_oldest(&mut self, max: usize) -> Option<u32> {
        if self.0.len() < max {
            return None;
        }
        self.0.pop_front().map(|oldest| oldest.number)
    }
}

/// The part of the answer to a PREPARE that has arrived: one packet, then the definitions of parameters and
/// columns.
#[derive(Default)]
pub struct Preparation {
    /// The statement's id, once the first packet has arrived.
    number: Option<u32>,
    /// Definition packets of parameters and columns that have not arrived yet.
    missing: usize,
}

impl Preparation {
    /// Whether the first packet has not arrived yet.
    pub fn is_unanswered(&self) -> bool {
        self.number.is_none()
    }

    /// Adds the payload of a packet other than an error. Returns the statement's id once the answer is
    /// complete.
    ///
    /// # Errors
    /// If the first packet is not an answer to a PREPARE.
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

/// Number of packets that define `count` columns or parameters, including the EOF packet that ends them.
fn definition_packets(count: usize) -> usize {
    if count > 0 {
        count + 1
    } else {
        0
    }
}
