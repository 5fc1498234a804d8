//! Challenge-response authentication with passwords.

use sha1::Sha1;
use sha2::{Digest, Sha256};

/// The plugin that the listener requires, and the default of most clients.
pub const CACHING_SHA2: &str = "caching_sha2_password";
/// The older plugin that an engine may request.
pub const NATIVE: &str = "mysql_native_password";

/// Length of a challenge (bytes).
pub const CHALLENGE_BYTES: usize = 20;

/// The bitwise exclusive or, truncated to the shorter input.
fn xor(left: &[u8], right: &[u8]) -> Vec<u8> {
    left.iter().zip(right).map(|(l, r)| l ^ r).collect()
}

fn sha256(parts: &[&[u8]]) -> Vec<u8> {
    parts.iter().fold(Sha256::new(), sha1::Digest::chain_update).finalize().to_vec()
}

fn sha1(parts: &[&[u8]]) -> Vec<u8> {
    parts.iter().fold(Sha1::new(), sha1::Digest::chain_update).finalize().to_vec()
}

/// A client's response to a challenge; `None` if the plugin is not supported.
pub fn respond(plugin: &str, password: &str, challenge: &[u8]) -> Option<Vec<u8>> {
    if password.is_empty() {
        return Some(Vec::new());
    }
    let challenge = &challenge[..challenge.len().min(CHALLENGE_BYTES)];
    match plugin {
        CACHING_SHA2 => {
            let once = sha256(&[password.as_bytes()]);
            let twice = sha256(&[&once]);
            Some(xor(&once, &sha256(&[&twice, challenge])))
        }
        NATIVE => {
            let once = sha1(&[password.as_bytes()]);
            let twice = sha1(&[&once]);
            Some(xor(&once, &sha1(&[challenge, &twice])))
        }
        _ => None,
    }
}

/// Whether the response to a challenge proves knowledge of the password whose double SHA-256 is `stored`. If
/// `stored` is empty, the account has no password and the response must be empty.
pub fn verify(stored: &[u8], challenge: &[u8], response: &[u8]) -> bool {
    if stored.is_empty() || response.is_empty() {
        return stored.is_empty() && response.is_empty();
    }
    let once = xor(response, &sha256(&[stored, challenge]));
    response.len() == stored.len() && sha256(&[&once]) == stored
}
