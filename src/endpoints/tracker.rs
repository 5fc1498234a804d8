//! Which of the directory's lists are accepted, and in which order.
//!
//! A response is evidence only as of its query, and queries are ordered by when they were sent. The number in
//! a response orders lists within one numbering only: a directory that restarted, or a different one, starts
//! over. Therefore
//!
//! - a higher number identifies a newer list, and the current number with the current content confirms the
//!   current list;
//! - any other response to a later query contradicts the current list. Engines that it does not report as
//!   ready are withheld at once; after [`CONTRADICTIONS`] in a row without a confirmation in between, the
//!   numbering is considered restarted.
//!
//! The effect of an accepted list on each engine is determined in [`state`](super::state). Times are seconds
//! on the caller's monotonic clock.

use super::lease::Lease;
use super::set::{Endpoint, EndpointSet};
use super::state::Numbering;
use super::tracked::TrackedEndpoints;
use crate::policy::{EngineId, Lifecycle};
use std::collections::BTreeSet;

/// Consecutive responses that must contradict the current list before a new numbering is assumed. A directory
/// that only occasionally responds with an old list confirms the current one in between.
pub const CONTRADICTIONS: u32 = 5;

/// A complete list, as contained in a response.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Number of the last event in the list. Numbers wrap around.
    pub number: u32,
    /// Every engine that the list reports.
    pub endpoints: Vec<Endpoint>,
}

/// The verdict on a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// It is newer, and was accepted.
    Newer,
    /// It agrees with the current list.
    Confirmed,
    /// It answers a query that is not later than the one that last confirmed the current list.
    Overtaken,
    /// It contradicts the current list; holds the number of consecutive contradictions.
    Contradicts(u32),
    /// The numbering restarted, and this list was accepted.
    Renumbered,
}

/// The result of applying a response.
#[derive(Clone, Debug)]
pub struct ListOutcome {
    /// The verdict on its list.
    pub verdict: ListVerdict,
    /// The endpoints that changed. A withheld one is reported as draining.
    pub changes: Vec<Endpoint>,
}

/// Consecutive responses that contradict the current list.
#[derive(Clone, Copy, Debug, Default)]
struct Contradictions {
    count: u32,
    /// When the latest of their queries was sent.
    latest_query: f64,
}

/// The endpoint set of one coordinator, derived from the responses of a directory.
#[derive(Debug)]
pub struct EndpointTracker {
    lease: Lease,
    /// The number of the current list; `None` if the next response starts a numbering.
    number: Option<u32>,
    tracked: TrackedEndpoints,
    /// Engines that the latest contradiction does not report as ready.
    withheld: BTreeSet<EngineId>,
    contradictions: Contradictions,
}

impl EndpointTracker {
    /// Starts from the endpoints of the configuration, which are correct at `now`. New attempts may start on
    /// a draining engine for `drain_grace` seconds after its drain counts as notified.
    #[must_use]
    pub fn new(now: f64, drain_grace: f64, number: u32, endpoints: &EndpointSet) -> Self {
        let mut tracker = Self {
            lease: Lease::new(now, drain_grace),
            number: Some(number),
            tracked: TrackedEndpoints::default(),
            withheld: BTreeSet::new(),
            contradictions: Contradictions::default(),
        };
        tracker.reset_to(now, endpoints);
        tracker
    }

    /// The number of the current list, if it has one.
    #[must_use]
    pub fn number(&self) -> Option<u32> {
        self.number
    }

    /// The lease on the endpoint set.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Accepts the endpoints of another source. They do not renew the lease.
    pub fn reset_to(&mut self, now: f64, endpoints: &EndpointSet) {
        self.tracked.accept(now, endpoints.to_vec(), Numbering::New);
    }

    /// Makes the next list start a numbering: it is from another directory, whose numbers do not continue the
    /// previous ones.
    pub fn reset_numbering(&mut self) {
        self.number = None;
        self.contradictions = Contradictions::default();
    }

    /// Applies a response that arrived at `now`; its query was sent at `queried_at`.
    pub fn apply_response(&mut self, now: f64, queried_at: f64, list: EndpointList) -> ListOutcome {
        let mut endpoints = self.endpoints();
        let verdict = self.evaluate(now, queried_at, list);
        let changes = endpoints.replace(self.endpoints().to_vec());
        ListOutcome { verdict, changes }
    }

    fn evaluate(&mut self, now: f64, queried_at: f64, list: EndpointList) -> ListVerdict {
        let Some(number) = self.number else {
            return self.start_numbering(now, queried_at, list);
        };
        // Numbers wrap around: the sign of the wrapping difference decides which is ahead.
        let ahead = list.number.wrapping_sub(number) as i32;
        if ahead > 0 {
            self.accept(now, queried_at, list, Numbering::Same);
            return ListVerdict::Newer;
        }
        if queried_at <= self.lease.confirmed_at() {
            return ListVerdict::Overtaken;
        }
        if ahead == 0 && self.tracked.reported().equals(&list.endpoints) {
            self.tracked.confirm_departures();
            self.confirm(queried_at);
            return ListVerdict::Confirmed;
        }
        self.on_contradiction(now, queried_at, list)
    }

    /// Handles a contradicting list. Either it is an old one, or the numbering restarted: only further
    /// responses decide which.
    fn on_contradiction(&mut self, now: f64, queried_at: f64, list: EndpointList) -> ListVerdict {
        if queried_at > self.contradictions.latest_query {
            self.contradictions.latest_query = queried_at;
            self.contradictions.count += 1;
        }
        self.tracked.reset_confirmations();
        if self.contradictions.count >= CONTRADICTIONS {
            self.tracked.forget_unconfirmed_departures();
            return self.start_numbering(now, queried_at, list);
        }
        self.withhold(&list);
        ListVerdict::Contradicts(self.contradictions.count)
    }

    /// Withholds the engines that a contradicting list does not report as ready.
    fn withhold(&mut self, list: &EndpointList) {
        let ready: BTreeSet<&EngineId> = list
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_ready())
            .map(|endpoint| &endpoint.entry.id)
            .collect();
        let known = self.tracked.endpoints().map(|endpoint| &endpoint.entry.id);
        self.withheld = known.filter(|id| !ready.contains(id)).cloned().collect();
    }

    fn start_numbering(&mut self, now: f64, queried_at: f64, list: EndpointList) -> ListVerdict {
        self.accept(now, queried_at, list, Numbering::New);
        ListVerdict::Renumbered
    }

    fn accept(&mut self, now: f64, queried_at: f64, list: EndpointList, numbering: Numbering) {
        self.number = Some(list.number);
        self.tracked.accept(now, list.endpoints, numbering);
        self.confirm(queried_at);
    }

    /// Records that the current list was correct when the query was sent.
    fn confirm(&mut self, queried_at: f64) {
        self.lease.confirm(queried_at);
        self.withheld.clear();
        self.contradictions = Contradictions::default();
        self.tracked.confirm_candidates();
    }

    /// The endpoint set; a withheld endpoint is included as draining.
    fn endpoints(&self) -> EndpointSet {
        let mut endpoints = self.tracked.endpoints().cloned().collect::<Vec<_>>();
        for endpoint in &mut endpoints {
            if self.withheld.contains(&endpoint.entry.id) {
                endpoint.entry.lifecycle = Lifecycle::Draining;
            }
        }
        EndpointSet::from(endpoints)
    }
}
