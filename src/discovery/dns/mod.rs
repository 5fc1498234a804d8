//! The directory: the endpoint list, polled with DNS over UDP.
//!
//! [`EndpointTracker`] decides what a response may change. This module sends the queries and schedules them:
//!
//! - `codec`: the DNS messages;
//! - `sockets`: the sockets in use;
//! - `pending`: queries that may still be answered;
//! - `responsiveness`: whether responses arrive;
//! - `relocation`: a pending move to another directory address.

mod codec;
mod pending;
mod relocation;
mod responsiveness;
mod sockets;

use super::{Discovery, EndpointChanges, EndpointSet};
use crate::limits::Limits;
use crate::net::{EventHandler, Poller, Ready, Time, Token};
use dahliaspoke::endpoints::tracker::{EndpointList, ListOutcome, ListVerdict};
use dahliaspoke::endpoints::EndpointTracker;
use pending::PendingQueries;
use relocation::Relocation;
use responsiveness::Responsiveness;
use sockets::DirectorySockets;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// The name whose SRV records are the endpoint list (protocol, "The directory").
const SERVICE: &str = "_back._tcp.pool.lan";

/// Maximum datagrams read in one iteration of the event loop, so that a flood does not block it.
const MAX_DATAGRAMS_PER_ITERATION: usize = 16;

/// The name of this module in the log.
const LOG_PART: &str = "directory";

/// Start parameters of [`DnsDiscovery`].
pub struct DnsConfig {
    /// Owner number of the event handler in tokens.
    pub owner: u8,
    /// The directory's address.
    pub directory: SocketAddr,
    /// Number of the last event in `endpoints`.
    pub list_number: u32,
    /// The endpoints in the configuration.
    pub endpoints: EndpointSet,
    /// Seed for the query ids.
    pub seed: u64,
}

/// Queries the directory for the complete list at a fixed interval; a lost datagram costs one interval.
pub struct DnsDiscovery {
    sockets: DirectorySockets,
    poller: Rc<Poller>,
    limits: Rc<Limits>,
    tracker: EndpointTracker,
    pending: PendingQueries,
    next_query: Time,
    responsiveness: Responsiveness,
    relocation: Option<Relocation>,
    changes: Option<EndpointChanges>,
    unusable_responses: u64,
}

impl DnsDiscovery {
    /// Starts from the list of the configuration; the first query is due at `now`.
    ///
    /// # Errors
    /// If no socket can be opened.
    pub fn open(now: Time, config: DnsConfig, poller: Rc<Poller>, limits: Rc<Limits>) -> io::Result<Self> {
        let DnsConfig { owner, directory, list_number, endpoints, seed } = config;
        let sockets = DirectorySockets::open(Token::new(owner, 0, 0), directory, &poller)?;
        let local = sockets.local_address()?;
        tracing::info!(
            at = now,
            part = LOG_PART,
            "queries {directory} from {local}, starts with list {list_number}"
        );
        Ok(Self {
            sockets,
            poller,
            tracker: EndpointTracker::new(now, limits.engines.drain_grace, list_number, &endpoints),
            pending: PendingQueries::new(seed, limits.discovery.max_outstanding_queries),
            limits,
            next_query: now,
            responsiveness: Responsiveness::new(now),
            relocation: None,
            changes: None,
            unusable_responses: 0,
        })
    }

    /// Attempts the pending move to another directory, if any; a failed attempt is retried later.
    fn attempt_relocation(&mut self, now: Time) {
        let Some(mut relocation) = self.relocation.take() else { return };
        let directory = relocation.directory;
        if let Err(error) = self.sockets.connect_to(directory, &self.poller) {
            if relocation.is_first_attempt() {
                tracing::info!(at = now, part = LOG_PART, "cannot query {directory} yet: {error}");
            }
            relocation.retry_later(now);
            self.relocation = Some(relocation);
            return;
        }
        tracing::info!(at = now, part = LOG_PART, "queries {directory} from now on");
        self.pending.clear(); // they were sent to the previous directory
        self.tracker.reset_numbering();
        self.responsiveness = Responsiveness::new(now);
        self.next_query = now;
    }

