//! Encodes answers, messages between members, and watch events.

use super::{Answer, CallError, Hello, Reply, StoreId};
use crate::net::resp::{array, bulk};
use dahliaspoke_raft::codec::{self, VERSION};
use dahliaspoke_raft::message::Message;
use dahliaspoke_raft::state_machine::KeyChange;
use dahliaspoke_raft::Index;

/// RESP's null bulk string.
const NULL: &[u8] = b"$-1\r\n";

/// Encodes the answer to a request.
#[must_use]
pub fn encode_answer(answer: &Answer) -> Vec<u8> {
    match answer {
        Ok(Reply::Done) => b"+OK\r\n".to_vec(),
        Ok(Reply::Changed(version)) => format!("+OK {version}\r\n").into_bytes(),
        Ok(Reply::Text(text)) => text.as_ref().map_or(NULL.to_vec(), |text| text_reply(text)),
        Ok(Reply::Versioned(None)) => NULL.to_vec(),
        Ok(Reply::Versioned(Some(value))) => {
            array(&[value.version.to_string().as_bytes(), value.text.as_bytes()])
        }
        Err(error) => error_reply(error),
    }
}

fn text_reply(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    bulk(&mut bytes, text.as_bytes());
    bytes
}

/// An error reply: the code, then the reason, on one line.
fn error_reply(error: &CallError) -> Vec<u8> {
    let reason = error.to_string().replace(['\r', '\n'], " ");
    format!("-{} {reason}\r\n", error.code()).into_bytes()
}

/// Encodes a member's identity.
#[must_use]
pub fn encode_hello(hello: &Hello) -> Vec<u8> {
    let (version, id) = (VERSION.to_string(), hello.id.to_string());
    array(&[b"HELLO", version.as_bytes(), id.as_bytes(), hello.name.as_bytes(), hello.address.as_bytes()])
}

/// Encodes a message of the consensus protocol.
#[must_use]
pub fn encode_message(message: &Message) -> Vec<u8> {
    array(&[b"RAFT", &codec::encode(message)])
}

/// Encodes the request for all changes after a version of a store, which earlier versions of members do not know.
#[must_use]
pub fn encode_watch(version: Index, store: Option<StoreId>) -> Vec<u8> {
    let version = version.to_string();
    match store {
        Some(store) => array(&[b"WATCH", version.as_bytes(), b"STORE", store.to_string().as_bytes()]),
        None => array(&[b"WATCH", version.as_bytes()]),
    }
}

/// Encodes a watch event: the store that the events that follow are about.
#[must_use]
pub fn encode_store(store: StoreId) -> Vec<u8> {
    array(&[b"STORE", store.to_string().as_bytes()])
}

/// Encodes a watch event: a change or, during a resync, a key's value.
#[must_use]
pub fn encode_change(change: &KeyChange) -> Vec<u8> {
    let version = change.version.to_string();
    match &change.value {
        Some(text) => array(&[b"PUT", version.as_bytes(), change.key.as_bytes(), text.as_bytes()]),
        None => array(&[b"GONE", version.as_bytes(), change.key.as_bytes()]),
    }
}

/// Encodes a watch event: all changes up to this version were sent, and the member was last in contact with a quorum or
/// the leader `age_ms` milliseconds ago.
#[must_use]
pub fn encode_progress(version: Index, age_ms: u64) -> Vec<u8> {
    array(&[b"AT", version.to_string().as_bytes(), age_ms.to_string().as_bytes()])
}

/// Encodes a watch event: everything sent before is invalid, and all values as of this version follow. `age_ms` as in
/// [`encode_progress`].
#[must_use]
pub fn encode_resync(version: Index, age_ms: u64) -> Vec<u8> {
    array(&[b"ANEW", version.to_string().as_bytes(), age_ms.to_string().as_bytes()])
}
