//! The engine list as answers make it, in virtual time: no answer that is old, of another numbering or contradictory
//! brings an engine back, and every list has an end.

use dahliaspoke::endpoints::lease::{Lease, TOLD_AFTER};
use dahliaspoke::endpoints::tracker::{
    Endpoint, EndpointList, EndpointSet, EndpointTracker, ListVerdict, CONFIRMATIONS_TO_JOIN,
    CONFIRMATIONS_TO_RETURN, CONTRADICTIONS,
};
use dahliaspoke::policy::{EngineEntry, Lifecycle};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

const GRACE: f64 = 0.9;
const POLL: f64 = 0.2;

fn endpoint(id: &str, lifecycle: Lifecycle, started: Option<f64>) -> Endpoint {
    let entry = EngineEntry { id: id.into(), lifecycle, started, ..EngineEntry::default() };
    Endpoint { entry, address: Some("127.0.0.1:5050".parse().expect("an address")) }
}

fn ready(id: &str) -> Endpoint {
    endpoint(id, Lifecycle::Ready, None)
}

fn drains(id: &str) -> Endpoint {
    endpoint(id, Lifecycle::Draining, None)
}

fn list(number: u32, endpoints: &[Endpoint]) -> EndpointList {
    EndpointList { number, endpoints: endpoints.to_vec() }
}

/// A roster of e1 and e2 under number 5, and what the answers so far make of each engine.
struct Held {
    roster: EndpointTracker,
    now: f64,
    states: BTreeMap<String, Lifecycle>,
}

impl Held {
    fn new() -> Self {
        let mut endpoints = EndpointSet::default();
        endpoints.change(vec![ready("e1"), ready("e2")]);
        let states = [("e1".to_string(), Lifecycle::Ready), ("e2".to_string(), Lifecycle::Ready)].into();
        Self { roster: EndpointTracker::new(0.0, GRACE, 5, endpoints), now: 0.0, states }
    }

    /// The answer to a question asked now comes at once.
    fn answer(&mut self, list: EndpointList) -> ListVerdict {
        self.now += POLL;
        self.answer_to(self.now, list)
    }

    /// The answer to a question of that time comes now.
    fn answer_to(&mut self, asked: f64, list: EndpointList) -> ListVerdict {
        let (verdict, changes) = self.roster.answer(self.now, asked, list);
        for Endpoint { entry, .. } in changes {
            self.states.insert(entry.id.to_string(), entry.lifecycle);
        }
        verdict
    }

    fn is(&self, id: &str) -> Lifecycle {
        self.states[id]
    }
}

#[test]
fn a_lease_runs_from_the_latest_question_that_was_answered() {
    let mut lease = Lease::new(10.0, GRACE);
    let span = lease.ends() - 10.0;
    assert!(span < TOLD_AFTER + GRACE && span > TOLD_AFTER, "{span}");
    lease.confirm(12.0);
    lease.confirm(11.0);
    assert_eq!(lease.confirmed(), 12.0);
    assert_eq!(lease.ends(), 12.0 + span);
}

#[test]
fn only_what_agrees_or_is_newer_renews_the_lease() {
    let mut held = Held::new();
    let both = [ready("e1"), ready("e2")];
    assert_eq!(held.answer(list(5, &both)), ListVerdict::Confirmed);
    let ends = held.roster.lease().ends();
    assert_eq!(held.answer(list(4, &both)), ListVerdict::Contradicts(1));
    assert_eq!(held.roster.lease().ends(), ends, "an old number keeps nothing alive");
    assert_eq!(held.answer(list(6, &both)), ListVerdict::Newer);
    assert!(held.roster.lease().ends() > ends);
}

#[test]
fn an_answer_to_an_earlier_question_changes_nothing_unless_its_number_is_higher() {
    let mut held = Held::new();
    held.answer(list(7, &[drains("e1"), ready("e2")]));
    let asked = held.now - 2.0 * POLL;
    assert_eq!(held.answer_to(asked, list(6, &[ready("e1"), ready("e2")])), ListVerdict::Overtaken);
    assert_eq!(held.is("e1"), Lifecycle::Draining);
    assert_eq!(held.answer_to(asked, list(8, &[drains("e1"), drains("e2")])), ListVerdict::Newer);
    assert_eq!(held.is("e2"), Lifecycle::Draining);
}

#[test]
fn numbers_count_round() {
    let mut held = Held::new();
    held.answer(list(0x7000_0000, &[ready("e1"), ready("e2")]));
    held.answer(list(0xd000_0000, &[ready("e1"), ready("e2")]));
    assert_eq!(held.answer(list(2, &[drains("e1"), ready("e2")])), ListVerdict::Newer);
    assert_eq!(held.is("e1"), Lifecycle::Draining);
}

