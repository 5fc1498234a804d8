//! A payload that goes out piece by piece, cut into packets.

use super::packet::SPLIT;

/// What is left of a payload whose length is known.
pub struct Payload {
    /// Bytes of the packet that is open.
    pub packet: usize,
    /// Bytes behind it.
    behind: usize,
    sequence: u8,
}

impl Payload {
    /// Opens the first packet of a payload.
    pub fn open(length: usize, out: &mut Vec<u8>) -> Self {
        let mut payload = Self { packet: 0, behind: length, sequence: 0 };
        payload.next(out);
        payload
    }

    fn next(&mut self, out: &mut Vec<u8>) {
        self.packet = self.behind.min(SPLIT);
        self.behind -= self.packet;
        out.extend_from_slice(&(self.packet as u32).to_le_bytes()[..3]);
        out.push(self.sequence);
        self.sequence = self.sequence.wrapping_add(1);
        // One that fills its packet goes on in another, though it may be empty.
        if self.packet == SPLIT && self.behind == 0 {
            self.behind = usize::MAX;
        }
    }

    /// Queues bytes of the payload, with a header wherever one is due.
    pub fn put(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
        loop {
            let (now, rest) = bytes.split_at(bytes.len().min(self.packet));
            out.extend_from_slice(now);
            self.packet -= now.len();
            bytes = rest;
            if self.packet > 0 || self.behind == 0 {
                return;
            }
            if self.behind == usize::MAX {
                out.extend_from_slice(&[0, 0, 0, self.sequence]);
                self.behind = 0;
                return;
            }
            self.next(out);
        }
    }
}
