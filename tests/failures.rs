//! Behaviour of the policy under single and combined faults, driven by events alone.

mod common;
use common::*;
use dahliaspoke::policy::*;

fn lookup_settings() -> Settings {
    settings(vec![class("q", Idempotency::Always)])
}

fn query_on(id: &str, tables: i64) -> Query {
    Query { id: id.into(), time_left: 10.0, work: Some(100.0), tables, ..Query::default() }
}

/// Sends `count` queries on different tables; after 0.1 s, those sent to engines that `answers` accepts are
/// served. Returns the engines of all attempts.
fn send_round(h: &mut Harness, tag: &str, count: usize, answers: impl Fn(&str) -> bool) -> Vec<String> {
    let mut all = vec![];
    let mut served = vec![];
    for n in 0..count {
        let id = format!("{tag}-{n}");
        for to in sent_to(&h.query_with(query_on(&id, n as i64))) {
            if answers(&to) {
                served.push(id.clone());
            }
            all.push(to);
        }
    }
    h.wait(0.1);
    served.iter().for_each(|id| drop(h.end(id, 0, Outcome::Ok)));
    all
}

#[test]
fn silent_engine_is_ejected_under_a_burst_and_readmitted_after_trial_requests() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2", "e3"]);
    for n in 0..30 {
        send_round(&mut h, &format!("warm{n}"), 6, |_| true);
    }
    for n in 0..30 {
        send_round(&mut h, &format!("burst{n}"), 20, |to| to != "e1");
    }
    assert!(h.is_ejected("e1") && !h.is_ejected("e2") && !h.is_ejected("e3"));
    let to = send_round(&mut h, "after", 40, |to| to != "e1");
    assert!(to.iter().filter(|to| *to == "e1").count() <= 1, "at most one trial request");
    for n in 0..30 {
        (0..20).for_each(|k| drop(h.end(&format!("burst{n}-{k}"), 0, Outcome::Timeout)));
    }
    (0..40).for_each(|k| drop(h.end(&format!("after-{k}"), 0, Outcome::Timeout)));
    for n in 0..200 {
        send_round(&mut h, &format!("well{n}"), 6, |_| true);
    }
    assert!(!h.is_ejected("e1"), "it gets trial requests and is readmitted");
}

#[test]
fn readers_stalled_on_one_table_group_do_not_eject_their_engine() {
    let mut load = class("load", Idempotency::Never);
    load.is_load = true;
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always), load]), &["e1"]);
    for n in 0..10 {
        h.query_with(query_on(&format!("r{n}"), 5));
    }
    for n in 0..40 {
        let id = format!("other{n}");
        h.query_with(query_on(&id, 6));
        h.wait(0.1);
        h.end(&id, 0, Outcome::Ok);
    }
    assert!(!h.is_ejected("e1"), "a load may stall all readers of one group, not the others");
    h.wait(4.0);
    assert!(h.is_ejected("e1"), "a load does not explain an engine from which nothing is received");
}

#[test]
fn fast_failing_engine_is_ejected_and_its_queries_are_retried_elsewhere() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2", "e3"]);
    let mut lost = 0;
    for n in 0..60 {
        let id = format!("r{n}");
        let mut to = sent_to(&h.query_with(query_on(&id, n)));
        for attempt in 0..4 {
            let Some(engine) = to.pop() else { break };
            if engine == "e2" {
                let out = h.end(&id, attempt, Outcome::Error);
                lost += u32::from(rejected(&out));
                to = sent_to(&out);
            } else {
                h.now += 0.05;
                h.end(&id, attempt, Outcome::Ok);
            }
        }
    }
    h.wait(0.1);
    assert!(h.is_ejected("e2"));
    assert_eq!(lost, 0);
}

#[test]
fn requests_are_still_sent_when_more_than_half_of_the_engines_are_ejected() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2", "e3", "e4"]);
    for n in 0..40 {
        let id = format!("r{n}");
        h.query_with(query_on(&id, n));
        (0..4).for_each(|attempt| drop(h.end(&id, attempt, Outcome::Error)));
    }
    h.wait(0.1);
    assert!(["e1", "e2", "e3", "e4"].iter().filter(|e| h.is_ejected(e)).count() > 2);
    let to = sent_to(&h.query_with(Query { work: Some(5000.0), ..query_on("heavy", 1) }));
    assert_eq!(to.len(), 1, "a heavy query is sent as well, not only trial requests");
}

