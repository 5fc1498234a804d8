//! Decodes requests and watch events.

use super::{Hello, Request, WatchEvent, WatchProgress};
use crate::net::Time;
use dahliaspoke_raft::codec::{self, VERSION};
use dahliaspoke_raft::state_machine::{Command, KeyChange, Op};
use dahliaspoke_raft::Index;
use std::str::{from_utf8, Utf8Error};
use std::sync::Arc;

/// Why an array cannot be decoded as a request or a watch event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A value is not UTF-8.
    #[error("a command is text")]
    NotText,
    /// A value that should be a number is not one.
    #[error("{0:?} is no number")]
    NotANumber(String),
    /// The other member uses another version of the protocol.
    #[error("version {0}; this program speaks {own}", own = VERSION)]
    Version(String),
    /// The message of the consensus protocol cannot be decoded.
    #[error("{0}")]
    Message(codec::DecodeError),
    /// The command is unknown, or it has the wrong number of arguments.
    #[error("no such command, or not so many words")]
    UnknownCommand,
}

impl From<Utf8Error> for DecodeError {
    fn from(_: Utf8Error) -> Self {
        DecodeError::NotText
    }
}

/// The session id and serial number of a change. A change that is sent again with the same two numbers is applied once.
/// Two zeros mean no session.
#[derive(Clone, Copy, Default)]
struct Session {
    id: u64,
    serial: u64,
}

impl Session {
    /// A change of one key in this session.
    fn change(self, key: &str, value: Option<&str>, expect: Option<Index>) -> Request {
        let op = Op { key: key.into(), value: value.map(Arc::from), expect };
        Request::Change(Command { session: self.id, serial: self.serial, ops: vec![op] })
    }
}

/// Decodes a request from an array.
///
/// # Errors
/// If the array is not a valid request.
pub fn decode_request(values: &[&[u8]]) -> Result<Request, DecodeError> {
    if let [b"RAFT", bytes] = values {
        return codec::decode(bytes)
            .map(|message| Request::Raft(Box::new(message)))
            .map_err(DecodeError::Message);
    }
    let texts = texts(values)?;
    // `SESSION id serial` may follow any command.
    match texts.as_slice() {
        [command @ .., "SESSION", id, serial] => {
            decode_command(command, Session { id: number(id)?, serial: number(serial)? })
        }
        command => decode_command(command, Session::default()),
    }
}

fn decode_command(texts: &[&str], session: Session) -> Result<Request, DecodeError> {
    Ok(match texts {
        ["HELLO", version, id, name, address] => Request::Hello(decode_hello(version, id, name, address)?),
        ["GET", key] => Request::Read { key: (*key).into(), with_version: false },
        ["READ", key] => Request::Read { key: (*key).into(), with_version: true },
        ["SET", key, value] => session.change(key, Some(value), None),
        ["CAS", key, version, value] => session.change(key, Some(value), Some(number(version)?)),
        ["DEL", key] => session.change(key, None, None),
        ["WATCH", version] => Request::Watch { version: number(version)?, store: None },
        ["WATCH", version, "STORE", store] => {
            Request::Watch { version: number(version)?, store: Some(number(store)?) }
        }
        ["STATUS"] => Request::Status,
        ["INIT"] => Request::Init,
        ["MEMBER", "ADD", name] => Request::AddMember((*name).into()),
        ["MEMBER", "REMOVE", name] => Request::RemoveMember((*name).into()),
        ["MEMBER", "TRANSFER", name] => Request::TransferLeadership((*name).into()),
        ["SNAPSHOT"] => Request::Snapshot,
        _ => return Err(DecodeError::UnknownCommand),
    })
}

fn decode_hello(version: &str, id: &str, name: &str, address: &str) -> Result<Hello, DecodeError> {
    if number(version)? != u64::from(VERSION) {
        return Err(DecodeError::Version(version.into()));
    }
    Ok(Hello { id: number(id)?, name: name.into(), address: address.into() })
}

/// Decodes a watch event from an array.
///
/// # Errors
/// If the array is not a valid watch event.
pub fn decode_watch_event(values: &[&[u8]]) -> Result<WatchEvent, DecodeError> {
    let change = |version: &str, key: &str, value: Option<&str>| {
        let (key, value) = (key.to_string(), value.map(Arc::from));
        Ok(WatchEvent::Change(KeyChange { version: number(version)?, key, value }))
    };
    match texts(values)?.as_slice() {
        ["PUT", version, key, text] => change(version, key, Some(text)),
        ["GONE", version, key] => change(version, key, None),
        ["STORE", store] => Ok(WatchEvent::Store(number(store)?)),
        ["AT", version, age_ms] => {
            let age = number(age_ms)? as Time / 1000.0;
            Ok(WatchEvent::Progress(WatchProgress { version: number(version)?, age }))
        }
        ["ANEW", version, age_ms] => {
            number(age_ms)?;
            Ok(WatchEvent::Resync(number(version)?))
        }
        _ => Err(DecodeError::UnknownCommand),
    }
}

fn texts<'a>(values: &[&'a [u8]]) -> Result<Vec<&'a str>, Utf8Error> {
    values.iter().map(|value| from_utf8(value)).collect()
}

fn number(text: &str) -> Result<u64, DecodeError> {
    text.parse().map_err(|_| DecodeError::NotANumber(text.into()))
}
