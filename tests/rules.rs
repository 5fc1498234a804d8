//! The seven rules that the policy must never break; each has a test that fails if its check is removed.

mod common;
use common::*;
use dahliaspoke::policy::*;

#[test]
fn every_request_is_answered_exactly_once_before_its_deadline() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    h.query("r", 0, 50.0);
    h.now += 9.99;
    let end = h.event(Event::Timer(1));
    assert!(rejected(&end));
    assert!(h.event(Event::Timer(1)).is_empty(), "no second answer");
    assert!(h.end("r", 0, Outcome::Timeout).is_empty(), "nothing more is sent or answered");
    assert_eq!(h.policy.state_counts().requests, 0);
}

#[test]
fn without_engines_a_request_is_rejected_with_a_retry_after() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &[]);
    let out = h.query("r", 0, 50.0);
    assert!(matches!(out[..], [Action::Reject { retry_after: Some(t), .. }] if t > 0.0 && t <= 0.5));
}

#[test]
fn non_idempotent_request_is_retried_only_if_it_never_ran() {
    let s = settings(vec![class("load", Idempotency::Never)]);
    let mut h = Harness::new(s.clone(), &["e1", "e2"]);
    h.query("r", 0, 50.0);
    assert_eq!(sent_to(&h.end("r", 0, Outcome::Full)).len(), 1, "full proves that it never ran");
    let out = h.end("r", 1, Outcome::Reset);
    assert!(failed(&out) && !rejected(&out) && sent_to(&out).is_empty());
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Cancelled] {
        let mut h = Harness::new(s.clone(), &["e1", "e2"]);
        h.query("r", 0, 50.0);
        let out = h.end("r", 0, outcome);
        assert!(failed(&out) && sent_to(&out).is_empty(), "{outcome:?}");
    }
}

#[test]
fn retries_with_a_key_stay_in_the_dedup_scope_and_window() {
    let mut keyed = class("k", Idempotency::WithKey);
    keyed.dedup_scope = DedupScope::Zone;
    let mut h = Harness::new(settings(vec![keyed]), &[]);
    let in_zone = |id: &str, zone: &str| EngineEntry { zone: zone.into(), ..engine(id) };
    h.list(ListScope::Complete, vec![in_zone("a1", "a"), in_zone("a2", "a"), in_zone("b1", "b")]);
    for n in 0..20 {
        let id = format!("r{n}");
        let first = sent_to(&h.query(&id, 0, 5.0))[0].clone();
        let second = h.end(&id, 0, Outcome::Reset);
        for other in sent_to(&second) {
            assert_eq!(other.as_bytes()[0], first.as_bytes()[0], "{first} then {other}");
        }
        if sent_to(&second).is_empty() {
            assert!(failed(&second), "only dedup scope `All` allows a rejection once it may have run");
        } else {
            h.end(&id, 1, Outcome::Ok);
        }
    }
    h.wait(5.0);
    h.query("late", 0, 5.0);
    h.now += 6.0;
    assert!(failed(&h.end("late", 0, Outcome::Reset)), "its dedup window is over");
}

#[test]
fn never_two_attempts_in_flight_at_once() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1", "e2"]);
    h.query("r", 0, 50.0);
    assert!(sent_to(&h.wait(9.0)).is_empty());
}

#[test]
fn draining_or_removed_engine_gets_no_requests() {
    for state in [Lifecycle::Draining, Lifecycle::Gone] {
        let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1", "e2"]);
        h.list(ListScope::Changes, vec![EngineEntry { lifecycle: state, ..engine("e1") }]);
        for n in 0..30 {
            assert!(!sent_to(&h.query(&format!("r{n}"), 0, 1.0)).contains(&"e1".into()));
        }
    }
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1", "e2"]);
    h.list(ListScope::Complete, vec![engine("e2")]);
    for n in 0..30 {
        assert_eq!(sent_to(&h.query(&format!("r{n}"), 0, 1.0)), ["e2"], "absent from a complete list");
    }
}

/// Work (ms) that one of `coordinators` coordinators sends to a warming engine in one second.
fn work_sent_while_warming(coordinators: f64, scope: ListScope) -> f64 {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    s.coordinators = coordinators;
    let mut h = Harness::new(s, &[]);
    h.list(scope, vec![EngineEntry { started: Some(h.now - 0.1), ..engine("e1") }]);
    let mut sent = 0.0;
    for n in 0..200 {
        if !sent_to(&h.query(&format!("r{n}"), 0, 100.0)).is_empty() {
            sent += 100.0;
            h.end(&format!("r{n}"), 0, Outcome::Ok); // every attempt uses up budget, finished or not
        }
        h.now += 0.9 / 200.0;
    }
    sent
}

