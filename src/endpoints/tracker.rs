//! The engine list as the directory's answers make it: which answer is the newer, and which engine may be believed
//! to be ready. Pure: no socket, no clock; times are seconds on the caller's monotonic clock.
//!
//! An answer counts only for the question that it answers, and questions are ordered by when they were asked. The
//! number in an answer orders lists within one numbering and no further: a directory that was started anew, or another
//! one, begins again. So
//!
//! - a higher number brings a newer list, and the held number with the held content confirms it;
//! - any other answer to a later question contradicts the list. What it does not tell as ready is withheld at once;
//!   after [`CONTRADICTIONS`] in a row without a confirmation between them the numbering has begun again;
//! - an old list may carry a high number of an earlier numbering, so what a higher number adds counts from the
//!   [`CONFIRMATIONS_TO_JOIN`]th answer that agrees (at once, where nothing else is ready), and what it leaves out at once;
//! - an engine goes from ready to draining to gone. It comes back as a later start of its process. Without one it comes
//!   back where one numbering tells of both, the drain and the return, and [`CONFIRMATIONS_TO_RETURN`] answers in a row
//!   agree.

use super::lease::Lease;
use crate::policy::{EngineEntry, EngineId, Lifecycle};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Answers in a row that contradict the held list until they are taken for a new numbering. A directory that now and
/// then answers with an old list confirms the held one in between.
pub const CONTRADICTIONS: u32 = 5;

/// Answers in a row that must tell of an engine that was not in the list.
pub const CONFIRMATIONS_TO_JOIN: u32 = 2;

/// Answers in a row that must tell of an engine's return where its process was not started anew.
pub const CONFIRMATIONS_TO_RETURN: u32 = 5;

/// How long (s) a drain or a departure outweighs a new numbering that says otherwise: far beyond the age of any answer.
const REMEMBERED: f64 = 60.0;

/// Departures that are remembered at the most; the oldest make room.
const MOST_DEPARTED: usize = 4_096;

/// An engine as a list tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// What the decisions know of it.
    pub entry: EngineEntry,
    /// Where it listens; absent for one that is gone.
    pub address: Option<SocketAddr>,
}

/// Engines by id.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointSet(BTreeMap<EngineId, Endpoint>);

impl EndpointSet {
    /// Takes changed entries.
    pub fn change(&mut self, changes: Vec<Endpoint>) {
        for endpoint in changes {
            if endpoint.entry.lifecycle == Lifecycle::Gone {
                self.0.remove(&endpoint.entry.id);
            } else {
                self.0.insert(endpoint.entry.id.clone(), endpoint);
            }
        }
    }

    /// Takes a complete list and returns what has changed; who is missing in it is gone.
    pub fn replace(&mut self, list: Vec<Endpoint>) -> Vec<Endpoint> {
        let new: BTreeMap<_, _> = list.into_iter().map(|m| (m.entry.id.clone(), m)).collect();
        let changed = new.values().filter(|m| self.0.get(&m.entry.id) != Some(m)).cloned();
        let gone = self.0.values().filter(|m| !new.contains_key(&m.entry.id)).map(|m| {
            let entry = EngineEntry { lifecycle: Lifecycle::Gone, ..m.entry.clone() };
            Endpoint { entry, address: None }
        });
        let changes = changed.chain(gone).collect();
        self.0 = new;
        changes
    }

    /// One of them.
    #[must_use]
    pub fn get(&self, id: &EngineId) -> Option<&Endpoint> {
        self.0.get(id)
    }

    /// All of them, by id.
    #[must_use]
    pub fn all(&self) -> Vec<Endpoint> {
        self.0.values().cloned().collect()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A complete list, as an answer holds it.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The number of the last event in it.
    pub number: u32,
    /// Every engine that it tells of.
    pub endpoints: Vec<Endpoint>,
}

/// What became of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// It brought a newer list.
    Newer,
    /// It says what is held.
    Confirmed,
    /// It answers an earlier question than the one that confirmed what is held.
    Overtaken,
    /// It contradicts what is held; so many did in a row.
    Contradicts(u32),
    /// The numbering began again, and this list is held.
    Renumbered,
}

