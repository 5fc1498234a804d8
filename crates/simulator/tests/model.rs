//! The model: a seed determines a run, and the auditor detects policies that break a rule. Each rule is broken
//! by some policy, most of them with a planted fault.

use dahliaspoke::policy::*;
use dahliaspoke_simulator::audit::WarmupLoad;
use dahliaspoke_simulator::policy::{self, Policy, PolicyKind};
use dahliaspoke_simulator::report::Report;
use dahliaspoke_simulator::scenario::Scenario;
use dahliaspoke_simulator::world::{play, play_with};

fn scenario(text: &str) -> Scenario {
    Scenario::read(text).expect("a valid scenario")
}

const RELEASE: &str = include_str!("../scenarios/release.toml");
const ROUGH: &str = include_str!("../scenarios/rough.toml");

#[test]
fn the_same_seed_repeats_a_run_and_another_seed_does_not() {
    let scenario = scenario(RELEASE);
    for kind in [PolicyKind::Module, PolicyKind::TwoChoices] {
        let runs = [7, 7, 8].map(|seed| play(&scenario, kind, seed));
        let to_json = |r: &Report| serde_json::to_string(r).expect("the report serializes");
        assert_eq!(to_json(&runs[0]), to_json(&runs[1]));
        assert_ne!(runs[0].fingerprint, runs[2].fingerprint);
    }
}

#[test]
fn traffic_is_the_same_for_every_policy() {
    let scenario = scenario(ROUGH);
    let offered = |kind| play(&scenario, kind, 3).classes.iter().map(|c| c.offered).collect::<Vec<_>>();
    assert_eq!(offered(PolicyKind::Module), offered(PolicyKind::Random));
}

#[test]
fn every_request_is_counted_once() {
    for kind in [PolicyKind::Module, PolicyKind::Random, PolicyKind::Oracle] {
        for class in play(&scenario(ROUGH), kind, 5).classes {
            assert_eq!(
                class.offered,
                class.in_time + class.late + class.rejected + class.failed,
                "{class:?}"
            );
        }
    }
}

#[test]
fn the_module_keeps_the_rules_through_every_fault() {
    for text in [RELEASE, ROUGH, "load = 1.4", "[[trouble]]\nkind = \"lost-hall\"\nat_s = 10.0\nfor_s = 5.0"]
    {
        for seed in 1..4 {
            let report = play(&scenario(text), PolicyKind::Module, seed);
            assert_eq!(report.violation_count, 0, "{:?}", report.violations);
        }
    }
}

/// The load on a warming engine with the largest excess over its budget, from three runs in which six in ten
/// engines are replaced while coordinators crash. Whatever their number, the coordinators that know of a
/// start must together stay within the budget that the settings allow, apart from random variation.
fn highest_warmup_load(coordinators: usize, kind: PolicyKind) -> WarmupLoad {
    let text = RELEASE.replace("coordinators = 30", &format!("coordinators = {coordinators}"));
    let loads =
        (1..4).map(|seed| play(&scenario(&text), kind, seed).warmup_load.expect("some engine warms up"));
    loads.max_by(|a, b| a.excess().total_cmp(&b.excess())).expect("there were three runs")
}

#[test]
fn warmup_load_stays_within_budget_for_any_number_of_coordinators() {
    for coordinators in [3, 20, 30, 300] {
        let load = highest_warmup_load(coordinators, PolicyKind::Module);
        println!("{coordinators} coordinators: {load:?}");
        assert!(load.excess() <= 0.0, "{coordinators} coordinators: {load:?}");
    }
    // A policy that ignores engine starts exceeds the budget.
    let unaware = highest_warmup_load(30, PolicyKind::TwoChoices);
    println!("two-choices: {unaware:?}");
    assert!(unaware.excess() > 0.0, "{unaware:?}");
}

/// A baseline policy with a planted fault.
struct FaultyPolicy {
    inner: Box<dyn Policy>,
    fault: Fault,
    resent: Vec<RequestId>,
    draining: Option<EngineId>,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Never rejects or fails a request.
    NeverAnswers,
    /// Answers twice.
    AnswersTwice,
    /// Sends a request again after it has ended.
    SendsAfterEnd,
    /// Retries a request that must not run again.
    RetriesUnsafely,
    /// Rejects a request that may have run.
    RejectsUnsafely,
    /// Sends to draining engines.
    SendsToDraining,
    /// Retries forever.
    RetriesForever,
}

