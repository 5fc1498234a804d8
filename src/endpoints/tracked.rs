//! The states of all engines, as the accepted lists change them.

use super::set::{Endpoint, EndpointSet};
use super::state::{Classification, Departure, ListContext, Numbering, TrackedEndpoint};
use crate::policy::EngineId;
use std::collections::{BTreeMap, BTreeSet};

/// Departures that are remembered at most; the oldest are forgotten first.
const MAX_DEPARTURES: usize = 4_096;

/// Engines by id, with their states, and the list that was accepted last.
#[derive(Debug, Default)]
pub(super) struct TrackedEndpoints {
    engines: BTreeMap<EngineId, TrackedEndpoint>,
    /// The accepted list, as it was reported.
    reported: EndpointSet,
}

impl TrackedEndpoints {
    /// The list that was accepted last.
    pub fn reported(&self) -> &EndpointSet {
        &self.reported
    }

    /// The endpoint set, in the order of the ids.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.engines.values().filter_map(TrackedEndpoint::endpoint)
    }

    /// Accepts a complete list; an engine that it lacks has left.
    pub fn accept(&mut self, now: f64, list: Vec<Endpoint>, numbering: Numbering) {
        for engine in self.engines.values_mut() {
            engine.expire_departure(now);
        }
        let classifications = self.classify(now, &list, numbering);
        self.confirm_departures();
        // Departures last: a return forgets one, and so frees its place.
        let (present, absent): (Vec<_>, Vec<_>) =
            classifications.into_iter().partition(|(_, classification)| classification.endpoint.is_some());
        for (id, classification) in present.into_iter().chain(absent) {
            self.transition(now, id, classification);
        }
        self.engines.retain(|_, engine| !engine.is_unknown());
        self.reported.replace(list);
        if !self.endpoints().any(Endpoint::is_ready) {
            self.expedite_joining();
        }
    }

    /// What a list makes of each engine that is known or listed.
    fn classify(
        &self,
        now: f64,
        list: &[Endpoint],
        numbering: Numbering,
    ) -> BTreeMap<EngineId, Classification> {
        let had_endpoints = self.endpoints().next().is_some();
        let context = ListContext { now, numbering, previous: &self.reported, had_endpoints };
        let unknown = TrackedEndpoint::default();
        let mut classifications: BTreeMap<EngineId, Classification> =
            self.engines.keys().map(|id| (id.clone(), Classification::absent(None))).collect();
        let mut seen = BTreeSet::new();
        for listed in list {
            let id = &listed.entry.id;
            let engine = self.engines.get(id).unwrap_or(&unknown);
            let mut classification = engine.classify(listed, context);
            if !seen.insert(id) {
                // The list names the engine twice: what this entry does not say, the one before it does.
                classification.complete_by(classifications.remove(id), listed.is_ready());
            }
            classifications.insert(id.clone(), classification);
        }
        classifications
    }

    fn transition(&mut self, now: f64, id: EngineId, classification: Classification) {
        if self.engines.entry(id.clone()).or_default().departs_with(&classification) {
            self.limit_departures();
        }
        self.engines.entry(id).or_default().apply(now, classification);
    }

    /// Forgets the oldest departure where a further one would be too many.
    fn limit_departures(&mut self) {
        let departure = |engine: &TrackedEndpoint| engine.departure().map(|departure| departure.at);
        // Most engines have none: they need not be counted where even all of them were not too many.
        let may_be_full = self.engines.len() >= MAX_DEPARTURES;
        if !may_be_full || self.engines.values().filter_map(departure).count() < MAX_DEPARTURES {
            return;
        }
        let departures =
            self.engines.values_mut().filter_map(|engine| departure(engine).map(|at| (at, engine)));
        if let Some((_, oldest)) = departures.min_by(|(a, _), (b, _)| a.total_cmp(b)) {
            oldest.forget_departure();
        }
    }

    /// A complete replacement of the fleet need not wait for a second list.
    fn expedite_joining(&mut self) {
        self.engines.values_mut().for_each(TrackedEndpoint::expedite_joining);
    }

    /// A list agreed with the one that was accepted last: candidates come closer to ready.
    pub fn confirm_candidates(&mut self) {
        for (id, engine) in &mut self.engines {
            engine.confirm(self.reported.get(id));
        }
    }

    /// A list contradicted the one that was accepted last: candidates begin anew.
    pub fn reset_confirmations(&mut self) {
        self.engines.values_mut().for_each(TrackedEndpoint::reset_confirmations);
    }

    /// A further list agrees with what the last one lacked.
    pub fn confirm_departures(&mut self) {
        self.engines.values_mut().for_each(TrackedEndpoint::confirm_departure);
    }

    /// The list that was accepted last was an old one: what it alone lacked has never been away.
    pub fn forget_unconfirmed_departures(&mut self) {
        let is_unconfirmed = |departure: &Departure| departure.is_unconfirmed;
        for engine in self.engines.values_mut() {
            if engine.departure().is_some_and(is_unconfirmed) {
                engine.forget_departure();
            }
        }
    }
}
