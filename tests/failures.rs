//! Troubles, alone and together: on events alone, what must stay true.

mod common;
use common::*;
use dahliaspoke::policy::*;

fn lookups() -> Settings {
    settings(vec![class("q", Idempotency::Always)])
}

fn on(id: &str, tables: i64) -> Query {
    Query { id: id.into(), time_left: 10.0, work: Some(100.0), tables, ..Query::default() }
}

/// Sends `count` queries on different tables; those on engines for which `answers` holds are served at once.
fn round(w: &mut World, tag: &str, count: usize, answers: impl Fn(&str) -> bool) -> Vec<String> {
    let mut all = vec![];
    let mut served = vec![];
    for n in 0..count {
        let id = format!("{tag}-{n}");
        for to in sent_to(&w.query_with(on(&id, n as i64))) {
            if answers(&to) {
                served.push(id.clone());
            }
            all.push(to);
        }
    }
    w.wait(0.1);
    served.iter().for_each(|id| drop(w.end(id, 0, Outcome::Ok)));
    all
}

#[test]
fn a_silent_engine_is_ejected_under_a_burst_and_comes_back_by_trickle() {
    let mut w = World::new(lookups(), &["e1", "e2", "e3"]);
    for n in 0..30 {
        round(&mut w, &format!("warm{n}"), 6, |_| true);
    }
    for n in 0..30 {
        round(&mut w, &format!("burst{n}"), 20, |to| to != "e1");
    }
    assert!(w.is_ejected("e1") && !w.is_ejected("e2") && !w.is_ejected("e3"));
    let to = round(&mut w, "after", 40, |to| to != "e1");
    assert!(to.iter().filter(|to| *to == "e1").count() <= 1, "a trickle at most");
    for n in 0..30 {
        (0..20).for_each(|k| drop(w.end(&format!("burst{n}-{k}"), 0, Outcome::Timeout)));
    }
    (0..40).for_each(|k| drop(w.end(&format!("after-{k}"), 0, Outcome::Timeout)));
    for n in 0..200 {
        round(&mut w, &format!("well{n}"), 6, |_| true);
    }
    assert!(!w.is_ejected("e1"), "it is tried and readmitted");
}

#[test]
fn readers_of_one_held_group_are_no_sign_of_silence() {
    let mut load = class("load", Idempotency::Never);
    load.is_load = true;
    let mut w = World::new(settings(vec![class("q", Idempotency::Always), load]), &["e1"]);
    for n in 0..10 {
        w.query_with(on(&format!("r{n}"), 5));
    }
    for n in 0..40 {
        let id = format!("other{n}");
        w.query_with(on(&id, 6));
        w.wait(0.1);
        w.end(&id, 0, Outcome::Ok);
    }
    assert!(!w.is_ejected("e1"), "a load may stall all readers of one group, not the others");
    w.wait(4.0);
    assert!(w.is_ejected("e1"), "nothing heard at all is more than a load");
}

#[test]
fn an_engine_that_fails_fast_is_ejected_and_its_queries_go_elsewhere() {
    let mut w = World::new(lookups(), &["e1", "e2", "e3"]);
    let mut lost = 0;
    for n in 0..60 {
        let id = format!("r{n}");
        let mut to = sent_to(&w.query_with(on(&id, n)));
        for attempt in 0..4 {
            let Some(engine) = to.pop() else { break };
            if engine == "e2" {
                let out = w.end(&id, attempt, Outcome::Error);
                lost += u32::from(refused(&out));
                to = sent_to(&out);
            } else {
                w.now += 0.05;
                w.end(&id, attempt, Outcome::Ok);
            }
        }
    }
    w.wait(0.1);
    assert!(w.is_ejected("e2"));
    assert_eq!(lost, 0);
}

#[test]
fn when_more_than_half_are_bad_at_once_service_goes_on() {
    let mut w = World::new(lookups(), &["e1", "e2", "e3", "e4"]);
    for n in 0..40 {
        let id = format!("r{n}");
        w.query_with(on(&id, n));
        (0..4).for_each(|attempt| drop(w.end(&id, attempt, Outcome::Error)));
    }
    w.wait(0.1);
    assert!(["e1", "e2", "e3", "e4"].iter().filter(|e| w.is_ejected(e)).count() > 2);
    let to = sent_to(&w.query_with(Query { work: Some(5000.0), ..on("heavy", 1) }));
    assert_eq!(to.len(), 1, "also a query that is no trial is sent");
}

