//! Seeded simulations of the pure core with faults. They check for at most one leader per term, one committed entry per
//! index, and linearizable histories. `SCHEDULES=10000 cargo test --release -p dahliaspoke-raft --test schedules` runs the
//! long campaign.

use dahliaspoke_raft::raft::PlantedFault;

mod sim;
use sim::{run, Plan, Report};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Seeds that failed in the past and are run every time.
const REGRESSION_SEEDS: [u64; 0] = [];

/// Simulates one plan per seed, on all cores.
fn run_all(seeds: Vec<u64>) -> Vec<(u64, Report)> {
    let next = AtomicUsize::new(0);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        let run_plans = || {
            let seed = || seeds.get(next.fetch_add(1, Ordering::Relaxed)).copied();
            std::iter::from_fn(seed).map(|seed| (seed, run(Plan::new(seed)))).collect::<Vec<_>>()
        };
        let workers: Vec<_> = (0..cores).map(|_| scope.spawn(run_plans)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("no panic")).collect()
    })
}

#[test]
fn schedules_with_faults_violate_no_invariant() {
    let count = std::env::var("SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let reports = run_all(REGRESSION_SEEDS.into_iter().chain(1..=count).collect());
    let violations: Vec<_> = reports.iter().filter(|(_, report)| report.violation.is_some()).collect();
    assert!(violations.is_empty(), "{violations:#?}");
    let sum = |field: fn(&Report) -> usize| reports.iter().map(|(_, report)| field(report)).sum::<usize>();
    let (answered, unanswered) = (sum(|r| r.answered), sum(|r| r.unanswered));
    let (crashes, snapshots, changes) = (sum(|r| r.crashes), sum(|r| r.snapshots), sum(|r| r.changes));
    println!(
        "{count} schedules: {answered} calls answered, {unanswered} not; {} terms with a leader, {crashes} crashes, \
         {snapshots} snapshots sent, {changes} membership changes",
        sum(|r| r.terms)
    );
    assert!(answered > 10 * unanswered && crashes > 0 && snapshots > 0 && changes > 0);
}

/// The first seed whose run reveals the planted fault, with the violation.
fn first_violation(planted_fault: PlantedFault, seeds: u64) -> Option<(u64, String)> {
    (1..=seeds).find_map(|seed| {
        let plan = Plan { planted_fault: Some(planted_fault), crashes: 2.5, ..Plan::new(seed) };
        run(plan).violation.map(|violation| (seed, violation))
    })
}

#[test]
fn a_read_without_a_quorum_is_caught() {
    println!("{:?}", first_violation(PlantedFault::ReadAlone, 300).expect("a stale read"));
}

#[test]
fn an_acknowledgement_before_the_write_is_stored_is_caught() {
    println!("{:?}", first_violation(PlantedFault::AckNotStored, 300).expect("a lost write"));
}

#[test]
fn a_snapshot_without_the_members_is_caught() {
    println!(
        "{:?}",
        first_violation(PlantedFault::SnapshotForgets, 10)
            .expect("a snapshot with other members than the log")
    );
}
