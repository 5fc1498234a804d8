//! Processes of the program that are members of one store, or watch it.
#![allow(dead_code)]

use dahliaspoke_ctl::{Connection, Reply};
use dahliaspoke_test_harness::fleet::{Files, Fleet};
use dahliaspoke_test_harness::until;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::Path;
use std::time::Duration;

#[path = "../daemon/mod.rs"]
pub mod daemon;

/// A number from the environment, for the long campaigns.
pub fn number(name: &str, usual: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(usual)
}

/// A member's answer as one text: `+OK 17`, `-LEADER c1 ...`, or what a key holds; `None` where there is none.
pub fn ask_for(store: SocketAddr, arguments: &[&str], timeout: Duration) -> Option<String> {
    let mut connection = Connection::open(store, timeout).ok()?;
    connection.request(arguments).ok().map(plain)
}

pub fn plain(reply: Reply) -> String {
    match reply {
        Reply::Status(line) => format!("+{line}"),
        Reply::Error { code, message } => format!("-{code} {message}"),
        Reply::Text(text) => text.unwrap_or_default(),
        Reply::Texts(texts) => texts.join(" "),
    }
}

pub fn ask(store: SocketAddr, words: &[&str]) -> Option<String> {
    ask_for(store, words, Duration::from_secs(10))
}

pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_dahliaspoke"))
}

pub fn nobody() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port")
}

pub fn files(at: usize, reach: &BTreeMap<usize, SocketAddr>, members: usize, config: String) -> Files {
    let peers = reach.iter().filter(|(to, _)| **to < members).map(|(to, peer)| format!("c{to} = \"{peer}\""));
    let own = "listen = \"127.0.0.1:0\"\nfolder = \"store\"\nconnections = 400\n";
    let own = if at < members { own } else { "" };
    let store = format!("{own}peers = {{ {} }}\n", peers.collect::<Vec<_>>().join(", "));
    vec![("config.json".into(), config), ("deploy/store.toml".into(), store)]
}

pub fn status(fleet: &Fleet, at: usize) -> String {
    let patience = Duration::from_millis(500);
    let store = fleet.doors[at].get("store");
    store.and_then(|store| ask_for(*store, &["STATUS"], patience)).unwrap_or_default()
}

/// Who leads, and was in touch with a majority just now.
pub fn leader(fleet: &mut Fleet) -> Option<usize> {
    let awake = fleet.awake();
    awake.into_iter().find(|at| status(fleet, *at).contains("role=leader"))
}

/// That many processes, of which the first so many are members of one store.
pub fn start(members: usize, processes: usize) -> Fleet {
    start_with(members, processes, |at| {
        daemon::config(&[], nobody()).replace("\"n1\"", &format!("\"c{at}\""))
    })
}

/// The same with configurations of one's own.
pub fn start_with(members: usize, processes: usize, config: impl Fn(usize) -> String) -> Fleet {
    let mut fleet = Fleet::start(program(), processes, "store", "store", |at, reach| {
        files(at, reach, members, config(at))
    });
    assert_eq!(ask(fleet.doors[0]["store"], &["INIT"]).as_deref(), Some("+OK"));
    until("the first leads", || leader(&mut fleet));
    for at in 1..members {
        let name = format!("c{at}");
        bring_in(&mut fleet, &name);
    }
    fleet
}

/// Has a member join, whatever it takes, and waits until it counts.
pub fn bring_in(fleet: &mut Fleet, name: &str) {
    let counts = format!("member={name} ");
    until(&format!("{name} counts"), || {
        let leader = leader(fleet)?;
        let said = status(fleet, leader);
        let waits = said.contains(&format!("waits={name} ")) || said.contains("changing=");
        if !waits && said.lines().any(|line| line.starts_with(&counts) && line.contains(" voter ")) {
            return Some(());
        }
        // It may be too early for that; then it is said again.
        ask(fleet.doors[leader]["store"], &["MEMBER", "ADD", name]);
        None
    });
}

/// The same for one that lost its disk: first its new self presents itself, as long as its old one counts.
pub fn bring_in_anew(fleet: &mut Fleet, name: &str) {
    let waits = format!("waits={name} ");
    until(&format!("{name} presents itself"), || {
        let leader = leader(fleet)?;
        status(fleet, leader).contains(&waits).then_some(())
    });
    bring_in(fleet, name);
}

/// Says a change until it is done, as one session.
pub fn set(fleet: &mut Fleet, session: &str, key: &str, value: &str) -> u64 {
    until(&format!("{key} is set"), || {
        let leader = leader(fleet)?;
        let words = ["SET", key, value, "SESSION", session, "1"];
        ask(fleet.doors[leader]["store"], &words)?.strip_prefix("+OK ")?.parse().ok()
    })
}

pub fn get(fleet: &mut Fleet, key: &str) -> String {
    until(&format!("{key} is read"), || {
        let leader = leader(fleet)?;
        ask(fleet.doors[leader]["store"], &["GET", key]).filter(|answer| !answer.starts_with('-'))
    })
}

/// Waits until a member holds all that counts.
pub fn caught_up(fleet: &mut Fleet, at: usize) {
    until(&format!("c{at} has all"), || {
        let led = leader(fleet)?;
        let figure = |text: &str, name: &str| -> Option<u64> {
            text.split_whitespace().find_map(|w| w.strip_prefix(name))?.parse().ok()
        };
        let wanted = figure(&status(fleet, led), "committed=")?;
        (figure(&status(fleet, at), "applied=")? >= wanted).then_some(())
    });
}

/// An operator's figures.
pub fn console(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text); // what has come is looked at
    text
}
