//! The state machine of one engine, driven by the accepted lists.
//!
//! ```text
//! Unknown --listed--> Ready --> Draining --> Departed --60 s--> Unknown
//! ```
//!
//! A list moves an engine forwards at once. Moving one back, or adding a new one, is subject to these rules:
//!
//! - a list may carry a high number from an earlier numbering, so an engine that a list adds is a candidate
//!   until [`CONFIRMATIONS_TO_JOIN`] lists in a row agree (ready at once if no other engine is ready);
//! - a draining engine is ready again as soon as a later start of its process is listed; a departed one with
//!   a later start joins like a new engine;
//! - without a later start it is a candidate if the same numbering reports both the drain and the return,
//!   until [`CONFIRMATIONS_TO_RETURN`] lists in a row agree;
//! - a drain or a departure is remembered for a minute; after that it no longer overrides a list.
//!
//! Times are seconds on the caller's monotonic clock.

use super::set::{Endpoint, EndpointSet};
use crate::policy::Lifecycle;

/// Consecutive lists that must report an engine as ready before it is added to the endpoint set.
pub const CONFIRMATIONS_TO_JOIN: u32 = 2;

/// Consecutive lists that must report a draining or departed engine as ready if its process did not restart.
pub const CONFIRMATIONS_TO_RETURN: u32 = 5;

/// How long (s) a drain or a departure overrides a list that contradicts it: far longer than any response can
/// be delayed.
const RETENTION: f64 = 60.0;

/// Whether a list continues the numbering of the previous list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Numbering {
    /// Its number continues the previous list's numbering.
    Same,
    /// It is the first list of a numbering: it cannot be compared with earlier lists to see what it changes.
    New,
}

/// Context for applying a list: when it arrived, how it is numbered, and the state before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListContext<'a> {
    /// When the list arrived.
    pub now: f64,
    pub numbering: Numbering,
    /// The previously accepted list.
    pub previous: &'a EndpointSet,
    /// Whether any engine was in the endpoint set before this list.
    pub had_endpoints: bool,
}

impl ListContext<'_> {
    /// Whether the previous list reported a different lifecycle state for this engine, or lacked it.
    fn is_change(&self, listed: &Endpoint) -> bool {
        let previous = self.previous.get(&listed.entry.id);
        previous.is_none_or(|previous| previous.entry.lifecycle != listed.entry.lifecycle)
    }
}

/// The departure of an engine from the endpoint set.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// Start of the process that left (Unix seconds).
    started: Option<f64>,
    /// When it left.
    pub at: f64,
    /// Whether the engine was ready before the list with which it left, and no further list has agreed yet.
    pub is_unconfirmed: bool,
}

/// The state of an engine.
#[derive(Clone, Debug, Default)]
pub(super) enum EndpointState {
    /// It is not in the endpoint set, and no departure is remembered.
    #[default]
    Unknown,
    /// New attempts may start on it.
    Ready(Endpoint),
    /// Its running attempts may finish, but no new one starts. If the engine had left the set before, that
    /// departure still decides whether it may return.
    Draining { endpoint: Endpoint, since: f64, departure: Option<Departure> },
    /// It has left the endpoint set.
    Departed(Departure),
    /// It is in the endpoint set as [`Lifecycle::Gone`], because a list from the configuration or the store
    /// reports it so.
    ListedAsGone { endpoint: Endpoint, departure: Option<Departure> },
}

/// How far the joining or the return of an engine is confirmed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidacy {
    /// Consecutive lists so far that reported the engine as ready.
    confirmations: u32,
    /// How many such lists are required.
    required: u32,
}

/// The effect of a list entry on its engine.
#[derive(Debug)]
pub(super) struct Classification {
    /// The engine's entry in the endpoint set; `None`: it is not in the set.
    pub endpoint: Option<Endpoint>,
    /// The confirmations that are pending until the engine is ready.
    pub candidacy: Option<Candidacy>,
}

impl Classification {
    /// The entry is adopted unchanged.
    fn accepted(listed: &Endpoint) -> Self {
        Self { endpoint: Some(listed.clone()), candidacy: None }
    }

