//! A coordinator that is a member of the store dies and starts again from nothing, while operators have a worker group
//! left out everywhere.

#[path = "../common-2.rs"]
mod common;
use common::*;
use std::net::SocketAddr;

/// The grace of a drain (s).
const DRAIN_GRACE: f64 = 1.0;
/// What the protocol page adds to every time limit (s).
const TOLERANCE: f64 = 0.05;
/// The time after which the coordinator comes back (ms), within 1.2 to 7.9 s.
const AWAY_MS: u64 = 2000;
/// For how long look-ups are sent to the one that has come back.
const WATCHED: f64 = 10.0;
const MEMBERS: usize = 3;

fn send_lookup(record: &Record, listen: SocketAddr) -> bool {
    let id = new_id();
    let request = http_request(
        "lookup",
        &id,
        2500,
        "X-Size-Ms: 20.0\r\n",
        "SELECT note FROM sales_17.orders WHERE id = 1",
    );
    record.line(&format!("client: sends {id} to {listen}"));
    let answer = HttpClient::connect(listen).and_then(|mut client| {
        client.send(&request)?;
        client.answer()
    });
    let is_served = matches!(&answer, Ok(answer) if answer.status == 200);
    record.line(&format!("client: {id}: {}", describe(&answer)));
    is_served
}

fn main() {
    let record = Record::create();
    let runs = Runs::default();
    let mut listed = Vec::new();
    for id in ["e-01", "e-02", "e-03"] {
        let address =
            start_engine(&record, id, &runs, |_| Reaction::Serve(millis(20), pages_of_rows(1, "x")));
        listed.push(Listed::new(id, address));
    }
    let directory = Directory::start(&record, &listed);
    let listen: Vec<SocketAddr> = (0..MEMBERS).map(|_| free_address()).collect();
    let store: Vec<SocketAddr> = (0..MEMBERS).map(|_| free_address()).collect();
    let name = |at: usize| format!("c{at}");
    let configuration = |at: usize| {
        Configuration {
            name: &name(at),
            listen: listen[at],
            console: None,
            names: directory.address,
            engines: &listed,
            settings: SETTINGS,
            sockets: 1024,
            memory_mb: 192,
        }
        .json()
    };
    let roots: Vec<_> = (0..MEMBERS)
        .map(|at| {
            let others = (0..MEMBERS).filter(|other| *other != at);
            let peers: Vec<String> =
                others.map(|other| format!("{} = \"{}\"", name(other), store[other])).collect();
            let file =
                format!("listen = \"{}\"\nfolder = \"store\"\n[peers]\n{}\n", store[at], peers.join("\n"));
            root_folder(&name(at), &[("store.toml", file)])
        })
        .collect();
    let mut processes: Vec<Coordinator> = (0..MEMBERS)
        .map(|at| Coordinator::start(&record, &name(at), &roots[at], &configuration(at), None))
        .collect();
    for at in 0..MEMBERS {
        processes[at].wait_until_ready(listen[at]);
    }
    operate(&record, &store[..1], &["INIT"]);
    add_member(&record, &store, "c1");
    add_member(&record, &store, "c2");
    operate(&record, &store, &["SET", "maintenance/e-01", "it is restarted"]);
    let left_out = record.now();
    processes[2].wait_for_line("engine e-01 is left out");
    pause(2000);

    if has_trouble() {
        processes[2].signal("KILL");
        processes[2].wait_for_end();
        pause(AWAY_MS);
        // It starts again from nothing: a coordinator has no disk that survives it.
        let removed = std::fs::remove_dir_all(roots[2].join("store"));
        removed.unwrap_or_else(|error| give_up(&error.to_string()));
        processes[2] = Coordinator::start(&record, &name(2), &roots[2], &configuration(2), None);
        processes[2].wait_until_ready(listen[2]);
    }
    let until = record.now() + WATCHED;
    let mut served = 0;
    while record.now() < until {
        served += u32::from(send_lookup(&record, listen[2]));
        pause(50);
    }
    operate(&record, &store, &["GET", "maintenance/e-01"]);

    record.line(&format!("c2 served {served} look-ups"));
    let limit = left_out + DRAIN_GRACE + TOLERANCE;
    let late: Vec<f64> = lock(&runs)
        .iter()
        .filter(|run| run.engine == "e-01" && run.begun > limit)
        .map(|run| run.begun)
        .collect();
    let mut broken = Vec::new();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        broken.push(format!(
            "e-01, left out everywhere at {left_out:.3}, got {} requests from c2 from {first:.3} to {last:.3}",
            late.len()
        ));
    }
    conclude(&record, &broken);
}
