//! Helpers for the tests of the store: processes that are members of one store or watch it.
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

/// How long a request waits for its reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a member may take to report its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// A number from the environment, for long campaigns.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Sends a request and returns the member's reply as text: `+OK 17`, `-LEADER c1 ...`, or the value of a key, empty if it
/// has none. `None` if there is no reply within the timeout.
pub fn request_with_timeout(member: SocketAddr, arguments: &[&str], timeout: Duration) -> Option<String> {
    let mut connection = Connection::open(member, timeout).ok()?;
    connection.request(arguments).ok().map(reply_text)
}

/// Like [`request_with_timeout`], with [`REQUEST_TIMEOUT`].
pub fn request(member: SocketAddr, arguments: &[&str]) -> Option<String> {
    request_with_timeout(member, arguments, REQUEST_TIMEOUT)
}

/// Formats a reply as one line of text.
pub fn reply_text(reply: Reply) -> String {
    match reply {
        Reply::Status(line) => format!("+{line}"),
        Reply::Error { code, message } => format!("-{code} {message}"),
        Reply::Text(text) => text.unwrap_or_default(),
        Reply::Texts(texts) => texts.join(" "),
    }
}

/// The program under test.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_dahliaspoke"))
}

/// An address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port")
}

/// The files of the process at position `at`; the first `members` processes are members of the store. `peer_addresses`
/// has the addresses at which it reaches the others, by position.
pub fn daemon_files(
    at: usize,
    peer_addresses: &BTreeMap<usize, SocketAddr>,
    members: usize,
    config: String,
) -> Files {
    let peers = peer_addresses
        .iter()
        .filter(|(to, _)| **to < members)
        .map(|(to, peer)| format!("c{to} = \"{peer}\""));
    let own = "listen = \"127.0.0.1:0\"\nfolder = \"store\"\nconnections = 400\n";
    let own = if at < members { own } else { "" };
    let store = format!("{own}peers = {{ {} }}\n", peers.collect::<Vec<_>>().join(", "));
    vec![("config.json".into(), config), ("deploy/store.toml".into(), store)]
}

/// A member's status, empty if it does not answer.
pub fn status(fleet: &Fleet, at: usize) -> String {
    let member = fleet.addresses[at].get("store");
    member.and_then(|member| request_with_timeout(*member, &["STATUS"], STATUS_TIMEOUT)).unwrap_or_default()
}

/// The member that reports itself as leader, which implies recent contact with a quorum.
pub fn leader(fleet: &mut Fleet) -> Option<usize> {
    let running = fleet.running();
    running.into_iter().find(|at| status(fleet, *at).contains("role=leader"))
}

/// Starts `processes` processes, of which the first `members` are members of one store.
pub fn start(members: usize, processes: usize) -> Fleet {
    start_with(members, processes, |at| {
        daemon::config(&[], unused_address()).replace("\"n1\"", &format!("\"c{at}\""))
    })
}

/// Like [`start`], with the configuration that `config` returns for a position.
pub fn start_with(members: usize, processes: usize, config: impl Fn(usize) -> String) -> Fleet {
    let mut fleet = Fleet::start(program(), processes, "store", "store", |at, peer_addresses| {
        daemon_files(at, peer_addresses, members, config(at))
    });
    assert_eq!(request(fleet.addresses[0]["store"], &["INIT"]).as_deref(), Some("+OK"));
    until("the first member leads", || leader(&mut fleet));
    for at in 1..members {
        let name = format!("c{at}");
        add_member(&mut fleet, &name);
    }
    fleet
}

/// Adds a member and waits until it is a voter.
pub fn add_member(fleet: &mut Fleet, name: &str) {
    let member = format!("member={name} ");
    until(&format!("{name} is a voter"), || {
        let leader = leader(fleet)?;
        let status = status(fleet, leader);
        let waiting = status.contains(&format!("waits={name} ")) || status.contains("changing=");
        if !waiting && status.lines().any(|line| line.starts_with(&member) && line.contains(" voter ")) {
            return Some(());
        }
        // The request may come too early to succeed, so it is repeated until the member is a voter.
        request(fleet.addresses[leader]["store"], &["MEMBER", "ADD", name]);
        None
    });
}

/// Like [`add_member`], for a member that has lost its disk: first waits until the new instance asks to join, while the old
/// one is still a member.
pub fn replace_member(fleet: &mut Fleet, name: &str) {
    let waiting = format!("waits={name} ");
    until(&format!("{name} asks to join"), || {
        let leader = leader(fleet)?;
        status(fleet, leader).contains(&waiting).then_some(())
    });
    add_member(fleet, name);
}

/// Sets a key, with retries in one session until it succeeds, and returns the version.
pub fn set(fleet: &mut Fleet, session: &str, key: &str, value: &str) -> u64 {
    until(&format!("{key} is set"), || {
        let leader = leader(fleet)?;
        let arguments = ["SET", key, value, "SESSION", session, "1"];
        request(fleet.addresses[leader]["store"], &arguments)?.strip_prefix("+OK ")?.parse().ok()
    })
}

/// Reads a key, with retries until a leader answers.
pub fn get(fleet: &mut Fleet, key: &str) -> String {
    until(&format!("{key} is read"), || {
        let leader = leader(fleet)?;
        request(fleet.addresses[leader]["store"], &["GET", key]).filter(|reply| !reply.starts_with('-'))
    })
}

/// Waits until a member has applied all committed entries.
pub fn wait_until_caught_up(fleet: &mut Fleet, at: usize) {
    until(&format!("c{at} has caught up"), || {
        let leader = leader(fleet)?;
        let field = |status: &str, name: &str| -> Option<u64> {
            status.split_whitespace().find_map(|word| word.strip_prefix(name))?.parse().ok()
        };
        let committed = field(&status(fleet, leader), "committed=")?;
        (field(&status(fleet, at), "applied=")? >= committed).then_some(())
    });
}

/// The response of a daemon's admin interface to `GET /stats`.
pub fn statistics(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text); // on an error, returns what was received so far
    text
}
