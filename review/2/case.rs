//! During an upgrade the old process still runs a load of some key when the new process takes the next load of that key.
//! Loads of one key run one at a time, in the order in which the coordinator took them.

#[path = "../common.rs"]
mod common;

use common::*;
use std::net::TcpListener;
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;

/// Keys; each gets two loads.
const KEYS: usize = 5;
/// Work of one load (ms): 3,300 to 6,900 ms on average on 2 threads.
const LOAD_MS: u64 = 3500;
/// From the first load of a key to the second (s). The pages want 60 ms, and 250 ms after one on a new connection.
const BETWEEN_MS: u64 = 1000;
/// The old process gets SIGKILL this long after SIGTERM (ms): the longest deadline, 5 s at most, and 0.7 s.
const KILL_MS: u64 = 5700;

fn load_head(id: &str, key: usize) -> String {
    format!(
        "POST /invoke/handover-load HTTP/1.1\r\nX-Job-Id: {id}\r\nX-Allow-Ms: 22000\r\nX-Team: koperasi-tani\r\nX-Size-Ms: 7000.0\r\n\
         X-Est-Mb: 200\r\nX-Item: 7f3a9c21e0b4d65{key:x}"
    )
}

fn statement(key: usize) -> String {
    format!("INSERT INTO parcels_{}.scans SELECT day, state, note FROM staging.batch", 10 + key)
}

fn main() {
    let run = Run::open();
    let groups: Vec<WorkerGroup> = (0..6).map(|at| WorkerGroup::start(&run.record, &format!("e{at}"), 40, LOAD_MS)).collect();
    let listed: Vec<Listed> = groups.iter().map(WorkerGroup::listed).collect();
    let directory = Directory::start(&run.record, "d", 1, &listed);
    // The platform holds the clients' listening socket; every process inherits it as descriptor 5.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| could_not_run("no port"));
    let front = listener.local_addr().unwrap_or_else(|_| could_not_run("no port"));
    let folder = coordinator_folder(&run, "c0", &[]);
    let start = |process: &str, console| {
        let text = config("c0", front, Some(console), directory.address, &listed, &settings_kwn(3, 0));
        Coordinator::start(&run, &folder, process, &text, Some(listener.as_raw_fd()))
    };
    let mut old = start("old", free_address());
    sleep_ms(300);

    // Clients with connections that have served a look-up each, before anything else happens.
    let connections: Vec<Connection> = (0..KEYS)
        .map(|key| {
            let mut connection = Connection::open(front).unwrap_or_else(|| could_not_run("no connection"));
            let id = format!("{:016x}", 0xaa00 + key);
            let head = format!("POST /invoke/lookup HTTP/1.1\r\nX-Job-Id: {id}\r\nX-Allow-Ms: 2400\r\nX-Team: umkm-batik\r\nX-Size-Ms: 100.0\r\nX-Est-Mb: 20");
            run.record.line(&format!("client sends {id}, a look-up"));
            let status = connection.call(&head, "SELECT state, at, note FROM parcels_7.status WHERE tag = '3f9c'");
            run.record.line(&format!("client has {id}: {status:?}"));
            if status != Some(200) {
                could_not_run("a look-up is not served");
            }
            connection
        })
        .collect();

    let new = run.trouble.then(|| {
        let console = free_address();
        let new = start("new", console);
        let healthy = || http_call(console, "GET /healthcheck HTTP/1.1", "", 1000).filter(|status| *status == 200);
        if wait_for(6.0, healthy).is_none() {
            could_not_run("the new process does not say yes");
        }
        run.record.line("the new process says yes to GET /healthcheck");
        new
    });

    // The first load of each key, on a connection of the old process.
    let answers: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for (key, mut connection) in connections.into_iter().enumerate() {
        let (record, answers) = (run.record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let id = format!("{:016x}", 0xa100 + key);
            record.line(&format!("client sends {id}, the first load of key {key}"));
            let status = connection.call(&load_head(&id, key), &statement(key));
            record.line(&format!("client has {id}: {status:?}"));
            answers.lock().unwrap().push(format!("{status:?}"));
        }));
    }
    sleep_ms(BETWEEN_MS / 2);
    if run.trouble {
        old.signal(&run, SIGTERM);
    }
    let terminated = now();
    sleep_ms(BETWEEN_MS / 2);
    // The second load of each key, on a new connection.
    for key in 0..KEYS {
        let (record, answers) = (run.record.clone(), answers.clone());
        clients.push(thread::spawn(move || {
            let id = format!("{:016x}", 0xa200 + key);
            record.line(&format!("client sends {id}, the second load of key {key}"));
            let status = Connection::open(front).and_then(|mut one| one.call(&load_head(&id, key), &statement(key)));
            record.line(&format!("client has {id}: {status:?}"));
            answers.lock().unwrap().push(format!("{status:?}"));
        }));
    }
    if run.trouble {
        while now() - terminated < KILL_MS as f64 / 1000.0 && old.ended().is_none() {
            sleep_ms(10);
        }
        if old.ended().is_none() {
            old.signal(&run, SIGKILL);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    drop(new);

    let all: Vec<Received> = groups.iter().flat_map(|group| group.received_from(0.0)).collect();
    let find = |id: String| all.iter().find(|one| one.id == id).cloned();
    let (mut overlapping, mut both) = (0, 0);
    for key in 0..KEYS {
        let (Some(first), Some(second)) = (find(format!("{:016x}", 0xa100 + key)), find(format!("{:016x}", 0xa200 + key))) else { continue };
        both += 1;
        let end = first.ended.unwrap_or(f64::INFINITY);
        let early = end - second.at;
        let since = |at| run.record.since_start(at);
        run.record.say(&format!(
            "key {key}: the first load ran from {:.3} to {:.3}; the second began at {:.3}",
            since(first.at), since(end), since(second.at)
        ));
        overlapping += usize::from(early > 0.05);
    }
    run.record.say(&format!("answers: {}", answers.lock().unwrap().join(", ")));
    run.record.say(&format!("{overlapping} of {both} keys had two loads at once"));
    if both == 0 {
        could_not_run("no key had two loads");
    }
    run.finish(overlapping > 0);
}
