//! The platform's listener: a client that sends its commands at once, with results of the size that the protocol page
//! allows.

#[path = "../common-2.rs"]
mod common;
use common::*;

/// Connections, one after the other.
const ROUNDS: usize = 6;
/// Commands that a client sends on each connection.
const COMMANDS: usize = 3;
/// The largest result that the protocol page allows (bytes).
const LARGEST_RESULT: usize = 48_000;
const ROWS: usize = 4700;

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let mut listed = Vec::new();
    for id in ["e-01", "e-02"] {
        let react = |_: &Received| Reaction::Serve(millis(60), pages_of_rows(ROWS, "x"));
        listed.push(Listed::new(id, start_engine(&record, id, &runs, react)));
    }
    let directory = Directory::start(&record, &listed);
    let listen = free_address();
    let root = root_folder("n1", &[]);
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

    let as_text: usize = pages_of_rows(ROWS, "x").iter().map(String::len).sum();
    record.line(&format!("each result has {ROWS} rows of {as_text} bytes"));
    assert!(as_text <= LARGEST_RESULT);
    let mut broken = Vec::new();
    for _ in 0..ROUNDS {
        let mut client = HttpClient::connect(listen).unwrap_or_else(|error| give_up(&error.to_string()));
        let ids: Vec<String> = (0..COMMANDS).map(|_| new_id()).collect();
        let command = |id: &String| {
            let statement =
                "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day";
            http_request("report", id, 8000, "X-Size-Ms: 60.0\r\nX-Est-Mb: 20\r\n", statement)
        };
        if has_trouble() {
            let all: Vec<u8> = ids.iter().flat_map(command).collect();
            record.line(&format!("client: sends {COMMANDS} commands at once: {}", ids.join(" ")));
            client.send(&all).unwrap_or_else(|error| give_up(&error.to_string()));
        }
        for id in &ids {
            if !has_trouble() {
                record.line(&format!("client: sends {id}"));
                client.send(&command(id)).unwrap_or_else(|error| give_up(&error.to_string()));
            }
            let answer = client.answer();
            record.line(&format!("client: {id}: {}", describe(&answer)));
            if answer.is_err() {
                let executed = lock(&runs).iter().filter(|run| run.id == *id).count();
                broken.push(format!("{id}, executed {executed} time(s), was never answered"));
            }
        }
    }
    conclude(&record, &broken);
}
