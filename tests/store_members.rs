//! Coordinators whose own member does not take part in the store, or is cut off from it, leave out the engines that are in
//! maintenance there.

mod members;

use dahliaspoke_test_harness::fleet::Fleet;
use dahliaspoke_test_harness::queries::{QueryAudit, Repeats, StubEngines};
use dahliaspoke_test_harness::until;
use members::*;
use std::net::SocketAddr;

/// The member that is restarted, removed or cut off.
const OTHER: usize = 2;
/// Look-ups that must not reach the engine in maintenance.
const LOOKUPS: u64 = 30;

/// Three members, and two engines of which e0 is in maintenance.
struct Fixture {
    engines: StubEngines,
    fleet: Fleet,
    /// Number of look-ups sent, from which their ids are derived.
    sent: u64,
}

impl Fixture {
    fn new() -> Self {
        let engines = StubEngines::start(2);
        let addresses: Vec<(&str, SocketAddr)> =
            engines.list.iter().map(|(id, address)| (id.as_str(), *address)).collect();
        let fleet = start_with(3, 3, |at| {
            daemon::config_with_directory(&addresses).replace("\"n1\"", &format!("\"c{at}\""))
        });
        Self { engines, fleet, sent: 0 }
    }

    fn start_maintenance(&mut self) {
        set(&mut self.fleet, "1", "maintenance/e0", "disk swap");
    }

    fn end_maintenance(&mut self) {
        let fleet = &mut self.fleet;
        until("the maintenance ends", || {
            let leader = leader(fleet)?;
            let reply = request(fleet.addresses[leader]["store"], &["DEL", "maintenance/e0"])?;
            reply.starts_with("+OK").then_some(())
        });
    }

    /// Sends a look-up to the coordinator of [`OTHER`]; returns whether it was served.
    fn is_served(&mut self) -> bool {
        self.sent += 1;
        let http = self.fleet.addresses[OTHER]["http"];
        QueryAudit::default().send(http, "lookup", Repeats::Any, self.sent) == Some(200)
    }

    /// Waits until the coordinator serves, and checks that it sends nothing to e0.
    fn assert_leaves_out_e0(&mut self) {
        let before = self.engines.connections(0);
        until("it serves", || self.is_served().then_some(()));
        for _ in 0..LOOKUPS {
            assert!(self.is_served());
        }
        assert_eq!(self.engines.connections(0), before, "it sent to e0");
    }

    fn wait_until_e0_is_used(&self, is_used: bool) {
        let unavailable = format!("members_unavailable={}\n", u8::from(!is_used));
        until(&unavailable, || {
            statistics(self.fleet.addresses[OTHER]["console"]).contains(&unavailable).then_some(())
        });
    }
}

/// Guards against a member that returns without its disk and serves as if the store were empty: it sent to engines in
/// maintenance until an operator added it again.
#[test]
fn a_member_that_returns_without_its_disk_keeps_the_maintenance() {
    let mut fixture = Fixture::new();
    fixture.start_maintenance();
    fixture.fleet.processes[OTHER].kill();
    fixture.fleet.processes[OTHER].remove_data("store");
    fixture.fleet.start_process(OTHER, None);
    fixture.assert_leaves_out_e0();
    // It follows changes meanwhile, and also once it is a member again.
    fixture.end_maintenance();
    fixture.wait_until_e0_is_used(true);
    replace_member(&mut fixture.fleet, "c2");
    wait_until_caught_up(&mut fixture.fleet, OTHER);
    set(&mut fixture.fleet, "2", "maintenance/e0", "again");
    fixture.wait_until_e0_is_used(false);
    fixture.assert_leaves_out_e0();
}

/// Guards against a member that was removed and runs on with the data of that time, also after a restart.
#[test]
fn a_removed_member_keeps_following_the_store() {
    let mut fixture = Fixture::new();
    until("c2 is removed", || {
        let leader = leader(&mut fixture.fleet)?;
        request(fixture.fleet.addresses[leader]["store"], &["MEMBER", "REMOVE", "c2"]);
        (!status(&fixture.fleet, leader).contains("member=c2 ")).then_some(())
    });
    fixture.start_maintenance();
    fixture.wait_until_e0_is_used(false);
    fixture.assert_leaves_out_e0();
    fixture.fleet.processes[OTHER].kill();
    fixture.fleet.start_process(OTHER, None);
    fixture.assert_leaves_out_e0();
    fixture.end_maintenance();
    fixture.wait_until_e0_is_used(true);
}

/// Guards against a member that restarts while it is cut off from the others and sends to an engine that its own log has
/// in maintenance: after a start only the snapshot was applied.
#[test]
fn a_member_that_restarts_cut_off_keeps_the_maintenance_that_it_knew() {
    let mut fixture = Fixture::new();
    fixture.start_maintenance();
    wait_until_caught_up(&mut fixture.fleet, OTHER);
    fixture.wait_until_e0_is_used(false);
    fixture.fleet.processes[OTHER].kill();
    fixture.fleet.partition(&[OTHER], &[0, 1]);
    fixture.fleet.start_process(OTHER, None);
    fixture.assert_leaves_out_e0();
    fixture.end_maintenance();
    fixture.fleet.heal();
    fixture.wait_until_e0_is_used(true);
}

/// Guards against watchers that ignore the changes of a store that was initialized anew, until its versions pass those of the
/// former one. A member that is left of the former store runs on meanwhile, and its coordinator follows the new store too.
#[test]
fn watchers_follow_a_store_that_is_initialized_anew() {
    const NOTES: u64 = 20;
    let engines = StubEngines::start(2);
    let addresses: Vec<(&str, SocketAddr)> =
        engines.list.iter().map(|(id, address)| (id.as_str(), *address)).collect();
    let mut fleet = start_with(3, 5, |at| {
        daemon::config_with_directory(&addresses).replace("\"n1\"", &format!("\"c{at}\""))
    });
    for n in 1..=NOTES {
        set(&mut fleet, &n.to_string(), "notes", &n.to_string());
    }
    set(&mut fleet, "100", "maintenance/e1", "of the former store");
    let wait_until_unavailable = |fleet: &Fleet, engine: &str, at: usize| {
        let line = format!("engine {engine} is left out");
        until(&format!("c{at} leaves out {engine} alone"), || {
            let is_logged = fleet.processes[at].output().iter().any(|text| text.contains(&line));
            let statistics = statistics(fleet.addresses[at]["console"]);
            (is_logged && statistics.contains("members_unavailable=1\n")).then_some(())
        });
    };
    for at in 0..5 {
        wait_until_unavailable(&fleet, "e1", at);
    }
    for at in 0..2 {
        fleet.processes[at].kill();
        fleet.processes[at].remove_data("store");
    }
    for at in 0..2 {
        fleet.start_process(at, None);
    }
    assert_eq!(request(fleet.addresses[0]["store"], &["INIT"]).as_deref(), Some("+OK"));
    add_member(&mut fleet, "c1");
    set(&mut fleet, "1", "maintenance/e0", "of the new store");
    for at in 0..5 {
        wait_until_unavailable(&fleet, "e0", at);
    }
}