/// Until it is clear which of the two is right, an engine serves only where both say so.
#[test]
fn a_contradiction_withholds_at_once_and_a_confirmation_gives_back() {
    let mut held = Held::new();
    for contradiction in [list(2, &[drains("e1"), ready("e2")]), list(5, &[ready("e2")])] {
        assert_eq!(held.answer(contradiction), ListVerdict::Contradicts(1));
        assert_eq!(held.is("e1"), Lifecycle::Draining);
        assert_eq!(held.is("e2"), Lifecycle::Ready);
        assert_eq!(held.answer(list(5, &[ready("e1"), ready("e2")])), ListVerdict::Confirmed);
        assert_eq!(held.is("e1"), Lifecycle::Ready);
    }
}

#[test]
fn contradictions_in_a_row_are_a_new_numbering() {
    let mut held = Held::new();
    let new = list(1, &[drains("e1"), ready("e2"), ready("e3")]);
    for count in 1..CONTRADICTIONS {
        assert_eq!(held.answer(new.clone()), ListVerdict::Contradicts(count));
    }
    assert_eq!(held.answer(new), ListVerdict::Renumbered);
    assert_eq!(held.roster.number(), Some(1));
    assert_eq!([held.is("e1"), held.is("e3")], [Lifecycle::Draining, Lifecycle::Ready]);
    assert_eq!(held.answer(list(2, &[drains("e1"), drains("e2"), ready("e3")])), ListVerdict::Newer);
}

/// An old list now and then among good ones is never taken for a new numbering.
#[test]
fn old_lists_among_good_ones_are_passed_over() {
    let mut held = Held::new();
    held.answer(list(6, &[drains("e1"), ready("e2")]));
    for _ in 0..20 {
        for _ in 1..CONTRADICTIONS {
            held.answer(list(5, &[ready("e1"), ready("e2")]));
        }
        assert_eq!(held.answer(list(6, &[drains("e1"), ready("e2")])), ListVerdict::Confirmed);
    }
    assert_eq!([held.is("e1"), held.is("e2")], [Lifecycle::Draining, Lifecycle::Ready]);
}

#[test]
fn another_numbering_brings_nothing_back() {
    let mut held = Held::new();
    held.answer(list(6, &[drains("e1")])); // and e2 is gone
    held.roster.forget_numbering();
    assert_eq!(held.answer(list(1, &[ready("e1"), ready("e2")])), ListVerdict::Renumbered);
    assert_eq!(held.is("e1"), Lifecycle::Draining);
    assert_eq!(held.is("e2"), Lifecycle::Gone);
    // The same numbering goes on: it has not told of a return.
    assert_eq!(held.answer(list(2, &[ready("e1"), ready("e2")])), ListVerdict::Newer);
    assert_eq!([held.is("e1"), held.is("e2")], [Lifecycle::Draining, Lifecycle::Gone]);
}

#[test]
fn a_later_start_and_a_return_that_was_told_bring_back() {
    let mut held = Held::new();
    held.answer(list(6, &[drains("e1")]));
    held.roster.forget_numbering();
    let again = endpoint("e1", Lifecycle::Ready, Some(9.0));
    held.answer(list(1, &[again.clone(), endpoint("e2", Lifecycle::Ready, Some(9.0))]));
    assert_eq!([held.is("e1"), held.is("e2")], [Lifecycle::Ready, Lifecycle::Ready], "later starts");
    held.answer(list(2, &[endpoint("e1", Lifecycle::Draining, Some(9.0))]));
    let back = list(3, &[again, ready("e2")]);
    for _ in 1..CONFIRMATIONS_TO_RETURN {
        held.answer(back.clone());
        assert_eq!([held.is("e1"), held.is("e2")], [Lifecycle::Draining, Lifecycle::Gone], "not sure yet");
    }
    held.answer(back);
    assert_eq!([held.is("e1"), held.is("e2")], [Lifecycle::Ready, Lifecycle::Ready], "told by one numbering");
}

#[test]
fn a_drain_of_another_numbering_counts_for_a_minute() {
    let mut held = Held::new();
    held.answer(list(6, &[drains("e1"), ready("e2")]));
    held.roster.forget_numbering();
    held.answer(list(1, &[ready("e1"), ready("e2")]));
    held.now += 61.0;
    held.answer(list(2, &[ready("e1"), ready("e2"), ready("e3")]));
    assert_eq!(held.is("e1"), Lifecycle::Ready);
}

