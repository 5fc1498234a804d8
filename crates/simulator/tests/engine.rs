//! The model of an engine.

use dahliaspoke_simulator::engine::{share, Engine, Job, Spec, Taken};

fn job(tag: u64, work: f64) -> Job {
    let (io, threads, memory, grant) = (0.0, 1.0, 10.0, None);
    Job { tag, work, io, threads, memory, grant, rank: 1, group: tag as i64, is_load: false, yields: false }
}

#[test]
fn one_query_alone_takes_its_work_and_many_share() {
    let mut engine = Engine::new(Spec::default());
    assert_eq!(engine.take(0, job(1, 100.0)), Taken::In);
    assert_eq!(engine.next(), Some(100_000));
    assert_eq!(engine.ended(100_000), [1]);
    (10..26).for_each(|tag| assert_eq!(engine.take(100_000, job(tag, 100.0)), Taken::In));
    // 16 threads on 8 cores: half the pace, and a little past the knee of 12.8.
    let over: f64 = 16.0 / 12.8 - 1.0;
    let took = 200_000.0 * (1.0 + 0.7 * over);
    assert_eq!(engine.next(), Some(100_000 + f64::ceil(took) as u64));
}

#[test]
fn priorities_share_as_1_4_8_16_where_cores_are_short() {
    let parts = share(1.0, &[(1.0, 1.0), (1.0, 4.0), (1.0, 8.0), (1.0, 16.0)]);
    let sum: f64 = parts.iter().sum();
    assert!((sum - 1.0).abs() < 1e-9 && (parts[3] / parts[0] - 16.0).abs() < 1e-9);
    assert_eq!(share(10.0, &[(1.0, 1.0), (2.0, 4.0)]), [1.0, 1.0]);
}

#[test]
fn readers_stand_still_under_a_load_of_their_group() {
    let mut engine = Engine::new(Spec::default());
    engine.take(0, Job { is_load: true, group: 7, ..job(1, 1000.0) });
    engine.take(0, Job { yields: true, group: 7, ..job(2, 100.0) });
    assert_eq!(engine.next(), Some(1_000_000));
    assert_eq!(engine.ended(1_000_000), [1]);
    // The load had brought its data in: half of the reader's work is saved.
    assert_eq!(engine.next(), Some(1_050_000));
}

#[test]
fn a_cold_engine_falls_over_under_too_much_and_not_under_less() {
    for (each, falls) in [(100.0, false), (900.0, true)] {
        let mut engine = Engine::new(Spec { queue_per_core: 1e6, ..Spec::default() });
        engine.restart(0);
        let fell = (0..60).any(|n| engine.take(n * 50_000, job(n, each)) == Taken::Fell);
        assert_eq!(fell, falls, "60 of {each} ms in 3 s");
    }
}

#[test]
fn sessions_then_the_line_then_full() {
    let mut engine = Engine::new(Spec { queue_per_core: 1.0, ..Spec::default() });
    let taken: Vec<Taken> = (0..41).map(|tag| engine.take(0, job(tag, 100.0))).collect();
    assert!(taken[..40].iter().all(|t| *t == Taken::In));
    assert_eq!(taken[40], Taken::Full);
    assert!(engine.call_off(0, 3) && !engine.call_off(0, 3));
    assert_eq!(engine.load(), 39);
}
