//! The directory: the list of engines by DNS over UDP, polled.
//!
//! What an answer may change is decided in [`EndpointTracker`]; here are the questions, their sockets and their times.

mod message;
mod socket;

use super::{Discovery, EndpointChanges, EndpointSet};
use crate::limits::Limits;
use crate::net::{Backoff, EventHandler, Poller, Ready, Time, Token};
use dahliaspoke::endpoints::tracker::{EndpointList, EndpointTracker, ListOutcome, ListVerdict};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use socket::Sockets;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

const NAME: &str = "_back._tcp.pool.lan";

/// Without an answer for so long (s) the directory is silent: it is said so, and asked from another port.
const SILENT: Time = 1.0;

/// Pauses (s) between two ports: an answer that is late still finds the one that it was asked from.
const RENEW_PAUSES: (Time, Time) = (1.0, 8.0);

/// Datagrams that are read at one turn of the loop, so that a flood does not hold it up.
const DATAGRAMS: usize = 16;

/// Pauses (s) between tries to open a socket to a directory that has moved.
const MOVE_PAUSES: (Time, Time) = (0.05, 1.0);

/// A question that no answer has come to.
struct Question {
    id: u16,
    asked: Time,
}

/// A directory that is to be asked and that no socket could be opened to yet.
struct Move {
    to: SocketAddr,
    at: Time,
    pauses: Backoff,
}

/// Whether answers come.
enum Hearing {
    /// The last one came then.
    Heard(Time),
    /// None has come since; another port is tried at `renew`.
    Silent { since: Time, renew: Time, pauses: Backoff },
}

/// Asks for the whole list again and again; a lost datagram costs one pause.
pub struct DnsDiscovery {
    sockets: Sockets,
    poller: Rc<Poller>,
    limits: Rc<Limits>,
    roster: EndpointTracker,
    /// Ids cannot be guessed: an answer to another life of this process, or a forged one, has none that is waited for.
    ids: Pcg64Mcg,
    /// Questions that no answer has come to, the latest last.
    questions: VecDeque<Question>,
    /// The id of the latest one.
    latest: u16,
    /// When it is asked next.
    at: Time,
    hearing: Hearing,
    moving: Option<Move>,
    changes: Option<EndpointChanges>,
    bad: u64,
}

impl DnsDiscovery {
    /// Starts from the list that the configuration holds, and its number.
    pub fn new(
        part: u8,
        now: Time,
        names: SocketAddr,
        (number, endpoints): (u32, EndpointSet),
        seed: u64,
        poller: Rc<Poller>,
        limits: Rc<Limits>,
    ) -> io::Result<Self> {
        let sockets = Sockets::open(Token::new(part, 0, 0), names, &poller)?;
        let local = sockets.local()?;
        tracing::info!(at = now, part = "directory", "asks {names} from {local}, holds list {number}");
        Ok(Self {
            sockets,
            poller,
            roster: EndpointTracker::new(now, limits.engines.drain_grace, number, &endpoints),
            limits,
            ids: Pcg64Mcg::seed_from_u64(seed),
            questions: VecDeque::new(),
            latest: 0,
            at: now,
            hearing: Hearing::Heard(now),
            moving: None,
            changes: None,
            bad: 0,
        })
    }

    /// Turns to the directory that is wanted, or tries again later.
    fn turn(&mut self, now: Time) {
        let Some(mut moving) = self.moving.take() else { return };
        let to = moving.to;
        if let Err(error) = self.sockets.turn_to(to, &self.poller) {
            if moving.pauses.is_first() {
                tracing::info!(at = now, part = "directory", "cannot ask {to} yet: {error}");
            }
            moving.at = now + moving.pauses.next_pause();
            self.moving = Some(moving);
            return;
        }
        tracing::info!(at = now, part = "directory", "asks {to} from here on");
        self.questions.clear(); // what the former one would have said
        self.roster.reset_numbering();
        self.hearing = Hearing::Heard(now);
        self.at = now;
    }

    /// Notices that no answer comes.
    fn listen(&mut self, now: Time) {
        if let Hearing::Heard(since) = self.hearing {
            if now - since <= SILENT {
                return;
            }
            tracing::info!(at = now, part = "directory", "has not answered since {since:.3}");
            let pauses = Backoff::new(RENEW_PAUSES.0, RENEW_PAUSES.1);
            self.hearing = Hearing::Silent { since, renew: now, pauses };
        }
        if let Hearing::Silent { renew, pauses, .. } = &mut self.hearing {
            if now >= *renew {
                *renew = now + pauses.next_pause();
                let renewed = self.sockets.renew(&self.poller).is_ok();
                tracing::info!(at = now, part = "directory", renewed, "asks from another port");
            }
        }
    }

