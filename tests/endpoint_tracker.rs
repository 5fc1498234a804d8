//! The endpoint set as derived from the directory's responses, in virtual time: no response that is outdated,
//! of another numbering or contradictory makes a drained engine ready again, and the lease on every set
//! expires.

use dahliaspoke::endpoints::lease::{Lease, MAX_NOTIFICATION_DELAY};
use dahliaspoke::endpoints::state::{CONFIRMATIONS_TO_JOIN, CONFIRMATIONS_TO_RETURN};
use dahliaspoke::endpoints::tracker::{EndpointList, ListOutcome, ListVerdict, CONTRADICTIONS};
use dahliaspoke::endpoints::{Endpoint, EndpointSet, EndpointTracker};
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const DRAIN_GRACE: f64 = 0.9;
const POLL_INTERVAL: f64 = 0.2;

fn endpoint(id: &str, lifecycle: Lifecycle, started: Option<f64>) -> Endpoint {
    let entry = EngineEntry { id: id.into(), lifecycle, started, ..EngineEntry::default() };
    Endpoint { entry, address: Some("127.0.0.1:5050".parse().expect("an address")) }
}

fn ready(id: &str) -> Endpoint {
    endpoint(id, Lifecycle::Ready, None)
}

fn draining(id: &str) -> Endpoint {
    endpoint(id, Lifecycle::Draining, None)
}

fn list(number: u32, endpoints: &[Endpoint]) -> EndpointList {
    EndpointList { number, endpoints: endpoints.to_vec() }
}

/// A tracker of e1 and e2 under list number 5, and the state of each engine after the responses so far.
struct Fixture {
    tracker: EndpointTracker,
    now: f64,
    states: BTreeMap<String, Lifecycle>,
}

impl Fixture {
    fn new() -> Self {
        let mut endpoints = EndpointSet::default();
        endpoints.apply_changes(vec![ready("e1"), ready("e2")]);
        let states = [("e1".to_string(), Lifecycle::Ready), ("e2".to_string(), Lifecycle::Ready)].into();
        Self { tracker: EndpointTracker::new(0.0, DRAIN_GRACE, 5, &endpoints), now: 0.0, states }
    }

    /// Applies the response to a query that is sent now and answered at once.
    fn respond(&mut self, list: EndpointList) -> ListVerdict {
        self.now += POLL_INTERVAL;
        self.respond_to(self.now, list)
    }

    /// Applies the response to a query sent at `queried_at`; it arrives now.
    fn respond_to(&mut self, queried_at: f64, list: EndpointList) -> ListVerdict {
        let ListOutcome { verdict, changes } = self.tracker.apply_response(self.now, queried_at, list);
        for Endpoint { entry, .. } in changes {
            self.states.insert(entry.id.to_string(), entry.lifecycle);
        }
        verdict
    }

    fn lifecycle(&self, id: &str) -> Lifecycle {
        self.states[id]
    }
}

#[test]
fn lease_runs_from_the_latest_answered_query() {
    let mut lease = Lease::new(10.0, DRAIN_GRACE);
    let duration = lease.expires_at() - 10.0;
    assert!(
        duration < MAX_NOTIFICATION_DELAY + DRAIN_GRACE && duration > MAX_NOTIFICATION_DELAY,
        "{duration}"
    );
    lease.confirm(12.0);
    lease.confirm(11.0);
    assert_eq!(lease.confirmed_at(), 12.0);
    assert_eq!(lease.expires_at(), 12.0 + duration);
}

#[test]
fn only_a_confirming_or_newer_list_renews_the_lease() {
    let mut fixture = Fixture::new();
    let both = [ready("e1"), ready("e2")];
    assert_eq!(fixture.respond(list(5, &both)), ListVerdict::Confirmed);
    let previous_expiry = fixture.tracker.lease().expires_at();
    assert_eq!(fixture.respond(list(4, &both)), ListVerdict::Contradicts(1));
    assert_eq!(
        fixture.tracker.lease().expires_at(),
        previous_expiry,
        "an old number does not renew the lease"
    );
    assert_eq!(fixture.respond(list(6, &both)), ListVerdict::Newer);
    assert!(fixture.tracker.lease().expires_at() > previous_expiry);
}

