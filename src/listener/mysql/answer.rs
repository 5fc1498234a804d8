//! Encodes final answers.

use super::error::{code, sql_state, MysqlError};
use crate::core::Answer;

/// The payloads of an answer. `is_late`: the deadline is reached, so any failure is reported as a timeout.
pub fn encode_answer(answer: Answer, is_late: bool) -> Vec<Vec<u8>> {
    let error = match answer {
        Answer::Served(payloads) => return payloads,
        _ if is_late => timed_out(),
        Answer::Rejected(retry_after) => MysqlError::rejected(retry_after),
        Answer::Failed => {
            let message = "Query execution was interrupted";
            MysqlError::new(code::QUERY_INTERRUPTED, sql_state::INTERRUPTED, message)
        }
    };
    vec![error.encode()]
}

fn timed_out() -> MysqlError {
    let message = "Query execution was interrupted, maximum statement execution time exceeded";
    MysqlError::new(code::QUERY_TIMEOUT, sql_state::GENERAL, message)
}
