//! Splitting of payloads into packets.

#[path = "../src/mysql/packet.rs"]
#[allow(dead_code)]
mod packet;
#[path = "../src/mysql/payload.rs"]
mod payload;

use packet::MAX_PACKET_PAYLOAD;
use payload::Payload;

/// Reads a payload as a peer does: packets up to the first that is not full. Returns it and the last sequence
/// number.
fn payload(mut bytes: &[u8]) -> (Vec<u8>, u8) {
    let mut out = Vec::new();
    for sequence in 0.. {
        let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], 0]) as usize;
        assert_eq!(bytes[3], sequence);
        out.extend_from_slice(&bytes[4..4 + length]);
        bytes = &bytes[4 + length..];
        if length < MAX_PACKET_PAYLOAD {
            assert!(bytes.is_empty());
            return (out, sequence);
        }
    }
    unreachable!()
}

#[test]
fn payloads_are_split_at_the_maximum_packet_size() {
    for (length, packets) in [
        (1, 1),
        (MAX_PACKET_PAYLOAD - 1, 1),
        (MAX_PACKET_PAYLOAD, 2),
        (MAX_PACKET_PAYLOAD + 1, 2),
        (2 * MAX_PACKET_PAYLOAD, 3),
    ] {
        let data: Vec<u8> = (0..length).map(|n| (n % 251) as u8).collect();
        let mut out = Vec::new();
        let mut open = Payload::open(length, &mut out);
        data.chunks(60_000).for_each(|chunk| open.put(chunk, &mut out));
        let (got, last) = payload(&out);
        assert!(got == data, "{length} bytes");
        assert_eq!(usize::from(last) + 1, packets);
    }
}
