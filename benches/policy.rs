//! Time that the policy needs per query: arrival, dispatch and outcome.
//!
//!     cargo bench --bench policy
//!
//! Rounds are short. The fastest one is reported next to the median, because it is the least affected by
//! other load on the machine.

#[path = "../tests/common/mod.rs"]
mod common;

use common::{class, engine, settings};
use dahliaspoke::policy::*;
use std::time::Instant;

/// Number of engines in a typical and in a large deployment.
const ENGINE_COUNTS: [usize; 2] = [36, 200];
/// Number of rounds per deployment.
const ROUNDS: usize = 60;
/// Number of queries per round.
const QUERIES: usize = 1000;
/// Time between two queries (seconds).
const INTERVAL_S: f64 = 0.005;
/// Number of queries in flight at the same time.
const IN_FLIGHT: usize = 20;
/// Number of queries between two runs of the policy's housekeeping.
const QUERIES_PER_HOUSEKEEPING: usize = 20;

fn policy_with_engines(engines: usize) -> Policy {
    let classes = vec![class("lookup", Idempotency::Always), class("load", Idempotency::WithKey)];
    let settings = Settings { coordinators: 20.0, may_cancel: true, reports_cost: true, ..settings(classes) };
    let mut policy = Policy::new(settings, 1);
    let entries = (0..engines).map(|n| engine(&format!("engine-{n}"))).collect();
    policy.handle(100.0, Event::EngineList(ListScope::Complete, entries), &mut Vec::new());
    policy
}

fn query(n: usize) -> Event {
    let id = format!("q{n}").into();
    Event::Query(Query { id, class: n % 2, time_left: 10.0, work: Some(80.0), ..Query::default() })
}

fn served(n: usize) -> Event {
    Event::AttemptEnded(AttemptEnd {
        id: format!("q{n}").into(),
        attempt: 0,
        outcome: Outcome::Ok,
        finished: true,
        work: Some(85.0),
        memory: None,
        report: Some(LoadReport { util: Some(0.4), ..LoadReport::default() }),
    })
}

/// Runs one round and returns the mean time per query (us), from its arrival to the end of its attempt.
fn time_per_query(engines: usize) -> f64 {
    let mut policy = policy_with_engines(engines);
    let mut actions = Vec::new();
    let mut now = 100.0;
    let started = Instant::now();
    for n in 0..QUERIES + IN_FLIGHT {
        now += INTERVAL_S;
        actions.clear();
        if n % QUERIES_PER_HOUSEKEEPING == 0 {
            policy.handle(now, Event::Timer(0), &mut actions);
        }
        if n < QUERIES {
            policy.handle(now, query(n), &mut actions);
        }
        if let Some(n) = n.checked_sub(IN_FLIGHT) {
            policy.handle(now, served(n), &mut actions);
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / QUERIES as f64
}

fn main() {
    for engines in ENGINE_COUNTS {
        let mut times: Vec<f64> = (0..ROUNDS).map(|_| time_per_query(engines)).collect();
        times.sort_by(f64::total_cmp);
        let median = times[ROUNDS / 2];
        println!(
            "{engines:>4} engines: {:.2} us per query in the fastest round, {median:.2} in the median round",
            times[0]
        );
    }
}