#[test]
fn all_slow_together_with_fast_errors_leaves_only_the_failing_one() {
    let mut w = World::new(lookups(), &["e1", "e2", "e3", "e4"]);
    for n in 0..20 {
        round(&mut w, &format!("warm{n}"), 8, |_| true);
    }
    let mut lost = 0;
    for n in 0..20 {
        for k in 0..8 {
            let id = format!("s{n}-{k}");
            if sent_to(&w.query_with(on(&id, k))) == ["e1"] {
                lost += u32::from(n >= 4);
                w.end(&id, 0, Outcome::Error);
            }
        }
        w.wait(0.25);
        for k in 0..8 {
            for attempt in 0..2 {
                w.end(&format!("s{n}-{k}"), attempt, Outcome::Ok);
            }
        }
    }
    assert!(lost <= 6, "{lost} of 128 met the failing engine");
    assert!(!["e2", "e3", "e4"].iter().any(|e| w.is_ejected(e)), "their slowness is shared");
}

#[test]
fn a_restarted_gateway_spares_a_cold_engine_but_serves_on_the_warm_one() {
    let mut w = World::new(lookups(), &[]);
    let cold = EngineEntry { started: Some(w.now - 1.0), ..engine("cold") };
    w.list(ListScope::Restored, vec![cold, engine("warm")]);
    for n in 0..20 {
        assert_eq!(sent_to(&w.query_with(on(&format!("r{n}"), n))), ["warm"]);
    }
}

#[test]
fn an_engine_restarting_unseen_is_cold_and_keeps_its_old_attempts_apart() {
    let mut w = World::new(lookups(), &["e1"]);
    w.query_with(on("old", 1));
    w.list(ListScope::Changes, vec![EngineEntry { started: Some(w.now - 0.5), ..engine("e1") }]);
    let sent: usize = (0..200).map(|n| sent_to(&w.query_with(on(&format!("r{n}"), n))).len()).sum();
    assert!(sent > 0 && sent as f64 * 100.0 <= 2.0 * 0.3 * 8000.0, "{sent}");
    w.end("old", 0, Outcome::Reset);
    assert!(w.backlog("e1") >= 0.0);
}

#[test]
fn a_stale_list_while_engines_are_replaced_loses_no_request() {
    let mut w = World::new(lookups(), &["e1", "e2"]);
    w.query_with(on("r", 1));
    let out = w.list(ListScope::Complete, vec![engine("e3")]);
    assert!(!refused(&out) && !failed(&out), "what runs on may still be answered");
    assert_eq!(sent_to(&w.end("r", 0, Outcome::Unreachable)), ["e3"]);
    w.end("r", 1, Outcome::Ok);
    assert_eq!(w.gateway.state_counts(), StateCounts { requests: 0, engines: 1, order_keys: 0 });
}

#[test]
fn a_whole_zone_lost_and_back_cold_is_not_pushed_over() {
    let mut w = World::new(lookups(), &["a1", "a2", "b1"]);
    let mut lost = 0;
    for n in 0..40 {
        let id = format!("r{n}");
        let mut to = sent_to(&w.query_with(on(&id, n)));
        for attempt in 0..4 {
            let Some(engine) = to.pop() else { break };
            w.now += 0.02;
            let outcome = if engine == "b1" { Outcome::Unreachable } else { Outcome::Ok };
            lost += u32::from(n >= 10 && engine == "b1");
            to = sent_to(&w.end(&id, attempt, outcome));
        }
    }
    assert!(lost <= 3, "a dead engine is left alone: {lost} of 30 were sent there");
    w.list(ListScope::Changes, vec![EngineEntry { started: Some(w.now), ..engine("b1") }]);
    let mut cold = 0.0;
    for n in 0..300 {
        cold += 100.0
            * sent_to(&w.query_with(on(&format!("z{n}"), n))).iter().filter(|e| *e == "b1").count() as f64;
    }
    assert!(cold <= 2.0 * 0.3 * 8000.0, "{cold}");
}