#[test]
fn warming_engine_gets_at_most_this_coordinators_share() {
    let limit = 2.0 * 0.3 * 8.0 * 1000.0;
    let (alone, of_four) = (
        work_sent_while_warming(1.0, ListScope::Complete),
        work_sent_while_warming(4.0, ListScope::Complete),
    );
    assert!(alone > 0.0 && alone <= limit, "{alone}");
    assert!(of_four <= limit / 4.0, "{of_four}");
    assert!(
        of_four >= 0.55 * limit / 4.0,
        "every coordinator has its share of each window and knows its own sends: {of_four}"
    );
    assert_eq!(
        work_sent_while_warming(1.0, ListScope::Restored),
        0.0,
        "a restarted coordinator treats the budget of the window as spent"
    );
}

/// An abandoned attempt may keep running until its engine is notified, which happens on another connection
/// than the one that the retry uses.
#[test]
fn without_hedging_no_retry_goes_to_the_engine_of_an_abandoned_attempt() {
    for outcome in [Outcome::Timeout, Outcome::Cancelled] {
        for hedging in [false, true] {
            let allowed = Settings { may_hedge: hedging, ..settings(vec![class("q", Idempotency::Always)]) };
            let mut h = Harness::new(allowed, &["e1"]);
            h.query("r", 0, 100.0);
            assert_eq!(sent_to(&h.end("r", 0, outcome)).len(), usize::from(hedging), "{outcome:?}");
        }
    }
    // A request that never ran there may be retried there.
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    h.query("r", 0, 100.0);
    assert_eq!(sent_to(&h.end("r", 0, Outcome::Unsent)), ["e1"]);
}

#[test]
fn without_hedging_an_attempt_is_cancelled_only_if_another_engine_exists() {
    for (engines, moves) in [(&["e1"][..], false), (&["e1", "e2"][..], true)] {
        let mut s = settings(vec![class("q", Idempotency::Always)]);
        (s.memory_grants, s.may_cancel) = (true, true);
        let mut h = Harness::new(s, engines);
        h.query_with(Query { memory: Some(100.0), ..ordered("r", "k") });
        h.now += 0.005;
        let spills = Event::Progress { id: "r".into(), attempt: 0, progress: Progress::Spills(500.0) };
        assert_eq!(!h.event(spills).is_empty(), moves, "{engines:?}");
    }
}

fn ordered(id: &str, key: &str) -> Query {
    let key = Some(key.into());
    Query { id: id.into(), key, time_left: 10.0, work: Some(50.0), tables: 1, ..Query::default() }
}

#[test]
fn requests_of_one_key_run_in_order_with_a_pause_after_a_timeout() {
    let mut load = class("load", Idempotency::Never);
    load.ordered = true;
    let mut h = Harness::new(settings(vec![load]), &["e1", "e2"]);
    assert_eq!(sent_to(&h.query_with(ordered("r1", "k"))).len(), 1);
    assert!(h.query_with(ordered("r2", "k")).is_empty(), "waits for r1");
    assert!(h.query_with(ordered("r3", "k")).is_empty(), "waits for r1");
    assert_eq!(sent_to(&h.query_with(ordered("other", "k2"))).len(), 1, "another key does not wait");
    let next = h.end("r1", 0, Outcome::Ok);
    assert!(matches!(&next[..], [Action::Send { id, .. }] if &**id == "r2"));
    let next = h.end("r2", 0, Outcome::Timeout);
    assert!(failed(&next) && sent_to(&next).is_empty(), "the key pauses");
    assert!(sent_to(&h.wait(0.25)).is_empty());
    assert_eq!(sent_to(&h.wait(0.3)).len(), 1, "then the next request runs");
}

