//! Splits what a connection has received into RESP arrays.

use super::wire::{encode_answer, CallError, MAX_VALUES};
use crate::net::resp::{decode_array, ArrayLimits};
use crate::net::{BufferedStream, Flow};
use dahliaspoke_raft::state_machine::MAX_VALUE_BYTES;

/// Bytes of a request or a member's message beside its one large value.
const FRAMING_BYTES: usize = 64 << 10;
/// Bytes of one array: a member's message holds one entry at least, however large, and its own framing.
const MAX_ARRAY_BYTES: usize = MAX_VALUE_BYTES + FRAMING_BYTES;

/// Passes each whole array of the input to `accept` and removes it, as long as that returns [`Flow::Open`]. Malformed
/// input is answered by an error, and the connection finishes.
pub fn read_arrays(channel: &mut BufferedStream, mut accept: impl FnMut(&[&[u8]]) -> Flow) -> Flow {
    let mut input = std::mem::take(&mut channel.input);
    let bounds = ArrayLimits { values: MAX_VALUES, bytes: MAX_ARRAY_BYTES };
    let mut consumed = 0;
    let flow = loop {
        let rest = &input[consumed..];
        match decode_array(rest, bounds) {
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

/// Whether the input begins with a reply to what was sent from here. None is expected: the peer rejected it.
fn is_reply(input: &[u8]) -> bool {
    matches!(input.first(), Some(b'-' | b'+'))
}
