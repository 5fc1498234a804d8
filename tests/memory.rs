//! Memory grants: learned from what queries needed, and corrected when a spill is reported.

mod common;
use common::*;
use dahliaspoke::policy::*;

fn grant_settings(reported: bool) -> Settings {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    (s.memory_grants, s.may_cancel, s.reports_cost) = (true, true, reported);
    s
}

fn query(h: &mut Harness, id: &str, memory: f64) -> Vec<Action> {
    let work = Some(100.0);
    h.query_with(Query { id: id.into(), time_left: 10.0, work, memory: Some(memory), ..Query::default() })
}

fn granted(actions: &[Action]) -> f64 {
    let memory = |a: &Action| match a {
        Action::SetTerms { memory, .. } => *memory,
        _ => None,
    };
    actions.iter().find_map(memory).expect("a grant")
}

fn report_spill(h: &mut Harness, id: &str, attempt: u32, missing: f64) -> Vec<Action> {
    h.event(Event::Progress { id: id.into(), attempt, progress: Progress::Spills(missing) })
}

/// Serves a query that is estimated at 100 MB and really needs `need` MB; returns its first grant.
fn serve(h: &mut Harness, n: usize, need: f64, reported: bool) -> f64 {
    let id = format!("r{n}");
    let first = granted(&query(h, &id, 100.0));
    h.now += 0.005;
    let short = (need - first).max(0.0);
    let retries = if short > 0.0 { report_spill(h, &id, 0, short).len() as u32 } else { 0 };
    if retries > 0 {
        h.end(&id, 0, Outcome::Cancelled);
    }
    let memory = Some(need).filter(|_| reported);
    let (id, outcome, work) = (id.as_str().into(), Outcome::Ok, None);
    let ended = AttemptEnd { id, attempt: retries, outcome, finished: true, work, memory, report: None };
    h.event(Event::AttemptEnded(ended));
    h.wait(0.2);
    first
}

/// Grant for an estimate of 100 MB after `count` queries that needed `need` MB.
fn learned_grant(reported: bool, need: f64, count: usize) -> f64 {
    let mut h = Harness::new(grant_settings(reported), &["e1", "e2"]);
    for n in 0..count {
        serve(&mut h, n, need, reported);
    }
    granted(&query(&mut h, "last", 100.0))
}

/// Median grant for an estimate of 100 MB, with needs spread evenly from 100 to 300 MB.
fn median_grant(s: Settings) -> f64 {
    let mut h = Harness::new(s, &["e1", "e2"]);
    let need = |n: usize| 100.0 + 2.0 * (n * 61 % 100) as f64;
    let mut late = (0..600).map(|n| serve(&mut h, n, need(n), true)).skip(300).collect::<Vec<_>>();
    late.sort_by(f64::total_cmp);
    late[late.len() / 2]
}

#[test]
fn grants_follow_the_reported_need() {
    let (low, high) = (learned_grant(true, 50.0, 200), learned_grant(true, 200.0, 200));
    assert!((40.0..60.0).contains(&low), "{low} for a need of 50");
    assert!((180.0..220.0).contains(&high), "{high} for a need of 200");
}

#[test]
fn grants_cover_nearly_all_needs_where_a_spill_cannot_be_retried() {
    let median = median_grant(grant_settings(true));
    assert!((170.0..230.0).contains(&median), "{median}: half need 200 or less");
    let keyed = Settings { classes: vec![class("load", Idempotency::WithKey)], ..grant_settings(true) };
    let few_attempts = Settings { max_attempts: 2, ..grant_settings(true) };
    let uncancellable = Settings { may_cancel: false, ..grant_settings(true) };
    for s in [keyed, few_attempts, uncancellable] {
        let median = median_grant(s);
        assert!((270.0..360.0).contains(&median), "{median}: 95 in 100 need 290 or less");
    }
}

#[test]
fn grants_grow_with_spills_where_needs_are_not_reported() {
    let high = learned_grant(false, 300.0, 100);
    assert!((300.0..500.0).contains(&high), "{high} for a need of 300");
}

