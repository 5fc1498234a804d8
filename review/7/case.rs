//! The MySQL listener: results of the size that the protocol page allows.

#[path = "../common-2.rs"]
mod common;
use common::*;

/// Statements of the session.
const STATEMENTS: usize = 8;
/// The largest result that the protocol page allows (bytes).
const LARGEST_RESULT: usize = 48_000;
const LARGE_ROWS: usize = 4850;
const SMALL_ROWS: usize = 300;

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let mut listed = Vec::new();
    let mut mysql = Vec::new();
    for id in ["e-01", "e-02"] {
        let address =
            start_engine(&record, id, &runs, |_| Reaction::Serve(millis(20), pages_of_rows(3, "x")));
        listed.push(Listed::new(id, address));
        let rows = |text: &str| text.rsplit(' ').next().and_then(|rows| rows.parse().ok()).unwrap_or(1);
        mysql.push((id, start_mysql_engine(&record, id, &runs, millis(30), rows)));
    }
    let directory = Directory::start(&record, &listed);
    let (listen, mysql_listen) = (free_address(), free_address());
    let root = root_folder("n1", &[("mysql.toml", mysql_file(mysql_listen, &mysql))]);
    let configuration = Configuration {
        name: "n1",
        listen,
        console: None,
        names: directory.address,
        engines: &listed,
        settings: SETTINGS,
        sockets: 1024,
        memory_mb: 192,
    };
    let mut coordinator = Coordinator::start(&record, "n1", &root, &configuration.json(), None);
    coordinator.wait_until_ready(listen);

    // The rows as text, as the page counts them: a tab separates columns and a line feed follows each row.
    let as_text: usize = pages_of_rows(LARGE_ROWS, "x").iter().map(String::len).sum();
    record.line(&format!("a large result has {LARGE_ROWS} rows of {as_text} bytes"));
    assert!(as_text <= LARGEST_RESULT);
    let rows = if has_trouble() { LARGE_ROWS } else { SMALL_ROWS };
    let mut broken = Vec::new();
    for number in 1..=STATEMENTS {
        // A session that has ended is replaced, as a client's library does.
        let mut client = MysqlClient::connect(mysql_listen, "billing")
            .unwrap_or_else(|error| give_up(&format!("no session: {error}")));
        let before = lock(&runs).len();
        let statement = format!(
            "SELECT day, count(*), max(note) FROM sales_17.orders WHERE month = {number} GROUP BY day LIMIT {rows}"
        );
        record.line(&format!("client: statement {number} sent, {rows} rows"));
        let answer = client.query(&statement);
        let executed = lock(&runs).len() - before;
        match answer {
            Ok(Ok(count)) if count == rows => {
                record.line(&format!("client: statement {number} answered, {count} rows"))
            }
            Ok(Ok(count)) => broken.push(format!("statement {number}: {count} of {rows} rows")),
            Ok(Err(error)) => {
                record.line(&format!("client: statement {number} answered with an error: {error}"))
            }
            Err(error) => {
                record.line(&format!("client: statement {number}: the session ended: {error}"));
                broken.push(format!("statement {number}, executed {executed} time(s), was never answered"));
            }
        }
    }
    conclude(&record, &broken);
}
