//! The directory's DNS messages (RFC 1035; SRV records: RFC 2782): the query for the endpoint list, and the
//! responses.

mod error;
mod reader;
mod record;

use crate::discovery::Endpoint;
pub use error::DecodeError;
use reader::Reader;
use record::{Record, RecordSet};

/// Record types and the class, as in RFC 1035 (3.2.2, 3.2.4), RFC 2782 and RFC 3596.
const TYPE_A: u16 = 1;
const TYPE_SOA: u16 = 6;
const TYPE_TXT: u16 = 16;
const TYPE_AAAA: u16 = 28;
const TYPE_SRV: u16 = 33;
const CLASS_IN: u16 = 1;

/// Bits of the header's flags (RFC 1035, 4.1.1): QR, TC and RCODE.
const FLAG_RESPONSE: u16 = 0x8000;
const FLAG_TRUNCATED: u16 = 0x0200;
const RESPONSE_CODE_MASK: u16 = 0x000f;

/// Initial buffer size (bytes), sufficient for a query of usual length.
const QUERY_CAPACITY: usize = 64;

/// The endpoint list of a response.
#[derive(Debug)]
pub struct Response {
    /// Id of the query that it answers.
    pub id: u16,
    /// Number of the last event in the list: the serial of the SOA record.
    pub serial: u32,
    /// Every engine that the response has an SRV record for.
    pub endpoints: Vec<Endpoint>,
}

/// The header of a response that reports success.
struct Header {
    id: u16,
    questions: u16,
    /// Records of the answer, authority and additional sections together.
    records: usize,
}

/// Encodes the query for the SRV records of `name`.
pub fn encode_query(id: u16, name: &str) -> Vec<u8> {
    const FLAGS: u16 = 0;
    const QUESTIONS: u16 = 1;
    const NO_RECORDS: u16 = 0;
    let mut query = Vec::with_capacity(QUERY_CAPACITY);
    for field in [id, FLAGS, QUESTIONS, NO_RECORDS, NO_RECORDS, NO_RECORDS] {
        query.extend_from_slice(&field.to_be_bytes());
    }
    for label in name.split('.') {
        query.push(label.len() as u8);
        query.extend_from_slice(label.as_bytes());
    }
    query.push(0);
    for field in [TYPE_SRV, CLASS_IN] {
        query.extend_from_slice(&field.to_be_bytes());
    }
    query
}

/// Decodes a response to the query for the SRV records of `name`.
///
/// # Errors
/// If the message is malformed, is truncated, reports a failure, answers another question, or lacks a record
/// that the list needs.
pub fn decode_response(message: &[u8], name: &str) -> Result<Response, DecodeError> {
    let mut reader = Reader::new(message);
    let header = decode_header(&mut reader)?;
    check_question(&mut reader, &header, name)?;
    let mut records = RecordSet::default();
    for _ in 0..header.records {
        records.add(Record::decode(&mut reader, name)?);
    }
    records.into_response(header.id)
}

fn decode_header(reader: &mut Reader) -> Result<Header, DecodeError> {
    let id = reader.u16()?;
    let flags = reader.u16()?;
    if flags & FLAG_RESPONSE == 0 {
        return Err(DecodeError::NotAResponse);
    }
    if flags & FLAG_TRUNCATED != 0 {
        return Err(DecodeError::Truncated);
    }
    let code = flags & RESPONSE_CODE_MASK;
    if code != 0 {
        return Err(DecodeError::Failure { code });
    }
    let questions = reader.u16()?;
    let answers = reader.u16()?;
    let authorities = reader.u16()?;
    let additional = reader.u16()?;
    let records = [answers, authorities, additional].map(usize::from).iter().sum();
    Ok(Header { id, questions, records })
}

/// Checks that a response repeats the question of the query; without it, the response may answer any
/// question.
fn check_question(reader: &mut Reader, header: &Header, name: &str) -> Result<(), DecodeError> {
    let is_ours = header.questions == 1
        && reader.name()? == name
        && reader.u16()? == TYPE_SRV
        && reader.u16()? == CLASS_IN;
    if is_ours {
        Ok(())
    } else {
        Err(DecodeError::OtherQuestion)
    }
}
