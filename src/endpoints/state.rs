//! The life of one engine, as the accepted lists make it.
//!
//! ```text
//! Unknown --listed--> Ready --> Draining --> Departed --60 s--> Unknown
//! ```
//!
//! A list moves an engine forwards at once. It moves one back, or lets a new one in, in these cases:
//!
//! - a list may carry a high number of an earlier numbering, so an engine that a list adds is a candidate until
//!   [`CONFIRMATIONS_TO_JOIN`] lists in a row agree (at once, where no other engine is ready);
//! - a draining or departed engine is ready again as a later start of its process;
//! - without a later start it is a candidate where one numbering reports both the drain and the return, until
//!   [`CONFIRMATIONS_TO_RETURN`] lists in a row agree;
//! - a drain or a departure is remembered for a minute and then outweighs a list no longer.
//!
//! Times are seconds on the caller's monotonic clock.

use super::set::{Endpoint, EndpointSet};
use crate::policy::Lifecycle;

/// Lists in a row that must report an engine as ready that was not in the endpoint set.
pub const CONFIRMATIONS_TO_JOIN: u32 = 2;

/// Lists in a row that must report a draining or departed engine as ready where its process did not start again.
pub const CONFIRMATIONS_TO_RETURN: u32 = 5;

/// How long (s) a drain or a departure outweighs a list that says otherwise: far beyond the age of any response.
const RETENTION: f64 = 60.0;

/// Whether a list is numbered as the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Numbering {
    /// Its number continues that of the list before it.
    Same,
    /// It is the first list of a numbering: nothing reported before says what it changes.
    New,
}

/// A list that is being applied, and what was known before it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListContext<'a> {
    /// When the list arrived.
    pub now: f64,
    pub numbering: Numbering,
    /// The list that was accepted before.
    pub previous: &'a EndpointSet,
    /// Whether any engine was in the endpoint set.
    pub had_endpoints: bool,
}

impl ListContext<'_> {
    /// Whether the previous list reported another life cycle of this engine, or did not have it.
    fn is_change(&self, listed: &Endpoint) -> bool {
        let previous = self.previous.get(&listed.entry.id);
        previous.is_none_or(|previous| previous.entry.lifecycle != listed.entry.lifecycle)
    }
}

/// That an engine has left the endpoint set.
#[derive(Clone, Copy, Debug)]
pub(super) struct Departure {
    /// Start of the process that left (Unix seconds).
    started: Option<f64>,
    /// When it left.
    pub at: f64,
    /// The engine was ready until the latest list lacked it, and no further list has agreed.
    pub is_unconfirmed: bool,
}

/// Where an engine is in its life.
#[derive(Clone, Debug, Default)]
pub(super) enum EndpointState {
    /// It is not in the endpoint set, and no departure is remembered.
    #[default]
    Unknown,
    /// New attempts may begin at it.
    Ready(Endpoint),
    /// Its attempts may end, and no new one begins. Where it had left before that, the departure still decides whether it
    /// may return.
    Draining { endpoint: Endpoint, since: f64, departure: Option<Departure> },
    /// It has left the endpoint set.
    Departed(Departure),
    /// It is in the endpoint set as gone: a list of the configuration or of the store names it so.
    ListedAsGone { endpoint: Endpoint, departure: Option<Departure> },
}

/// How far the return or the joining of an engine is confirmed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidacy {
    /// Accepted lists in a row that reported the engine as ready.
    confirmations: u32,
    /// How many must do so.
    required: u32,
}

/// What the entry of a list makes of its engine.
#[derive(Debug)]
pub(super) struct Classification {
    /// As what the engine is in the endpoint set; absent: it is not in it.
    pub endpoint: Option<Endpoint>,
    /// What is still to be confirmed until the engine is ready.
    pub candidacy: Option<Candidacy>,
}

impl Classification {
    /// The entry counts as it stands.
    fn accepted(listed: &Endpoint) -> Self {
        Self { endpoint: Some(listed.clone()), candidacy: None }
    }

