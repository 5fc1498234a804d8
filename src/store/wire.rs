//! The store's wire: RESP arrays. What operators and watchers ask, and what members say to each other.

use crate::net::resp::{array, bulk};
use dahliaspoke_raft::codec::{self, VERSION};
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::state_machine::{Command, KeyChange, Op, Outcome};
use dahliaspoke_raft::{Id, Index};

/// Values in a command.
pub const VALUES: usize = 8;

/// Who is at the other end of a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Hello {
    pub id: Id,
    pub name: String,
    pub address: String,
}

/// A call, decoded.
#[derive(Debug)]
pub enum Call {
    /// A member presents itself.
    Hello(Hello),
    /// A member's word.
    Raft(Box<Message>),
    /// What a key holds now.
    Get(String),
    /// The same, with its version in front.
    Read(String),
    /// A change.
    Change(Command),
    /// All changes from that version on, as they come.
    Watch(Index),
    Status,
    /// Found a log of one member.
    Init,
    Add(String),
    Remove(String),
    HandOver(String),
    /// Keep the machine in place of the log's entries now.
    Snapshot,
}

/// What the bytes of one command say.
///
/// # Errors
/// In words for the one who called.
pub fn decode(values: &[&[u8]]) -> Result<Call, String> {
    if let [b"RAFT", bytes] = values {
        return codec::decode(bytes).map(|message| Call::Raft(Box::new(message))).map_err(|e| e.to_string());
    }
    let texts = values.iter().map(|value| std::str::from_utf8(value)).collect::<Result<Vec<_>, _>>();
    let texts = texts.map_err(|_| "a command is text")?;
    let number = |text: &str| text.parse::<u64>().map_err(|_| format!("{text:?} is no number"));
    // `SESSION id serial` at the end: said again, it counts once.
    let (texts, session) = match texts.as_slice() {
        [rest @ .., "SESSION", id, serial] => (rest, (number(id)?, number(serial)?)),
        all => (all, (0, 0)),
    };
    let change = |key: &str, value: Option<&str>, expect| {
        let op = Op { key: key.into(), value: value.map(Into::into), expect };
        Call::Change(Command { session: session.0, serial: session.1, ops: vec![op] })
    };
    Ok(match texts {
        ["HELLO", version, id, name, address] => {
            if number(version)? != u64::from(VERSION) {
                return Err(format!("version {version}; this program speaks {VERSION}"));
            }
            Call::Hello(Hello { id: number(id)?, name: (*name).into(), address: (*address).into() })
        }
        ["GET", key] => Call::Get((*key).into()),
        ["READ", key] => Call::Read((*key).into()),
        ["SET", key, value] => change(key, Some(value), None),
        ["CAS", key, version, value] => change(key, Some(value), Some(number(version)?)),
        ["DEL", key] => change(key, None, None),
        ["WATCH", from] => Call::Watch(number(from)?),
        ["STATUS"] => Call::Status,
        ["INIT"] => Call::Init,
        ["MEMBER", "ADD", name] => Call::Add((*name).into()),
        ["MEMBER", "REMOVE", name] => Call::Remove((*name).into()),
        ["MEMBER", "TRANSFER", name] => Call::HandOver((*name).into()),
        ["SNAPSHOT"] => Call::Snapshot,
        _ => return Err("no such command, or not so many words".into()),
    })
}

pub fn hello(hello: &Hello) -> Vec<u8> {
    let (version, id) = (VERSION.to_string(), hello.id.to_string());
    array(&[b"HELLO", version.as_bytes(), id.as_bytes(), hello.name.as_bytes(), hello.address.as_bytes()])
}

pub fn raft(message: &Message) -> Vec<u8> {
    array(&[b"RAFT", &codec::encode(message)])
}

/// An error in one line; the first word says which.
pub fn error(kind: &str, why: &str) -> Vec<u8> {
    let plain = why.replace(['\r', '\n'], " ");
    format!("-{kind} {plain}\r\n").into_bytes()
}

pub fn value(text: Option<&str>) -> Vec<u8> {
    let mut out = Vec::new();
    match text {
        Some(text) => bulk(&mut out, text.as_bytes()),
        None => out.extend_from_slice(b"$-1\r\n"),
    }
    out
}

/// The answer to a change.
pub fn outcome(outcome: &Outcome) -> Vec<u8> {
    match outcome {
        Outcome::Done(version) => format!("+OK {version}\r\n").into_bytes(),
        Outcome::VersionMismatch { version, .. } => error("OTHER", &format!("{version} {outcome}")),
        Outcome::Rejected(why) => error("REFUSED", why),
    }
}

/// A watcher's line: a change, or, for one that starts anew, what a key holds.
pub fn changed(changed: &KeyChange) -> Vec<u8> {
    let version = changed.version.to_string();
    match &changed.value {
        Some(text) => array(&[b"PUT", version.as_bytes(), changed.key.as_bytes(), text.as_bytes()]),
        None => array(&[b"GONE", version.as_bytes(), changed.key.as_bytes()]),
    }
}

/// A watcher's line: it has all up to that version, and the one who says so heard a majority, or its leader, so many
/// milliseconds ago. `anew`: what it held before counts no more.
pub fn at(version: Index, age_ms: u64, anew: bool) -> Vec<u8> {
    let (version, age) = (version.to_string(), age_ms.to_string());
    array(&[if anew { b"ANEW" } else { b"AT" }, version.as_bytes(), age.as_bytes()])
}