    /// Fills in the effect of an earlier entry for the same engine in the same list. Only an entry that
    /// reports the engine as ready (`is_ready`) decides on its candidacy.
    pub fn merge_earlier(&mut self, earlier: Option<Self>, is_ready: bool) {
        let Some(earlier) = earlier else { return };
        self.endpoint = self.endpoint.take().or(earlier.endpoint);
        if !is_ready {
            self.candidacy = earlier.candidacy;
        }
    }

    /// The engine is not in the endpoint set.
    pub fn absent(candidacy: Option<Candidacy>) -> Self {
        Self { endpoint: None, candidacy }
    }
}

/// The tracked state of an engine, and its candidacy if it has one.
#[derive(Clone, Debug, Default)]
pub(super) struct TrackedEndpoint {
    state: EndpointState,
    candidacy: Option<Candidacy>,
}

impl TrackedEndpoint {
    /// The engine's entry in the endpoint set, if it is in the set.
    pub fn endpoint(&self) -> Option<&Endpoint> {
        match &self.state {
            EndpointState::Unknown | EndpointState::Departed(_) => None,
            EndpointState::Ready(endpoint)
            | EndpointState::Draining { endpoint, .. }
            | EndpointState::ListedAsGone { endpoint, .. } => Some(endpoint),
        }
    }

    /// The remembered departure.
    pub fn departure(&self) -> Option<&Departure> {
        match &self.state {
            EndpointState::Unknown | EndpointState::Ready(_) => None,
            EndpointState::Departed(departure) => Some(departure),
            EndpointState::Draining { departure, .. } | EndpointState::ListedAsGone { departure, .. } => {
                departure.as_ref()
            }
        }
    }

    /// Whether nothing is known about the engine.
    pub fn is_unknown(&self) -> bool {
        matches!(self.state, EndpointState::Unknown) && self.candidacy.is_none()
    }

    /// Determines the effect of a list entry on this engine.
    pub fn classify(&self, listed: &Endpoint, list: ListContext) -> Classification {
        if !listed.is_ready() {
            return Classification::accepted(listed);
        }
        match &self.state {
            EndpointState::Unknown => match self.candidacy_or_new(list, Some(CONFIRMATIONS_TO_JOIN)) {
                None => Classification::accepted(listed),
                candidacy => Classification::absent(candidacy),
            },
            EndpointState::Ready(_) | EndpointState::ListedAsGone { departure: None, .. } => {
                Classification::accepted(listed)
            }
            EndpointState::Draining { endpoint, since, departure: None } => {
                self.classify_return_from_drain(listed, list, endpoint, *since)
            }
            EndpointState::Departed(departure)
            | EndpointState::Draining { departure: Some(departure), .. }
            | EndpointState::ListedAsGone { departure: Some(departure), .. } => {
                self.classify_return(listed, list, departure)
            }
        }
    }

    /// Classifies a draining engine that is listed as ready.
    fn classify_return_from_drain(
        &self,
        listed: &Endpoint,
        list: ListContext,
        drained: &Endpoint,
        since: f64,
    ) -> Classification {
        if listed.started_after(drained.entry.started) {
            return Classification::accepted(listed);
        }
        let mut endpoint = Endpoint { address: listed.address.or(drained.address), ..listed.clone() };
        if list.now - since >= RETENTION {
            return Classification { endpoint: Some(endpoint), candidacy: None };
        }
        endpoint.entry.lifecycle = Lifecycle::Draining;
        let required = list.is_change(listed).then_some(CONFIRMATIONS_TO_RETURN);
        Classification { endpoint: Some(endpoint), candidacy: self.candidacy_or_new(list, required) }
    }

    /// Classifies a departed engine that is listed as ready.
    fn classify_return(&self, listed: &Endpoint, list: ListContext, departure: &Departure) -> Classification {
        let has_restarted = listed.started_after(departure.started);
        let required = if has_restarted { CONFIRMATIONS_TO_JOIN } else { CONFIRMATIONS_TO_RETURN };
        let candidacy = self.candidacy_or_new(list, list.is_change(listed).then_some(required));
        if has_restarted && (candidacy.is_none() || self.endpoint().is_some()) {
            return Classification::accepted(listed);
        }
        Classification::absent(candidacy)
    }

    /// The current candidacy, or a new one that needs `required` confirmations. The first list of a numbering
    /// ends a candidacy, and a list that arrives when the endpoint set is empty starts none.
    fn candidacy_or_new(&self, list: ListContext, required: Option<u32>) -> Option<Candidacy> {
        if list.numbering == Numbering::New {
            return None;
        }
        let required = required.filter(|_| list.had_endpoints);
        let new = required.map(|required| Candidacy { confirmations: 0, required });
        self.candidacy.or(new)
    }

