//! The handshake: the engine's greeting, our answer, and what the engine says of it.

use super::connection::{ConnectionState, MysqlConnection};
use super::shared::Shared;
use crate::mysql::auth;
use crate::mysql::config::Engine;
use crate::mysql::packet::{self, capability, Malformed, Reader};
use crate::net::Time;

/// The version of the protocol, which the greeting begins with.
const PROTOCOL_VERSION: u64 = 10;
/// Bytes of the engine's number for the connection.
const CONNECTION_ID: usize = 4;
/// Bytes of the challenge's first part.
const CHALLENGE_START: usize = 8;
/// Bytes between the challenge's parts: a filler, capabilities, character set, status, capabilities again, the challenge's
/// length and reserved ones.
const BETWEEN_CHALLENGE_PARTS: usize = 1 + 2 + 1 + 2 + 2 + 1 + 10;
/// Reserved bytes in our answer.
const RESERVED: [u8; 23] = [0; 23];
/// The sequence number of our answer.
const ANSWER_SEQUENCE: u8 = 1;
/// The engine knows the password already; its OK follows.
const FAST_AUTH_OK: u8 = 3;

/// What the engine asks us to prove the password with.
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
        reader.read_bytes(CONNECTION_ID)?;
        let mut challenge = reader.read_bytes(CHALLENGE_START)?.to_vec();
        reader.read_bytes(BETWEEN_CHALLENGE_PARTS)?;
        challenge.extend_from_slice(reader.read_bytes(auth::CHALLENGE_BYTES - CHALLENGE_START)?);
        reader.read_bytes(1)?; // the end of the challenge
        let plugin = reader.text().unwrap_or(auth::NATIVE).to_string();
        Ok(Self { plugin, challenge })
    }

    /// Reads a request to switch to another plugin.
    fn from_switch(payload: &[u8]) -> Result<Self, Malformed> {
        let mut reader = Reader(payload);
        let plugin = reader.text()?.to_string();
        Ok(Self { plugin, challenge: reader.0.to_vec() })
    }

    fn answer(&self, engine: &Engine) -> Option<Vec<u8>> {
        auth::respond(&self.plugin, &engine.password, &self.challenge)
    }
}

/// The payload that names our account.
fn login(engine: &Engine, plugin: &str, answer: &[u8]) -> Vec<u8> {
    let mut out = capability::COMMON.to_le_bytes().to_vec();
    out.extend_from_slice(&(packet::MAX_PACKET_PAYLOAD as u32).to_le_bytes());
    out.push(packet::CHARSET);
    out.extend_from_slice(&RESERVED);
    out.extend_from_slice(engine.user.as_bytes());
    out.extend_from_slice(&[0, answer.len() as u8]);
    out.extend_from_slice(answer);
    out.extend_from_slice(plugin.as_bytes());
    out.push(0);
    out
}

impl MysqlConnection {
    /// Answers the engine's greeting.
    ///
    /// # Errors
    /// Where the engine rejects the connection or speaks another protocol.
    pub(super) fn handle_greeting(&mut self, payload: &[u8], shared: &Shared) -> Result<(), Malformed> {
        let mut authentication = Authentication::from_greeting(payload)?;
        let engine = &shared.config.engine;
        let answer = if let Some(answer) = authentication.answer(engine) {
            answer
        } else {
            // A plugin that is not spoken here: the engine asks to switch then.
            authentication.plugin = auth::CACHING_SHA2.to_string();
            Vec::new()
        };
        let login = login(engine, &authentication.plugin, &answer);
        self.stream.push(packet::encode(ANSWER_SEQUENCE, &login));
        self.state = ConnectionState::Authenticating;
        Ok(())
    }

    /// Applies what the engine says of our answer.
    ///
    /// # Errors
    /// Where it denies the account, or wants the password as it is, which needs TLS.
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
                self.begin_attempt(&shared.limits.mysql);
                Ok(())
            }
            [packet::AUTH_MORE_DATA, FAST_AUTH_OK] => Ok(()),
            [packet::EOF, switch @ ..] => {
                let authentication = Authentication::from_switch(switch)?;
                let answer = authentication.answer(&shared.config.engine).ok_or(Malformed)?;
                self.stream.push(packet::encode(sequence.wrapping_add(1), &answer));
                Ok(())
            }
            _ => Err(Malformed),
        }
    }
}
