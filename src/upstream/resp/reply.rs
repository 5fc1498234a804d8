//! An engine's answers, decoded.

use super::fields::Fields;
use crate::core::AttemptReport;
use crate::limits::Limits;
use crate::net::resp::{self, ArrayLimits, Malformed};
use dahliaspoke::policy::Progress;

/// What an answer says.
#[derive(Debug, PartialEq)]
pub enum ReplyKind {
    /// The first page of a result.
    Data {
        /// Pages of the result.
        total: usize,
    },
    /// The engine rejects the attempt.
    Full,
    /// The attempt failed.
    Failed,
    /// The attempt's time was over before it could run.
    Expired,
    /// What the running attempt reports of itself; `None` for kinds that are not known here.
    Progress(Option<Progress>),
    /// A further page of a result.
    Page {
        /// Its index, from 0.
        index: usize,
    },
    /// The answer to a health probe.
    Health,
}

/// One answer of an engine.
#[derive(Debug)]
pub struct Reply {
    /// The request's id.
    pub id: String,
    /// What it says.
    pub kind: ReplyKind,
    /// What the engine reports with it.
    pub report: AttemptReport,
    /// Rows, where it is a page.
    pub body: Vec<u8>,
}

/// An answer, and how much of the input it was.
#[derive(Debug)]
pub struct DecodedReply {
    /// The answer.
    pub reply: Reply,
    /// Its bytes in the input.
    pub length: usize,
}

/// Values in an answer: its id, its kind, its fields, its body.
const VALUES: usize = 4;
/// Columns of every row.
const COLUMNS: usize = 3;

/// The answer at the start of the input, once all of it is here.
///
/// # Errors
/// Where the bytes are no answer, or a too large one.
pub fn decode(input: &[u8], limits: &Limits) -> Result<Option<DecodedReply>, Malformed> {
    let bounds = ArrayLimits { values: VALUES, bytes: limits.results.max_frame_bytes };
    let Some((values, length)) = resp::decode_array(input, bounds)? else { return Ok(None) };
    let values = values.try_into().map_err(|_| Malformed)?;
    Ok(Some(DecodedReply { reply: decode_values(values)?, length }))
}

/// The kinds' names on the wire are those of the engine protocol: `moot` is an expired attempt, `news` its progress.
fn decode_values([id, kind, fields, body]: [&[u8]; VALUES]) -> Result<Reply, Malformed> {
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

/// Whether these are complete rows of the wire's three text columns: corrupt ones must not be passed on.
fn is_table(body: &str) -> bool {
    let is_complete = body.is_empty() || body.ends_with('\n');
    let is_row = |row: &str| row.matches('\t').count() == COLUMNS - 1;
    is_complete
        && body.split_terminator('\n').all(is_row)
        && !body.contains(['\r', '\0', char::REPLACEMENT_CHARACTER])
}
