//! Statements that the coordinator answers itself, which clients usually send to set up a session. A session
//! has no state on an engine, since each of its statements may run on a different one, so statements that
//! would create some are rejected.

use super::error::{code, sql_state, MysqlError};
use super::{sql, SERVER_VERSION};
use crate::mysql::packet::{column, eof, ok, put_text};

/// How a statement is handled.
#[derive(Debug, PartialEq)]
pub enum Setup {
    /// The coordinator answers it, with these payloads.
    Answered(Vec<Vec<u8>>),
    /// It is rejected.
    Rejected(MysqlError),
    /// An engine answers it.
    Forward,
}

/// Maximum number of variables in one `SELECT`: their count is encoded in one byte of the response.
const MAX_SELECTED_VARIABLES: usize = 250;
/// The variable with the largest packet size, which depends on the deployment.
const MAX_PACKET_VARIABLE: &str = "max_allowed_packet";

/// System variables that clients read, and the values sent to them.
const VARIABLES: &[(&str, &str)] = &[
    ("auto_increment_increment", "1"),
    ("autocommit", "1"),
    ("character_set_client", "utf8mb4"),
    ("character_set_connection", "utf8mb4"),
    ("character_set_results", "utf8mb4"),
    ("character_set_server", "utf8mb4"),
    ("collation_connection", "utf8mb4_general_ci"),
    ("collation_server", "utf8mb4_general_ci"),
    ("init_connect", ""),
    ("interactive_timeout", "28800"),
    ("license", "Apache-2.0"),
    ("lower_case_table_names", "0"),
    ("net_write_timeout", "60"),
    ("performance_schema", "0"),
    ("sql_mode", ""),
    ("system_time_zone", "UTC"),
    ("time_zone", "SYSTEM"),
    ("transaction_isolation", "READ-COMMITTED"),
    ("transaction_read_only", "0"),
    ("tx_isolation", "READ-COMMITTED"),
    ("tx_read_only", "0"),
    ("version", SERVER_VERSION),
    ("version_comment", "dahliaspoke"),
    ("wait_timeout", "28800"),
];

/// First words of statements that create or depend on state on one engine.
const ENGINE_STATE_WORDS: &[&str] = &[
    "begin",
    "call",
    "deallocate",
    "do",
    "execute",
    "flush",
    "handler",
    "kill",
    "lock",
    "prepare",
    "release",
    "savepoint",
    "start",
    "unlock",
    "use",
    "xa",
];

fn not_supported(feature: &str) -> Setup {
    Setup::Rejected(MysqlError::not_supported(feature))
}

/// Decides how a statement is handled. `max_packet` is the largest payload that is accepted (bytes).
pub fn handle(statement: &str, max_packet: usize) -> Setup {
    let words = sql::first_words(statement, 3);
    let word = |index: usize| words.get(index).map_or("", String::as_str);
    let compact = compact(statement);
    match word(0) {
        "set" => set(&compact, word(1)),
        // There is never an open transaction.
        "commit" | "rollback" if word(1) != "to" => Setup::Answered(vec![ok()]),
        "create" if word(1) == "temporary" => not_supported("temporary tables"),
        "show" if matches!(word(1), "warnings" | "errors") => result(&["Level", "Code", "Message"], None),
        "show" if compact.contains("variables") => result(&["Variable_name", "Value"], None),
        "select" => select(statement, &compact, max_packet),
        first if ENGINE_STATE_WORDS.contains(&first) => not_supported(first),
        _ => Setup::Forward,
    }
}

/// The statement in lower case, without white space.
fn compact(statement: &str) -> String {
    statement.to_ascii_lowercase().split_whitespace().collect()
}

fn set(compact: &str, second_word: &str) -> Setup {
    let target = compact.split_once("set").map_or("", |(_, target)| target);
    let is_user_variable = target.starts_with('@') && !target.starts_with("@@");
    let autocommit_off = ["autocommit=0", "autocommit=off", "autocommit=false"];
    if is_user_variable {
        not_supported("user variables")
    } else if autocommit_off.iter().any(|setting| compact.contains(setting)) {
        not_supported("transactions")
    } else if second_word == "global" || compact.contains("@@global.") {
        not_supported("SET GLOBAL")
    } else {
        Setup::Answered(vec![ok()])
    }
}

fn select(statement: &str, compact: &str, max_packet: usize) -> Setup {
    let selected = compact.strip_prefix("select").unwrap_or_default().trim_end_matches(';');
    match selected {
        "1" => result(&["1"], Some(&["1"])),
        "version()" => result(&["version()"], Some(&[SERVER_VERSION])),
        _ if selected.starts_with("@@") => select_variables(statement, max_packet),
        _ if sql::sets_variable(statement) => not_supported("user variables"),
        _ => Setup::Forward,
    }
}

/// Answers a `SELECT` of only system variables.
fn select_variables(statement: &str, max_packet: usize) -> Setup {
    let list = statement.trim().trim_end_matches(';').get("select".len()..).unwrap_or_default();
    let max_packet = max_packet.to_string();
    let (mut names, mut values) = (Vec::new(), Vec::new());
    for item in list.split(',') {
        let mut words = item.split_whitespace();
        let variable = words.next().unwrap_or_default();
        let name = variable.trim_start_matches("@@").to_ascii_lowercase();
        let name = name.trim_start_matches("session.").trim_start_matches("global.");
        let Some(value) = variable_value(name, &max_packet) else { return unknown_variable(name) };
        let alias = words.next().filter(|word| word.eq_ignore_ascii_case("as")).and_then(|_| words.next());
        names.push(alias.unwrap_or(variable).trim_matches('`'));
        values.push(value);
    }
    if names.len() > MAX_SELECTED_VARIABLES {
        return not_supported("so many variables");
    }
    result(&names, Some(&values))
}

fn variable_value<'a>(name: &str, max_packet: &'a str) -> Option<&'a str> {
    let known = VARIABLES.iter().find(|(known, _)| *known == name);
    known.map(|(_, value)| *value).or((name == MAX_PACKET_VARIABLE).then_some(max_packet))
}

fn unknown_variable(name: &str) -> Setup {
    let message = format!("Unknown system variable '{name}'");
    Setup::Rejected(MysqlError::new(code::UNKNOWN_SYSTEM_VARIABLE, sql_state::GENERAL, message))
}

/// A text result with one row or none.
fn result(names: &[&str], row: Option<&[&str]>) -> Setup {
    let mut payloads = vec![vec![names.len() as u8]];
    payloads.extend(names.iter().map(|name| column(name)));
    payloads.push(eof());
    payloads.extend(row.map(encode_row));
    payloads.push(eof());
    Setup::Answered(payloads)
}

fn encode_row(values: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    for value in values {
        put_text(&mut out, value.as_bytes());
    }
    out
}