#[test]
fn response_to_an_earlier_query_is_accepted_only_with_a_higher_number() {
    let mut fixture = Fixture::new();
    fixture.respond(list(7, &[draining("e1"), ready("e2")]));
    let queried_at = fixture.now - 2.0 * POLL_INTERVAL;
    assert_eq!(fixture.respond_to(queried_at, list(6, &[ready("e1"), ready("e2")])), ListVerdict::Overtaken);
    assert_eq!(fixture.lifecycle("e1"), Lifecycle::Draining);
    assert_eq!(
        fixture.respond_to(queried_at, list(8, &[draining("e1"), draining("e2")])),
        ListVerdict::Newer
    );
    assert_eq!(fixture.lifecycle("e2"), Lifecycle::Draining);
}

#[test]
fn list_numbers_wrap_around() {
    let mut fixture = Fixture::new();
    fixture.respond(list(0x7000_0000, &[ready("e1"), ready("e2")]));
    fixture.respond(list(0xd000_0000, &[ready("e1"), ready("e2")]));
    assert_eq!(fixture.respond(list(2, &[draining("e1"), ready("e2")])), ListVerdict::Newer);
    assert_eq!(fixture.lifecycle("e1"), Lifecycle::Draining);
}

/// While it is unclear which of two contradicting lists is right, only engines that both report as ready stay
/// ready.
#[test]
fn contradicted_engine_is_withheld_until_a_confirmation() {
    let mut fixture = Fixture::new();
    for contradiction in [list(2, &[draining("e1"), ready("e2")]), list(5, &[ready("e2")])] {
        assert_eq!(fixture.respond(contradiction), ListVerdict::Contradicts(1));
        assert_eq!(fixture.lifecycle("e1"), Lifecycle::Draining);
        assert_eq!(fixture.lifecycle("e2"), Lifecycle::Ready);
        assert_eq!(fixture.respond(list(5, &[ready("e1"), ready("e2")])), ListVerdict::Confirmed);
        assert_eq!(fixture.lifecycle("e1"), Lifecycle::Ready);
    }
}

#[test]
fn contradictions_in_a_row_start_a_new_numbering() {
    let mut fixture = Fixture::new();
    let new = list(1, &[draining("e1"), ready("e2"), ready("e3")]);
    for count in 1..CONTRADICTIONS {
        assert_eq!(fixture.respond(new.clone()), ListVerdict::Contradicts(count));
    }
    assert_eq!(fixture.respond(new), ListVerdict::Renumbered);
    assert_eq!(fixture.tracker.number(), Some(1));
    assert_eq!([fixture.lifecycle("e1"), fixture.lifecycle("e3")], [Lifecycle::Draining, Lifecycle::Ready]);
    assert_eq!(fixture.respond(list(2, &[draining("e1"), draining("e2"), ready("e3")])), ListVerdict::Newer);
}

/// An occasional old list among current ones must not be mistaken for a new numbering.
#[test]
fn old_lists_between_confirmations_are_ignored() {
    let mut fixture = Fixture::new();
    fixture.respond(list(6, &[draining("e1"), ready("e2")]));
    for _ in 0..20 {
        for _ in 1..CONTRADICTIONS {
            fixture.respond(list(5, &[ready("e1"), ready("e2")]));
        }
        assert_eq!(fixture.respond(list(6, &[draining("e1"), ready("e2")])), ListVerdict::Confirmed);
    }
    assert_eq!([fixture.lifecycle("e1"), fixture.lifecycle("e2")], [Lifecycle::Draining, Lifecycle::Ready]);
}