/// A number says nothing of what it adds: that may be a list of an earlier life, whose engines have gone since.
#[test]
fn what_a_list_adds_counts_once_a_second_answer_agrees() {
    let mut held = Held::new();
    let three = list(6, &[ready("e1"), ready("e2"), ready("e3")]);
    for _ in 1..CONFIRMATIONS_TO_JOIN {
        held.answer(three.clone());
        assert!(!held.states.contains_key("e3"));
    }
    held.answer(three);
    assert_eq!(held.is("e3"), Lifecycle::Ready);
}

/// All engines are replaced at once: the new ones serve with the same answer.
#[test]
fn what_joins_serves_at_once_where_nothing_else_is_ready() {
    let mut held = Held::new();
    held.answer(list(6, &[drains("e1"), ready("e3")]));
    assert_eq!(
        [held.is("e1"), held.is("e2"), held.is("e3")],
        [Lifecycle::Draining, Lifecycle::Gone, Lifecycle::Ready]
    );
}

/// Right after a start the first answer is an old list, under the high number that it had in the life before: of e2 it knows
/// no drain, of e3 nothing yet, and e0 has gone since.
#[test]
fn an_old_list_of_an_earlier_life_is_outvoted_and_leaves_nothing_behind() {
    let mut endpoints = EndpointSet::default();
    endpoints.change(vec![ready("e1"), drains("e2"), ready("e3")]);
    let mut held = Held::new();
    held.roster = EndpointTracker::new(0.0, GRACE, 1, endpoints);
    assert_eq!(held.answer(list(9, &[ready("e0"), ready("e1"), ready("e2")])), ListVerdict::Newer);
    let truth = list(1, &[ready("e1"), drains("e2"), ready("e3")]);
    for count in 1..CONTRADICTIONS {
        assert_eq!(held.answer(truth.clone()), ListVerdict::Contradicts(count));
    }
    assert_eq!(held.answer(truth), ListVerdict::Renumbered);
    assert!(!held.states.contains_key("e0"), "it never served");
    assert_eq!(held.is("e3"), Lifecycle::Ready, "it was never away");
    assert_eq!(held.roster.number(), Some(1));
    // e2 is as the configuration told it: draining all the time.
    assert_ne!(held.states.get("e2"), Some(&Lifecycle::Gone));
    assert_eq!(held.answer(list(2, &[ready("e1"), ready("e3")])), ListVerdict::Newer);
    assert_eq!(held.is("e2"), Lifecycle::Gone);
}

/// A directory that loses, delays, reorders, repeats and spoils its answers, restarts its numbers, and lies now and then with
/// an old list. Whatever it does: an engine that an answer told to drain serves no more, unless it was started anew; and the
/// lease never outlives the latest question that was answered.
#[test]
fn no_schedule_of_answers_brings_a_drained_engine_back() {
    for seed in 0..2_000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = |bound: u32| rng.next_u32() % bound;
        let mut held = Held::new();
        let mut truth = vec![ready("e1"), ready("e2")];
        let (mut number, mut history) = (5, vec![list(5, &truth)]);
        let mut under_way: Vec<(f64, f64, EndpointList)> = Vec::new();
        let mut told_of_drain = false;
        for step in 0..150 {
            held.now += POLL;
            if step > 10 && draw(20) == 0 {
                truth[0] = drains("e1");
                number += 1;
                history.push(list(number, &truth));
            }
            if draw(60) == 0 {
                number = 0;
                history.push(list(number, &truth));
            }
            let answer = match draw(10) {
                0 => continue,
                // One old list at a time: more in a row cannot be told from a directory that began anew.
                1 if draw(2) == 0 => history[draw(history.len() as u32) as usize].clone(),
                _ => list(number, &truth),
            };
            let (asked, late) = (held.now, f64::from(draw(30)) / 20.0);
            under_way.push((asked + late, asked, answer));
            let due: Vec<_> = under_way.iter().filter(|(at, ..)| *at <= held.now).cloned().collect();
            under_way.retain(|(at, ..)| *at > held.now);
            for (_, asked, list) in due {
                let drained = list.endpoints[0].entry.lifecycle == Lifecycle::Draining;
                let verdict = held.answer_to(asked, list);
                told_of_drain |= drained && matches!(verdict, ListVerdict::Newer | ListVerdict::Renumbered);
                if told_of_drain {
                    assert_ne!(held.is("e1"), Lifecycle::Ready, "seed {seed}, step {step}");
                }
            }
            assert!(held.roster.lease().confirmed() <= held.now, "seed {seed}");
        }
    }
}
