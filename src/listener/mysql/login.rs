//! The start of a session: greeting, login, authentication.

use super::error::{code, sql_state, CommandError, MysqlError};
use super::session::{Session, SessionState};
use super::{Shared, SERVER_VERSION};
use crate::mysql::auth;
use crate::mysql::packet::{self, capability, Reader};

const PROTOCOL_VERSION: u8 = 10;
/// Length of the first part of the challenge (bytes).
const FIRST_CHALLENGE_PART_BYTES: usize = 8;
/// Reserved bytes in the greeting.
const RESERVED: [u8; 10] = [0; 10];
/// Bytes of the login between flags and account: packet size, character set, reserved bytes.
const LOGIN_SKIPPED: usize = 4 + 1 + 23;
/// Payload for a password that was verified without full authentication.
const FAST_AUTHENTICATION: [u8; 2] = [packet::AUTH_MORE_DATA, 3];
/// The response that some clients send for an empty password.
const EMPTY_PASSWORD: [u8; 1] = [0];

/// A random challenge; `None` if the system has no random bytes.
pub fn new_challenge() -> Option<[u8; auth::CHALLENGE_BYTES]> {
    let mut challenge = [0; auth::CHALLENGE_BYTES];
    getrandom::fill(&mut challenge).ok()?;
    // A zero byte would terminate the challenge, and some clients give a dollar sign a special meaning.
    for byte in &mut challenge {
        *byte = *byte % 90 + 37;
    }
    Some(challenge)
}

/// The payload of the greeting.
pub fn greeting(connection: u32, challenge: &[u8; auth::CHALLENGE_BYTES]) -> Vec<u8> {
    let capabilities = capability::COMMON | capability::CONNECT_WITH_DB | capability::PLUGIN_AUTH_LENENC;
    let capabilities = capabilities.to_le_bytes();
    let mut out = vec![PROTOCOL_VERSION];
    out.extend_from_slice(SERVER_VERSION.as_bytes());
    out.push(0);
    out.extend_from_slice(&connection.to_le_bytes());
    out.extend_from_slice(&challenge[..FIRST_CHALLENGE_PART_BYTES]);
    out.push(0);
    out.extend_from_slice(&capabilities[..2]);
    out.push(packet::CHARSET);
    out.extend_from_slice(&packet::AUTOCOMMIT.to_le_bytes());
    out.extend_from_slice(&capabilities[2..]);
    out.push(auth::CHALLENGE_BYTES as u8 + 1);
    out.extend_from_slice(&RESERVED);
    out.extend_from_slice(&challenge[FIRST_CHALLENGE_PART_BYTES..]);
    out.push(0);
    out.extend_from_slice(auth::CACHING_SHA2.as_bytes());
    out.push(0);
    out
}

impl Session {
    /// Handles the client's response to the greeting. `sequence` is the sequence number of the next packet to
    /// the client.
    pub(super) fn login(
        &mut self,
        sequence: u8,
        payload: &[u8],
        shared: &Shared,
    ) -> Result<(), CommandError> {
        let mut reader = Reader(payload);
        let flags = reader.number(4)? as u32;
        let has = |capability: u32| flags & capability != 0;
        if !has(capability::PROTOCOL_41) || !has(capability::SECURE_CONNECTION) {
            return Err(client_too_old().into());
        }
        reader.read_bytes(LOGIN_SKIPPED)?;
        self.account = reader.text()?.into();
        let length =
            if has(capability::PLUGIN_AUTH_LENENC) { reader.length()? } else { reader.number(1)? as usize };
        let response = reader.read_bytes(length)?;
        if has(capability::CONNECT_WITH_DB) {
            reject_default_schema(reader.text()?)?;
        }
        let plugin = if has(capability::PLUGIN_AUTH) { reader.text()? } else { auth::NATIVE };
        if plugin == auth::CACHING_SHA2 {
            return Ok(self.authenticate(sequence, response, shared)?);
        }
        self.send(sequence, &[switch_request(&self.challenge)]);
        self.state = SessionState::AwaitingAuthSwitch;
        Ok(())
    }

    /// Checks the client's response to the challenge.
    pub(super) fn authenticate(
        &mut self,
        sequence: u8,
        response: &[u8],
        shared: &Shared,
    ) -> Result<(), MysqlError> {
        let response = if response == EMPTY_PASSWORD { &[] } else { response };
        let stored = shared.config.account(&self.account);
        if !stored.is_some_and(|stored| auth::verify(&stored, &self.challenge, response)) {
            let message = format!("Access denied for user '{}'", self.account);
            return Err(MysqlError::new(code::ACCESS_DENIED_ERROR, sql_state::ACCESS_DENIED, message));
        }
        self.state = SessionState::Idle;
        if response.is_empty() {
            self.send(sequence, &[packet::ok()]);
        } else {
            self.send(sequence, &[FAST_AUTHENTICATION.to_vec(), packet::ok()]);
        }
        Ok(())
    }
}

fn client_too_old() -> MysqlError {
    let message = "Client does not support authentication protocol";
    MysqlError::new(code::NOT_SUPPORTED_AUTH_MODE, sql_state::CONNECTION_REJECTED, message)
}

/// Rejects a login with a default schema, which would be session state on one engine. Statements must name
/// their schema.
fn reject_default_schema(schema: &str) -> Result<(), MysqlError> {
    if schema.is_empty() {
        return Ok(());
    }
    let message = format!("Unknown database '{schema}'");
    Err(MysqlError::new(code::BAD_DB_ERROR, sql_state::SYNTAX_OR_ACCESS, message))
}

/// The payload of the request to switch to the authentication plugin that this server supports.
fn switch_request(challenge: &[u8]) -> Vec<u8> {
    let mut out = vec![packet::EOF];
    out.extend_from_slice(auth::CACHING_SHA2.as_bytes());
    out.push(0);
    out.extend_from_slice(challenge);
    out.push(0);
    out
}
