//! Clients that send queries and check their answers.

use super::{lock, StubEngines};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

/// Time limit for each read of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// The text of every query.
const QUERY: &str = "SELECT n FROM sales_1.orders";
/// Requests the health of the coordinator.
const HEALTH_REQUEST: &[u8] = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
/// Recorded in place of status 200 if the answer reports a failed query.
const FAILED_STATUS: u16 = 500;

/// Whether a query may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// It may, any number of times.
    Any,
    /// It must not.
    Never,
}

/// One query.
struct SentQuery {
    repeats: Repeats,
    /// The statuses of all its answers.
    statuses: Vec<u16>,
}

/// The findings of the audit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Descriptions of the violations, one line each.
    pub violations: Vec<String>,
    /// Queries that were served.
    pub served: usize,
    /// Queries that were rejected.
    pub rejected: usize,
    /// Queries that failed.
    pub failed: usize,
}

/// Records queries and their answers, for an audit.
#[derive(Default)]
pub struct QueryAudit {
    queries: Mutex<BTreeMap<String, SentQuery>>,
}

/// An HTTP response.
struct HttpAnswer {
    status: u16,
    body: String,
}

impl QueryAudit {
    /// Sends a query on a new connection and returns the status of its answer; `None` if the connection
    /// failed before the answer. Also detects a second answer: a health request sent after the answer must
    /// receive the health response.
    pub fn send(&self, coordinator: SocketAddr, class: &str, repeats: Repeats, id: u64) -> Option<u16> {
        let id = format!("{id:016x}");
        lock(&self.queries).insert(id.clone(), SentQuery { repeats, statuses: Vec::new() });
        let stream = TcpStream::connect(coordinator).ok()?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT)).ok()?;
        let mut reader = BufReader::new(stream);
        reader.get_mut().write_all(request(class, &id).as_bytes()).ok()?;
        let status = read_answer(&mut reader)?.query_status();
        let mut statuses = vec![status];
        statuses.extend(second_answer(&mut reader));
        if let Some(query) = lock(&self.queries).get_mut(&id) {
            query.statuses = statuses;
        }
        Some(status)
    }

    /// Checks the answers of all queries against the attempts that the engines recorded.
    pub fn verdict(&self, engines: &StubEngines) -> Verdict {
        let possible_runs = engines.possible_runs();
        let mut verdict = Verdict::default();
        for (id, query) in lock(&self.queries).iter() {
            verdict.count_answers(id, &query.statuses);
            if query.repeats == Repeats::Never {
                let runs = possible_runs.get(id).copied().unwrap_or_default();
                verdict.check_repeats(id, &query.statuses, runs);
            }
        }
        verdict
    }
}

impl Verdict {
    fn count_answers(&mut self, id: &str, statuses: &[u16]) {
        match statuses {
            [200] => self.served += 1,
            [429 | 503] => self.rejected += 1,
            [_] => self.failed += 1,
            _ => self.violations.push(format!("{id} had {} answers: {statuses:?}", statuses.len())),
        }
    }

    fn check_repeats(&mut self, id: &str, statuses: &[u16], possible_runs: usize) {
        if possible_runs > 1 {
            let violation = format!("{id} must not be repeated, and may have run {possible_runs} times");
            self.violations.push(violation);
        }
        if possible_runs > 0 && matches!(statuses, [429 | 503]) {
            self.violations.push(format!("{id} was refused, and may have run"));
        }
    }
}

fn request(class: &str, id: &str) -> String {
    format!(
        "POST /invoke/{class} HTTP/1.1\r\nX-Job-Id: {id}\r\nX-Allow-Ms: 3000\r\nX-Size-Ms: 2\r\nContent-Length: {}\r\n\r\n{QUERY}",
        QUERY.len()
    )
}

/// The status of a second answer, if there is one. If the coordinator closes the connection after its answer,
/// there is none.
fn second_answer(reader: &mut BufReader<TcpStream>) -> Option<u16> {
    reader.get_mut().write_all(HEALTH_REQUEST).ok()?;
    let HttpAnswer { status, body } = read_answer(reader)?;
    let is_health = status == 200 && !body.contains("page") && !body.contains("err");
    (!is_health).then_some(status)
}

impl HttpAnswer {
    /// The status of the query: [`FAILED_STATUS`] if an answer with status 200 reports an error.
    fn query_status(&self) -> u16 {
        if self.status == 200 && self.body.contains("\"err\"") {
            FAILED_STATUS
        } else {
            self.status
        }
    }
}

/// Reads a complete answer; `None` if the connection ends or the answer is malformed.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<HttpAnswer> {
    let status = read_line(reader)?.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().ok()?;
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(HttpAnswer { status, body: String::from_utf8_lossy(&body).into_owned() })
}

/// Reads a line and strips its line ending; `None` if the connection has ended.
fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    Some(line.trim_end().to_string())
}
