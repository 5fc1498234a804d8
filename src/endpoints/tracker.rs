//! Which of the directory's lists are accepted, and in which order.
//!
//! A response counts only for the query that it answers, and queries are ordered by when they were sent. The number in a
//! response orders lists within one numbering and no further: a directory that restarted, or another one, begins again. So
//!
//! - a higher number brings a newer list, and the current number with the current content confirms it;
//! - any other response to a later query contradicts the current list. What it does not report as ready is withheld at
//!   once; after [`CONTRADICTIONS`] in a row without a confirmation between them the numbering has begun again.
//!
//! What an accepted list makes of each engine is decided in [`state`](super::state). Times are seconds on the caller's
//! monotonic clock.

use super::lease::Lease;
use super::set::{Endpoint, EndpointSet};
use super::state::Numbering;
use super::tracked::TrackedEndpoints;
use crate::policy::{EngineId, Lifecycle};
use std::collections::BTreeSet;

/// Responses in a row that contradict the current list until they are taken for a new numbering. A directory that now and
/// then responds with an old list confirms the current one in between.
pub const CONTRADICTIONS: u32 = 5;

/// A complete list, as a response carries it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// Number of the last event in the list. Numbers wrap around.
    pub number: u32,
    /// Every engine that the list reports.
    pub endpoints: Vec<Endpoint>,
}

/// What became of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// It is newer, and was accepted.
    Newer,
    /// It agrees with the current list.
    Confirmed,
    /// It answers an earlier query than the one that confirmed the current list.
    Overtaken,
    /// It contradicts the current list, as that many did in a row.
    Contradicts(u32),
    /// The numbering began again, and this list was accepted.
    Renumbered,
}

/// What a response changed.
#[derive(Clone, Debug)]
pub struct ListOutcome {
    /// What became of its list.
    pub verdict: ListVerdict,
    /// The endpoints that are others than before. A withheld one counts as draining.
    pub changes: Vec<Endpoint>,
}

/// Responses in a row that contradict the current list.
#[derive(Clone, Copy, Debug, Default)]
struct Contradictions {
    count: u32,
    /// When the latest of their queries was sent.
    latest_query: f64,
}

/// The endpoint set of one coordinator, as the responses of a directory make it.
#[derive(Debug)]
pub struct EndpointTracker {
    lease: Lease,
    /// The number of the current list; none where the next response begins a numbering.
    number: Option<u32>,
    tracked: TrackedEndpoints,
    /// Engines that the latest contradiction does not report as ready.
    withheld: BTreeSet<EngineId>,
    contradictions: Contradictions,
}

impl EndpointTracker {
    /// Starts from the endpoints of the configuration, which are true at `now`. New attempts may begin at a draining
    /// engine for `drain_grace` seconds after its drain counts as notified.
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

    /// The next list is of another directory: its numbers do not continue those so far.
    pub fn reset_numbering(&mut self) {
        self.number = None;
        self.contradictions = Contradictions::default();
    }

    /// Applies the response, arrived at `now`, to a query sent at `queried_at`.
    pub fn apply_response(&mut self, now: f64, queried_at: f64, list: EndpointList) -> ListOutcome {
        let mut endpoints = self.endpoints();
        let verdict = self.evaluate(now, queried_at, list);
        let changes = endpoints.replace(self.endpoints().to_vec());
        ListOutcome { verdict, changes }
    }

    fn evaluate(&mut self, now: f64, queried_at: f64, list: EndpointList) -> ListVerdict {
        let Some(number) = self.number else {
            return self.begin_numbering(now, queried_at, list);
        };
        // Numbers wrap around: the shorter way decides which is ahead.
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
        self.contradict(now, queried_at, list)
    }

    /// Either the list is an old one, or the numbering began again: only further responses decide which.
    fn contradict(&mut self, now: f64, queried_at: f64, list: EndpointList) -> ListVerdict {
        if queried_at > self.contradictions.latest_query {
            self.contradictions.latest_query = queried_at;
            self.contradictions.count += 1;
        }
        self.tracked.reset_confirmations();
        if self.contradictions.count >= CONTRADICTIONS {
            self.tracked.forget_unconfirmed_departures();
            return self.begin_numbering(now, queried_at, list);
        }
        self.withhold(&list);
        ListVerdict::Contradicts(self.contradictions.count)
    }

    /// Withholds what a contradicting list does not report as ready.
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

    fn begin_numbering(&mut self, now: f64, queried_at: f64, list: EndpointList) -> ListVerdict {
        self.accept(now, queried_at, list, Numbering::New);
        ListVerdict::Renumbered
    }

    fn accept(&mut self, now: f64, queried_at: f64, list: EndpointList, numbering: Numbering) {
        self.number = Some(list.number);
        self.tracked.accept(now, list.endpoints, numbering);
        self.confirm(queried_at);
    }

    /// The current list was true when this query was sent.
    fn confirm(&mut self, queried_at: f64) {
        self.lease.confirm(queried_at);
        self.withheld.clear();
        self.contradictions = Contradictions::default();
        self.tracked.confirm_candidates();
    }

    /// The endpoint set; a withheld endpoint counts as draining.
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