#[test]
fn only_the_failing_engine_is_ejected_when_all_engines_are_slow() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2", "e3", "e4"]);
    for n in 0..20 {
        send_round(&mut h, &format!("warm{n}"), 8, |_| true);
    }
    let mut lost = 0;
    for n in 0..20 {
        for k in 0..8 {
            let id = format!("s{n}-{k}");
            if sent_to(&h.query_with(query_on(&id, k))) == ["e1"] {
                lost += u32::from(n >= 4);
                h.end(&id, 0, Outcome::Error);
            }
        }
        h.wait(0.25);
        for k in 0..8 {
            for attempt in 0..2 {
                h.end(&format!("s{n}-{k}"), attempt, Outcome::Ok);
            }
        }
    }
    assert!(lost <= 6, "{lost} of 128 queries were sent to the failing engine");
    assert!(
        !["e2", "e3", "e4"].iter().any(|e| h.is_ejected(e)),
        "slowness of all engines makes none an outlier"
    );
}

#[test]
fn restarted_coordinator_sends_to_the_warm_engine_only() {
    let mut h = Harness::new(lookup_settings(), &[]);
    let cold = EngineEntry { started: Some(h.now - 1.0), ..engine("cold") };
    h.list(ListScope::Restored, vec![cold, engine("warm")]);
    for n in 0..20 {
        assert_eq!(sent_to(&h.query_with(query_on(&format!("r{n}"), n))), ["warm"]);
    }
}

#[test]
fn restarted_engine_warms_up_and_its_old_attempts_are_accounted_separately() {
    let mut h = Harness::new(lookup_settings(), &["e1"]);
    h.query_with(query_on("old", 1));
    h.list(ListScope::Changes, vec![EngineEntry { started: Some(h.now - 0.5), ..engine("e1") }]);
    let sent: usize = (0..200).map(|n| sent_to(&h.query_with(query_on(&format!("r{n}"), n))).len()).sum();
    assert!(sent > 0 && sent as f64 * 100.0 <= 2.0 * 0.3 * 8000.0, "{sent}");
    h.end("old", 0, Outcome::Reset);
    assert!(h.backlog("e1") >= 0.0);
}

#[test]
fn request_in_flight_survives_the_replacement_of_its_engine() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2"]);
    h.query_with(query_on("r", 1));
    let out = h.list(ListScope::Complete, vec![engine("e3")]);
    assert!(!rejected(&out) && !failed(&out), "the attempt in flight may still be answered");
    assert_eq!(sent_to(&h.end("r", 0, Outcome::Unreachable)), ["e3"]);
    h.end("r", 1, Outcome::Ok);
    assert_eq!(h.policy.state_counts(), StateCounts { requests: 0, engines: 1, order_keys: 0 });
}

#[test]
fn engine_that_returns_after_an_outage_is_not_overloaded() {
    let mut h = Harness::new(lookup_settings(), &["a1", "a2", "b1"]);
    let mut lost = 0;
    for n in 0..40 {
        let id = format!("r{n}");
        let mut to = sent_to(&h.query_with(query_on(&id, n)));
        for attempt in 0..4 {
            let Some(engine) = to.pop() else { break };
            h.now += 0.02;
            let outcome = if engine == "b1" { Outcome::Unreachable } else { Outcome::Ok };
            lost += u32::from(n >= 10 && engine == "b1");
            to = sent_to(&h.end(&id, attempt, outcome));
        }
    }
    assert!(lost <= 3, "{lost} of 30 queries were sent to the unreachable engine");
    h.list(ListScope::Changes, vec![EngineEntry { started: Some(h.now), ..engine("b1") }]);
    let mut cold = 0.0;
    for n in 0..300 {
        cold += 100.0
            * sent_to(&h.query_with(query_on(&format!("z{n}"), n))).iter().filter(|e| *e == "b1").count()
                as f64;
    }
    assert!(cold <= 2.0 * 0.3 * 8000.0, "{cold}");
}

