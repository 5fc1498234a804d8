//! The model of an engine.

use dahliaspoke_simulator::engine::{weighted_shares, Admission, Demand, Engine, EngineSpec, Job};

fn job(tag: u64, work: f64) -> Job {
    Job {
        tag,
        work,
        io_share: 0.0,
        threads: 1.0,
        memory: 10.0,
        memory_grant: None,
        priority: 1,
        table_group: tag as i64,
        is_load: false,
        yields_to_loads: false,
    }
}

#[test]
fn a_single_query_runs_at_full_speed_and_many_share_the_cores() {
    let mut engine = Engine::new(EngineSpec::default());
    assert_eq!(engine.admit(0, job(1, 100.0)), Admission::Accepted);
    assert_eq!(engine.next_completion(), Some(100_000));
    assert_eq!(engine.take_finished(100_000), [1]);
    (10..26).for_each(|tag| assert_eq!(engine.admit(100_000, job(tag, 100.0)), Admission::Accepted));
    // 16 threads on 8 cores: half the speed, and a slowdown above the contention threshold of 12.8.
    let excess: f64 = 16.0 / 12.8 - 1.0;
    let duration = 200_000.0 * (1.0 + 0.7 * excess);
    assert_eq!(engine.next_completion(), Some(100_000 + f64::ceil(duration) as u64));
}

#[test]
fn scarce_cores_are_shared_1_4_8_16_by_priority() {
    let demand = |amount, weight| Demand { amount, weight };
    let shares = weighted_shares(1.0, &[1.0, 4.0, 8.0, 16.0].map(|weight| demand(1.0, weight)));
    let sum: f64 = shares.iter().sum();
    assert!((sum - 1.0).abs() < 1e-9 && (shares[3] / shares[0] - 16.0).abs() < 1e-9);
    assert_eq!(weighted_shares(10.0, &[demand(1.0, 1.0), demand(2.0, 4.0)]), [1.0, 1.0]);
}

#[test]
fn readers_wait_for_a_load_of_their_table_group() {
    let mut engine = Engine::new(EngineSpec::default());
    engine.admit(0, Job { is_load: true, table_group: 7, ..job(1, 1000.0) });
    engine.admit(0, Job { yields_to_loads: true, table_group: 7, ..job(2, 100.0) });
    assert_eq!(engine.next_completion(), Some(1_000_000));
    assert_eq!(engine.take_finished(1_000_000), [1]);
    // The load has cached the table group, which saves half of the reader's work.
    assert_eq!(engine.next_completion(), Some(1_050_000));
}

#[test]
fn a_warming_engine_stops_only_under_too_much_load() {
    for (work_each, stops) in [(100.0, false), (900.0, true)] {
        let mut engine = Engine::new(EngineSpec { queue_per_core: 1e6, ..EngineSpec::default() });
        engine.restart(0);
        let stopped = (0..60).any(|n| engine.admit(n * 50_000, job(n, work_each)) == Admission::Overloaded);
        assert_eq!(stopped, stops, "60 of {work_each} ms in 3 s");
    }
}

#[test]
fn queries_fill_the_sessions_then_the_queue_and_then_get_full() {
    let mut engine = Engine::new(EngineSpec { queue_per_core: 1.0, ..EngineSpec::default() });
    let admissions: Vec<Admission> = (0..41).map(|tag| engine.admit(0, job(tag, 100.0))).collect();
    assert!(admissions[..40].iter().all(|t| *t == Admission::Accepted));
    assert_eq!(admissions[40], Admission::Full);
    assert!(engine.cancel(0, 3) && !engine.cancel(0, 3));
    assert_eq!(engine.query_count(), 39);
}
