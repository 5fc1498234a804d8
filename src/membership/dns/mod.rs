//! The directory: the list of engines by DNS over UDP, polled.

mod message;

use super::{Member, Members, Source};
use crate::limits::Limits;
use crate::net::{Part, Poller, Ready, Time, Token};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::rc::Rc;

const NAME: &str = "_back._tcp.pool.lan";
/// Without an answer for so long the directory is said to be silent (s).
const QUIET: Time = 1.0;

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
    /// When the last answer came that could be used.
    heard: Time,
    /// Answers are missing, and it was said so.
    quiet: bool,
    /// The last number that was passed over, so that each is told once.
    passed_over: u32,
    /// What has changed and was not told yet.
    changes: Vec<Member>,
    bad: u64,
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
        let (asked, changes) = (VecDeque::new(), Vec::new());
        let local = socket.local_addr()?;
        tracing::info!(part = "directory", "asks {names} from {local}, holds number {serial}");
        let (heard, quiet, passed_over) = (Time::INFINITY, false, serial);
        Ok(Self {
            part,
            socket,
            limits,
            members,
            serial,
            query: 0,
            asked,
            at: 0.0,
            heard,
            quiet,
            passed_over,
            changes,
            bad: 0,
        })
    }

    fn answer(&mut self, now: Time, answer: message::Answer) {
        let behind = self.query.wrapping_sub(answer.id);
        if std::mem::replace(&mut self.quiet, false) {
            let silence = now - self.heard;
            tracing::info!(at = now, part = "directory", "answers again after {silence:.3} s");
        }
        self.heard = now;
        self.asked.retain(|id| *id != answer.id);
        // Datagrams overtake each other: an older list must not undo a newer one. Serials count round.
        let newer = answer.serial.wrapping_sub(self.serial) as i32 > 0;
        let (held, number) = (self.serial, answer.serial);
        if !newer && number != held && number != self.passed_over {
            self.passed_over = number;
            tracing::info!(at = now, part = "directory", "list {number} passed over: {held} is held");
        }
        if newer {
            tracing::info!(
                at = now,
                part = "directory",
                "list {number} after {held}, {behind} questions old"
            );
            self.serial = answer.serial;
            self.changes.extend(self.members.replace(answer.members));
        }
    }
}

impl Source for Directory {
    fn take(&mut self) -> Vec<Member> {
        std::mem::take(&mut self.changes)
    }

    fn hold(&mut self, members: Members) {
        self.members = members;
    }

    /// The numbers of events go on.
    fn move_to(&mut self, now: Time, names: SocketAddr, poller: &Poller) -> io::Result<()> {
        self.socket = open(self.part, names, poller)?;
        self.asked.clear(); // what the old one would have said
        self.at = now;
        Ok(())
    }

    fn ask(&mut self, now: Time) {
        self.at = now;
        self.alarm(now);
    }

    fn waits(&self) -> bool {
        self.asked.contains(&self.query)
    }

    fn bad(&self) -> u64 {
        self.bad
    }
}

impl Part for Directory {
    fn next(&mut self) -> Option<Time> {
        Some(self.at)
    }

    /// Asks, when it is time to.
    fn alarm(&mut self, now: Time) {
        if now < self.at {
            return;
        }
        self.at = now + self.limits.poll;
        self.heard = self.heard.min(now);
        if now - self.heard > QUIET && !std::mem::replace(&mut self.quiet, true) {
            let silence = now - self.heard;
            tracing::info!(at = now, part = "directory", "has not answered for {silence:.3} s");
        }
        self.query = self.query.wrapping_add(1);
        if self.asked.len() == self.limits.queries {
            self.asked.pop_front();
        }
        self.asked.push_back(self.query);
        // A query that cannot be sent is as good as lost: the next one follows.
        let _ = self.socket.send(&message::query(self.query, NAME));
    }

    /// Reads what has come.
    fn ready(&mut self, now: Time, _: Ready) {
        let mut buffer = vec![0; self.limits.datagram];
        // Bounded, so that a flood does not keep the loop here.
        for _ in 0..16 {
            let Ok(length) = self.socket.recv(&mut buffer) else { break };
            match message::read(&buffer[..length], NAME) {
                // What nobody asked for may be older than it says, or another's.
                Ok(answer) if self.asked.contains(&answer.id) => self.answer(now, answer),
                Ok(answer) => {
                    self.bad += 1;
                    let (id, latest) = (answer.id, self.query);
                    tracing::info!(
                        at = now,
                        part = "directory",
                        "answer to {id} not asked for, latest {latest}"
                    );
                }
                Err(message::Malformed) => {
                    self.bad += 1;
                    tracing::info!(at = now, part = "directory", "answer of {length} bytes cannot be used");
                }
            }
        }
    }
}
