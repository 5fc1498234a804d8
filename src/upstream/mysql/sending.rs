//! An execution whose statement or arguments do not go out at once: long parameters ahead of it, each chunk a
//! command of its own, then the command itself with what the spool holds of it, cut into packets.

use crate::body_store;
use crate::core::{LongParameter, ParameterValue, QueryPayload};
use crate::mysql::packet::{self, command};
use crate::mysql::payload::Payload;
use crate::net::{BufferedStream, Time};
use dahliaspoke_body_store::spool::{Body, Pull, Reader};
use std::collections::VecDeque;

/// What still goes out, in order.
enum Piece {
    /// Chunks of a parameter, each in a command.
    Long { parameter: u16, value: ParameterValue, begun: bool },
    /// The command that runs it.
    Command { head: Vec<u8>, rest: Option<Body> },
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
    EventHandler,
    All,
    /// The rest cannot be had.
    Lost,
}

impl Sending {
    /// What a statement with that number on its engine, or a text, needs; `None` where it goes out at once.
    pub fn of(work: &QueryPayload, statement: u32) -> Option<Self> {
        if work.body.is_none() && work.long_parameters.is_empty() {
            return None;
        }
        let long = work.long_parameters.iter().cloned();
        let piece =
            |LongParameter { position, value }| Piece::Long { parameter: position, value, begun: false };
        let mut pieces: VecDeque<Piece> = long.map(piece).collect();
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
        channel: &mut BufferedStream,
        most: usize,
        spool: Option<&body_store::Shared>,
        mut reads: impl FnMut(u64),
    ) -> Sent {
        self.waits = false;
        while channel.queued() < most {
            let Some(piece) = self.pieces.front_mut() else { return Sent::All };
            let body = match piece {
                Piece::Long { parameter, value: ParameterValue::Inline(bytes), .. } => {
                    channel.push(long(self.statement, *parameter, bytes));
                    self.pieces.pop_front();
                    continue;
                }
                Piece::Long { value: ParameterValue::Stored(body), .. } => body.clone(),
                Piece::Command { head, rest } => {
                    if self.payload.is_none() {
                        let rest = rest.as_ref().map_or(0, |body| length(spool, body));
                        let mut out = Vec::new();
                        let mut payload = Payload::open(head.len() + rest, &mut out);
                        payload.put(head, &mut out);
                        self.payload = Some(payload);
                        self.tag = Some(channel.push(out));
                    }
                    if let Some(body) = rest {
                        body.clone()
                    } else {
                        channel.push_counted(Vec::new()); // it is out with what came before
                        self.pieces.pop_front();
                        continue;
                    }
                }
            };
            let Some(spool) = spool else { return Sent::Lost };
            let reader = if let Some(reader) = &mut self.reader {
                reader
            } else {
                let Some(reader) = spool.borrow_mut().reader(now, &body) else { return Sent::Lost };
                reads(reader.id);
                self.reader.insert(reader)
            };
            let pulled = spool.borrow_mut().pull(now, reader);
            match (pulled, piece) {
                (Pull::Wait, _) => {
                    self.waits = true;
                    return Sent::EventHandler;
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
            Sent::EventHandler
        }
    }
}

/// A command that brings a part of a parameter.
fn long(statement: u32, parameter: u16, bytes: &[u8]) -> Vec<u8> {
    let payload = [&[command::LONG_DATA][..], &statement.to_le_bytes(), &parameter.to_le_bytes(), bytes];
    packet::packet(0, &payload.concat())
}

/// Bytes of a body that is here whole.
fn length(spool: Option<&body_store::Shared>, body: &Body) -> usize {
    spool.map_or(0, |spool| spool.borrow().came(body.id()) as usize)
}