#[test]
fn engines_that_are_slow_to_connect_are_not_taken_for_cold_ones() {
    let served = |outcome: Outcome| {
        let mut w = World::new(lookups(), &["e1", "e2"]);
        // All that went to either went unsent once, and is served then.
        for n in 0..2 {
            let (id, at) = (format!("r{n}"), w.query_with(on(&format!("r{n}"), n)));
            assert_eq!(sent_to(&at).len(), 1);
            w.end(&id, 0, outcome);
            w.end(&id, 1, outcome);
        }
        (0..100).map(|n| sent_to(&w.query_with(on(&format!("s{n}"), n))).len()).sum::<usize>()
    };
    let (silent, refused) = (served(Outcome::Unsent), served(Outcome::Unreachable));
    assert!(silent >= 100 && refused < 60, "{silent} and {refused} of 100");
}

#[test]
fn a_keyed_repeat_says_until_when_it_may_go_out() {
    let mut w = World::new(settings(vec![class("load", Idempotency::WithKey)]), &["e1", "e2"]);
    let within = |out: &[Action]| match out.iter().find(|a| matches!(a, Action::Send { .. })) {
        Some(Action::Send { within, .. }) => *within,
        _ => panic!("nothing is sent: {out:?}"),
    };
    assert_eq!(within(&w.query_with(on("r", 1))), None, "nothing has run");
    w.now += 1.0;
    let out = w.end("r", 0, Outcome::Unsent);
    assert_eq!(within(&out), None, "nothing has run still");
    w.now += 1.0;
    let out = w.end("r", 1, Outcome::Reset);
    let left = within(&out).expect("the window of the second runs");
    assert!(left > 3.9 && left < 4.0, "{left}");
}

#[test]
fn a_retry_storm_after_refusals_meets_the_same_bound() {
    let mut w = World::new(lookups(), &["e1"]);
    let mut sent = 0;
    for n in 0..2000 {
        sent += sent_to(&w.query_with(on(&format!("r{n}"), n))).len();
    }
    assert!(sent as f64 * 100.0 <= w.bound("e1") * 1.01 && sent > 100, "{sent}");
}

#[test]
fn runaways_of_one_class_are_recalled_while_another_is_served() {
    let mut s = settings(vec![class("report", Idempotency::Always), class("q", Idempotency::Always)]);
    s.may_cancel = true;
    let mut w = World::new(s, &["e1", "e2"]);
    let out = w.query_with(on("runaway", 1));
    let timeout = out.iter().find_map(|a| match a {
        Action::Send { timeout, .. } => *timeout,
        _ => None,
    });
    assert!(timeout.is_some_and(|t| t < 5.0), "a bad plan is drawn anew: it is not waited for");
    w.now += timeout.unwrap_or(0.0);
    assert_eq!(sent_to(&w.end("runaway", 0, Outcome::Timeout)).len(), 1, "sent again");
    assert_eq!(sent_to(&w.query_with(Query { class: 1, ..on("other", 2) })).len(), 1);
}

#[test]
fn a_query_past_its_aim_gets_less_room_than_one_in_time() {
    let mut w = World::new(lookups(), &["e1", "e2"]);
    w.query_with(on("late", 0));
    w.now += 2.0;
    let mut n = 0;
    while !sent_to(&w.query_with(on(&format!("r{n}"), n))).is_empty() {
        n += 1;
    }
    assert!(n > 50 && refused(&w.end("late", 0, Outcome::Unreachable)));
}

#[test]
fn state_is_bounded_and_goes_with_its_cause() {
    let mut load = class("load", Idempotency::Never);
    load.ordered = true;
    let mut w = World::new(settings(vec![class("q", Idempotency::Always), load]), &["e1", "e2"]);
    for n in 0..3000i64 {
        let id = format!("r{n}");
        let key = (n % 3 == 0).then(|| format!("k{n}").into());
        w.query_with(Query { class: usize::from(n % 3 == 0), key, ..on(&id, n) });
        for attempt in 0..4 {
            let outcome = if n % 5 == 0 { Outcome::Timeout } else { Outcome::Ok };
            w.end(&id, attempt, outcome);
        }
        w.wait(0.02);
    }
    w.list(ListScope::Complete, vec![]);
    w.wait(12.0);
    assert_eq!(w.gateway.state_counts(), StateCounts { requests: 0, engines: 0, order_keys: 0 });
}