impl Policy for FaultyPolicy {
    fn handle(&mut self, now: f64, event: Event, engine_delays: &[f64], actions: &mut Vec<Action>) {
        if let Event::EngineList(_, entries) = &event {
            let draining_entry = entries.iter().find(|e| e.lifecycle == Lifecycle::Draining);
            self.draining = draining_entry.map(|e| e.id.clone()).or(self.draining.take());
        }
        let ended = match &event {
            Event::AttemptEnded(ended) => Some((ended.id.clone(), ended.finished, ended.outcome)),
            _ => None,
        };
        let first_new = actions.len();
        self.inner.handle(now, event, engine_delays, actions);
        let final_answer = |a: &Action| matches!(a, Action::Reject { .. } | Action::Fail { .. });
        match (self.fault, ended) {
            (Fault::NeverAnswers, _) => actions.retain(|a| !final_answer(a)),
            (Fault::AnswersTwice, _) => {
                let repeated: Vec<Action> =
                    actions[first_new..].iter().filter(|a| final_answer(a)).cloned().collect();
                actions.extend(repeated);
            }
            (Fault::SendsAfterEnd, Some((id, true, _))) if self.resent.is_empty() => {
                self.resent.push(id.clone());
                actions.push(Action::Send { id, engine: "e0".into(), timeout: None, within: None });
            }
            (Fault::RetriesUnsafely, Some((id, false, Outcome::Error))) => {
                actions.truncate(first_new);
                actions.push(Action::Send { id, engine: "e1".into(), timeout: None, within: None });
            }
            (Fault::RejectsUnsafely, Some((id, false, Outcome::Error))) => {
                actions.truncate(first_new);
                actions.push(Action::Reject { id, retry_after: None });
            }
            (Fault::SendsToDraining, _) => {
                let Some(draining) = self.draining.clone() else { return };
                for action in &mut actions[first_new..] {
                    if let Action::Send { engine, .. } = action {
                        *engine = draining.clone();
                    }
                }
            }
            (Fault::RetriesForever, Some((id, false, _))) => {
                actions.truncate(first_new);
                actions.push(Action::Send { id, engine: "e1".into(), timeout: None, within: None });
            }
            _ => {}
        }
    }
}

#[test]
fn each_rule_violation_is_detected_and_a_correct_policy_has_none() {
    // Loads that must not run twice, engines that return errors, and engines that are replaced.
    let mut world = scenario(
        "seconds = 20.0\nload = 0.6\nretries = 0\n\
        [[trouble]]\nkind = \"errors\"\nat_s = 2.0\nfor_s = 16.0\npart = 1.0\nsize = 0.3\n\
        [[trouble]]\nkind = \"replace\"\nat_s = 4.0\nfor_s = 2.0\npart = 0.3\n",
    );
    world
        .classes
        .iter_mut()
        .filter(|c| c.is_load)
        .for_each(|c| c.idempotency = dahliaspoke_simulator::scenario::Idempotency::Never);
    let correct = play(&world, PolicyKind::Random, 1);
    assert_eq!(correct.violation_count, 0, "{:?}", correct.violations);
    for (fault, rule) in [
        (Fault::NeverAnswers, "answers"),
        (Fault::AnswersTwice, "answers"),
        (Fault::SendsAfterEnd, "answers"),
        (Fault::RetriesUnsafely, "repeats"),
        (Fault::RejectsUnsafely, "repeats"),
        (Fault::SendsToDraining, "drains"),
        (Fault::RetriesForever, "attempts"),
    ] {
        let report = play_with(&world, PolicyKind::Random, 1, |settings, seed| {
            let inner = policy::make(PolicyKind::Random, settings, seed);
            Box::new(FaultyPolicy { inner, fault, resent: Vec::new(), draining: None })
        });
        assert!(
            report.violations.iter().any(|b| b.rule == rule),
            "no violation of {rule}: {:?}",
            report.violations.first()
        );
    }
}

#[test]
fn coordinators_that_overload_a_warming_engine_are_detected() {
    // All engines have just restarted: coordinators that know of the start and still send all traffic break
    // the rule.
    let world = scenario(
        "seconds = 20.0\nengines = 2\nload = 1.6\nlist_ms = 50.0\n\
        engine = { queue_per_core = 1000.0, cold_from = 0.1 }\n\
        [[trouble]]\nkind = \"crash\"\nat_s = 4.0\nfor_s = 1.0\npart = 1.0\n",
    );
    let report = play(&world, PolicyKind::RoundRobin, 1);
    assert!(report.violations.iter().any(|b| b.rule == "cold"), "{:?}", report.violations);
    assert_eq!(play(&world, PolicyKind::Module, 1).violation_count, 0);
}

#[test]
fn an_invalid_file_is_reported_with_its_line() {
    let read_error = |text| Scenario::read(text).expect_err("the file is invalid").to_string();
    assert!(
        read_error("load = 1.0\nlaod = 2.0").starts_with("line 2: unknown field `laod`"),
        "{}",
        read_error("load = 1.0\nlaod = 2.0")
    );
    assert!(read_error("load = \"x\"").starts_with("line 1: invalid type"));
    assert_eq!(read_error("load = 1000.0"), "load is 1000, not between 0.001 and 10");
}