#[test]
fn unsent_attempts_do_not_make_engines_count_as_restarted() {
    let served = |outcome: Outcome| {
        let mut h = Harness::new(lookup_settings(), &["e1", "e2"]);
        // Each of two requests tries both engines, and all these attempts end with `outcome`.
        for n in 0..2 {
            let (id, at) = (format!("r{n}"), h.query_with(query_on(&format!("r{n}"), n)));
            assert_eq!(sent_to(&at).len(), 1);
            h.end(&id, 0, outcome);
            h.end(&id, 1, outcome);
        }
        (0..100).map(|n| sent_to(&h.query_with(query_on(&format!("s{n}"), n))).len()).sum::<usize>()
    };
    let (unsent, unreachable) = (served(Outcome::Unsent), served(Outcome::Unreachable));
    assert!(unsent >= 100 && unreachable < 60, "{unsent} and {unreachable} of 100");
}

#[test]
fn retry_with_a_key_has_a_send_deadline_within_the_dedup_window() {
    let mut h = Harness::new(settings(vec![class("load", Idempotency::WithKey)]), &["e1", "e2"]);
    let within = |out: &[Action]| match out.iter().find(|a| matches!(a, Action::Send { .. })) {
        Some(Action::Send { within, .. }) => *within,
        _ => panic!("nothing is sent: {out:?}"),
    };
    assert_eq!(within(&h.query_with(query_on("r", 1))), None, "no earlier attempt");
    h.now += 1.0;
    let out = h.end("r", 0, Outcome::Unsent);
    assert_eq!(within(&out), None, "an unsent attempt never ran");
    h.now += 1.0;
    let out = h.end("r", 1, Outcome::Reset);
    let left = within(&out).expect("the dedup window of the second attempt has started");
    assert!(left > 3.9 && left < 4.0, "{left}");
}

#[test]
fn retry_storm_stays_within_the_bound() {
    let mut h = Harness::new(lookup_settings(), &["e1"]);
    let mut sent = 0;
    for n in 0..2000 {
        sent += sent_to(&h.query_with(query_on(&format!("r{n}"), n))).len();
    }
    assert!(sent as f64 * 100.0 <= h.bound("e1") * 1.01 && sent > 100, "{sent}");
}

#[test]
fn runaway_query_times_out_early_while_another_class_is_served() {
    let mut s = settings(vec![class("report", Idempotency::Always), class("q", Idempotency::Always)]);
    s.may_cancel = true;
    let mut h = Harness::new(s, &["e1", "e2"]);
    let out = h.query_with(query_on("runaway", 1));
    let timeout = out.iter().find_map(|a| match a {
        Action::Send { timeout, .. } => *timeout,
        _ => None,
    });
    assert!(timeout.is_some_and(|t| t < 5.0), "a query with a bad plan is retried instead of waited for");
    h.now += timeout.unwrap_or(0.0);
    assert_eq!(sent_to(&h.end("runaway", 0, Outcome::Timeout)).len(), 1, "retried");
    assert_eq!(sent_to(&h.query_with(Query { class: 1, ..query_on("other", 2) })).len(), 1);
}

#[test]
fn query_past_its_latency_objective_gets_less_capacity() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2"]);
    h.query_with(query_on("late", 0));
    h.now += 2.0;
    let mut n = 0;
    while !sent_to(&h.query_with(query_on(&format!("r{n}"), n))).is_empty() {
        n += 1;
    }
    assert!(n > 50 && rejected(&h.end("late", 0, Outcome::Unreachable)));
}

#[test]
fn no_state_is_left_once_requests_have_ended_and_engines_are_removed() {
    let mut load = class("load", Idempotency::Never);
    load.ordered = true;
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always), load]), &["e1", "e2"]);
    for n in 0..3000i64 {
        let id = format!("r{n}");
        let key = (n % 3 == 0).then(|| format!("k{n}").into());
        h.query_with(Query { class: usize::from(n % 3 == 0), key, ..query_on(&id, n) });
        for attempt in 0..4 {
            let outcome = if n % 5 == 0 { Outcome::Timeout } else { Outcome::Ok };
            h.end(&id, attempt, outcome);
        }
        h.wait(0.02);
    }
    h.list(ListScope::Complete, vec![]);
    h.wait(12.0);
    assert_eq!(h.policy.state_counts(), StateCounts { requests: 0, engines: 0, order_keys: 0 });
}