    /// Adds what an earlier entry of the same list made of the engine. Only an entry that reports it as ready
    /// (`is_ready`) decides about its candidacy.
    pub fn complete_by(&mut self, earlier: Option<Self>, is_ready: bool) {
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

/// An engine with all that is known of it.
#[derive(Clone, Debug, Default)]
pub(super) struct TrackedEndpoint {
    state: EndpointState,
    candidacy: Option<Candidacy>,
}

impl TrackedEndpoint {
    /// The engine as it is in the endpoint set.
    pub fn endpoint(&self) -> Option<&Endpoint> {
        match &self.state {
            EndpointState::Unknown | EndpointState::Departed(_) => None,
            EndpointState::Ready(endpoint)
            | EndpointState::Draining { endpoint, .. }
            | EndpointState::ListedAsGone { endpoint, .. } => Some(endpoint),
        }
    }

    /// The departure that is remembered.
    pub fn departure(&self) -> Option<&Departure> {
        match &self.state {
            EndpointState::Unknown | EndpointState::Ready(_) => None,
            EndpointState::Departed(departure) => Some(departure),
            EndpointState::Draining { departure, .. } | EndpointState::ListedAsGone { departure, .. } => {
                departure.as_ref()
            }
        }
    }

    /// Whether nothing is known of the engine.
    pub fn is_unknown(&self) -> bool {
        matches!(self.state, EndpointState::Unknown) && self.candidacy.is_none()
    }

    /// What the entry of a list makes of this engine.
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

    /// A draining engine is listed as ready.
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

    /// An engine that has departed is listed as ready.
    fn classify_return(&self, listed: &Endpoint, list: ListContext, departure: &Departure) -> Classification {
        let has_restarted = listed.started_after(departure.started);
        let required = if has_restarted { CONFIRMATIONS_TO_JOIN } else { CONFIRMATIONS_TO_RETURN };
        let candidacy = self.candidacy_or_new(list, list.is_change(listed).then_some(required));
        if has_restarted && (candidacy.is_none() || self.endpoint().is_some()) {
            return Classification::accepted(listed);
        }
        Classification::absent(candidacy)
    }

    /// The candidacy under way, or a new one that takes `required` confirmations. The first list of a numbering, and one
    /// that finds no endpoints, make none.
    fn candidacy_or_new(&self, list: ListContext, required: Option<u32>) -> Option<Candidacy> {
        if list.numbering == Numbering::New {
            return None;
        }
        let required = required.filter(|_| list.had_endpoints);
        let new = required.map(|required| Candidacy { confirmations: 0, required });
        self.candidacy.or(new)
    }

    /// Whether applying this begins a departure.
    pub fn departs_with(&self, classification: &Classification) -> bool {
        let next = classification.endpoint.as_ref();
        let is_gone = next.is_none_or(|next| next.entry.lifecycle == Lifecycle::Gone);
        is_gone && self.endpoint() != next
    }

    /// Applies what a list made of the engine. Where the endpoint stays the same, so does the state.
    pub fn apply(&mut self, now: f64, classification: Classification) {
        self.candidacy = classification.candidacy;
        if self.endpoint() != classification.endpoint.as_ref() {
            self.state = self.next_state(now, classification.endpoint);
        }
    }

    /// The state that begins at `now` with this endpoint, or without one.
    fn next_state(&self, now: f64, next: Option<Endpoint>) -> EndpointState {
        let Some(endpoint) = next else {
            let last = self.endpoint();
            return last
                .map_or(EndpointState::Unknown, |last| EndpointState::Departed(self.depart(now, last)));
        };
        match endpoint.entry.lifecycle {
            Lifecycle::Ready => EndpointState::Ready(endpoint),
            Lifecycle::Draining => {
                EndpointState::Draining { endpoint, since: now, departure: self.departure().copied() }
            }
            Lifecycle::Gone => {
                let departure = Some(self.depart(now, &endpoint));
                EndpointState::ListedAsGone { endpoint, departure }
            }
        }
    }

    /// The departure at `now` of the process that `last` describes.
    fn depart(&self, now: f64, last: &Endpoint) -> Departure {
        let was_ready = self.endpoint().is_some_and(Endpoint::is_ready);
        Departure { started: last.entry.started, at: now, is_unconfirmed: was_ready }
    }

    /// A further accepted list agrees with what is known. A candidate with all of its confirmations is ready, as
    /// `listed` reports it.
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

    /// No more confirmations are needed of an engine that joins; one that returns still needs all of them.
    pub fn expedite_joining(&mut self) {
        if let Some(candidacy) = self.candidacy.as_mut().filter(|c| c.required == CONFIRMATIONS_TO_JOIN) {
            candidacy.confirmations = candidacy.required;
        }
    }

    /// Confirmations must follow each other: those so far count no more.
    pub fn reset_confirmations(&mut self) {
        if let Some(candidacy) = &mut self.candidacy {
            candidacy.confirmations = 0;
        }
    }

    /// Another list agrees that the engine has left, or a newer one decides anew.
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

    /// From here on the engine counts as if it had never left.
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
