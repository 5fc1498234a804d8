//! Splits a payload that is sent in pieces into packets.

use super::packet::MAX_PACKET_PAYLOAD;

/// The rest of a payload whose length is known.
pub struct Payload {
    /// Bytes of the current packet that have not been appended.
    pub packet: usize,
    /// What follows the current packet.
    following: Following,
    sequence: u8,
}

/// What follows the current packet.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Following {
    /// This many more bytes of the payload; nothing if 0.
    Bytes(usize),
    /// An empty packet: the current one has the maximum length, so another must follow even though no bytes
    /// are left.
    EmptyPacket,
}

impl Payload {
    /// Starts the first packet of a payload of `length` bytes, and appends its header to `out`.
    pub fn open(length: usize, out: &mut Vec<u8>) -> Self {
        let mut payload = Self { packet: 0, following: Following::Bytes(length), sequence: 0 };
        payload.begin_packet(length, out);
        payload
    }

    /// Starts the next packet, with `remaining` bytes of the payload left, and appends its header to `out`.
    fn begin_packet(&mut self, remaining: usize, out: &mut Vec<u8>) {
        self.packet = remaining.min(MAX_PACKET_PAYLOAD);
        let following = remaining - self.packet;
        out.extend_from_slice(&(self.packet as u32).to_le_bytes()[..3]);
        out.push(self.sequence);
        self.sequence = self.sequence.wrapping_add(1);
        self.following = if self.packet == MAX_PACKET_PAYLOAD && following == 0 {
            Following::EmptyPacket
        } else {
            Following::Bytes(following)
        };
    }

    /// Appends bytes of the payload to `out`, with a header at the start of each packet.
    pub fn put(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        loop {
            let (current, rest) = bytes.split_at(bytes.len().min(self.packet));
            out.extend_from_slice(current);
            self.packet -= current.len();
            bytes = rest;
            if self.packet > 0 {
                return;
            }
            match self.following {
                Following::Bytes(0) => return,
                Following::Bytes(remaining) => self.begin_packet(remaining, out),
                Following::EmptyPacket => {
                    out.extend_from_slice(&[0, 0, 0, self.sequence]);
                    self.following = Following::Bytes(0);
                    return;
                }
            }
        }
    }
}