#[test]
fn an_engine_short_of_memory_gets_few_queries() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2"]);
    let mut to_full = 0;
    for n in 0..200 {
        let id = format!("r{n}");
        let to = sent_to(&h.query_with(query_on(&id, n)));
        to_full += u32::from(to == ["e1"]);
        let memory = Some(if to == ["e1"] { 0.97 } else { 0.4 });
        let report = Some(LoadReport { memory, ..LoadReport::default() });
        h.now += 0.05;
        let (id, attempt, outcome) = (id.as_str().into(), 0, Outcome::Ok);
        h.event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            finished: true,
            work: None,
            memory: None,
            report,
        }));
    }
    assert!((1..75).contains(&to_full), "{to_full} of 200");
}

#[test]
fn stalled_reader_diverts_its_table_group_to_another_engine() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2"]);
    let stuck = sent_to(&h.query_with(query_on("stuck", 7)))[0].clone();
    h.wait(0.5);
    let mut to_stuck = 0;
    for n in 0..100 {
        let id = format!("r{n}");
        to_stuck += u32::from(sent_to(&h.query_with(query_on(&id, 7)))[0] == stuck);
        h.end(&id, 0, Outcome::Ok);
    }
    assert!(to_stuck < 25, "{to_stuck} of 100 to the engine where the group is stalled");
}

#[test]
fn tenant_over_its_quota_leaves_capacity_for_others() {
    let mut s = lookup_settings();
    s.tenants = vec![TenantSettings { name: "flood".into(), quota_per_s: 5.0 }];
    let mut h = Harness::new(s, &["e1"]);
    for n in 0..500 {
        h.query_with(Query { tenant: Some(0), ..query_on(&format!("f{n}"), n) });
    }
    assert!(h.backlog("e1") <= 0.5 * h.bound("e1") + 500.0);
    assert_eq!(sent_to(&h.query_with(query_on("other", 1))).len(), 1);
}

#[test]
fn subscription_is_retried_after_discovery_fails() {
    let mut s = lookup_settings();
    s.must_subscribe = true;
    let mut h = Harness::new(s, &[]);
    assert!(h.actions.contains(&Action::Subscribe));
    let mut out = vec![];
    h.policy.handle(h.now, Event::DiscoveryFailed, &mut out);
    let Some(Action::SetTimer { after, token }) = out.pop() else {
        panic!("no timer before the next subscription")
    };
    assert!(after > 0.0 && after < 5.0);
    assert_eq!(h.event(Event::Timer(token)), [Action::Subscribe]);
}

/// Guards against ignoring progress reports of readers that a load stalls.
#[test]
fn reader_that_waits_for_a_load_moves_to_an_engine_without_one() {
    let reader = ClassSettings { yields_to_loads: true, ..class("q", Idempotency::Always) };
    let s = Settings { may_cancel: true, ..settings(vec![reader]) };
    let mut h = Harness::new(s, &["e1", "e2"]);
    let first = sent_to(&h.query("r", 0, 100.0));
    let waits = Event::Progress { id: "r".into(), attempt: 0, progress: Progress::WaitsForLoad };
    assert_eq!(h.event(waits.clone()), [Action::Cancel { id: "r".into(), attempt: 0 }]);
    let second = sent_to(&h.end("r", 0, Outcome::Cancelled));
    assert_ne!(first, second);
    let again = Event::Progress { id: "r".into(), attempt: 1, progress: Progress::WaitsForLoad };
    assert!(h.event(again).is_empty(), "loads lock the tables on both engines, so it waits");
    // Its reports show no progress while it is stalled; cancelling it would only use up its attempts.
    for _ in 0..4 {
        h.now += 0.5;
        let still = Event::Progress { id: "r".into(), attempt: 1, progress: Progress::Done(0.0) };
        assert!(h.event(still).is_empty());
    }
}

#[test]
fn occasional_resets_do_not_eject_an_engine_but_constant_resets_do() {
    let mut h = Harness::new(lookup_settings(), &["e1"]);
    (0..30).for_each(|n| drop(send_round(&mut h, &format!("warm{n}"), 4, |_| true)));
    let broken = |h: &mut Harness, tag: &str, count: usize| {
        for n in 0..count {
            let id = format!("{tag}-{n}");
            h.query_with(query_on(&id, n as i64));
            h.end(&id, 0, Outcome::Reset);
        }
        h.wait(0.1);
        h.is_ejected("e1")
    };
    assert!(!broken(&mut h, "few", 5));
    assert!(broken(&mut h, "all", 30));
}

