//! An execution whose statement or arguments do not go out at once: long parameters ahead of it, each chunk a
//! command of its own, then the command itself with what the spool holds of it, cut into packets.

use crate::bodies;
use crate::core::{Value, Work};
use crate::mysql::packet::{self, command, SPLIT};
use crate::net::{Channel, Time};
use dahliaspoke_bodies::spool::{Body, Pull, Reader};
use std::collections::VecDeque;

/// What still goes out, in order.
enum Piece {
    /// Chunks of a parameter, each in a command.
    Long { parameter: u16, value: Value, begun: bool },
    /// The command that runs it.
    Command { head: Vec<u8>, rest: Option<Body> },
}

/// What is left of a payload whose length is known.
struct Payload {
    /// Bytes of the packet that is open.
    packet: usize,
    /// Bytes behind it.
    behind: usize,
    sequence: u8,
}

/// On its way to an engine.
pub struct Sending {
    pieces: VecDeque<Piece>,
    /// The statement's number on the engine.
    statement: u32,
    reader: Option<Reader>,
    payload: Option<Payload>,
    /// By which the command can be taken back, once it is queued.
    pub tag: Option<u64>,
    /// Nothing of it is here now.
    pub waits: bool,
}

/// How far it has come.
#[derive(Debug, PartialEq, Eq)]
pub enum Sent {
    Part,
    All,
    /// The rest cannot be had.
    Lost,
}

impl Payload {
    /// Opens the first packet of a payload.
    fn open(length: usize, out: &mut Vec<u8>) -> Self {
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
    fn put(&mut self, mut bytes: &[u8], out: &mut Vec<u8>) {
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

impl Sending {
    /// What a statement with that number on its engine, or a text, needs; `None` where it goes out at once.
    pub fn of(work: &Work, statement: u32) -> Option<Self> {
        if work.body.is_none() && work.long.is_empty() {
            return None;
        }
        let long = work.long.iter().cloned();
        let mut pieces: VecDeque<Piece> =
            long.map(|(parameter, value)| Piece::Long { parameter, value, begun: false }).collect();
        let head = match &work.arguments {
            None => vec![command::QUERY],
            Some(arguments) => {
                let (id, one) = (statement.to_le_bytes(), 1u32.to_le_bytes());
                [&[command::EXECUTE][..], &id, &[0], &one, arguments].concat()
            }
        };
        pieces.push_back(Piece::Command { head, rest: work.body.clone() });
        Some(Self { pieces, statement, reader: None, payload: None, tag: None, waits: false })
    }

    /// Queues more of it, while little is queued. Readers that begin are told to `reads`.
    pub fn go_on(
        &mut self,
        now: Time,
        channel: &mut Channel,
        most: usize,
        spool: Option<&bodies::Shared>,
        mut reads: impl FnMut(u64),
    ) -> Sent {
        self.waits = false;
        while channel.queued() < most {
            let Some(piece) = self.pieces.front_mut() else { return Sent::All };
            let body = match piece {
                Piece::Long { parameter, value: Value::Here(bytes), .. } => {
                    channel.push(long(self.statement, *parameter, bytes));
                    self.pieces.pop_front();
                    continue;
                }
                Piece::Long { value: Value::Spool(body), .. } => body.clone(),
                Piece::Command { head, rest } => {
                    if self.payload.is_none() {
                        let rest = rest.as_ref().map_or(0, |body| length(spool, body));
                        let mut out = Vec::new();
                        let mut payload = Payload::open(head.len() + rest, &mut out);
                        payload.put(head, &mut out);
                        self.payload = Some(payload);
                        self.tag = Some(channel.push(out));
                    }
                    match rest {
                        Some(body) => body.clone(),
                        None => {
                            channel.push_counted(Vec::new()); // it is out with what came before
                            self.pieces.pop_front();
                            continue;
                        }
                    }
                }
            };
            let Some(spool) = spool else { return Sent::Lost };
            let reader = match &mut self.reader {
                Some(reader) => reader,
                None => {
                    let Some(reader) = spool.borrow_mut().reader(now, &body) else { return Sent::Lost };
                    reads(reader.id);
                    self.reader.insert(reader)
                }
            };
            let pulled = spool.borrow_mut().pull(now, reader);
            match (pulled, piece) {
                (Pull::Wait, _) => {
                    self.waits = true;
                    return Sent::Part;
                }
                (Pull::Lost, _) => return Sent::Lost,
                (Pull::Bytes(bytes), Piece::Long { parameter, begun, .. }) => {
                    *begun = true;
                    channel.push(long(self.statement, *parameter, &bytes));
                }
                (Pull::Bytes(bytes), Piece::Command { .. }) => {
                    let Some(payload) = &mut self.payload else { return Sent::Lost };
                    if bytes.len() < payload.packet {
                        payload.packet -= bytes.len();
                        channel.push_shared(bytes);
                    } else {
                        let mut out = Vec::new();
                        payload.put(&bytes, &mut out);
                        channel.push(out);
                    }
                }
                (Pull::End, piece) => {
                    match piece {
                        Piece::Long { parameter, begun: false, .. } => {
                            channel.push(long(self.statement, *parameter, &[]));
                        }
                        Piece::Long { .. } => {}
                        Piece::Command { .. } => drop(channel.push_counted(Vec::new())),
                    }
                    self.reader = None;
                    self.pieces.pop_front();
                }
            }
        }
        if self.pieces.is_empty() {
            Sent::All
        } else {
            Sent::Part
        }
    }
}

/// A command that brings a part of a parameter.
fn long(statement: u32, parameter: u16, bytes: &[u8]) -> Vec<u8> {
    let payload = [&[command::LONG_DATA][..], &statement.to_le_bytes(), &parameter.to_le_bytes(), bytes];
    packet::packet(0, &payload.concat())
}

/// Bytes of a body that is here whole.
fn length(spool: Option<&bodies::Shared>, body: &Body) -> usize {
    spool.map_or(0, |spool| spool.borrow().came(body.id()) as usize)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The payloads as a peer reads them: packets until one is not full.
    fn payload(mut bytes: &[u8]) -> (Vec<u8>, u8) {
        let mut out = Vec::new();
        for sequence in 0.. {
            let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], 0]) as usize;
            assert_eq!(bytes[3], sequence);
            out.extend_from_slice(&bytes[4..4 + length]);
            bytes = &bytes[4 + length..];
            if length < SPLIT {
                assert!(bytes.is_empty());
                return (out, sequence);
            }
        }
        unreachable!()
    }

    #[test]
    fn payloads_are_cut_where_packets_end() {
        for (length, packets) in [(1, 1), (SPLIT - 1, 1), (SPLIT, 2), (SPLIT + 1, 2), (2 * SPLIT, 3)] {
            let whole: Vec<u8> = (0..length).map(|n| (n % 251) as u8).collect();
            let mut out = Vec::new();
            let mut open = Payload::open(length, &mut out);
            whole.chunks(60_000).for_each(|piece| open.put(piece, &mut out));
            let (got, last) = payload(&out);
            assert!(got == whole, "{length} bytes");
            assert_eq!(usize::from(last) + 1, packets);
        }
    }
}
