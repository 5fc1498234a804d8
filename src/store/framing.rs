//! Splits the input of a connection into RESP arrays.

use super::wire::{encode_answer, CallError, MAX_VALUES};
use crate::net::resp::{decode_array, ArrayLimits};
use crate::net::{BufferedStream, Flow};
use dahliaspoke_raft::state_machine::MAX_VALUE_BYTES;

/// Maximum size of a request or a member's message without its one large value (bytes).
const FRAMING_BYTES: usize = 64 << 10;
/// Maximum size of one array (bytes): a member's message has to fit at least one entry of any size, plus its framing.
const MAX_ARRAY_BYTES: usize = MAX_VALUE_BYTES + FRAMING_BYTES;

/// Passes each complete array to `accept` and removes it from the input, for as long as `accept` returns [`Flow::Open`].
/// Malformed input is answered with an error, and the connection is finished.
pub fn read_arrays(channel: &mut BufferedStream, mut accept: impl FnMut(&[&[u8]]) -> Flow) -> Flow {
    let mut input = std::mem::take(&mut channel.input);
    let limits = ArrayLimits { values: MAX_VALUES, bytes: MAX_ARRAY_BYTES };
    let mut consumed = 0;
    let flow = loop {
        let rest = &input[consumed..];
        match decode_array(rest, limits) {
            Ok(Some((values, length))) => {
                consumed += length;
                let flow = accept(&values);
                if flow != Flow::Open {
                    break flow;
                }
            }
            Ok(None) if rest.len() <= MAX_ARRAY_BYTES => break Flow::Open,
            Err(_) if is_reply(rest) => break Flow::Close,
            Ok(None) | Err(_) => {
                channel.push(encode_answer(&Err(CallError::Malformed)));
                break Flow::Finish;
            }
        }
    };
    input.drain(..consumed);
    channel.input = input;
    flow
}

/// Whether the input starts with a status or error reply to something this end sent. No reply is expected on these
/// connections, so it means that the peer rejected what was sent.
fn is_reply(input: &[u8]) -> bool {
    matches!(input.first(), Some(b'-' | b'+'))
}