#[test]
fn new_numbering_does_not_bring_back_drained_or_departed_engines() {
    let mut fixture = Fixture::new();
    fixture.respond(list(6, &[draining("e1")])); // and e2 has departed
    fixture.tracker.reset_numbering();
    assert_eq!(fixture.respond(list(1, &[ready("e1"), ready("e2")])), ListVerdict::Renumbered);
    assert_eq!(fixture.lifecycle("e1"), Lifecycle::Draining);
    assert_eq!(fixture.lifecycle("e2"), Lifecycle::Gone);
    // Same numbering: it reports no change for these engines, so it does not confirm a return.
    assert_eq!(fixture.respond(list(2, &[ready("e1"), ready("e2")])), ListVerdict::Newer);
    assert_eq!([fixture.lifecycle("e1"), fixture.lifecycle("e2")], [Lifecycle::Draining, Lifecycle::Gone]);
}

#[test]
fn engine_returns_after_a_restart_or_enough_confirmations() {
    let mut fixture = Fixture::new();
    fixture.respond(list(6, &[draining("e1")]));
    fixture.tracker.reset_numbering();
    let restarted = endpoint("e1", Lifecycle::Ready, Some(9.0));
    fixture.respond(list(1, &[restarted.clone(), endpoint("e2", Lifecycle::Ready, Some(9.0))]));
    assert_eq!(
        [fixture.lifecycle("e1"), fixture.lifecycle("e2")],
        [Lifecycle::Ready, Lifecycle::Ready],
        "later starts"
    );
    fixture.respond(list(2, &[endpoint("e1", Lifecycle::Draining, Some(9.0))]));
    let returned = list(3, &[restarted, ready("e2")]);
    for _ in 1..CONFIRMATIONS_TO_RETURN {
        fixture.respond(returned.clone());
        assert_eq!(
            [fixture.lifecycle("e1"), fixture.lifecycle("e2")],
            [Lifecycle::Draining, Lifecycle::Gone],
            "not enough confirmations yet"
        );
    }
    fixture.respond(returned);
    assert_eq!(
        [fixture.lifecycle("e1"), fixture.lifecycle("e2")],
        [Lifecycle::Ready, Lifecycle::Ready],
        "return confirmed within one numbering"
    );
}

#[test]
fn drain_of_an_earlier_numbering_expires_after_a_minute() {
    let mut fixture = Fixture::new();
    fixture.respond(list(6, &[draining("e1"), ready("e2")]));
    fixture.tracker.reset_numbering();
    fixture.respond(list(1, &[ready("e1"), ready("e2")]));
    fixture.now += 61.0;
    fixture.respond(list(2, &[ready("e1"), ready("e2"), ready("e3")]));
    assert_eq!(fixture.lifecycle("e1"), Lifecycle::Ready);
}

/// A higher number is no evidence for the engines that its list adds: the list may be from an earlier
/// incarnation of the directory, and the engines may have departed since.
#[test]
fn added_engine_is_ready_after_a_second_list_agrees() {
    let mut fixture = Fixture::new();
    let with_e3 = list(6, &[ready("e1"), ready("e2"), ready("e3")]);
    for _ in 1..CONFIRMATIONS_TO_JOIN {
        fixture.respond(with_e3.clone());
        assert!(!fixture.states.contains_key("e3"));
    }
    fixture.respond(with_e3);
    assert_eq!(fixture.lifecycle("e3"), Lifecycle::Ready);
}

/// All engines are replaced at once: the new ones become ready with the same response.
#[test]
fn added_engine_is_ready_at_once_if_no_other_engine_is() {
    let mut fixture = Fixture::new();
    fixture.respond(list(6, &[draining("e1"), ready("e3")]));
    assert_eq!(
        [fixture.lifecycle("e1"), fixture.lifecycle("e2"), fixture.lifecycle("e3")],
        [Lifecycle::Draining, Lifecycle::Gone, Lifecycle::Ready]
    );
}

