//! The states of all engines, updated by the accepted lists.

use super::set::{Endpoint, EndpointSet};
use super::state::{Classification, Departure, ListContext, Numbering, TrackedEndpoint};
use crate::policy::EngineId;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of remembered departures; the oldest are forgotten first.
const MAX_DEPARTURES: usize = 4_096;

/// The states of all engines by id, and the last accepted list.
#[derive(Debug, Default)]
pub(super) struct TrackedEndpoints {
    engines: BTreeMap<EngineId, TrackedEndpoint>,
    /// The last accepted list, as it was reported.
    reported: EndpointSet,
}

impl TrackedEndpoints {
    /// The last accepted list.
    pub fn reported(&self) -> &EndpointSet {
        &self.reported
    }

    /// The endpoint set, in the order of engine ids.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.engines.values().filter_map(TrackedEndpoint::endpoint)
    }

    /// Accepts a complete list; an engine that is missing from it has left.
    pub fn accept(&mut self, now: f64, list: Vec<Endpoint>, numbering: Numbering) {
        for engine in self.engines.values_mut() {
            engine.expire_departure(now);
        }
        let classifications = self.classify(now, &list, numbering);
        self.confirm_departures();
        // Departures are applied last: a return forgets a departure, which frees capacity for another.
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

    /// Determines the effect of a list on each engine that is known or listed.
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
                // The list contains the engine twice: whatever this entry leaves open is taken from the
                // previous one.
                classification.merge_earlier(classifications.remove(id), listed.is_ready());
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

    /// Forgets the oldest departure if another one would exceed the maximum.
    fn limit_departures(&mut self) {
        let departure = |engine: &TrackedEndpoint| engine.departure().map(|departure| departure.at);
        // Most engines have no departure, so they are counted only if the maximum would be reached were all
        // of them to have one.
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

    /// Lets joining engines become ready without a second list, as after a complete replacement of the fleet.
    fn expedite_joining(&mut self) {
        self.engines.values_mut().for_each(TrackedEndpoint::expedite_joining);
    }

    /// Counts a list that agrees with the last accepted one as a confirmation of every candidate.
    pub fn confirm_candidates(&mut self) {
        for (id, engine) in &mut self.engines {
            engine.confirm(self.reported.get(id));
        }
    }

    /// Resets the confirmations of every candidate, after a list that contradicts the last accepted one.
    pub fn reset_confirmations(&mut self) {
        self.engines.values_mut().for_each(TrackedEndpoint::reset_confirmations);
    }

    /// Marks all departures as confirmed, after another list that agrees with the last accepted one or
    /// supersedes it.
    pub fn confirm_departures(&mut self) {
        self.engines.values_mut().for_each(TrackedEndpoint::confirm_departure);
    }

    /// Forgets the departures that were only reported by the last accepted list, because that list turned out
    /// to be an old one: the engines never left.
    pub fn forget_unconfirmed_departures(&mut self) {
        let is_unconfirmed = |departure: &Departure| departure.is_unconfirmed;
        for engine in self.engines.values_mut() {
            if engine.departure().is_some_and(is_unconfirmed) {
                engine.forget_departure();
            }
        }
    }
}
