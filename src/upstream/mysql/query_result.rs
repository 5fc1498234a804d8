//! A result as the engine sends it, and the outcome of the attempt.

use crate::core::{AttemptOutcome, ResultParts};
use crate::limits::MysqlLimits;
use crate::mysql::packet::{self, Malformed, Reader};

/// Number of EOF packets in a result set: one after the columns, one after the rows.
const RESULT_SET_EOFS: u8 = 2;
/// Errors of an engine that lacks capacity or shuts down: too many connections (in total or of one user), a
/// limit of the account, the shutdown.
const CAPACITY_ERRORS: [u16; 4] = [1040, 1053, 1203, 1226];
/// Other errors that depend on the engine's state at the time: locks, kills, limits of time and space, an unknown
/// prepared statement, and the one that our listener answers with if nothing ran.
const ENGINE_ERRORS: [u16; 14] =
    [1021, 1037, 1041, 1105, 1114, 1180, 1205, 1213, 1243, 1290, 1317, 1836, 3024, 3168];

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

/// What an error says about the engine or the statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ErrorKind {
    /// The engine lacks capacity or shuts down.
    Capacity,
    /// It depends on the engine's state at the time.
    Engine,
    /// The statement is wrong: another engine would return the same.
    Statement,
}

impl ErrorKind {
    /// The kind of the error in a packet; `None` if the packet has no error.
    ///
    /// # Errors
    /// If the error has no code.
    fn of_packet(packet: &[u8]) -> Result<Option<Self>, Malformed> {
        if packet.first() != Some(&packet::ERR) {
            return Ok(None);
        }
        let code = packet::error_code(packet)?;
        Ok(Some(if CAPACITY_ERRORS.contains(&code) {
            Self::Capacity
        } else if ENGINE_ERRORS.contains(&code) {
            Self::Engine
        } else {
            Self::Statement
        }))
    }
}

/// The outcome of an attempt whose execution ended with these packets. An error in the statement itself is its
/// result. No other error proves that the statement never ran: an engine that shuts down ends running
/// statements with the same error as new ones, and triggers and storage engines pass on errors of any code.
///
/// # Errors
/// If there is no packet, or the error has no code.
pub fn outcome_of_execution(packets: ResultParts) -> Result<AttemptOutcome, Malformed> {
    let last = packets.last().ok_or(Malformed)?;
    Ok(match ErrorKind::of_packet(last)? {
        Some(ErrorKind::Capacity | ErrorKind::Engine) => AttemptOutcome::Error,
        Some(ErrorKind::Statement) | None => AttemptOutcome::Served(packets),
    })
}

/// The outcome of an attempt whose statement could not be prepared, which runs nothing.
///
/// # Errors
/// If the error has no code.
pub fn outcome_of_failed_preparation(error: Vec<u8>) -> Result<AttemptOutcome, Malformed> {
    Ok(match ErrorKind::of_packet(&error)? {
        Some(ErrorKind::Capacity) => AttemptOutcome::Full,
        Some(ErrorKind::Engine) => AttemptOutcome::Error,
        Some(ErrorKind::Statement) | None => AttemptOutcome::Served(vec![error]),
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
