//! An engine's answers.

use crate::core::AttemptReport;
use crate::limits::Limits;
use crate::net::resp::{self, Malformed, Most};
use dahliaspoke::policy::{LoadReport, Progress};

/// What an answer says.
#[derive(Debug, PartialEq)]
pub enum Word {
    Data {
        total: usize,
    },
    Full,
    Failed,
    Expired,
    UpstreamEvent(Option<Progress>),
    Page {
        index: usize,
    },
    /// The answer to a probe.
    Health,
}

/// One answer of an engine.
#[derive(Debug)]
pub struct Reply {
    pub id: String,
    pub word: Word,
    pub told: AttemptReport,
    pub body: Vec<u8>,
}

/// Values in an answer: its id, its word, its fields, its body.
const VALUES: usize = 4;
/// Columns of every row.
const COLUMNS: usize = 3;

/// The answer at the start of the input and the bytes it took, once all of it is here.
pub fn read(input: &[u8], limits: &Limits) -> Result<Option<(Reply, usize)>, Malformed> {
    let Some((values, length)) =
        resp::read(input, Most { values: VALUES, bytes: limits.results.max_frame_bytes })?
    else {
        return Ok(None);
    };
    let values = values.try_into().map_err(|_| Malformed)?;
    Ok(Some((reply(values)?, length)))
}

fn reply([id, word, fields, body]: [&[u8]; VALUES]) -> Result<Reply, Malformed> {
    let text = |bytes| std::str::from_utf8(bytes).map_err(|_| Malformed);
    let fields = Fields(text(fields)?);
    let word = match text(word)? {
        "data" => Word::Data { total: fields.count("total")? },
        "full" => Word::Full,
        "failed" => Word::Failed,
        "moot" => Word::Expired,
        "news" => Word::UpstreamEvent(fields.progress()?),
        "page" => Word::Page { index: fields.count("index")? },
        "well" | "ill" => Word::Health,
        _ => return Err(Malformed),
    };
    let rows = matches!(word, Word::Data { .. } | Word::Page { .. });
    if rows && !is_table(text(body)?) {
        return Err(Malformed);
    }
    Ok(Reply { id: text(id)?.into(), word, told: fields.told()?, body: body.to_vec() })
}

/// Whole rows of the wire's three text columns: spoilt ones must not be passed on.
fn is_table(body: &str) -> bool {
    let whole = body.is_empty() || body.ends_with('\n');
    let row = |row: &str| row.matches('\t').count() == COLUMNS - 1;
    whole && body.split_terminator('\n').all(row) && !body.contains(['\r', '\0', char::REPLACEMENT_CHARACTER])
}

/// `name=value,name=value`, or `-` for none.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn get(&self, name: &str) -> Option<&'a str> {
        let named = |field: &'a str| field.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| v);
        self.0.split(',').find_map(named)
    }

    fn count(&self, name: &str) -> Result<usize, Malformed> {
        self.get(name).and_then(|v| v.parse().ok()).ok_or(Malformed)
    }

    fn progress(&self) -> Result<Option<Progress>, Malformed> {
        let Some(kind) = self.get("n") else { return Ok(None) };
        let value = number(self.get("datum").ok_or(Malformed)?)?;
        Ok(match kind {
            "p" => Some(Progress::Done(value)),
            "s" => Some(Progress::Spills(value)),
            "w" if value == 2.0 => Some(Progress::WaitsForLoad),
            "w" => Some(Progress::WaitsForMemory),
            _ => None, // kinds to come
        })
    }

    fn told(&self) -> Result<AttemptReport, Malformed> {
        // The result counts, whatever is said of its cost: a figure that cannot be one is as good as none.
        let cost = |name| self.get(name).and_then(|v| number(v).ok()).filter(|cost| *cost >= 0.0);
        Ok(AttemptReport { work: cost("elapsed"), memory: cost("rss"), load: self.report()? })
    }

    fn report(&self) -> Result<Option<LoadReport>, Malformed> {
        let Some(load) = self.get("l") else { return Ok(None) };
        let mut report = LoadReport::default();
        for item in load.split(';').filter(|item| !item.is_empty()) {
            let (name, value) = item.split_once(':').ok_or(Malformed)?;
            let place = match name {
                "util" | "busy" => &mut report.util,
                "queue" | "q" => &mut report.queue,
                "x0" => &mut report.memory,
                "x1" => &mut report.disk,
                _ => continue,
            };
            *place = Some(number(value)?);
        }
        Ok(Some(report))
    }
}

fn number(text: &str) -> Result<f64, Malformed> {
    text.parse::<f64>().ok().filter(|n| n.is_finite()).ok_or(Malformed)
}
