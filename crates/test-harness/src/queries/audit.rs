//! Clients that send queries and check their answers.

use super::{lock, StubEngines};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

/// How long an answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// The text of every query.
const QUERY: &str = "SELECT n FROM sales_1.orders";
/// Asks for the health of the coordinator.
const HEALTH_REQUEST: &[u8] = b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n";
/// Stands for a failure that the coordinator reports with status 200.
const FAILED_STATUS: u16 = 500;

/// How often a query may be sent after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Any number of times.
    Any,
    /// Never.
    Never,
}

/// One query.
struct SentQuery {
    repeats: Repeats,
    /// The statuses that it was answered with.
    statuses: Vec<u16>,
}

/// What the auditor found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// What is wrong, a line each.
    pub violations: Vec<String>,
    /// Queries that were served.
    pub served: usize,
    /// Queries that were rejected.
    pub rejected: usize,
    /// Queries that failed.
    pub failed: usize,
}

/// Queries and their answers.
#[derive(Default)]
pub struct QueryAudit {
    queries: Mutex<BTreeMap<String, SentQuery>>,
}

/// An answer over HTTP.
struct HttpAnswer {
    status: u16,
    body: String,
}

impl QueryAudit {
    /// Sends a query on a connection of its own and returns the status of its answer; `None` where the connection failed
    /// before. Checks that no second answer follows: a health request after the answer must be answered with the health.
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

    /// Checks all queries against what the engines were sent.
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

/// The status of a second answer, if there is one. A coordinator that closes after its answer has none.
fn second_answer(reader: &mut BufReader<TcpStream>) -> Option<u16> {
    reader.get_mut().write_all(HEALTH_REQUEST).ok()?;
    let HttpAnswer { status, body } = read_answer(reader)?;
    let is_health = status == 200 && !body.contains("page") && !body.contains("err");
    (!is_health).then_some(status)
}

impl HttpAnswer {
    /// The status of a query: a rejection or a failure may come with status 200.
    fn query_status(&self) -> u16 {
        if self.status == 200 && self.body.contains("\"err\"") {
            FAILED_STATUS
        } else {
            self.status
        }
    }
}

/// Reads a complete answer; `None` where the connection ends or the answer is malformed.
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

/// A line without its end; `None` where the connection has ended.
fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    Some(line.trim_end().to_string())
}