    fn ask_once(&mut self, now: Time) {
        let mut id = self.ids.next_u32() as u16;
        while self.questions.iter().any(|question| question.id == id) {
            id = id.wrapping_add(1);
        }
        if self.questions.len() == self.limits.discovery.max_outstanding_queries {
            self.questions.pop_front();
        }
        self.latest = id;
        self.questions.push_back(Question { id, asked: now });
        // A question that cannot be sent is as good as lost: the next one follows.
        let _ = self.sockets.send(&message::query(id, NAME));
    }

    /// Takes a datagram.
    fn datagram(&mut self, now: Time, bytes: &[u8]) {
        let answer = match message::read(bytes, NAME) {
            Ok(answer) => answer,
            Err(message::Malformed) => return self.unusable(now, "cannot be read", bytes.len()),
        };
        // What nobody asked for may be older than it says, or another's.
        let Some(place) = self.questions.iter().position(|question| question.id == answer.id) else {
            return self.unusable(now, "answers no question", bytes.len());
        };
        let Some(Question { asked, .. }) = self.questions.remove(place) else { return };
        if let Hearing::Silent { since, .. } = self.hearing {
            tracing::info!(at = now, part = "directory", "answers again, silent since {since:.3}");
        }
        self.hearing = Hearing::Heard(now);
        self.take_list(now, asked, EndpointList { number: answer.serial, endpoints: answer.endpoints });
    }

    fn unusable(&mut self, now: Time, why: &str, length: usize) {
        self.bad += 1;
        tracing::info!(at = now, part = "directory", "an answer of {length} bytes {why}");
    }

    fn take_list(&mut self, now: Time, asked: Time, list: EndpointList) {
        let number = list.number;
        let held = self.roster.number();
        // What the list tells anew came after the last time that it was confirmed, and may have been told since.
        let told = self.roster.lease().confirmed_at();
        let ListOutcome { verdict, changes: endpoints } = self.roster.apply_response(now, asked, list);
        if verdict != ListVerdict::Confirmed {
            let age = now - asked;
            tracing::info!(
                at = now,
                part = "directory",
                "list {number}, {held:?} held, asked for {age:.3} s ago: {verdict:?}"
            );
        }
        if !endpoints.is_empty() {
            self.changes
                .get_or_insert_with(|| EndpointChanges { told, endpoints: Vec::new() })
                .endpoints
                .extend(endpoints);
        }
    }
}

impl Discovery for DnsDiscovery {
    fn take(&mut self) -> Option<EndpointChanges> {
        self.changes.take()
    }

    fn hold(&mut self, now: Time, endpoints: EndpointSet) {
        self.roster.reset_to(now, &endpoints);
    }

    fn valid_until(&self) -> Time {
        self.roster.lease().expires_at()
    }

    fn move_to(&mut self, now: Time, names: SocketAddr) {
        self.moving = Some(Move { to: names, at: now, pauses: Backoff::new(MOVE_PAUSES.0, MOVE_PAUSES.1) });
        self.turn(now);
    }

    fn ask(&mut self, now: Time) {
        self.at = now;
        self.on_timer(now);
    }

    fn waits(&self) -> bool {
        self.questions.back().is_some_and(|question| question.id == self.latest)
    }

    fn bad(&self) -> u64 {
        self.bad
    }
}

impl EventHandler for DnsDiscovery {
    fn next_deadline(&mut self) -> Option<Time> {
        let moving = self.moving.as_ref().map_or(Time::INFINITY, |moving| moving.at);
        Some(self.at.min(moving))
    }

    /// Asks, when it is time to.
    fn on_timer(&mut self, now: Time) {
        if self.moving.as_ref().is_some_and(|moving| moving.at <= now) {
            self.turn(now);
        }
        if now < self.at {
            return;
        }
        self.at = now + self.limits.discovery.poll_interval;
        self.listen(now);
        self.ask_once(now);
    }

    /// Reads what has come.
    fn on_ready(&mut self, now: Time, _: Ready) {
        let mut buffer = vec![0; self.limits.discovery.max_datagram_bytes];
        for _ in 0..DATAGRAMS {
            let Some(length) = self.sockets.receive(&mut buffer) else { return };
            self.datagram(now, &buffer[..length]);
        }
    }
}
