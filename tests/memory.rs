//! Memory grants: learned from what queries needed, and put right when a spill is told.

mod common;
use common::*;
use dahliaspoke::policy::*;

fn granting(told: bool) -> Settings {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    (s.memory_grants, s.may_cancel, s.reports_cost) = (true, true, told);
    s
}

fn ask(w: &mut World, id: &str, memory: f64) -> Vec<Action> {
    let work = Some(100.0);
    w.query_with(Query { id: id.into(), time_left: 10.0, work, memory: Some(memory), ..Query::default() })
}

fn granted(actions: &[Action]) -> f64 {
    let memory = |a: &Action| match a {
        Action::SetTerms { memory, .. } => *memory,
        _ => None,
    };
    actions.iter().find_map(memory).expect("a grant")
}

fn spills(w: &mut World, id: &str, attempt: u32, missing: f64) -> Vec<Action> {
    w.event(Event::Progress { id: id.into(), attempt, progress: Progress::Spills(missing) })
}

/// Grant for an estimate of 100 MB of a query that needs `need` in truth, and is served.
fn serve(w: &mut World, n: usize, need: f64, told: bool) -> f64 {
    let id = format!("r{n}");
    let first = granted(&ask(w, &id, 100.0));
    w.now += 0.005;
    let short = (need - first).max(0.0);
    let again = if short > 0.0 { spills(w, &id, 0, short).len() as u32 } else { 0 };
    if again > 0 {
        w.end(&id, 0, Outcome::Cancelled);
    }
    let memory = Some(need).filter(|_| told);
    let (id, outcome, work) = (id.as_str().into(), Outcome::Ok, None);
    let ended = AttemptEnd { id, attempt: again, outcome, finished: true, work, memory, report: None };
    w.event(Event::AttemptEnded(ended));
    w.wait(0.2);
    first
}

/// The same after `count` queries that needed `need`.
fn learned(told: bool, need: f64, count: usize) -> f64 {
    let mut w = World::new(granting(told), &["e1", "e2"]);
    for n in 0..count {
        serve(&mut w, n, need, told);
    }
    granted(&ask(&mut w, "last", 100.0))
}

/// The middling grant for an estimate of 100 MB of queries that need 100 to 300 MB, all alike often.
fn usual_grant(s: Settings) -> f64 {
    let mut w = World::new(s, &["e1", "e2"]);
    let need = |n: usize| 100.0 + 2.0 * (n * 61 % 100) as f64;
    let mut late = (0..600).map(|n| serve(&mut w, n, need(n), true)).skip(300).collect::<Vec<_>>();
    late.sort_by(f64::total_cmp);
    late[late.len() / 2]
}

#[test]
fn grants_follow_the_need_where_answers_tell_it() {
    let (low, high) = (learned(true, 50.0, 200), learned(true, 200.0, 200));
    assert!((40.0..60.0).contains(&low), "{low} for a need of 50");
    assert!((180.0..220.0).contains(&high), "{high} for a need of 200");
}

#[test]
fn one_that_spills_and_cannot_be_called_off_is_granted_what_nearly_all_need() {
    let usual = usual_grant(granting(true));
    assert!((170.0..230.0).contains(&usual), "{usual}: half need 200 or less");
    let keyed = Settings { classes: vec![class("load", Idempotency::WithKey)], ..granting(true) };
    let few = Settings { max_attempts: 2, ..granting(true) };
    let stays = Settings { may_cancel: false, ..granting(true) };
    for s in [keyed, few, stays] {
        let usual = usual_grant(s);
        assert!((270.0..360.0).contains(&usual), "{usual}: 95 in 100 need 290 or less");
    }
}

#[test]
fn grants_rise_by_spills_alone_where_nothing_else_tells() {
    let high = learned(false, 300.0, 100);
    assert!((300.0..500.0).contains(&high), "{high} for a need of 300");
}