#[test]
fn an_engine_short_of_memory_gets_few_queries() {
    let mut w = World::new(lookups(), &["e1", "e2"]);
    let mut to_full = 0;
    for n in 0..200 {
        let id = format!("r{n}");
        let to = sent_to(&w.query_with(on(&id, n)));
        to_full += u32::from(to == ["e1"]);
        let memory = Some(if to == ["e1"] { 0.97 } else { 0.4 });
        let report = Some(LoadReport { memory, ..LoadReport::default() });
        w.now += 0.05;
        let (id, attempt, outcome) = (id.as_str().into(), 0, Outcome::Ok);
        w.event(Event::AttemptEnded(AttemptEnd {
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
fn a_reader_that_stands_still_turns_its_group_elsewhere() {
    let mut w = World::new(lookups(), &["e1", "e2"]);
    let stuck = sent_to(&w.query_with(on("stuck", 7)))[0].clone();
    w.wait(0.5);
    let mut same = 0;
    for n in 0..100 {
        let id = format!("r{n}");
        same += u32::from(sent_to(&w.query_with(on(&id, 7)))[0] == stuck);
        w.end(&id, 0, Outcome::Ok);
    }
    assert!(same < 25, "{same} of 100 to the engine where the group stands still");
}

#[test]
fn a_tenant_beyond_its_quota_leaves_room_for_others() {
    let mut s = lookups();
    s.tenants = vec![TenantSettings { name: "flood".into(), quota_per_s: 5.0 }];
    let mut w = World::new(s, &["e1"]);
    for n in 0..500 {
        w.query_with(Query { tenant: Some(0), ..on(&format!("f{n}"), n) });
    }
    assert!(w.backlog("e1") <= 0.5 * w.bound("e1") + 500.0);
    assert_eq!(sent_to(&w.query_with(on("other", 1))).len(), 1);
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_until_it_answers() {
    let mut s = lookups();
    s.must_subscribe = true;
    let mut w = World::new(s, &[]);
    assert!(w.actions.contains(&Action::Subscribe));
    let mut out = vec![];
    w.gateway.handle(w.now, Event::DiscoveryFailed, &mut out);
    let Some(Action::SetTimer { after, token }) = out.pop() else { panic!("it waits before it asks again") };
    assert!(after > 0.0 && after < 5.0);
    assert_eq!(w.event(Event::Timer(token)), [Action::Subscribe]);
}

/// Readers stood still behind a load, and the news of it was passed over.
#[test]
fn a_reader_that_waits_for_a_load_moves_to_an_engine_without_one() {
    let reader = ClassSettings { yields_to_loads: true, ..class("q", Idempotency::Always) };
    let s = Settings { may_cancel: true, ..settings(vec![reader]) };
    let mut w = World::new(s, &["e1", "e2"]);
    let first = sent_to(&w.query("r", 0, 100.0));
    let waits = Event::Progress { id: "r".into(), attempt: 0, progress: Progress::WaitsForLoad };
    assert_eq!(w.event(waits.clone()), [Action::Cancel { id: "r".into(), attempt: 0 }]);
    let second = sent_to(&w.end("r", 0, Outcome::Cancelled));
    assert_ne!(first, second);
    let again = Event::Progress { id: "r".into(), attempt: 1, progress: Progress::WaitsForLoad };
    assert!(w.event(again).is_empty(), "both engines hold: it waits for the load");
    // Its notes tell of no progress while it stands still: calling it off would only spend its attempts.
    for _ in 0..4 {
        w.now += 0.5;
        let still = Event::Progress { id: "r".into(), attempt: 1, progress: Progress::Done(0.0) };
        assert!(w.event(still).is_empty());
    }
}

#[test]
fn connections_that_break_now_and_then_eject_no_engine_and_always_do() {
    let mut w = World::new(lookups(), &["e1"]);
    (0..30).for_each(|n| drop(round(&mut w, &format!("warm{n}"), 4, |_| true)));
    let broken = |w: &mut World, tag: &str, count: usize| {
        for n in 0..count {
            let id = format!("{tag}-{n}");
            w.query_with(on(&id, n as i64));
            w.end(&id, 0, Outcome::Reset);
        }
        w.wait(0.1);
        w.is_ejected("e1")
    };
    assert!(!broken(&mut w, "few", 5));
    assert!(broken(&mut w, "all", 30));
}

#[test]
fn an_engine_that_sends_notes_is_not_silent() {
    let mut w = World::new(lookups(), &["e1", "e2"]);
    (0..30).for_each(|n| drop(round(&mut w, &format!("warm{n}"), 6, |_| true)));
    let to = sent_to(&w.query_with(Query { work: Some(1000.0), ..on("long", 1) })).remove(0);
    for n in 1..20 {
        w.wait(0.5);
        let progress = Progress::Done(f64::from(n) / 20.0);
        w.event(Event::Progress { id: "long".into(), attempt: 0, progress });
        assert!(!w.is_ejected(&to), "after {n} notes");
    }
    w.wait(10.0);
    assert!(w.is_ejected(&to), "once the notes stop");
}

#[test]
fn an_attempt_called_off_for_its_pace_was_not_a_fast_one() {
    let mut s = lookups();
    s.may_cancel = true;
    let mut w = World::new(s, &["e1", "e2"]);
    (0..30).for_each(|n| drop(round(&mut w, &format!("warm{n}"), 6, |_| true)));
    for n in 0..40 {
        let id = format!("slow-{n}");
        let to = sent_to(&w.query_with(on(&id, n)));
        w.wait(0.05);
        if to == ["e1"] {
            let progress = Progress::Done(0.002);
            let out = w.event(Event::Progress { id: id.as_str().into(), attempt: 0, progress });
            assert!(matches!(out[..], [Action::Cancel { .. }]), "too slow by far");
            let again = sent_to(&w.end(&id, 0, Outcome::Cancelled));
            if again == ["e2"] {
                w.wait(0.05);
                w.end(&id, 1, Outcome::Ok);
            }
        } else {
            w.end(&id, 0, Outcome::Ok);
        }
    }
    assert!(w.is_ejected("e1") && !w.is_ejected("e2"));
}

#[test]
fn an_engine_is_sent_no_more_than_its_memory_bears() {
    let mut s = lookups();
    s.coordinators = 2.0;
    let mut w = World::new(s, &["e1"]);
    let big = |n: i64| Query { memory: Some(3000.0), ..on(&format!("big-{n}"), n) };
    let sent: usize = (0..10).map(|n| sent_to(&w.query_with(big(n))).len()).sum();
    assert!((2..=4).contains(&sent), "{sent} of 3 GB each, on this gateway's half of 16 GB");
    // What needs none finds room beside them, and what needs more than there is runs alone.
    assert_eq!(sent_to(&w.query_with(on("small", 20))).len(), 1);
    w.end("small", 0, Outcome::Ok);
    (0..10).for_each(|n| drop(w.end(&format!("big-{n}"), 0, Outcome::Ok)));
    let huge = Query { memory: Some(40_000.0), ..on("huge", 30) };
    assert_eq!(sent_to(&w.query_with(huge)).len(), 1);
}

#[test]
fn a_reader_that_still_waits_moves_once_another_engine_is_free() {
    let reader = ClassSettings { yields_to_loads: true, ..class("q", Idempotency::Always) };
    let load = ClassSettings { is_load: true, ..class("load", Idempotency::Never) };
    let s = Settings { may_cancel: true, ..settings(vec![reader, load]) };
    let mut w = World::new(s, &["e1", "e2"]);
    let noted = |id: &str, attempt, progress| Event::Progress { id: id.into(), attempt, progress };
    // Another one shows that loads hold its tables on both engines.
    w.query("other", 0, 100.0);
    w.event(noted("other", 0, Progress::WaitsForLoad));
    w.end("other", 0, Outcome::Cancelled);
    w.event(noted("other", 1, Progress::WaitsForLoad));
    assert_eq!(sent_to(&w.query("r", 0, 100.0)).len(), 1);
    assert!(w.event(noted("r", 0, Progress::WaitsForLoad)).is_empty(), "there is no better place");
    w.wait(0.5);
    let moved = w.event(noted("r", 0, Progress::Done(0.0)));
    assert_eq!(moved, [Action::Cancel { id: "r".into(), attempt: 0 }], "what held the other one is over");
}

#[test]
fn engines_that_drain_do_not_make_the_trouble_of_one_a_shared_one() {
    let mut w = World::new(lookups(), &["e1", "e2"]);
    let leaving = |id| EngineEntry { lifecycle: Lifecycle::Draining, ..engine(id) };
    w.list(ListScope::Changes, vec![leaving("d1"), leaving("d2"), leaving("d3")]);
    for n in 0..2000 {
        if w.is_ejected("e1") {
            break;
        }
        let id = format!("r{n}");
        let mut to = sent_to(&w.query_with(on(&id, n)));
        for attempt in 0..4 {
            let Some(engine) = to.pop() else { break };
            to = sent_to(&w.end(&id, attempt, if engine == "e1" { Outcome::Error } else { Outcome::Ok }));
        }
        w.wait(0.02);
    }
    assert!(w.is_ejected("e1") && !w.is_ejected("e2"));
    for n in 0..400 {
        let id = format!("s{n}");
        assert_eq!(sent_to(&w.query_with(on(&id, n))), ["e2"], "the one that is sound serves alone");
        w.end(&id, 0, Outcome::Ok);
    }
}

/// Requests that are open when the gateway ends are given up with an answer, each once.
#[test]
fn a_gateway_that_ends_leaves_nothing_without_an_answer() {
    let mut w =
        World::new(settings(vec![class("q", Idempotency::Always), class("o", Idempotency::Never)]), &["e1"]);
    w.query("r", 0, 100.0);
    w.query("s", 1, 100.0);
    let out = w.event(Event::Shutdown);
    assert!(refused(&out) && failed(&out), "one may be asked again, the other may have run");
    w.end("r", 0, Outcome::Reset);
    w.end("s", 0, Outcome::Reset);
    assert_eq!(w.gateway.state_counts().requests, 0);
}

#[test]
fn the_bound_of_an_engine_that_came_up_cold_comes_back_as_it_warms() {
    let mut w = World::new(lookups(), &["e1"]);
    let usual = w.bound("e1");
    w.list(ListScope::Changes, vec![EngineEntry { started: Some(w.now), ..engine("e1") }]);
    assert!(w.bound("e1") <= 0.31 * usual, "cut to what a cold engine bears: {}", w.bound("e1"));
    w.wait(7.0);
    assert!(w.bound("e1") < 0.7 * usual, "half warm: {}", w.bound("e1"));
    w.wait(9.0);
    assert!(w.bound("e1") > 0.99 * usual, "warm again: {}", w.bound("e1"));
}

#[test]
fn a_body_that_is_gone_ends_its_request_at_the_next_end() {
    // Full proves that it never ran: with its body it would go elsewhere, without it the client is told at once.
    for spent in [false, true] {
        let mut w = World::new(settings(vec![class("once", Idempotency::Never)]), &["e1", "e2"]);
        assert_eq!(sent_to(&w.query_with(Query { uploading: true, ..on("body", 1) })).len(), 1);
        if spent {
            assert_eq!(w.event(Event::BodyDropped { id: "body".into() }), []);
        }
        let after = w.end("body", 0, Outcome::Full);
        assert_eq!((sent_to(&after).len(), refused(&after)), if spent { (0, true) } else { (1, false) });
    }
    // What may have run and cannot be sent again is no refusal.
    let mut w = World::new(settings(vec![class("once", Idempotency::Never)]), &["e1", "e2"]);
    w.query_with(Query { uploading: true, ..on("body", 1) });
    w.event(Event::BodyDropped { id: "body".into() });
    assert!(failed(&w.end("body", 0, Outcome::Reset)));
}

#[test]
fn a_client_that_sends_slowly_makes_no_engine_look_slow() {
    for uploading in [false, true] {
        let mut w = World::new(settings(vec![class("once", Idempotency::Never)]), &["e1", "e2", "e3"]);
        let (mut ejected, bound) = (0, w.bound("e1"));
        for n in 0..12 {
            let query = Query { uploading, time_left: 60.0, ..on(&format!("slow-{n}"), n) };
            let to = sent_to(&w.query_with(query)).remove(0);
            w.wait(4.0);
            ejected += usize::from(w.is_ejected(&to));
            w.end(&format!("slow-{n}"), 0, Outcome::Ok);
            w.wait(0.2);
        }
        assert_eq!(ejected > 0, !uploading, "{ejected}");
        assert_eq!(w.bound("e1") < bound, !uploading, "nor does its bound fall");
    }
}
