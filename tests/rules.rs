//! The seven rules, each with a case that breaks when its guard is gone.

mod common;
use common::*;
use dahliaspoke::policy::*;

#[test]
fn every_request_is_answered_once_before_its_time_is_up() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    w.query("r", 0, 50.0);
    w.now += 9.99;
    let end = w.event(Event::Timer(1));
    assert!(refused(&end));
    assert!(w.event(Event::Timer(1)).is_empty(), "no second answer");
    assert!(w.end("r", 0, Outcome::Timeout).is_empty(), "nothing more is sent or answered");
    assert_eq!(w.gateway.state_counts().requests, 0);
}

#[test]
fn with_no_list_a_request_is_refused_with_a_come_back_time() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &[]);
    let out = w.query("r", 0, 50.0);
    assert!(matches!(out[..], [Action::Reject { retry_after: Some(t), .. }] if t > 0.0 && t <= 0.5));
}

#[test]
fn once_is_sent_again_only_when_it_never_ran() {
    let s = settings(vec![class("load", Idempotency::Never)]);
    let mut w = World::new(s.clone(), &["e1", "e2"]);
    w.query("r", 0, 50.0);
    assert_eq!(sent_to(&w.end("r", 0, Outcome::Full)).len(), 1, "full proves that it never ran");
    let out = w.end("r", 1, Outcome::Reset);
    assert!(failed(&out) && !refused(&out) && sent_to(&out).is_empty());
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Cancelled] {
        let mut w = World::new(s.clone(), &["e1", "e2"]);
        w.query("r", 0, 50.0);
        let out = w.end("r", 0, outcome);
        assert!(failed(&out) && sent_to(&out).is_empty(), "{outcome:?}");
    }
}

#[test]
fn keyed_stays_in_its_group_and_within_its_span() {
    let mut keyed = class("k", Idempotency::WithKey);
    keyed.dedup_scope = DedupScope::Zone;
    let mut w = World::new(settings(vec![keyed]), &[]);
    let in_zone = |id: &str, zone: &str| EngineEntry { zone: zone.into(), ..engine(id) };
    w.list(ListScope::Complete, vec![in_zone("a1", "a"), in_zone("a2", "a"), in_zone("b1", "b")]);
    for n in 0..20 {
        let id = format!("r{n}");
        let first = sent_to(&w.query(&id, 0, 5.0))[0].clone();
        let second = w.end(&id, 0, Outcome::Reset);
        for other in sent_to(&second) {
            assert_eq!(other.as_bytes()[0], first.as_bytes()[0], "{first} then {other}");
        }
        if sent_to(&second).is_empty() {
            assert!(failed(&second), "outside group `all` nothing may be refused once it may have run");
        } else {
            w.end(&id, 1, Outcome::Ok);
        }
    }
    w.wait(5.0);
    w.query("late", 0, 5.0);
    w.now += 6.0;
    assert!(failed(&w.end("late", 0, Outcome::Reset)), "its span is over");
}

#[test]
fn never_two_attempts_out_together() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1", "e2"]);
    w.query("r", 0, 50.0);
    assert!(sent_to(&w.wait(9.0)).is_empty());
}

#[test]
fn nothing_goes_to_an_engine_told_to_drain_or_gone() {
    for state in [Lifecycle::Draining, Lifecycle::Gone] {
        let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1", "e2"]);
        w.list(ListScope::Changes, vec![EngineEntry { lifecycle: state, ..engine("e1") }]);
        for n in 0..30 {
            assert!(!sent_to(&w.query(&format!("r{n}"), 0, 1.0)).contains(&"e1".into()));
        }
    }
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1", "e2"]);
    w.list(ListScope::Complete, vec![engine("e2")]);
    for n in 0..30 {
        assert_eq!(sent_to(&w.query(&format!("r{n}"), 0, 1.0)), ["e2"], "absent from a complete list");
    }
}

/// Work sent to a cold engine in one second by one gateway of `gateways`.
fn cold_work(gateways: f64, scope: ListScope) -> f64 {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    s.coordinators = gateways;
    let mut w = World::new(s, &[]);
    w.list(scope, vec![EngineEntry { started: Some(w.now - 0.1), ..engine("e1") }]);
    let mut sent = 0.0;
    for n in 0..200 {
        if !sent_to(&w.query(&format!("r{n}"), 0, 100.0)).is_empty() {
            sent += 100.0;
            w.end(&format!("r{n}"), 0, Outcome::Ok); // all kinds of sends count, finished or not
        }
        w.now += 0.9 / 200.0;
    }
    sent
}

#[test]
fn a_cold_engine_gets_no_more_than_this_gateways_share() {
    let limit = 2.0 * 0.3 * 8.0 * 1000.0;
    let (alone, of_four) = (cold_work(1.0, ListScope::Complete), cold_work(4.0, ListScope::Complete));
    assert!(alone > 0.0 && alone <= limit, "{alone}");
    assert!(of_four <= limit / 4.0, "{of_four}");
    assert!(
        of_four >= 0.55 * limit / 4.0,
        "each has its turn in every window, and knows its own sends: {of_four}"
    );
    assert_eq!(cold_work(1.0, ListScope::Restored), 0.0, "a restarted gateway counts the window as spent");
}

