//! The model: one seed gives one run, and the auditor catches whoever breaks a rule. A policy is broken on
//! purpose for each.

use dahliaspoke::policy::*;
use dahliaspoke_simulator::audit::WarmupLoad;
use dahliaspoke_simulator::policy::{self, Policy, PolicyKind};
use dahliaspoke_simulator::report::Report;
use dahliaspoke_simulator::scenario::Scenario;
use dahliaspoke_simulator::world::{play, play_with};

fn scenario(text: &str) -> Scenario {
    Scenario::read(text).expect("a scenario")
}

const RELEASE: &str = include_str!("../scenarios/release.toml");
const ROUGH: &str = include_str!("../scenarios/rough.toml");

#[test]
fn one_seed_gives_one_run_and_another_seed_another() {
    let scenario = scenario(RELEASE);
    for kind in [PolicyKind::Module, PolicyKind::TwoChoices] {
        let runs = [7, 7, 8].map(|seed| play(&scenario, kind, seed));
        let print = |r: &Report| serde_json::to_string(r).expect("written");
        assert_eq!(print(&runs[0]), print(&runs[1]));
        assert_ne!(runs[0].fingerprint, runs[2].fingerprint);
    }
}

#[test]
fn traffic_is_the_same_whoever_decides() {
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

/// Six in ten engines are replaced while coordinators die, at each size of the fleet: what all that know of a start send
/// to a cold engine stays within what settings allow, and chance.
fn widest(coordinators: usize, kind: PolicyKind) -> WarmupLoad {
    let text = RELEASE.replace("coordinators = 30", &format!("coordinators = {coordinators}"));
    let ramps = (1..4).map(|seed| play(&scenario(&text), kind, seed).warmup_load.expect("some start cold"));
    ramps.max_by(|a, b| a.excess().total_cmp(&b.excess())).expect("three were played")
}

#[test]
fn warming_engines_bear_the_load_of_a_fleet_of_any_size() {
    for coordinators in [3, 20, 30, 300] {
        let ramp = widest(coordinators, PolicyKind::Module);
        println!("{coordinators} coordinators: {ramp:?}");
        assert!(ramp.excess() <= 0.0, "{coordinators} coordinators: {ramp:?}");
    }
    // One that does not heed a start is seen.
    let heedless = widest(30, PolicyKind::TwoChoices);
    println!("without care: {heedless:?}");
    assert!(heedless.excess() > 0.0, "{heedless:?}");
}

/// A plain policy with something wrong in it.
struct Wrong {
    inner: Box<dyn Policy>,
    fault: Fault,
    held: Vec<RequestId>,
    draining: Option<EngineId>,
}

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    /// Never answers.
    Silent,
    /// Answers twice.
    Twice,
    /// Sends a request again after it is over.
    AfterTheEnd,
    /// Repeats what must not be repeated.
    Repeats,
    /// Refuses what may have run.
    Lies,
    /// Sends to engines that drain.
    Drains,
    /// Sends without end.
    Floods,
}

impl Policy for Wrong {
    fn handle(&mut self, now: f64, event: Event, truth: &[f64], out: &mut Vec<Action>) {
        if let Event::EngineList(_, entries) = &event {
            let drains = entries.iter().find(|e| e.lifecycle == Lifecycle::Draining);
            self.draining = drains.map(|e| e.id.clone()).or(self.draining.take());
        }
        let ended = match &event {
            Event::AttemptEnded(ended) => Some((ended.id.clone(), ended.finished, ended.outcome)),
            _ => None,
        };
        let from = out.len();
        self.inner.handle(now, event, truth, out);
        let final_answer = |a: &Action| matches!(a, Action::Reject { .. } | Action::Fail { .. });
        match (self.fault, ended) {
            (Fault::Silent, _) => out.retain(|a| !final_answer(a)),
            (Fault::Twice, _) => {
                let again: Vec<Action> = out[from..].iter().filter(|a| final_answer(a)).cloned().collect();
                out.extend(again);
            }
            (Fault::AfterTheEnd, Some((id, true, _))) if self.held.is_empty() => {
                self.held.push(id.clone());
                out.push(Action::Send { id, engine: "e0".into(), timeout: None, within: None });
            }
            (Fault::Repeats, Some((id, false, Outcome::Error))) => {
                out.truncate(from);
                out.push(Action::Send { id, engine: "e1".into(), timeout: None, within: None });
            }
            (Fault::Lies, Some((id, false, Outcome::Error))) => {
                out.truncate(from);
                out.push(Action::Reject { id, retry_after: None });
            }
            (Fault::Drains, _) => {
                let Some(draining) = self.draining.clone() else { return };
                for action in &mut out[from..] {
                    if let Action::Send { engine, .. } = action {
                        *engine = draining.clone();
                    }
                }
            }
            (Fault::Floods, Some((id, false, _))) => {
                out.truncate(from);
                out.push(Action::Send { id, engine: "e1".into(), timeout: None, within: None });
            }
            _ => {}
        }
    }
}

#[test]
fn a_policy_that_breaks_a_rule_is_caught_and_the_same_without_the_fault_is_not() {
    // Loads that must not be repeated, engines that fail, engines that are replaced.
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
    let sound = play(&world, PolicyKind::Random, 1);
    assert_eq!(sound.violation_count, 0, "{:?}", sound.violations);
    for (fault, rule) in [
        (Fault::Silent, "answers"),
        (Fault::Twice, "answers"),
        (Fault::AfterTheEnd, "answers"),
        (Fault::Repeats, "repeats"),
        (Fault::Lies, "repeats"),
        (Fault::Drains, "drains"),
        (Fault::Floods, "attempts"),
    ] {
        let report = play_with(&world, PolicyKind::Random, 1, |settings, seed| {
            let inner = policy::make(PolicyKind::Random, settings, seed);
            Box::new(Wrong { inner, fault, held: Vec::new(), draining: None })
        });
        assert!(
            report.violations.iter().any(|b| b.rule == rule),
            "{rule} not caught: {:?}",
            report.violations.first()
        );
    }
}

#[test]
fn coordinators_that_all_overload_a_warming_engine_are_caught() {
    // The one engine that is left is new: who sends it all that comes, knowingly, breaks the rule.
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
    let bad = |text| Scenario::read(text).expect_err("bad").to_string();
    assert!(
        bad("load = 1.0\nlaod = 2.0").starts_with("line 2: unknown field `laod`"),
        "{}",
        bad("load = 1.0\nlaod = 2.0")
    );
    assert!(bad("load = \"x\"").starts_with("line 1: invalid type"));
    assert_eq!(bad("load = 1000.0"), "load is 1000, not between 0.001 and 10");
}
