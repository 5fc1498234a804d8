//! Encodes final answers.

use super::codec::{self, status, Header};
use crate::core::{Answer, ResultParts};

/// The body of the response to a request that failed or was not accepted.
pub const ERROR_BODY: &[u8] = b"{\"err\":\"Lost\"}";
/// The body of the response to a request that was rejected: nothing ran.
const REJECTED_BODY: &[u8] = b"{\"err\":\"Backoff\"}";
/// The header field with the time after which a rejected client may retry (ms).
const RETRY_AFTER_HEADER: &str = "X-Wait-Ms";
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Encodes an answer as an HTTP response. `keep_alive`: the connection remains open after it.
pub fn encode_answer(answer: Answer, keep_alive: bool) -> Vec<u8> {
    match answer {
        Answer::Served(parts) => codec::json(status::OK, None, &encode_rows(&parts), keep_alive),
        Answer::Rejected(retry_after) => {
            let header = retry_after.map(retry_after_header);
            codec::json(status::SERVICE_UNAVAILABLE, header, REJECTED_BODY, keep_alive)
        }
        Answer::Failed => codec::json(status::BAD_GATEWAY, None, ERROR_BODY, keep_alive),
    }
}

/// The header field for a Retry-After (s). It is rounded up so that a client does not retry too early.
fn retry_after_header(retry_after: f64) -> Header {
    let milliseconds = (retry_after * MILLISECONDS_PER_SECOND).ceil().max(1.0);
    Header { name: RETRY_AFTER_HEADER, value: format!("{milliseconds}") }
}

/// Encodes rows as JSON. In the engine's result each row is a line, and tabs separate the columns.
fn encode_rows(parts: &ResultParts) -> Vec<u8> {
    let mut out = b"{\"page\":[".to_vec();
    let mut is_first = true;
    for part in parts {
        for row in String::from_utf8_lossy(part).split_terminator('\n') {
            if !is_first {
                out.push(b',');
            }
            is_first = false;
            encode_row(&mut out, row);
        }
    }
    out.extend_from_slice(b"]}");
    out
}

fn encode_row(out: &mut Vec<u8>, row: &str) {
    out.push(b'[');
    for (position, column) in row.split('\t').enumerate() {
        if position > 0 {
            out.push(b',');
        }
        out.extend_from_slice(serde_json::Value::from(column).to_string().as_bytes());
    }
    out.push(b']');
}
