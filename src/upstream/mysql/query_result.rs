//! A result as the engine sends it, and the outcome of the attempt.

use crate::core::{AttemptOutcome, ResultParts};
use crate::limits::MysqlLimits;
use crate::mysql::packet::{self, Malformed, Reader};

/// Number of EOF packets in a result set: one after the columns, one after the rows.
const RESULT_SET_EOFS: u8 = 2;
/// Errors with which an engine rejects a statement without running it: too many connections (in total or of
/// one user), shutting down.
const REJECT_ERRORS: [u16; 4] = [1040, 1053, 1203, 1226];
/// Errors that depend on the engine's state at the time: locks, kills, limits of time and space, an unknown
/// prepared statement.
const ENGINE_ERRORS: [u16; 13] =
    [1021, 1037, 1041, 1105, 1114, 1180, 1205, 1213, 1243, 1290, 1317, 1836, 3024];

/// The packets of a result that have arrived so far.
#[derive(Default)]
pub struct QueryResult {
    packets: ResultParts,
    /// Bytes of the packets.
    size: usize,
    eof_packets: u8,
}

impl QueryResult {
    /// Adds a packet's payload. Returns the packets of the result once it is complete.
    ///
    /// # Errors
    /// If the packet is empty, the result is too large, or another result would follow, which was not
    /// requested.
    pub fn add(&mut self, payload: Vec<u8>, limits: &MysqlLimits) -> Result<Option<ResultParts>, Malformed> {
        self.size += payload.len();
        self.eof_packets += u8::from(packet::is_eof(&payload));
        let kind = payload.first().copied().ok_or(Malformed)?;
        let is_first = self.packets.is_empty();
        // A result ends with a single OK packet, with the EOF after the rows, or with an error at any point.
        let is_complete =
            kind == packet::ERR || is_first && kind == packet::OK || self.eof_packets == RESULT_SET_EOFS;
        if is_complete && more_follows(&payload) {
            return Err(Malformed);
        }
        self.packets.push(payload);
        if self.packets.len() > limits.max_result_packets || self.size > limits.max_result_bytes {
            return Err(Malformed);
        }
        Ok(is_complete.then(|| std::mem::take(&mut self.packets)))
    }
}

/// The outcome of an attempt with these packets. Errors in the statement itself are its result, because
/// another engine would return the same.
///
/// # Errors
/// If there is no packet, or the error has no code.
pub fn outcome_of_result(packets: ResultParts) -> Result<AttemptOutcome, Malformed> {
    let last = packets.last().ok_or(Malformed)?;
    if last.first() != Some(&packet::ERR) {
        return Ok(AttemptOutcome::Served(packets));
    }
    let error = packet::error_code(last)?;
    Ok(if REJECT_ERRORS.contains(&error) {
        AttemptOutcome::Full
    } else if ENGINE_ERRORS.contains(&error) {
        AttemptOutcome::Error
    } else {
        AttemptOutcome::Served(packets)
    })
}

/// Whether the status in an OK or EOF packet announces another result.
fn more_follows(payload: &[u8]) -> bool {
    let mut reader = Reader(payload);
    let status = match reader.number(1) {
        Ok(kind) if kind as u8 == packet::OK => {
            reader.length().and_then(|_| reader.length()).and_then(|_| reader.number(2))
        }
        Ok(kind) if kind as u8 == packet::EOF => reader.read_bytes(2).and_then(|_| reader.number(2)),
        _ => Ok(0),
    };
    status.is_ok_and(|status| status as u16 & packet::MORE_RESULTS != 0)
}
