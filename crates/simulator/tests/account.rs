//! The account of logs, for logs with known sums.

use dahliaspoke_simulator::account::{Account, Average, ClassAccount, PoolAccount, ProblemCounts};

const FIRST_LOG: &str = "c0 listens on 127.0.0.1:1
10.000 taken a 0 100 3.000
10.100 sent a 0 e1
10.200 ended a 0 Error
10.250 pool 4000 1000 0
10.300 sent a 1 e2
10.350 noted a 1 WaitsForLoad
10.400 ended a 1 Ok 0.50 - 0.25
10.400 answered a served
11.000 taken b 1 300 9.000
11.000 answered b refused
11.500 engine e1 ejected
";

const SECOND_LOG: &str = "0.500 10.500 taken c 0 100 3.000
10.500 sent c 0 e1
10.900 ended c 0 Timeout
10.950 pool 2000 3000 1
10.960 pool what
10.950 answered c refused
12.000 taken d 0 50 3.000
12.000 sent d 0 e2
12.100 answered d failed
12.100 sent nobody 0 e2
";

#[test]
fn sums_by_engine_class_and_second_match_the_logs() {
    let mut account = Account::default();
    account.read(FIRST_LOG);
    account.read(SECOND_LOG);
    let e1 = &account.engines["e1"];
    assert_eq!((e1.work, e1.attempts, e1.coordinators.len()), (200.0, 2, 2));
    assert_eq!(e1.errors.values().sum::<u64>(), 2);
    let e2 = &account.engines["e2"];
    assert_eq!((e2.work, e2.attempts, e2.coordinators.len(), e2.errors.len()), (150.0, 2, 2, 0));
    let lookups = ClassAccount { accepted: 3, served: 1, rejected_untried: 0, rejected_tried: 1, failed: 1 };
    assert_eq!(account.classes[&0], lookups);
    assert_eq!(
        account.classes[&1],
        ClassAccount { accepted: 1, rejected_untried: 1, ..ClassAccount::default() }
    );
    // Second 10: 200 and 100, a mean of 150; second 12: all work on one of the two engines.
    assert_eq!(account.peaks().map(|p| (p * 100.0).round()), [133.0, 133.0, 200.0]);
    assert_eq!(account.malformed_lines, 2);
    let second = &account.seconds()[&10];
    assert_eq!((second.accepted, second.rejected, second.abandoned), (2, 1, 1));
    let average = |sum, count| Average { sum, count };
    let problems = ProblemCounts { spills: 0, memory_waits: 0, load_waits: 1 };
    let utilization = [average(0.5, 1), average(0.0, 0), average(0.25, 1)];
    assert_eq!((second.utilization, second.problems), (utilization, problems));
    assert_eq!(second.pool, PoolAccount { bounds: average(6000.0, 2), in_flight: average(4000.0, 2) });
    assert_eq!((account.seconds()[&11].rejected, account.seconds()[&12].accepted), (1, 1));
    let text = account.to_string();
    assert!(
        text.contains("2 coordinators, 2 engines")
            && text.contains("0.50   0.00   0.25       0       0       1      3000    2000"),
        "{text}"
    );
}

#[test]
fn logs_without_steps_give_an_empty_account() {
    let mut account = Account::default();
    account.read("");
    account.read("no line of ours\n5.0\n6.0 taken\n");
    assert_eq!((account.engines.len(), account.malformed_lines, account.peaks()), (0, 1, [0.0; 3]));
    assert!(account.seconds().is_empty());
}
