//! The control loop and admission.

mod common;
use common::*;
use dahliaspoke::policy::*;

/// Sends `count` queries of 100 ms of work per second, each answered after `delay` seconds. `from` is the
/// number of the first second, which keeps ids unique across calls.
fn serve(h: &mut Harness, from: usize, seconds: usize, count: usize, delay: f64) {
    for second in 0..seconds {
        let ids: Vec<String> = (0..count).map(|n| format!("s{}-{n}", from + second)).collect();
        for id in &ids {
            h.query(id, 0, 100.0);
        }
        h.wait(delay);
        for id in &ids {
            h.end(id, 0, Outcome::Ok);
        }
        h.wait(1.0 - delay);
    }
}

#[test]
fn pi_controller_moves_the_bound_as_computed_by_hand() {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    s.reports_cost = true;
    let mut h = Harness::new(s, &["e1"]);
    let start = h.bound("e1");
    assert_eq!(start, 15200.0, "1900 ms for each of 8 cores of a single coordinator");
    h.query("r", 0, 100.0);
    h.wait(0.42);
    let (id, attempt, outcome) = ("r".into(), 0, Outcome::Ok);
    let ended =
        AttemptEnd { id, attempt, outcome, finished: true, work: Some(100.0), memory: None, report: None };
    h.event(Event::AttemptEnded(ended));
    h.wait(0.65);
    // DDR 0.42 / (2.1 x 0.1) = 2.0; e = 0.9 - 2.0 = -1.1; delta = 0.2 x 1.5 x -1.1 = -0.33 queries of 100 ms.
    assert_eq!(h.bound("e1"), start - 33.0);
}

#[test]
fn bound_never_falls_below_one_query_and_recovers() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    // The first outcomes set the unhindered service time; then the engine becomes far slower.
    serve(&mut h, 0, 3, 20, 0.1);
    let before = h.bound("e1");
    serve(&mut h, 3, 12, 3, 0.95);
    let low = h.bound("e1");
    assert!(low < before && low >= 100.0, "{low}");
    serve(&mut h, 15, 10, 20, 0.1);
    assert!(h.bound("e1") >= low, "no further fall once the engine is fast again");
}

#[test]
fn light_traffic_does_not_wind_up_the_bound() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    let start = h.bound("e1");
    serve(&mut h, 0, 60, 3, 0.1);
    assert!(h.bound("e1") <= start);
}

#[test]
fn fast_errors_do_not_raise_the_bound() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    let start = h.bound("e1");
    for n in 0..400 {
        h.query(&format!("r{n}"), 0, 3000.0);
        h.query(&format!("t{n}"), 0, 14000.0);
        for id in [format!("r{n}"), format!("t{n}")] {
            for attempt in 0..4 {
                h.end(&id, attempt, Outcome::Error);
            }
        }
        h.wait(0.1);
    }
    assert!(h.bound("e1") <= start);
}

#[test]
fn heavy_queries_are_rejected_before_light_ones() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    let (mut heavy, mut light) = (0, 0);
    for n in 0..200 {
        heavy += u32::from(rejected(&h.query(&format!("h{n}"), 0, 900.0)));
        light += u32::from(rejected(&h.query(&format!("l{n}"), 0, 90.0)));
        h.wait(0.01);
        if n >= 10 {
            h.end(&format!("l{}", n - 10), 0, Outcome::Ok);
        }
    }
    assert!(heavy > 100 && light < heavy / 2, "heavy {heavy}, light {light}");
}

#[test]
fn abandoned_work_stays_in_the_backlog_for_a_while() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Never)]), &["e1"]);
    h.query("r", 0, 500.0);
    h.end("r", 0, Outcome::Timeout);
    assert_eq!(h.backlog("e1"), 500.0);
    h.wait(6.0);
    assert_eq!(h.backlog("e1"), 0.0);
}

#[test]
fn query_that_costs_more_than_the_bound_still_runs_on_an_idle_engine() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    assert_eq!(sent_to(&h.query("huge", 0, 90000.0)), ["e1"]);
    assert!(rejected(&h.query("next", 0, 90000.0)));
}

#[test]
fn equal_seeds_and_events_give_equal_actions() {
    let run = || {
        let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1", "e2", "e3"]);
        serve(&mut h, 0, 5, 30, 0.2);
        h.actions
    };
    assert_eq!(run(), run());
}

/// Guards against windup: a long quiet period raised the bound until the next burst overloaded every engine.
#[test]
fn bound_grows_to_at_most_a_fixed_multiple_of_its_start() {
    let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    let start = h.bound("e1");
    for second in 0..60 {
        let ids = (0..).map(|n| format!("r{second}-{n}"));
        let admitted: Vec<_> = ids.take_while(|id| !rejected(&h.query(id, 0, 500.0))).collect();
        h.wait(0.1);
        for id in &admitted {
            h.end(id, 0, Outcome::Ok);
        }
        h.wait(0.9);
    }
    let end = h.bound("e1");
    assert!(start < end && end <= 1.2 * start, "{end} from {start}");
}

/// Guards against rejecting queries by a bound that suits bursts while the engine reports idle cores.
#[test]
fn engine_that_reports_idle_cores_is_sent_more_than_a_busy_one() {
    let admitted = |util: f64| {
        let mut h = Harness::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
        h.query("first", 0, 100.0);
        let report = Some(LoadReport { util: Some(util), ..LoadReport::default() });
        let (id, outcome, work, memory) = ("first".into(), Outcome::Ok, None, None);
        h.event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            outcome,
            finished: true,
            work,
            memory,
            report,
        }));
        (0..200).take_while(|n| !rejected(&h.query(&format!("r{n}"), 0, 500.0))).count()
    };
    assert!(admitted(0.0) > admitted(1.0), "{} idle, {} busy", admitted(0.0), admitted(1.0));
}