/// Answers in a row that contradict the held list.
#[derive(Clone, Copy, Debug, Default)]
struct Contradiction {
    count: u32,
    /// When the last of their questions was asked.
    asked: f64,
}

/// An engine that has left the list.
#[derive(Clone, Copy, Debug)]
struct Departure {
    started: Option<f64>,
    at: f64,
}

/// An engine that is told as ready, and that does not serve yet.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    /// Answers in a row that told of it.
    confirmations: u32,
    needed: u32,
}

/// Whether a list is of the numbering that the held one has.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Numbering {
    Same,
    New,
}

/// The engine list that one coordinator holds.
#[derive(Debug)]
pub struct EndpointTracker {
    lease: Lease,
    /// The number of the list in `said`; none where the next answer begins a numbering.
    number: Option<u32>,
    /// The list as it was told last.
    said: EndpointSet,
    /// The list as it is believed.
    held: EndpointSet,
    /// Since when an engine in `held` has drained.
    draining: BTreeMap<EngineId, f64>,
    departed: BTreeMap<EngineId, Departure>,
    /// Engines that are told to have joined, or to be back.
    candidates: BTreeMap<EngineId, Candidate>,
    /// Engines that were ready until the latest list left them out, and no other answer agreed yet.
    vanished: BTreeSet<EngineId>,
    /// Engines that the latest contradiction does not tell as ready.
    withheld: BTreeSet<EngineId>,
    contradiction: Contradiction,
}

impl EndpointTracker {
    /// Starts from the list of the configuration, true at `now`.
    #[must_use]
    pub fn new(now: f64, grace: f64, number: u32, endpoints: EndpointSet) -> Self {
        let mut roster = Self {
            lease: Lease::new(now, grace),
            number: Some(number),
            said: EndpointSet::default(),
            held: EndpointSet::default(),
            draining: BTreeMap::new(),
            departed: BTreeMap::new(),
            candidates: BTreeMap::new(),
            vanished: BTreeSet::new(),
            withheld: BTreeSet::new(),
            contradiction: Contradiction::default(),
        };
        roster.hold(now, endpoints);
        roster
    }

    /// The number of the list that is held, if it has one.
    #[must_use]
    pub fn number(&self) -> Option<u32> {
        self.number
    }

