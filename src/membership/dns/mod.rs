//! The directory: the list of engines by DNS over UDP, polled.

mod message;

use super::{Member, Members};
use crate::limits::Limits;
use crate::net::{Poller, Time, Token};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

const NAME: &str = "_back._tcp.pool.lan";

/// A socket that hears answers from there alone.
fn open(part: u8, names: SocketAddr, poller: &Poller) -> io::Result<UdpSocket> {
    let any: SocketAddr = (Ipv4Addr::UNSPECIFIED, 0).into();
    let socket = UdpSocket::bind(any)?;
    socket.connect(names)?;
    socket.set_nonblocking(true)?;
    poller.add(&socket, Token::new(part, 0, 0), false)?;
    Ok(socket)
}

/// Asks for the whole list again and again; a lost datagram costs one pause.
pub struct Directory {
    part: u8,
    socket: UdpSocket,
    limits: Rc<Limits>,
    members: Members,
    serial: u32,
    query: u16,
    /// Queries that no answer has come to, the latest last.
    asked: VecDeque<u16>,
    at: Time,
    /// Answers that could not be used.
    pub bad: u64,
}

impl Directory {
    /// Starts from the list that the configuration holds.
    pub fn new(
        part: u8,
        names: SocketAddr,
        (serial, members): (u32, Members),
        poller: &Poller,
        limits: Rc<Limits>,
    ) -> io::Result<Self> {
        let socket = open(part, names, poller)?;
        Ok(Self { part, socket, limits, members, serial, query: 0, asked: VecDeque::new(), at: 0.0, bad: 0 })
    }

    /// Asks at another address from here on. The numbers of events go on.
    pub fn move_to(&mut self, now: Time, names: SocketAddr, poller: &Poller) -> io::Result<()> {
        self.socket = open(self.part, names, poller)?;
        self.asked.clear(); // what the old one would have said
        self.at = now;
        Ok(())
    }

    /// Holds this list from here on.
    pub fn hold(&mut self, members: Members) {
        self.members = members;
    }

    pub fn next(&self) -> Time {
        self.at
    }

    /// Asks, when it is time to.
    pub fn alarm(&mut self, now: Time) {
        if now < self.at {
            return;
        }
        self.at = now + self.limits.poll;
        self.query = self.query.wrapping_add(1);
        if self.asked.len() == self.limits.queries {
            self.asked.pop_front();
        }
        self.asked.push_back(self.query);
        // A query that cannot be sent is as good as lost: the next one follows.
        let _ = self.socket.send(&message::query(self.query, NAME));
    }

    /// Reads what has come; returns what has changed since.
    pub fn ready(&mut self) -> Vec<Member> {
        let mut changes = Vec::new();
        let mut buffer = vec![0; self.limits.datagram];
        // Bounded, so that a flood does not keep the loop here.
        for _ in 0..16 {
            let Ok(length) = self.socket.recv(&mut buffer) else { break };
            match message::read(&buffer[..length], NAME) {
                // What nobody asked for may be older than it says, or another's.
                Ok(answer) if self.asked.contains(&answer.id) => changes.extend(self.answer(answer)),
                Ok(_) | Err(message::Malformed) => self.bad += 1,
            }
        }
        changes
    }

    fn answer(&mut self, answer: message::Answer) -> Vec<Member> {
        self.asked.retain(|id| *id != answer.id);
        // Datagrams overtake each other: an older list must not undo a newer one. Serials count round.
        let newer = answer.serial.wrapping_sub(self.serial) as i32 > 0;
        if !newer {
            return Vec::new();
        }
        self.serial = answer.serial;
        self.members.replace(answer.members)
    }
}