    /// Whether the engine departs when this classification is applied.
    pub fn departs_with(&self, classification: &Classification) -> bool {
        let next = classification.endpoint.as_ref();
        let is_departed = next.is_none_or(|next| next.entry.lifecycle == Lifecycle::Gone);
        is_departed && self.endpoint() != next
    }

    /// Applies a classification. The state changes only if the endpoint does.
    pub fn apply(&mut self, now: f64, classification: Classification) {
        self.candidacy = classification.candidacy;
        if self.endpoint() != classification.endpoint.as_ref() {
            self.state = self.next_state(now, classification.endpoint);
        }
    }

    /// The state that the engine enters at `now` with this endpoint, or without one.
    fn next_state(&self, now: f64, next: Option<Endpoint>) -> EndpointState {
        let Some(endpoint) = next else {
            let last = self.endpoint();
            return last.map_or(EndpointState::Unknown, |last| {
                EndpointState::Departed(self.new_departure(now, last))
            });
        };
        match endpoint.entry.lifecycle {
            Lifecycle::Ready => EndpointState::Ready(endpoint),
            Lifecycle::Draining => {
                EndpointState::Draining { endpoint, since: now, departure: self.departure().copied() }
            }
            Lifecycle::Gone => {
                let departure = Some(self.new_departure(now, &endpoint));
                EndpointState::ListedAsGone { endpoint, departure }
            }
        }
    }

    /// The departure at `now` of the process that `last` describes.
    fn new_departure(&self, now: f64, last: &Endpoint) -> Departure {
        let was_ready = self.endpoint().is_some_and(Endpoint::is_ready);
        Departure { started: last.entry.started, at: now, is_unconfirmed: was_ready }
    }

    /// Counts another list that agrees with the accepted one. A candidate that has all of its confirmations
    /// becomes ready, as `listed` reports it.
    pub fn confirm(&mut self, listed: Option<&Endpoint>) {
        let Some(candidacy) = &mut self.candidacy else { return };
        candidacy.confirmations += 1;
        if candidacy.confirmations < candidacy.required {
            return;
        }
        self.candidacy = None;
        if let Some(listed) = listed.filter(|listed| listed.is_ready()) {
            self.state = EndpointState::Ready(listed.clone());
        }
    }

    /// Waives the remaining confirmations of an engine that joins; one that returns still needs all of them.
    pub fn expedite_joining(&mut self) {
        if let Some(candidacy) = self.candidacy.as_mut().filter(|c| c.required == CONFIRMATIONS_TO_JOIN) {
            candidacy.confirmations = candidacy.required;
        }
    }

    /// Discards the confirmations so far, because they must be consecutive.
    pub fn reset_confirmations(&mut self) {
        if let Some(candidacy) = &mut self.candidacy {
            candidacy.confirmations = 0;
        }
    }

    /// Marks the departure as confirmed: another list agrees with it, or a newer one supersedes the list that
    /// reported it.
    pub fn confirm_departure(&mut self) {
        if let Some(departure) = self.departure_mut() {
            departure.is_unconfirmed = false;
        }
    }

    /// Forgets a departure that is older than [`RETENTION`].
    pub fn expire_departure(&mut self, now: f64) {
        if self.departure().is_some_and(|departure| now - departure.at >= RETENTION) {
            self.forget_departure();
        }
    }

    /// Treats the engine from now on as if it had never left.
    pub fn forget_departure(&mut self) {
        match &mut self.state {
            EndpointState::Departed(_) => self.state = EndpointState::Unknown,
            EndpointState::Draining { departure, .. } | EndpointState::ListedAsGone { departure, .. } => {
                *departure = None;
            }
            EndpointState::Unknown | EndpointState::Ready(_) => {}
        }
    }

    fn departure_mut(&mut self) -> Option<&mut Departure> {
        match &mut self.state {
            EndpointState::Unknown | EndpointState::Ready(_) => None,
            EndpointState::Departed(departure) => Some(departure),
            EndpointState::Draining { departure, .. } | EndpointState::ListedAsGone { departure, .. } => {
                departure.as_mut()
            }
        }
    }
}
