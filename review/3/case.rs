//! Three coordinators are the members of the store. An operator takes worker group e1 out of service for all of them,
//! and later changes follow. One coordinator is killed and returns with its disk. No work may reach e1.

#[path = "../common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;

/// Changes after the one that takes e1 out.
const LATER_CHANGES: usize = 1100;
/// How long a coordinator is dead (ms): the pages name 1.2 to 7.9 s.
const DEAD_MS: u64 = 3000;

fn leader(stores: &[SocketAddr]) -> Option<usize> {
    (0..stores.len()).find(|at| store_call(stores[*at], &["STATUS"]).is_some_and(|status| status.contains("role=leader")))
}

/// A number in a member's status.
fn number(status: &str, name: &str) -> Option<u64> {
    let value = status.split_whitespace().find_map(|word| word.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}

fn add_member(run: &Run, stores: &[SocketAddr], name: &str) {
    let voter = format!("member={name} ");
    let done = wait_for(20.0, || {
        let leader = leader(stores)?;
        let status = store_call(stores[leader], &["STATUS"])?;
        if status.lines().any(|line| line.starts_with(&voter) && line.contains(" voter ")) && !status.contains("changing=") {
            return Some(());
        }
        store_call(stores[leader], &["MEMBER", "ADD", name]);
        sleep_ms(100);
        None
    });
    if done.is_none() {
        could_not_run("a member is not added");
    }
    run.record.line(&format!("{name} is a member"));
}

fn main() {
    let run = Run::open();
    let groups: Vec<WorkerGroup> = (0..3).map(|at| WorkerGroup::start(&run.record, &format!("e{at}"), 60, 4000)).collect();
    let listed: Vec<Listed> = groups.iter().map(WorkerGroup::listed).collect();
    let directory = Directory::start(&run.record, "d", 1, &listed);
    let stores: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let fronts: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let start = |at: usize| {
        let peers: Vec<String> = (0..3).filter(|to| *to != at).map(|to| format!("c{to} = \"{}\"\n", stores[to])).collect();
        let store = format!("listen = \"{}\"\nfolder = \"store\"\n\n[peers]\n{}", stores[at], peers.concat());
        let name = format!("c{at}");
        let folder = coordinator_folder(&run, &name, &[("deploy/store.toml", store)]);
        let text = config(&name, fronts[at], None, directory.address, &listed, &settings(3, at, "by_key"));
        Coordinator::start(&run, &folder, &name, &text, None)
    };
    let mut coordinators: Vec<Coordinator> = (0..3).map(start).collect();
    if store_call(stores[0], &["INIT"]).as_deref() != Some("+OK") {
        could_not_run("the store is not initialized");
    }
    for name in ["c1", "c2"] {
        add_member(&run, &stores, name);
    }

    // The operator takes e1 out of service everywhere; then other changes follow.
    let at = wait_for(10.0, || leader(&stores)).unwrap_or_else(|| could_not_run("no leader"));
    let reply = store_call(stores[at], &["SET", "maintenance/e1", "disk swap"]).unwrap_or_default();
    run.record.say(&format!("set maintenance/e1: {reply}"));
    let text = "x".repeat(200);
    let later: Vec<Vec<String>> = (0..LATER_CHANGES)
        .map(|n| ["SET".into(), format!("notes/{}", n % 40), format!("{n} {text}")].to_vec())
        .collect();
    let replies = store_calls(stores[at], &later).unwrap_or_else(|| could_not_run("the later changes fail"));
    let done = replies.iter().filter(|reply| reply.starts_with("+OK")).count();
    run.record.say(&format!("{done} of {LATER_CHANGES} later changes are acknowledged"));
    if !reply.starts_with("+OK") || done < LATER_CHANGES {
        could_not_run("changes are not acknowledged");
    }

    // While nothing is wrong, e1 gets no work from any coordinator.
    let from = now() + 1.05;
    let clients: Vec<Clients> = fronts.iter().map(|front| Clients::start(&run.record, *front, 20)).collect();
    sleep_ms(4000);
    clients.iter().for_each(Clients::stop);
    sleep_ms(500);
    let early = groups[1].received_from(from).len();
    run.record.say(&format!("before the restart: e0, e1, e2 got {:?}", groups.iter().map(|g| g.received_from(from).len()).collect::<Vec<_>>()));

    // A coordinator that does not lead dies and returns with its disk.
    let leading = wait_for(10.0, || leader(&stores)).unwrap_or_else(|| could_not_run("no leader"));
    let victim = (leading + 1) % 3;
    if run.trouble {
        coordinators[victim].kill(&run);
        sleep_ms(DEAD_MS);
        coordinators[victim] = start(victim);
    }
    // It has caught up: it has applied all that is committed, and its copy is fresh. Then it gets 3 s more.
    let caught_up = wait_for(15.0, || {
        let own = store_call(stores[victim], &["STATUS"])?;
        let other = store_call(stores[leading], &["STATUS"])?;
        let fresh = number(&own, "heard_ms").is_some_and(|age| age < 500);
        (fresh && number(&own, "applied")? >= number(&other, "committed")?).then_some(own)
    });
    let Some(status) = caught_up else { could_not_run("the member does not catch up") };
    run.record.line(&format!("status of c{victim}: {}", status.replace('\n', "; ")));
    sleep_ms(3000);
    let value = store_call(stores[leading], &["GET", "maintenance/e1"]).unwrap_or_default();
    run.record.say(&format!("the store still says maintenance/e1 = {value:?}"));
    if value != "disk swap" {
        could_not_run("the store has lost the value itself");
    }

    let from = now();
    let clients = Clients::start(&run.record, fronts[victim], 40);
    sleep_ms(5000);
    clients.stop();
    sleep_ms(800);
    let counts: Vec<usize> = groups.iter().map(|group| group.received_from(from).len()).collect();
    run.record.say(&format!("clients of c{victim}: {}; e0, e1, e2 got {counts:?}", clients.summary()));
    if counts.iter().sum::<usize>() < 50 {
        could_not_run("too few requests were served");
    }
    run.finish(early + counts[1] > 0);
}