/// Guards against a request that overtakes one of its key in the other process of an upgrade.
#[test]
fn request_runs_only_with_the_lock_of_its_key_and_releases_it_once_it_cannot_run_any_more() {
    let mut load = class("load", Idempotency::Never);
    load.ordered = true;
    let locked = |id: &str, order_lock| Query { order_lock, ..ordered(id, "k") };
    let released = |actions: &[Action]| -> Vec<(String, f64)> {
        let release = |action: &Action| match action {
            Action::ReleaseOrderLock { id, not_before } => Some((id.to_string(), *not_before)),
            _ => None,
        };
        actions.iter().filter_map(release).collect()
    };
    let mut h = Harness::new(settings(vec![load]), &["e1", "e2"]);
    assert_eq!(sent_to(&h.query_with(locked("r1", OrderLock::Held))).len(), 1);
    assert!(h.query_with(locked("r2", OrderLock::Waiting)).is_empty());
    assert!(h.query_with(locked("r3", OrderLock::Waiting)).is_empty());
    let end = h.end("r1", 0, Outcome::Ok);
    assert_eq!(released(&end), [("r1".to_string(), 0.0)]);
    assert!(sent_to(&end).is_empty() && sent_to(&h.wait(1.0)).is_empty(), "r2 does not have the lock");
    assert!(sent_to(&h.event(Event::OrderLockAcquired { id: "r3".into() })).is_empty(), "r2 is first");
    assert!(sent_to(&h.wait(1.0)).is_empty(), "r2 is first");
    // The process that held the lock may have ended during an attempt: the key pauses.
    assert!(sent_to(&h.event(Event::OrderLockAcquired { id: "r2".into() })).is_empty());
    assert_eq!(sent_to(&h.wait(0.6)).len(), 1);
    let end = h.end("r2", 0, Outcome::Reset);
    let [(id, not_before)] = &released(&end)[..] else { panic!("one release, not {end:?}") };
    let pause = 0.3 + 2.0 * 0.005;
    assert!(id == "r2" && (not_before - (h.now + pause)).abs() < 1e-9, "{end:?}");
    assert_eq!(sent_to(&h.wait(0.6)).len(), 1, "r3");
    // One that still waits at its deadline is rejected, and one whose client goes ends without a word.
    h.end("r3", 0, Outcome::Ok);
    h.query_with(locked("r4", OrderLock::Waiting));
    h.query_with(locked("r5", OrderLock::Waiting));
    let end = h.event(Event::ClientGone { id: "r4".into() });
    assert_eq!(released(&end).len(), 1);
    let end = h.wait(10.0);
    assert!(rejected(&end) && released(&end).len() == 1, "{end:?}");
}

#[test]
fn queued_request_that_cannot_meet_its_deadline_is_rejected_at_once() {
    let mut load = class("load", Idempotency::Never);
    load.ordered = true;
    let mut h = Harness::new(settings(vec![load]), &["e1"]);
    h.query_with(Query { work: Some(4000.0), ..ordered("r1", "k") });
    assert!(rejected(&h.query_with(Query { time_left: 3.0, ..ordered("r2", "k") })));
}

#[test]
fn restricted_class_never_leaves_its_engine_kind_and_zone() {
    let mut restricted = class("report", Idempotency::Always);
    restricted.kinds = Some(vec!["big".into()]);
    restricted.zones = Some(vec!["a".into()]);
    let mut h = Harness::new(settings(vec![restricted]), &[]);
    let big = |id: &str, zone: &str| EngineEntry { kind: "big".into(), zone: zone.into(), ..engine(id) };
    h.list(ListScope::Complete, vec![engine("small"), big("right", "a"), big("far", "b")]);
    for n in 0..10 {
        assert_eq!(sent_to(&h.query(&format!("r{n}"), 0, 1.0)), ["right"]);
    }
    h.list(ListScope::Complete, vec![engine("small"), big("far", "b")]);
    assert!(rejected(&h.query("last", 0, 1.0)));
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    s.retry_budget = Some(RetryBudget { min_attempts: 2.0, attempts_per_request: 0.1, window: 10.0 });
    let mut h = Harness::new(s, &["e1", "e2", "e3"]);
    let mut retries = 0;
    for n in 0..20 {
        h.query(&format!("r{n}"), 0, 1.0);
        retries += sent_to(&h.end(&format!("r{n}"), 0, Outcome::Unreachable)).len();
    }
    assert!((1..=4).contains(&retries), "{retries} retries for 20 requests");
}

#[test]
fn attempts_per_request_are_limited() {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    s.max_attempts = 2;
    let mut h = Harness::new(s, &["e1", "e2", "e3"]);
    h.query("r", 0, 1.0);
    assert_eq!(sent_to(&h.end("r", 0, Outcome::Error)).len(), 1);
    assert!(rejected(&h.end("r", 1, Outcome::Error)));
}