#[test]
fn engine_that_sends_progress_reports_is_not_ejected_as_silent() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2"]);
    (0..30).for_each(|n| drop(send_round(&mut h, &format!("warm{n}"), 6, |_| true)));
    let to = sent_to(&h.query_with(Query { work: Some(1000.0), ..query_on("long", 1) })).remove(0);
    for n in 1..20 {
        h.wait(0.5);
        let progress = Progress::Done(f64::from(n) / 20.0);
        h.event(Event::Progress { id: "long".into(), attempt: 0, progress });
        assert!(!h.is_ejected(&to), "after {n} progress reports");
    }
    h.wait(10.0);
    assert!(h.is_ejected(&to), "once the reports stop");
}

#[test]
fn attempts_cancelled_for_slow_progress_count_against_their_engine() {
    let mut s = lookup_settings();
    s.may_cancel = true;
    let mut h = Harness::new(s, &["e1", "e2"]);
    (0..30).for_each(|n| drop(send_round(&mut h, &format!("warm{n}"), 6, |_| true)));
    for n in 0..40 {
        let id = format!("slow-{n}");
        let to = sent_to(&h.query_with(query_on(&id, n)));
        h.wait(0.05);
        if to == ["e1"] {
            let progress = Progress::Done(0.002);
            let out = h.event(Event::Progress { id: id.as_str().into(), attempt: 0, progress });
            assert!(matches!(out[..], [Action::Cancel { .. }]), "far too slow");
            let again = sent_to(&h.end(&id, 0, Outcome::Cancelled));
            if again == ["e2"] {
                h.wait(0.05);
                h.end(&id, 1, Outcome::Ok);
            }
        } else {
            h.end(&id, 0, Outcome::Ok);
        }
    }
    assert!(h.is_ejected("e1") && !h.is_ejected("e2"));
}

#[test]
fn memory_in_flight_stays_within_the_memory_of_the_engine() {
    let mut s = lookup_settings();
    s.coordinators = 2.0;
    let mut h = Harness::new(s, &["e1"]);
    let big = |n: i64| Query { memory: Some(3000.0), ..query_on(&format!("big-{n}"), n) };
    let sent: usize = (0..10).map(|n| sent_to(&h.query_with(big(n))).len()).sum();
    assert!((2..=4).contains(&sent), "{sent} of 3 GB each, on this coordinator's half of 16 GB");
    // A query that needs no memory fits beside them; one that needs more than the engine has runs alone.
    assert_eq!(sent_to(&h.query_with(query_on("small", 20))).len(), 1);
    h.end("small", 0, Outcome::Ok);
    (0..10).for_each(|n| drop(h.end(&format!("big-{n}"), 0, Outcome::Ok)));
    let huge = Query { memory: Some(40_000.0), ..query_on("huge", 30) };
    assert_eq!(sent_to(&h.query_with(huge)).len(), 1);
}

#[test]
fn reader_that_still_waits_moves_once_another_engine_is_free() {
    let reader = ClassSettings { yields_to_loads: true, ..class("q", Idempotency::Always) };
    let load = ClassSettings { is_load: true, ..class("load", Idempotency::Never) };
    let s = Settings { may_cancel: true, ..settings(vec![reader, load]) };
    let mut h = Harness::new(s, &["e1", "e2"]);
    let reported = |id: &str, attempt, progress| Event::Progress { id: id.into(), attempt, progress };
    // Reports of another request show that loads lock its tables on both engines.
    h.query("other", 0, 100.0);
    h.event(reported("other", 0, Progress::WaitsForLoad));
    h.end("other", 0, Outcome::Cancelled);
    h.event(reported("other", 1, Progress::WaitsForLoad));
    assert_eq!(sent_to(&h.query("r", 0, 100.0)).len(), 1);
    assert!(h.event(reported("r", 0, Progress::WaitsForLoad)).is_empty(), "no engine is better");
    h.wait(0.5);
    let moved = h.event(reported("r", 0, Progress::Done(0.0)));
    assert_eq!(
        moved,
        [Action::Cancel { id: "r".into(), attempt: 0 }],
        "the other engine no longer counts as locked"
    );
}

