//! Seeded schedules of the pure core with faults: at most one leader a term, one entry at each place, histories
//! linearizable. `SCHEDULES=10000 cargo test --release -p dahliaspoke-raft --test schedules` for the long campaign.

use dahliaspoke_raft::raft::PlantedFault;

mod sim;
use sim::{run, Plan, Report};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Seeds that failed once.
const FAILED_ONCE: [u64; 0] = [];

/// Runs the plans of these seeds on all cores.
fn run_all(seeds: Vec<u64>) -> Vec<(u64, Report)> {
    let next = AtomicUsize::new(0);
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| {
        let work = || {
            let seed = || seeds.get(next.fetch_add(1, Ordering::Relaxed)).copied();
            std::iter::from_fn(seed).map(|seed| (seed, run(Plan::new(seed)))).collect::<Vec<_>>()
        };
        let workers: Vec<_> = (0..cores).map(|_| scope.spawn(work)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("no panic")).collect()
    })
}

#[test]
fn schedules_with_faults_keep_every_promise() {
    let count = std::env::var("SCHEDULES").ok().and_then(|n| n.parse().ok()).unwrap_or(300);
    let reports = run_all(FAILED_ONCE.into_iter().chain(1..=count).collect());
    let broken: Vec<_> = reports.iter().filter(|(_, report)| report.violation.is_some()).collect();
    assert!(broken.is_empty(), "{broken:#?}");
    let sum = |of: fn(&Report) -> usize| reports.iter().map(|(_, report)| of(report)).sum::<usize>();
    let (answered, unanswered) = (sum(|r| r.answered), sum(|r| r.unanswered));
    let (crashes, snapshots, changes) = (sum(|r| r.crashes), sum(|r| r.snapshots), sum(|r| r.changes));
    println!(
        "{count} schedules: {answered} calls answered, {unanswered} not; {} terms with a leader, {crashes} crashes, \
         {snapshots} snapshots sent, {changes} changes of members",
        sum(|r| r.terms)
    );
    assert!(answered > 10 * unanswered && crashes > 0 && snapshots > 0 && changes > 0);
}

/// The first seed whose run catches the fault.
fn first_violation(planted_fault: PlantedFault, seeds: u64) -> Option<(u64, String)> {
    (1..=seeds).find_map(|seed| {
        let plan = Plan { planted_fault: Some(planted_fault), crashes: 2.5, ..Plan::new(seed) };
        run(plan).violation.map(|violation| (seed, violation))
    })
}

#[test]
fn a_read_without_a_quorum_is_caught() {
    println!("{:?}", first_violation(PlantedFault::ReadAlone, 300).expect("an old read"));
}

#[test]
fn an_acknowledgement_before_the_disk_is_caught() {
    println!("{:?}", first_violation(PlantedFault::AckNotStored, 300).expect("a lost write"));
}

#[test]
fn a_snapshot_that_forgets_the_members_is_caught() {
    println!(
        "{:?}",
        first_violation(PlantedFault::SnapshotForgets, 10).expect("other members than the log says")
    );
}