    fn send_query(&mut self, now: Time) {
        if self.responsiveness.should_change_port(now) {
            let renewed = self.sockets.change_port(&self.poller).is_ok();
            tracing::info!(at = now, part = LOG_PART, renewed, "queries from another port");
        }
        let id = self.pending.add(now);
        // A query that cannot be sent is treated as lost: the next one follows after the poll interval.
        let _ = self.sockets.send(&codec::encode_query(id, SERVICE));
    }

    fn receive_datagram(&mut self, now: Time, datagram: &[u8]) {
        let Ok(response) = codec::decode_response(datagram, SERVICE) else {
            return self.reject_datagram(now, "cannot be read", datagram.len());
        };
        // A response that matches no pending query may be outdated, or meant for another process.
        let Some(queried_at) = self.pending.remove(response.id) else {
            return self.reject_datagram(now, "matches no pending query", datagram.len());
        };
        self.responsiveness.on_response(now);
        let list = EndpointList { number: response.serial, endpoints: response.endpoints };
        self.apply_list(now, queried_at, list);
    }

    fn reject_datagram(&mut self, now: Time, why: &str, length: usize) {
        self.unusable_responses += 1;
        tracing::info!(at = now, part = LOG_PART, "an answer of {length} bytes {why}");
    }

    fn apply_list(&mut self, now: Time, queried_at: Time, list: EndpointList) {
        let number = list.number;
        let current = self.tracker.number();
        // The changes in the list happened after the last confirmation, and may be treated as notified from
        // that time on.
        let confirmed_at = self.tracker.lease().confirmed_at();
        let ListOutcome { verdict, changes } = self.tracker.apply_response(now, queried_at, list);
        if verdict != ListVerdict::Confirmed {
            let age = now - queried_at;
            tracing::info!(
                at = now,
                part = LOG_PART,
                "list {number}, current list {current:?}, queried {age:.3} s ago: {verdict:?}"
            );
        }
        if !changes.is_empty() {
            EndpointChanges::add(&mut self.changes, confirmed_at, changes);
        }
    }
}

impl Discovery for DnsDiscovery {
    fn take_changes(&mut self) -> Option<EndpointChanges> {
        self.changes.take()
    }

    fn reset_to(&mut self, now: Time, endpoints: EndpointSet) {
        self.tracker.reset_to(now, &endpoints);
    }

    fn lease_expires_at(&self) -> Time {
        self.tracker.lease().expires_at()
    }

    fn relocate(&mut self, now: Time, directory: SocketAddr) {
        self.relocation = Some(Relocation::new(now, directory));
        self.attempt_relocation(now);
    }

    fn query_now(&mut self, now: Time) {
        self.next_query = now;
        self.on_timer(now);
    }

    fn awaits_response(&self) -> bool {
        self.pending.awaits_latest()
    }

    fn unusable_responses(&self) -> u64 {
        self.unusable_responses
    }
}

impl EventHandler for DnsDiscovery {
    fn next_deadline(&mut self) -> Option<Time> {
        let next_attempt =
            self.relocation.as_ref().map_or(Time::INFINITY, |relocation| relocation.next_attempt);
        Some(self.next_query.min(next_attempt))
    }

    fn on_timer(&mut self, now: Time) {
        if self.relocation.as_ref().is_some_and(|relocation| relocation.next_attempt <= now) {
            self.attempt_relocation(now);
        }
        if now < self.next_query {
            return;
        }
        self.next_query = now + self.limits.discovery.poll_interval;
        self.send_query(now);
    }

    fn on_ready(&mut self, now: Time, _: Ready) {
        let mut buffer = vec![0; self.limits.discovery.max_datagram_bytes];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let Some(length) = self.sockets.receive(&mut buffer) else { return };
            self.receive_datagram(now, &buffer[..length]);
        }
    }
}