/// Right after startup the first response is an old list from the directory's previous incarnation, with its
/// high number: it lacks the drain of e2 and the joining of e3, and e0 has departed since.
#[test]
fn list_of_an_earlier_incarnation_is_superseded_without_lasting_effect() {
    let mut endpoints = EndpointSet::default();
    endpoints.apply_changes(vec![ready("e1"), draining("e2"), ready("e3")]);
    let mut fixture = Fixture::new();
    fixture.tracker = EndpointTracker::new(0.0, DRAIN_GRACE, 1, &endpoints);
    assert_eq!(fixture.respond(list(9, &[ready("e0"), ready("e1"), ready("e2")])), ListVerdict::Newer);
    let truth = list(1, &[ready("e1"), draining("e2"), ready("e3")]);
    for count in 1..CONTRADICTIONS {
        assert_eq!(fixture.respond(truth.clone()), ListVerdict::Contradicts(count));
    }
    assert_eq!(fixture.respond(truth), ListVerdict::Renumbered);
    assert!(!fixture.states.contains_key("e0"), "it never served");
    assert_eq!(fixture.lifecycle("e3"), Lifecycle::Ready, "it never left");
    assert_eq!(fixture.tracker.number(), Some(1));
    // e2 is draining throughout, as in the configuration.
    assert_ne!(fixture.states.get("e2"), Some(&Lifecycle::Gone));
    assert_eq!(fixture.respond(list(2, &[ready("e1"), ready("e3")])), ListVerdict::Newer);
    assert_eq!(fixture.lifecycle("e2"), Lifecycle::Gone);
}

/// The directory loses, delays and reorders its responses, restarts its numbering, and occasionally sends an
/// old list. On every schedule: an engine whose drain was accepted never becomes ready again, since its
/// process does not restart; and the lease never runs from a query that has not been sent yet.
#[test]
fn no_response_schedule_makes_a_drained_engine_ready_again() {
    for seed in 0..2_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = |bound: u32| rng.next_u32() % bound;
        let mut fixture = Fixture::new();
        let mut truth = vec![ready("e1"), ready("e2")];
        let (mut number, mut history) = (5, vec![list(5, &truth)]);
        let mut in_flight: Vec<(f64, f64, EndpointList)> = Vec::new();
        let mut drain_was_accepted = false;
        for step in 0..150 {
            fixture.now += POLL_INTERVAL;
            if step > 10 && draw(20) == 0 {
                truth[0] = draining("e1");
                number += 1;
                history.push(list(number, &truth));
            }
            if draw(60) == 0 {
                number = 0;
                history.push(list(number, &truth));
            }
            let answer = match draw(10) {
                0 => continue,
                // One old list at a time: several in a row would look like a directory that restarted.
                1 if draw(2) == 0 => history[draw(history.len() as u32) as usize].clone(),
                _ => list(number, &truth),
            };
            let (queried_at, delay) = (fixture.now, f64::from(draw(30)) / 20.0);
            in_flight.push((queried_at + delay, queried_at, answer));
            let due: Vec<_> = in_flight.iter().filter(|(at, ..)| *at <= fixture.now).cloned().collect();
            in_flight.retain(|(at, ..)| *at > fixture.now);
            for (_, queried_at, list) in due {
                let drained = list.endpoints[0].entry.lifecycle == Lifecycle::Draining;
                let verdict = fixture.respond_to(queried_at, list);
                drain_was_accepted |=
                    drained && matches!(verdict, ListVerdict::Newer | ListVerdict::Renumbered);
                if drain_was_accepted {
                    assert_ne!(fixture.lifecycle("e1"), Lifecycle::Ready, "seed {seed}, step {step}");
                }
            }
            assert!(fixture.tracker.lease().confirmed_at() <= fixture.now, "seed {seed}");
        }
    }
}
