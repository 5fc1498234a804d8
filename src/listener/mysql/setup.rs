//! Statements that the coordinator answers itself: what usual clients send to set a session up. A session
//! has no state that could not move to another engine, so whatever would make some is turned down.

use super::sql;
use crate::mysql::packet::{column, eof, error, ok, put_text};

/// What becomes of a statement.
#[derive(Debug, PartialEq)]
pub enum Plan {
    /// Answered here, with these payloads.
    Here(Vec<Vec<u8>>),
    /// An engine's.
    Forward,
}

/// System variables that clients ask for, and their values here.
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
    ("version", super::VERSION),
    ("version_comment", "dahliaspoke"),
    ("wait_timeout", "28800"),
];

/// First words that begin state which is bound to one engine.
const BOUND: &[&str] = &[
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

fn not_supported(what: &str) -> Plan {
    let message = format!("This version of MySQL doesn't yet support '{what}'");
    Plan::Here(vec![error(1235, "42000", &message)])
}

/// Looks at a statement's beginning. `packet` is the largest that is taken (bytes).
pub fn plan(statement: &str, packet: usize) -> Plan {
    let words = sql::words(statement, 3);
    let word = |at: usize| words.get(at).map_or("", String::as_str);
    let flat = statement.to_ascii_lowercase().split_whitespace().collect::<String>();
    match word(0) {
        "set" => set(&flat, word(1)),
        "commit" | "rollback" if word(1) != "to" => Plan::Here(vec![ok()]), // nothing is ever open
        "create" if word(1) == "temporary" => not_supported("temporary tables"),
        "show" if matches!(word(1), "warnings" | "errors") => rows(&["Level", "Code", "Message"], None),
        "show" if flat.contains("variables") => rows(&["Variable_name", "Value"], None),
        "select" => select(statement, &flat, packet),
        first if BOUND.contains(&first) => not_supported(first),
        _ => Plan::Forward,
    }
}

fn set(flat: &str, second: &str) -> Plan {
    let user_variable =
        flat.split_once("set").is_some_and(|(_, rest)| rest.starts_with('@') && !rest.starts_with("@@"));
    let manual = ["autocommit=0", "autocommit=off", "autocommit=false"].iter().any(|off| flat.contains(off));
    if user_variable {
        not_supported("user variables")
    } else if manual {
        not_supported("transactions")
    } else if second == "global" || flat.contains("@@global.") {
        not_supported("SET GLOBAL")
    } else {
        Plan::Here(vec![ok()])
    }
}

fn select(statement: &str, flat: &str, packet: usize) -> Plan {
    let asked = flat.strip_prefix("select").unwrap_or_default().trim_end_matches(';');
    match asked {
        "1" => return rows(&["1"], Some(&["1"])),
        "version()" => return rows(&["version()"], Some(&[super::VERSION])),
        _ => {}
    }
    if !asked.starts_with("@@") {
        let variable = sql::sets_variable(statement);
        return if variable { not_supported("user variables") } else { Plan::Forward };
    }
    let list = statement.trim().trim_end_matches(';').get("select".len()..).unwrap_or_default();
    let (mut names, mut values, packet) = (Vec::new(), Vec::new(), packet.to_string());
    for item in list.split(',') {
        let mut words = item.split_whitespace();
        let variable = words.next().unwrap_or_default();
        let plain = variable.trim_start_matches("@@").to_ascii_lowercase();
        let plain = plain.trim_start_matches("session.").trim_start_matches("global.");
        let known = VARIABLES.iter().find(|(name, _)| *name == plain).map(|(_, value)| *value);
        let Some(value) = known.or((plain == "max_allowed_packet").then_some(packet.as_str())) else {
            let message = format!("Unknown system variable '{plain}'");
            return Plan::Here(vec![error(1193, "HY000", &message)]);
        };
        let alias = words.next().filter(|word| word.eq_ignore_ascii_case("as")).and_then(|_| words.next());
        names.push(alias.unwrap_or(variable).trim_matches('`'));
        values.push(value);
    }
    if names.len() > 250 {
        return not_supported("so many variables"); // their count is one byte here
    }
    rows(&names, Some(&values))
}

/// A text result of one row, or of none.
fn rows(names: &[&str], row: Option<&[&str]>) -> Plan {
    let mut packets = vec![vec![names.len() as u8]];
    packets.extend(names.iter().map(|name| column(name)));
    packets.push(eof());
    packets.extend(row.map(|values| {
        let mut out = Vec::new();
        values.iter().for_each(|value| put_text(&mut out, value.as_bytes()));
        out
    }));
    packets.push(eof());
    Plan::Here(packets)
}