#[test]
fn a_spill_is_called_off_at_once_and_sent_again_with_what_it_lacks() {
    let mut w = World::new(granting(true), &["e1", "e2"]);
    let first = granted(&ask(&mut w, "r", 100.0));
    w.now += 0.005;
    let out = spills(&mut w, "r", 0, 75.0);
    assert_eq!(out, [Action::Cancel { id: "r".into(), attempt: 0 }]);
    let out = w.end("r", 0, Outcome::Cancelled);
    assert_eq!(granted(&out), first + 75.0);
    assert_eq!(sent_to(&out).len(), 1);
    assert!(spills(&mut w, "r", 1, 10.0).is_empty(), "once a request: an engine may have no more to give");
}

#[test]
fn a_spill_is_borne_where_another_attempt_is_not_to_be_had() {
    let few = Settings { max_attempts: 2, ..granting(true) };
    let once = Settings { classes: vec![class("load", Idempotency::Never)], ..granting(true) };
    let mut rationed = granting(true);
    rationed.retry_budget = Some(RetryBudget { min_attempts: 0.0, attempts_per_request: 0.0, window: 10.0 });
    let stays = Settings { may_cancel: false, ..granting(true) };
    for s in [few, once, rationed, stays] {
        let mut w = World::new(s, &["e1", "e2"]);
        ask(&mut w, "r", 100.0);
        w.now += 0.005;
        assert!(spills(&mut w, "r", 0, 75.0).is_empty());
    }
}

#[test]
fn an_attempt_called_off_for_memory_says_nothing_of_its_engine() {
    let mut w = World::new(granting(true), &["e1"]);
    let before = w.bound("e1");
    for n in 0..20 {
        let id = format!("r{n}");
        ask(&mut w, &id, 100.0);
        w.now += 0.005;
        spills(&mut w, &id, 0, 75.0);
        w.end(&id, 0, Outcome::Cancelled);
        w.event(Event::ClientGone { id: id.as_str().into() });
        w.end(&id, 1, Outcome::Expired);
        w.wait(0.2);
    }
    assert_eq!(w.bound("e1"), before, "no finish, no move");
    assert_eq!(w.backlog("e1"), 0.0);
}

#[test]
fn an_attempt_that_waits_for_memory_is_tried_elsewhere_and_its_last_tries_wait() {
    let mut w = World::new(granting(true), &["e1", "e2", "e3", "e4"]);
    let mut met = sent_to(&ask(&mut w, "r", 100.0));
    for attempt in 0..2 {
        w.now += 0.005;
        let waits = Event::Progress { id: "r".into(), attempt, progress: Progress::WaitsForMemory };
        assert_eq!(w.event(waits), [Action::Cancel { id: "r".into(), attempt }]);
        met.extend(sent_to(&w.end("r", attempt, Outcome::Cancelled)));
    }
    met.sort();
    met.dedup();
    assert_eq!(met.len(), 3, "another engine each time");
    let waits = Event::Progress { id: "r".into(), attempt: 2, progress: Progress::WaitsForMemory };
    assert!(w.event(waits).is_empty(), "one of four attempts stays in hand for failures");
}

fn done(w: &mut World, attempt: u32, share: f64) -> Vec<Action> {
    w.event(Event::Progress { id: "r".into(), attempt, progress: Progress::Done(share) })
}

#[test]
fn an_attempt_far_behind_by_its_notes_is_called_off_and_one_on_its_way_is_not() {
    for (share, called_off) in [(0.01, true), (0.6, false)] {
        let mut w = World::new(granting(true), &["e1", "e2"]);
        ask(&mut w, "r", 100.0);
        w.now += 0.2;
        assert_eq!(!done(&mut w, 0, share).is_empty(), called_off, "{share} done");
    }
}

#[test]
fn time_spent_waiting_for_memory_is_not_taken_for_a_bad_plan() {
    let few = Settings { max_attempts: 2, ..granting(true) };
    let mut w = World::new(few, &["e1", "e2"]);
    ask(&mut w, "r", 100.0);
    w.event(Event::Progress { id: "r".into(), attempt: 0, progress: Progress::WaitsForMemory });
    w.now += 1.0;
    assert!(done(&mut w, 0, 0.05).is_empty(), "the first news after the wait");
    w.now += 0.05;
    assert!(done(&mut w, 0, 0.5).is_empty(), "on its way");
    w.now += 0.5;
    assert!(!done(&mut w, 0, 0.52).is_empty(), "stuck");
}