/// What is given up at an engine may run on there until that engine hears of it, on another connection than the next try.
#[test]
fn without_second_copies_none_goes_where_one_was_given_up() {
    for outcome in [Outcome::Timeout, Outcome::Cancelled] {
        for copies in [false, true] {
            let allowed = Settings { may_hedge: copies, ..settings(vec![class("q", Idempotency::Always)]) };
            let mut w = World::new(allowed, &["e1"]);
            w.query("r", 0, 100.0);
            assert_eq!(sent_to(&w.end("r", 0, outcome)).len(), usize::from(copies), "{outcome:?}");
        }
    }
    // One that never ran there may go there again.
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    w.query("r", 0, 100.0);
    assert_eq!(sent_to(&w.end("r", 0, Outcome::Unsent)), ["e1"]);
}

#[test]
fn without_second_copies_none_is_called_off_that_has_nowhere_else_to_go() {
    for (engines, moves) in [(&["e1"][..], false), (&["e1", "e2"][..], true)] {
        let mut s = settings(vec![class("q", Idempotency::Always)]);
        (s.memory_grants, s.may_cancel) = (true, true);
        let mut w = World::new(s, engines);
        w.query_with(Query { memory: Some(100.0), ..ordered("r", "k") });
        w.now += 0.005;
        let spills = Event::Progress { id: "r".into(), attempt: 0, progress: Progress::Spills(500.0) };
        assert_eq!(!w.event(spills).is_empty(), moves, "{engines:?}");
    }
}

fn ordered(id: &str, key: &str) -> Query {
    let key = Some(key.into());
    Query { id: id.into(), key, time_left: 10.0, work: Some(50.0), tables: 1, ..Query::default() }
}

#[test]
fn one_key_runs_one_at_a_time_in_order_and_rests() {
    let mut load = class("load", Idempotency::Never);
    load.ordered = true;
    let mut w = World::new(settings(vec![load]), &["e1", "e2"]);
    assert_eq!(sent_to(&w.query_with(ordered("r1", "k"))).len(), 1);
    assert!(w.query_with(ordered("r2", "k")).is_empty(), "held");
    assert!(w.query_with(ordered("r3", "k")).is_empty(), "held");
    assert_eq!(sent_to(&w.query_with(ordered("other", "k2"))).len(), 1, "another key is free");
    let next = w.end("r1", 0, Outcome::Ok);
    assert!(matches!(&next[..], [Action::Send { id, .. }] if &**id == "r2"));
    let next = w.end("r2", 0, Outcome::Timeout);
    assert!(failed(&next) && sent_to(&next).is_empty(), "the key rests");
    assert!(sent_to(&w.wait(0.25)).is_empty());
    assert_eq!(sent_to(&w.wait(0.3)).len(), 1, "then the next has its turn");
}

#[test]
fn a_follower_that_cannot_be_served_in_time_is_told_at_once() {
    let mut load = class("load", Idempotency::Never);
    load.ordered = true;
    let mut w = World::new(settings(vec![load]), &["e1"]);
    w.query_with(Query { work: Some(4000.0), ..ordered("r1", "k") });
    assert!(refused(&w.query_with(Query { time_left: 3.0, ..ordered("r2", "k") })));
}

#[test]
fn a_bound_class_stays_on_its_kind_and_zone_even_if_all_are_lost() {
    let mut bound = class("report", Idempotency::Always);
    bound.kinds = Some(vec!["big".into()]);
    bound.zones = Some(vec!["a".into()]);
    let mut w = World::new(settings(vec![bound]), &[]);
    let big = |id: &str, zone: &str| EngineEntry { kind: "big".into(), zone: zone.into(), ..engine(id) };
    w.list(ListScope::Complete, vec![engine("small"), big("right", "a"), big("far", "b")]);
    for n in 0..10 {
        assert_eq!(sent_to(&w.query(&format!("r{n}"), 0, 1.0)), ["right"]);
    }
    w.list(ListScope::Complete, vec![engine("small"), big("far", "b")]);
    assert!(refused(&w.query("last", 0, 1.0)));
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    s.retry_budget = Some(RetryBudget { min_attempts: 2.0, attempts_per_request: 0.1, window: 10.0 });
    let mut w = World::new(s, &["e1", "e2", "e3"]);
    let mut again = 0;
    for n in 0..20 {
        w.query(&format!("r{n}"), 0, 1.0);
        again += sent_to(&w.end(&format!("r{n}"), 0, Outcome::Unreachable)).len();
    }
    assert!((1..=4).contains(&again), "{again} further attempts for 20 requests");
}

#[test]
fn attempts_per_request_are_limited() {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    s.max_attempts = 2;
    let mut w = World::new(s, &["e1", "e2", "e3"]);
    w.query("r", 0, 1.0);
    assert_eq!(sent_to(&w.end("r", 0, Outcome::Error)).len(), 1);
    assert!(refused(&w.end("r", 1, Outcome::Error)));
}
