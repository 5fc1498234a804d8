//! The control loop and admission.

mod common;
use common::*;
use dahliaspoke::policy::*;

/// A gateway whose one engine serves queries of 100 ms, each taking `delay`, `count` a second.
fn serve(w: &mut World, from: usize, seconds: usize, count: usize, delay: f64) {
    for second in 0..seconds {
        let ids: Vec<String> = (0..count).map(|n| format!("s{}-{n}", from + second)).collect();
        for id in &ids {
            w.query(id, 0, 100.0);
        }
        w.wait(delay);
        for id in &ids {
            w.end(id, 0, Outcome::Ok);
        }
        w.wait(1.0 - delay);
    }
}

#[test]
fn the_pi_law_moves_the_bound_as_computed_by_hand() {
    let mut s = settings(vec![class("q", Idempotency::Always)]);
    s.reports_cost = true;
    let mut w = World::new(s, &["e1"]);
    let start = w.bound("e1");
    assert_eq!(start, 15200.0, "1900 ms for each of 8 cores of a single gateway");
    w.query("r", 0, 100.0);
    w.wait(0.42);
    let (id, attempt, outcome) = ("r".into(), 0, Outcome::Ok);
    let ended =
        AttemptEnd { id, attempt, outcome, finished: true, work: Some(100.0), memory: None, report: None };
    w.event(Event::AttemptEnded(ended));
    w.wait(0.65);
    // DDR 0.42 / (2.1 x 0.1) = 2.0; e = 0.9 - 2.0 = -1.1; delta = 0.2 x 1.5 x -1.1 = -0.33 queries of 100 ms.
    assert_eq!(w.bound("e1"), start - 33.0);
}

#[test]
fn the_bound_stops_at_one_query_and_recovers_fast() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    // The learner takes the first outcomes as unhindered; then the engine turns far slower.
    serve(&mut w, 0, 3, 20, 0.1);
    let before = w.bound("e1");
    serve(&mut w, 3, 12, 3, 0.95);
    let low = w.bound("e1");
    assert!(low < before && low >= 100.0, "{low}");
    serve(&mut w, 15, 10, 20, 0.1);
    assert!(w.bound("e1") >= low, "no fall after the pause is over");
}

#[test]
fn quiet_days_do_not_wind_the_bound_up() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    let start = w.bound("e1");
    serve(&mut w, 0, 60, 3, 0.1);
    assert!(w.bound("e1") <= start);
}

#[test]
fn fast_errors_do_not_raise_the_bound() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    let start = w.bound("e1");
    for n in 0..400 {
        w.query(&format!("r{n}"), 0, 3000.0);
        w.query(&format!("t{n}"), 0, 14000.0);
        for id in [format!("r{n}"), format!("t{n}")] {
            for attempt in 0..4 {
                w.end(&id, attempt, Outcome::Error);
            }
        }
        w.wait(0.1);
    }
    assert!(w.bound("e1") <= start);
}

#[test]
fn heavy_queries_are_refused_before_light_ones() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    let (mut heavy, mut light) = (0, 0);
    for n in 0..200 {
        heavy += u32::from(refused(&w.query(&format!("h{n}"), 0, 900.0)));
        light += u32::from(refused(&w.query(&format!("l{n}"), 0, 90.0)));
        w.wait(0.01);
        if n >= 10 {
            w.end(&format!("l{}", n - 10), 0, Outcome::Ok);
        }
    }
    assert!(heavy > 100 && light < heavy / 2, "heavy {heavy}, light {light}");
}

#[test]
fn abandoned_work_stays_in_the_backlog_for_a_while() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Never)]), &["e1"]);
    w.query("r", 0, 500.0);
    w.end("r", 0, Outcome::Timeout);
    assert_eq!(w.backlog("e1"), 500.0);
    w.wait(6.0);
    assert_eq!(w.backlog("e1"), 0.0);
}

#[test]
fn a_query_dearer_than_the_bound_still_runs_on_an_empty_engine() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    assert_eq!(sent_to(&w.query("huge", 0, 90000.0)), ["e1"]);
    assert!(refused(&w.query("next", 0, 90000.0)));
}

#[test]
fn equal_seeds_and_events_give_equal_actions() {
    let run = || {
        let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1", "e2", "e3"]);
        serve(&mut w, 0, 5, 30, 0.2);
        w.actions
    };
    assert_eq!(run(), run());
}

/// A long calm wound the bound up, and the burst after it jammed every engine.
#[test]
fn a_bound_grows_to_a_ceiling_near_its_start_however_calm_the_day() {
    let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
    let start = w.bound("e1");
    for second in 0..60 {
        let ids = (0..).map(|n| format!("r{second}-{n}"));
        let taken: Vec<_> = ids.take_while(|id| !refused(&w.query(id, 0, 500.0))).collect();
        w.wait(0.1);
        for id in &taken {
            w.end(id, 0, Outcome::Ok);
        }
        w.wait(0.9);
    }
    let end = w.bound("e1");
    assert!(start < end && end <= 1.2 * start, "{end} from {start}");
}

/// Bounds that suit a burst turned queries away while the engines' own reports said that cores were idle.
#[test]
fn a_reported_idle_engine_takes_more_than_its_bound_and_a_busy_one_does_not() {
    let taken = |util: f64| {
        let mut w = World::new(settings(vec![class("q", Idempotency::Always)]), &["e1"]);
        w.query("first", 0, 100.0);
        let report = Some(LoadReport { util: Some(util), ..LoadReport::default() });
        let (id, outcome, work, memory) = ("first".into(), Outcome::Ok, None, None);
        w.event(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            outcome,
            finished: true,
            work,
            memory,
            report,
        }));
        (0..200).take_while(|n| !refused(&w.query(&format!("r{n}"), 0, 500.0))).count()
    };
    assert!(taken(0.0) > taken(1.0), "{} idle, {} busy", taken(0.0), taken(1.0));
}
