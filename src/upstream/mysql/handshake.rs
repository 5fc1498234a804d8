//! The handshake: the engine's greeting, our response, and the engine's reply to it.

use super::connection::{ConnectionState, MysqlConnection};
use super::shared::Shared;
use crate::mysql::auth;
use crate::mysql::config::Engine;
use crate::mysql::packet::{self, capability, Malformed, Reader};
use crate::net::Time;

/// The protocol version, at the start of the greeting.
const PROTOCOL_VERSION: u64 = 10;
/// Length of the engine's connection id (bytes).
const CONNECTION_ID_BYTES: usize = 4;
/// Length of the first part of the challenge (bytes).
const FIRST_CHALLENGE_PART_BYTES: usize = 8;
/// Bytes between the two parts of the challenge: filler (1), capabilities (2), character set (1), status (2),
/// capabilities (2), challenge length (1) and reserved bytes (10).
const BYTES_BETWEEN_CHALLENGE_PARTS: usize = 1 + 2 + 1 + 2 + 2 + 1 + 10;
/// The reserved bytes in our response.
const RESERVED: [u8; 23] = [0; 23];
/// The packet sequence number of our response.
const RESPONSE_SEQUENCE: u8 = 1;
/// The engine has cached the password and accepts the response; its OK follows.
const FAST_AUTH_OK: u8 = 3;

/// The engine's authentication request: how to prove that we know the password.
pub struct Authentication {
    plugin: String,
    challenge: Vec<u8>,
}

impl Authentication {
    /// Reads a greeting.
    fn from_greeting(payload: &[u8]) -> Result<Self, Malformed> {
        let mut reader = Reader(payload);
        if reader.number(1)? != PROTOCOL_VERSION {
            return Err(Malformed); // an error such as "too many connections", or another protocol
        }
        reader.text()?; // the engine's version
        reader.read_bytes(CONNECTION_ID_BYTES)?;
        let mut challenge = reader.read_bytes(FIRST_CHALLENGE_PART_BYTES)?.to_vec();
        reader.read_bytes(BYTES_BETWEEN_CHALLENGE_PARTS)?;
        challenge.extend_from_slice(reader.read_bytes(auth::CHALLENGE_BYTES - FIRST_CHALLENGE_PART_BYTES)?);
        reader.read_bytes(1)?; // the terminator of the challenge
        let plugin = reader.text().unwrap_or(auth::NATIVE).to_string();
        Ok(Self { plugin, challenge })
    }

    /// Reads a request to switch to another plugin.
    fn from_switch(payload: &[u8]) -> Result<Self, Malformed> {
        let mut reader = Reader(payload);
        let plugin = reader.text()?.to_string();
        Ok(Self { plugin, challenge: reader.0.to_vec() })
    }

    fn response(&self, engine: &Engine) -> Option<Vec<u8>> {
        auth::respond(&self.plugin, &engine.password, &self.challenge)
    }
}

/// The payload of the handshake response, with our account.
fn handshake_response(engine: &Engine, plugin: &str, response: &[u8]) -> Vec<u8> {
    let mut out = capability::COMMON.to_le_bytes().to_vec();
    out.extend_from_slice(&(packet::MAX_PACKET_PAYLOAD as u32).to_le_bytes());
    out.push(packet::CHARSET);
    out.extend_from_slice(&RESERVED);
    out.extend_from_slice(engine.user.as_bytes());
    out.extend_from_slice(&[0, response.len() as u8]);
    out.extend_from_slice(response);
    out.extend_from_slice(plugin.as_bytes());
    out.push(0);
    out
}

impl MysqlConnection {
    /// Responds to the engine's greeting.
    ///
    /// # Errors
    /// If the engine rejects the connection or speaks another protocol.
    pub(super) fn handle_greeting(&mut self, payload: &[u8], shared: &Shared) -> Result<(), Malformed> {
        let mut authentication = Authentication::from_greeting(payload)?;
        let engine = &shared.config.engine;
        let response = if let Some(response) = authentication.response(engine) {
            response
        } else {
            // The plugin is not supported: an empty response for `caching_sha2_password` makes the engine ask
            // to switch to it.
            authentication.plugin = auth::CACHING_SHA2.to_string();
            Vec::new()
        };
        let handshake_response = handshake_response(engine, &authentication.plugin, &response);
        self.stream.push(packet::encode(RESPONSE_SEQUENCE, &handshake_response));
        self.state = ConnectionState::Authenticating;
        Ok(())
    }

    /// Handles the engine's reply to our response.
    ///
    /// # Errors
    /// If the engine denies access, or asks for the password in clear text, which needs TLS.
    pub(super) fn handle_authentication(
        &mut self,
        now: Time,
        sequence: u8,
        payload: &[u8],
        shared: &Shared,
    ) -> Result<(), Malformed> {
        match payload {
            [packet::OK, ..] => {
                self.state = ConnectionState::Idle;
                self.idle_deadline = now + shared.limits.engines.idle_timeout;
                self.start_attempt(&shared.limits.mysql);
                Ok(())
            }
            [packet::AUTH_MORE_DATA, FAST_AUTH_OK] => Ok(()),
            [packet::EOF, switch @ ..] => {
                let authentication = Authentication::from_switch(switch)?;
                let response = authentication.response(&shared.config.engine).ok_or(Malformed)?;
                self.stream.push(packet::encode(sequence.wrapping_add(1), &response));
                Ok(())
            }
            _ => Err(Malformed),
        }
    }
}
