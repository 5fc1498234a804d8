//! Helpers of the store's tests: processes of the program that are members of one store, or watch it.
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
/// How long a member may take to tell its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// A number from the environment, for long campaigns.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// A member's reply as one text: `+OK 17`, `-LEADER c1 ...`, or what a key holds, empty where it holds nothing; `None`
/// where no reply comes in time.
pub fn request_with_timeout(member: SocketAddr, arguments: &[&str], timeout: Duration) -> Option<String> {
    let mut connection = Connection::open(member, timeout).ok()?;
    connection.request(arguments).ok().map(reply_text)
}

/// The same with the usual timeout.
pub fn request(member: SocketAddr, arguments: &[&str]) -> Option<String> {
    request_with_timeout(member, arguments, REQUEST_TIMEOUT)
}

/// A reply as one text.
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

/// An address at which nobody answers.
pub fn unused_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr()).expect("a port")
}

/// The files of the process at a position; the first `members` processes are members of the store. `reach` has the
/// addresses of the others by position.
pub fn daemon_files(at: usize, reach: &BTreeMap<usize, SocketAddr>, members: usize, config: String) -> Files {
    let peers = reach.iter().filter(|(to, _)| **to < members).map(|(to, peer)| format!("c{to} = \"{peer}\""));
    let own = "listen = \"127.0.0.1:0\"\nfolder = \"store\"\nconnections = 400\n";
    let own = if at < members { own } else { "" };
    let store = format!("{own}peers = {{ {} }}\n", peers.collect::<Vec<_>>().join(", "));
    vec![("config.json".into(), config), ("deploy/store.toml".into(), store)]
}

/// A member's status; empty where it does not answer.
pub fn status(fleet: &Fleet, at: usize) -> String {
    let member = fleet.addresses[at].get("store");
    member.and_then(|member| request_with_timeout(*member, &["STATUS"], STATUS_TIMEOUT)).unwrap_or_default()
}

/// The member that says that it leads: it was in touch with a quorum just now.
pub fn leader(fleet: &mut Fleet) -> Option<usize> {
    let running = fleet.running();
    running.into_iter().find(|at| status(fleet, *at).contains("role=leader"))
}

/// Starts that many processes, of which the first `members` are members of one store.
pub fn start(members: usize, processes: usize) -> Fleet {
    start_with(members, processes, |at| {
        daemon::config(&[], unused_address()).replace("\"n1\"", &format!("\"c{at}\""))
    })
}

/// The same with the configuration that `config` gives for a position.
pub fn start_with(members: usize, processes: usize, config: impl Fn(usize) -> String) -> Fleet {
    let mut fleet = Fleet::start(program(), processes, "store", "store", |at, reach| {
        daemon_files(at, reach, members, config(at))
    });
    assert_eq!(request(fleet.addresses[0]["store"], &["INIT"]).as_deref(), Some("+OK"));
    until("the first leads", || leader(&mut fleet));
    for at in 1..members {
        let name = format!("c{at}");
        add_member(&mut fleet, &name);
    }
    fleet
}

/// Adds a member and waits until it is a voter.
pub fn add_member(fleet: &mut Fleet, name: &str) {
    let member = format!("member={name} ");
    until(&format!("{name} counts"), || {
        let leader = leader(fleet)?;
        let status = status(fleet, leader);
        let waits = status.contains(&format!("waits={name} ")) || status.contains("changing=");
        if !waits && status.lines().any(|line| line.starts_with(&member) && line.contains(" voter ")) {
            return Some(());
        }
        // It may be too early for that; then it is requested again.
        request(fleet.addresses[leader]["store"], &["MEMBER", "ADD", name]);
        None
    });
}

/// The same for a member that has lost its disk: waits first until its new instance presents itself, as long as the old
/// one is a member.
pub fn replace_member(fleet: &mut Fleet, name: &str) {
    let waits = format!("waits={name} ");
    until(&format!("{name} presents itself"), || {
        let leader = leader(fleet)?;
        status(fleet, leader).contains(&waits).then_some(())
    });
    add_member(fleet, name);
}

/// Retries a change in one session until it is done; its version.
pub fn set(fleet: &mut Fleet, session: &str, key: &str, value: &str) -> u64 {
    until(&format!("{key} is set"), || {
        let leader = leader(fleet)?;
        let arguments = ["SET", key, value, "SESSION", session, "1"];
        request(fleet.addresses[leader]["store"], &arguments)?.strip_prefix("+OK ")?.parse().ok()
    })
}

/// Retries a read until a leader answers it.
pub fn get(fleet: &mut Fleet, key: &str) -> String {
    until(&format!("{key} is read"), || {
        let leader = leader(fleet)?;
        request(fleet.addresses[leader]["store"], &["GET", key]).filter(|reply| !reply.starts_with('-'))
    })
}

/// Waits until a member has applied all that is committed.
pub fn wait_until_caught_up(fleet: &mut Fleet, at: usize) {
    until(&format!("c{at} has all"), || {
        let leader = leader(fleet)?;
        let figure = |status: &str, name: &str| -> Option<u64> {
            status.split_whitespace().find_map(|word| word.strip_prefix(name))?.parse().ok()
        };
        let committed = figure(&status(fleet, leader), "committed=")?;
        (figure(&status(fleet, at), "applied=")? >= committed).then_some(())
    });
}

/// The figures that a daemon's admin interface has for operators.
pub fn statistics(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).expect("connected");
    stream.write_all(b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n").expect("sent");
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text); // what has come is looked at
    text
}