#[test]
fn draining_engines_do_not_make_one_outlier_look_like_a_shared_fault() {
    let mut h = Harness::new(lookup_settings(), &["e1", "e2"]);
    let draining = |id| EngineEntry { lifecycle: Lifecycle::Draining, ..engine(id) };
    h.list(ListScope::Changes, vec![draining("d1"), draining("d2"), draining("d3")]);
    for n in 0..2000 {
        if h.is_ejected("e1") {
            break;
        }
        let id = format!("r{n}");
        let mut to = sent_to(&h.query_with(query_on(&id, n)));
        for attempt in 0..4 {
            let Some(engine) = to.pop() else { break };
            to = sent_to(&h.end(&id, attempt, if engine == "e1" { Outcome::Error } else { Outcome::Ok }));
        }
        h.wait(0.02);
    }
    assert!(h.is_ejected("e1") && !h.is_ejected("e2"));
    for n in 0..400 {
        let id = format!("s{n}");
        assert_eq!(sent_to(&h.query_with(query_on(&id, n))), ["e2"], "the healthy engine serves alone");
        h.end(&id, 0, Outcome::Ok);
    }
}

/// On shutdown each open request gets its final answer, exactly once.
#[test]
fn shutdown_answers_every_open_request() {
    let mut h = Harness::new(
        settings(vec![class("q", Idempotency::Always), class("o", Idempotency::Never)]),
        &["e1"],
    );
    h.query("r", 0, 100.0);
    h.query("s", 1, 100.0);
    let out = h.event(Event::Shutdown);
    assert!(rejected(&out) && failed(&out), "one is harmless to retry, the other may have run");
    h.end("r", 0, Outcome::Reset);
    h.end("s", 0, Outcome::Reset);
    assert_eq!(h.policy.state_counts().requests, 0);
}

#[test]
fn bound_of_a_restarted_engine_recovers_as_it_warms_up() {
    let mut h = Harness::new(lookup_settings(), &["e1"]);
    let usual = h.bound("e1");
    h.list(ListScope::Changes, vec![EngineEntry { started: Some(h.now), ..engine("e1") }]);
    assert!(h.bound("e1") <= 0.31 * usual, "cut to the capacity of a cold engine: {}", h.bound("e1"));
    h.wait(7.0);
    assert!(h.bound("e1") < 0.7 * usual, "half warm: {}", h.bound("e1"));
    h.wait(9.0);
    assert!(h.bound("e1") > 0.99 * usual, "warm again: {}", h.bound("e1"));
}

#[test]
fn request_without_its_body_is_not_retried_after_the_current_attempt() {
    // `Full` proves that the request never ran: it is retried elsewhere, or rejected at once without its body.
    for dropped in [false, true] {
        let mut h = Harness::new(settings(vec![class("once", Idempotency::Never)]), &["e1", "e2"]);
        assert_eq!(sent_to(&h.query_with(Query { uploading: true, ..query_on("body", 1) })).len(), 1);
        if dropped {
            assert_eq!(h.event(Event::BodyDropped { id: "body".into() }), []);
        }
        let after = h.end("body", 0, Outcome::Full);
        assert_eq!((sent_to(&after).len(), rejected(&after)), if dropped { (0, true) } else { (1, false) });
    }
    // A request that may have run and cannot be retried fails: a rejection would allow a client to retry it.
    let mut h = Harness::new(settings(vec![class("once", Idempotency::Never)]), &["e1", "e2"]);
    h.query_with(Query { uploading: true, ..query_on("body", 1) });
    h.event(Event::BodyDropped { id: "body".into() });
    assert!(failed(&h.end("body", 0, Outcome::Reset)));
}

#[test]
fn slow_upload_neither_ejects_an_engine_nor_lowers_its_bound() {
    for uploading in [false, true] {
        let mut h = Harness::new(settings(vec![class("once", Idempotency::Never)]), &["e1", "e2", "e3"]);
        let (mut ejected, bound) = (0, h.bound("e1"));
        for n in 0..12 {
            let query = Query { uploading, time_left: 60.0, ..query_on(&format!("slow-{n}"), n) };
            let to = sent_to(&h.query_with(query)).remove(0);
            h.wait(4.0);
            ejected += usize::from(h.is_ejected(&to));
            h.end(&format!("slow-{n}"), 0, Outcome::Ok);
            h.wait(0.2);
        }
        assert_eq!(ejected > 0, !uploading, "{ejected}");
        assert_eq!(h.bound("e1") < bound, !uploading, "its bound falls only if the delay counts");
    }
}