#[test]
fn spilling_attempt_is_cancelled_and_retried_with_the_missing_memory() {
    let mut h = Harness::new(grant_settings(true), &["e1", "e2"]);
    let first = granted(&query(&mut h, "r", 100.0));
    h.now += 0.005;
    let out = report_spill(&mut h, "r", 0, 75.0);
    assert_eq!(out, [Action::Cancel { id: "r".into(), attempt: 0 }]);
    let out = h.end("r", 0, Outcome::Cancelled);
    assert_eq!(granted(&out), first + 75.0);
    assert_eq!(sent_to(&out).len(), 1);
    assert!(
        report_spill(&mut h, "r", 1, 10.0).is_empty(),
        "only once per request: the engine may have no more memory to grant"
    );
}

#[test]
fn spilling_attempt_runs_on_where_no_retry_is_allowed() {
    let few_attempts = Settings { max_attempts: 2, ..grant_settings(true) };
    let once = Settings { classes: vec![class("load", Idempotency::Never)], ..grant_settings(true) };
    let mut without_budget = grant_settings(true);
    without_budget.retry_budget =
        Some(RetryBudget { min_attempts: 0.0, attempts_per_request: 0.0, window: 10.0 });
    let uncancellable = Settings { may_cancel: false, ..grant_settings(true) };
    for s in [few_attempts, once, without_budget, uncancellable] {
        let mut h = Harness::new(s, &["e1", "e2"]);
        query(&mut h, "r", 100.0);
        h.now += 0.005;
        assert!(report_spill(&mut h, "r", 0, 75.0).is_empty());
    }
}

#[test]
fn attempts_cancelled_for_memory_do_not_move_the_bound() {
    let mut h = Harness::new(grant_settings(true), &["e1"]);
    let before = h.bound("e1");
    for n in 0..20 {
        let id = format!("r{n}");
        query(&mut h, &id, 100.0);
        h.now += 0.005;
        report_spill(&mut h, &id, 0, 75.0);
        h.end(&id, 0, Outcome::Cancelled);
        h.event(Event::ClientGone { id: id.as_str().into() });
        h.end(&id, 1, Outcome::Expired);
        h.wait(0.2);
    }
    assert_eq!(h.bound("e1"), before, "nothing finished, so the bound does not move");
    assert_eq!(h.backlog("e1"), 0.0);
}

#[test]
fn attempt_waiting_for_memory_is_retried_elsewhere_but_one_attempt_is_reserved() {
    let mut h = Harness::new(grant_settings(true), &["e1", "e2", "e3", "e4"]);
    let mut tried = sent_to(&query(&mut h, "r", 100.0));
    for attempt in 0..2 {
        h.now += 0.005;
        let waits = Event::Progress { id: "r".into(), attempt, progress: Progress::WaitsForMemory };
        assert_eq!(h.event(waits), [Action::Cancel { id: "r".into(), attempt }]);
        tried.extend(sent_to(&h.end("r", attempt, Outcome::Cancelled)));
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 3, "another engine each time");
    let waits = Event::Progress { id: "r".into(), attempt: 2, progress: Progress::WaitsForMemory };
    assert!(h.event(waits).is_empty(), "one of four attempts is reserved for failures");
}

fn report_done(h: &mut Harness, attempt: u32, share: f64) -> Vec<Action> {
    h.event(Event::Progress { id: "r".into(), attempt, progress: Progress::Done(share) })
}

#[test]
fn attempt_with_slow_progress_is_cancelled_and_one_on_pace_is_not() {
    for (share, cancelled) in [(0.01, true), (0.6, false)] {
        let mut h = Harness::new(grant_settings(true), &["e1", "e2"]);
        query(&mut h, "r", 100.0);
        h.now += 0.2;
        assert_eq!(!report_done(&mut h, 0, share).is_empty(), cancelled, "{share} done");
    }
}

#[test]
fn time_spent_waiting_for_memory_does_not_count_as_slow_progress() {
    let few_attempts = Settings { max_attempts: 2, ..grant_settings(true) };
    let mut h = Harness::new(few_attempts, &["e1", "e2"]);
    query(&mut h, "r", 100.0);
    h.event(Event::Progress { id: "r".into(), attempt: 0, progress: Progress::WaitsForMemory });
    h.now += 1.0;
    assert!(report_done(&mut h, 0, 0.05).is_empty(), "the first report after the wait");
    h.now += 0.05;
    assert!(report_done(&mut h, 0, 0.5).is_empty(), "on pace");
    h.now += 0.5;
    assert!(!report_done(&mut h, 0, 0.52).is_empty(), "stuck");
}
