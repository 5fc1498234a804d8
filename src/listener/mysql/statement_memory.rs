//! The memory of the prepared statements of all sessions together.

use super::error::MysqlError;
use super::statement::Statement;

/// Memory of a prepared statement beyond its text (bytes).
const STATEMENT_OVERHEAD_BYTES: usize = 256;

/// How much memory the sessions' prepared statements occupy.
pub struct StatementMemory {
    used_bytes: usize,
    max_bytes: usize,
}

impl StatementMemory {
    /// No statements yet; they may occupy `max_bytes` together.
    pub fn new(max_bytes: usize) -> Self {
        Self { used_bytes: 0, max_bytes }
    }

    /// Reserves the memory of a statement that is to be prepared.
    ///
    /// # Errors
    /// The sessions occupy all of the memory that they may.
    pub fn reserve(&mut self, statement: &Statement) -> Result<(), MysqlError> {
        let bytes = statement_bytes(statement);
        if self.used_bytes + bytes > self.max_bytes {
            return Err(MysqlError::out_of_memory());
        }
        self.used_bytes += bytes;
        Ok(())
    }

    /// Returns the memory of a prepared statement that is removed.
    pub fn release(&mut self, statement: &Statement) {
        self.used_bytes -= statement_bytes(statement);
    }
}

/// The memory of a prepared statement (bytes). Each parameter has two bytes for its type.
fn statement_bytes(statement: &Statement) -> usize {
    STATEMENT_OVERHEAD_BYTES + statement.text.len() + 2 * statement.parameter_count
}