    /// The lease on what is held.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.lease
    }

    /// Holds a list from another source.
    pub fn hold(&mut self, now: f64, endpoints: EndpointSet) {
        self.take(now, endpoints.all(), Numbering::New);
    }

    /// Another directory is asked from here on: its numbers have nothing to do with those so far.
    pub fn forget_numbering(&mut self) {
        self.number = None;
        self.contradiction = Contradiction::default();
    }

    /// Takes the answer, come at `now`, to a question asked at `asked`. Gives what became of it, and what changed: an engine
    /// that is withheld counts as draining.
    pub fn answer(&mut self, now: f64, asked: f64, list: EndpointList) -> (ListVerdict, Vec<Endpoint>) {
        let before = self.believed();
        let verdict = self.judge(now, asked, list);
        let mut changed = before;
        let changes = changed.replace(self.believed().all());
        (verdict, changes)
    }

    fn judge(&mut self, now: f64, asked: f64, list: EndpointList) -> ListVerdict {
        let Some(number) = self.number else {
            return self.begin_numbering(now, asked, list);
        };
        // Numbers count round.
        let ahead = list.number.wrapping_sub(number) as i32;
        if ahead > 0 {
            self.accept(now, asked, list, Numbering::Same);
            return ListVerdict::Newer;
        }
        if asked <= self.lease.confirmed() {
            return ListVerdict::Overtaken;
        }
        if ahead == 0 && same(&self.said, &list.endpoints) {
            self.vanished.clear();
            self.settle(asked);
            return ListVerdict::Confirmed;
        }
        self.contradict(now, asked, list)
    }

    /// Either the answer is an old one, or the numbering began again: which, only further answers tell.
    fn contradict(&mut self, now: f64, asked: f64, list: EndpointList) -> ListVerdict {
        if asked > self.contradiction.asked {
            self.contradiction.asked = asked;
            self.contradiction.count += 1;
        }
        self.candidates.values_mut().for_each(|candidate| candidate.confirmations = 0);
        if self.contradiction.count >= CONTRADICTIONS {
            // The held list was an old one, and what it alone left out has never been away.
            for id in std::mem::take(&mut self.vanished) {
                self.departed.remove(&id);
            }
            return self.begin_numbering(now, asked, list);
        }
        let ready = |m: &&Endpoint| m.entry.lifecycle == Lifecycle::Ready;
        let ready: BTreeSet<&EngineId> = list.endpoints.iter().filter(ready).map(|m| &m.entry.id).collect();
        let doubted = self.held.0.keys().filter(|id| !ready.contains(id));
        self.withheld = doubted.cloned().collect();
        ListVerdict::Contradicts(self.contradiction.count)
    }

    fn begin_numbering(&mut self, now: f64, asked: f64, list: EndpointList) -> ListVerdict {
        self.accept(now, asked, list, Numbering::New);
        ListVerdict::Renumbered
    }

    fn accept(&mut self, now: f64, asked: f64, list: EndpointList, numbering: Numbering) {
        self.number = Some(list.number);
        self.take(now, list.endpoints, numbering);
        self.settle(asked);
    }

    /// What is held was true when that question was asked.
    fn settle(&mut self, asked: f64) {
        self.lease.confirm(asked);
        self.withheld.clear();
        self.contradiction = Contradiction::default();
        self.admit();
    }

    /// An answer agreed with the list that is held: lets in the candidates that have been told often enough.
    fn admit(&mut self) {
        self.candidates.values_mut().for_each(|candidate| candidate.confirmations += 1);
        let often = |candidate: &Candidate| candidate.confirmations >= candidate.needed;
        let admitted = self.candidates.iter().filter(|(_, candidate)| often(candidate));
        let admitted: Vec<EngineId> = admitted.map(|(id, _)| id.clone()).collect();
        for id in admitted {
            self.candidates.remove(&id);
            self.draining.remove(&id);
            self.departed.remove(&id);
            self.held.change(self.said.get(&id).cloned().into_iter().collect());
        }
    }

    /// Takes a complete list into what is believed, each engine by its life cycle.
    fn take(&mut self, now: f64, list: Vec<Endpoint>, numbering: Numbering) {
        self.departed.retain(|_, departure| now - departure.at < REMEMBERED);
        self.find_candidates(&list, numbering);
        self.vanished.clear();
        let before = self.held.clone();
        let believed = list.iter().filter_map(|told| self.believe(now, told)).collect();
        self.said.replace(list);
        let changes = self.held.replace(believed);
        for Endpoint { entry, .. } in changes {
            self.draining.remove(&entry.id);
            match entry.lifecycle {
                Lifecycle::Ready => drop(self.departed.remove(&entry.id)),
                Lifecycle::Draining => drop(self.draining.insert(entry.id, now)),
                Lifecycle::Gone => {
                    let ready = |held: &Endpoint| held.entry.lifecycle == Lifecycle::Ready;
                    if before.get(&entry.id).is_some_and(ready) {
                        self.vanished.insert(entry.id.clone());
                    }
                    self.depart(now, entry);
                }
            }
        }
        self.hurry_candidates();
    }

    /// Where nothing else is ready, engines that join need not wait for a second answer: a replacement of all at once.
    fn hurry_candidates(&mut self) {
        if self.held.0.values().any(|endpoint| endpoint.entry.lifecycle == Lifecycle::Ready) {
            return;
        }
        let joining = self.candidates.values_mut().filter(|c| c.needed == CONFIRMATIONS_TO_JOIN);
        joining.for_each(|candidate| candidate.confirmations = candidate.needed);
    }

    /// Which engines the list tells as ready that its numbering told otherwise before. The first list of a numbering has
    /// nothing before it.
    fn find_candidates(&mut self, list: &[Endpoint], numbering: Numbering) {
        let ready = |told: &&Endpoint| told.entry.lifecycle == Lifecycle::Ready;
        let ready: BTreeMap<&EngineId, &Endpoint> =
            list.iter().filter(ready).map(|m| (&m.entry.id, m)).collect();
        self.candidates.retain(|id, _| numbering == Numbering::Same && ready.contains_key(id));
        if numbering == Numbering::New || self.held.is_empty() {
            return;
        }
        for (id, told) in ready {
            if let Some(needed) = self.confirmations_needed(told) {
                self.candidates.entry(id.clone()).or_insert(Candidate { confirmations: 0, needed });
            }
        }
    }

    /// How many answers must tell that an engine is ready; none where one is enough, or where none is.
    fn confirmations_needed(&self, told: &Endpoint) -> Option<u32> {
        let id = &told.entry.id;
        if let Some(departure) = self.departed.get(id) {
            let needed = if told.entry.started > departure.started {
                CONFIRMATIONS_TO_JOIN
            } else {
                CONFIRMATIONS_TO_RETURN
            };
            return self.changed(told).then_some(needed);
        }
        let Some(held) = self.held.get(id) else { return Some(CONFIRMATIONS_TO_JOIN) };
        let returns = held.entry.lifecycle == Lifecycle::Draining
            && told.entry.started <= held.entry.started
            && self.changed(told);
        returns.then_some(CONFIRMATIONS_TO_RETURN)
    }

    /// An engine as it is believed after a list told this of it; none where it stays gone.
    fn believe(&self, now: f64, told: &Endpoint) -> Option<Endpoint> {
        let id = &told.entry.id;
        let held = self.held.get(id);
        let restarted = |started: Option<f64>| told.entry.started > started;
        if told.entry.lifecycle != Lifecycle::Ready {
            return Some(told.clone());
        }
        if held.is_none() && self.candidates.contains_key(id) {
            return None;
        }
        if let Some(departure) = self.departed.get(id) {
            return restarted(departure.started).then(|| told.clone());
        }
        let drains = held.filter(|held| held.entry.lifecycle == Lifecycle::Draining);
        let Some(drains) = drains.filter(|held| !restarted(held.entry.started)) else {
            return Some(told.clone());
        };
        let since = self.draining.get(id).copied().unwrap_or(now);
        let lifecycle = if now - since < REMEMBERED { Lifecycle::Draining } else { Lifecycle::Ready };
        let entry = EngineEntry { lifecycle, ..told.entry.clone() };
        Some(Endpoint { entry, address: told.address.or(drains.address) })
    }

    /// Whether the numbering in use told otherwise of this engine before.
    fn changed(&self, told: &Endpoint) -> bool {
        self.said.get(&told.entry.id).is_none_or(|said| said.entry.lifecycle != told.entry.lifecycle)
    }

    fn depart(&mut self, now: f64, entry: EngineEntry) {
        if self.departed.len() >= MOST_DEPARTED {
            let oldest = self.departed.iter().min_by(|a, b| a.1.at.total_cmp(&b.1.at));
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.departed.remove(&id));
        }
        self.departed.insert(entry.id, Departure { started: entry.started, at: now });
    }

    /// What is held, less what is withheld.
    fn believed(&self) -> EndpointSet {
        let mut believed = self.held.clone();
        for id in &self.withheld {
            if let Some(endpoint) = believed.0.get_mut(id) {
                endpoint.entry.lifecycle = Lifecycle::Draining;
            }
        }
        believed
    }
}

/// Whether a list says just that.
fn same(said: &EndpointSet, list: &[Endpoint]) -> bool {
    said.0.len() == list.len() && list.iter().all(|endpoint| said.get(&endpoint.entry.id) == Some(endpoint))
}
