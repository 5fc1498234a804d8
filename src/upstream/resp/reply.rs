//! Decoding of an engine's replies.

use super::fields::Fields;
use crate::core::AttemptReport;
use crate::limits::Limits;
use crate::net::resp::{self, ArrayLimits, Malformed};
use dahliaspoke::policy::Progress;

/// The kind of a reply.
#[derive(Debug, PartialEq)]
pub enum ReplyKind {
    /// The first page of a result.
    Data {
        /// Number of pages of the result.
        total: usize,
    },
    /// The engine rejects the attempt.
    Full,
    /// The attempt failed.
    Failed,
    /// The attempt's deadline had passed before it could run.
    Expired,
    /// A progress report of the running attempt; `None` for unknown kinds of progress.
    Progress(Option<Progress>),
    /// Another page of a result.
    Page {
        /// Its index, from 0.
        index: usize,
    },
    /// The reply to a health probe.
    Health,
}

/// One reply of an engine.
#[derive(Debug)]
pub struct Reply {
    /// The request's id.
    pub id: String,
    /// The kind of the reply.
    pub kind: ReplyKind,
    /// The costs and the load that the engine reports with it.
    pub report: AttemptReport,
    /// The rows, if it is a page.
    pub body: Vec<u8>,
}

/// A decoded reply and its encoded length.
#[derive(Debug)]
pub struct DecodedReply {
    /// The reply.
    pub reply: Reply,
    /// Its length in the input (bytes).
    pub length: usize,
}

/// Number of values in a reply: id, kind, fields and body.
const REPLY_VALUES: usize = 4;
/// Number of columns of each row.
const ROW_COLUMNS: usize = 3;

/// Decodes the reply at the start of the input; `None` if it is still incomplete.
///
/// # Errors
/// If the input is not a valid reply, or the reply is too large.
pub fn decode(input: &[u8], limits: &Limits) -> Result<Option<DecodedReply>, Malformed> {
    let bounds = ArrayLimits { values: REPLY_VALUES, bytes: limits.results.max_frame_bytes };
    let Some((values, length)) = resp::decode_array(input, bounds)? else { return Ok(None) };
    let values = values.try_into().map_err(|_| Malformed)?;
    Ok(Some(DecodedReply { reply: decode_values(values)?, length }))
}

/// Decodes the values of a reply. In the engine protocol, `moot` is an expired attempt and `news` is
/// progress.
fn decode_values([id, kind, fields, body]: [&[u8]; REPLY_VALUES]) -> Result<Reply, Malformed> {
    let text = |bytes| std::str::from_utf8(bytes).map_err(|_| Malformed);
    let fields = Fields(text(fields)?);
    let kind = match text(kind)? {
        "data" => ReplyKind::Data { total: fields.count("total")? },
        "full" => ReplyKind::Full,
        "failed" => ReplyKind::Failed,
        "moot" => ReplyKind::Expired,
        "news" => ReplyKind::Progress(fields.progress()?),
        "page" => ReplyKind::Page { index: fields.count("index")? },
        "well" | "ill" => ReplyKind::Health,
        _ => return Err(Malformed),
    };
    let has_rows = matches!(kind, ReplyKind::Data { .. } | ReplyKind::Page { .. });
    if has_rows && !is_table(text(body)?) {
        return Err(Malformed);
    }
    Ok(Reply { id: text(id)?.into(), kind, report: fields.attempt_report()?, body: body.to_vec() })
}

/// Whether the body consists of complete rows of three text columns: corrupt rows must not reach the client.
fn is_table(body: &str) -> bool {
    let is_complete = body.is_empty() || body.ends_with('\n');
    let is_row = |row: &str| row.matches('\t').count() == ROW_COLUMNS - 1;
    is_complete
        && body.split_terminator('\n').all(is_row)
        && !body.contains(['\r', '\0', char::REPLACEMENT_CHARACTER])
}
